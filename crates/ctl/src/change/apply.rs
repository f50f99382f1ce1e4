//! `wrenctl apply`: applies a plan at all of its ingresses or at none, and resumes unfinished changes.

use super::drive::{self, drive, Outcome as CommitOutcome};
use super::folder::{self, Ingress};
use super::{failed, micros, plan, show, span, UNFINISHED};
use crate::group::decide::{self, decide, Outcome, Request};
use crate::group::query::query_group;
use crate::group::{sockets as members, Sockets};
use crate::style;
use clap::Args;
use std::collections::BTreeMap;
use std::io::{BufRead, IsTerminal};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;
use wrenfork_commit::coordinator::Coordinator;
use wrenfork_commit::metrics::IngressMetrics;
use wrenfork_commit::plan::{Plan, PlanHeader, Target};
use wrenfork_commit::state::{Digest, Generation, State};
use wrenfork_config::enforced::Pairs;
use wrenfork_consensus::group_state::{GroupState, Policy};
use wrenfork_rollout::PROGRAM_KEY;

#[derive(Args)]
pub struct Options {
    /// The plan; with --resume also the folder that it was made from
    #[arg(value_name = "FILE")]
    plan: PathBuf,
    /// Does not ask whether it is meant
    #[arg(long)]
    yes: bool,
    /// Ends a change that was begun: made where one ingress has made it, else given up
    #[arg(long, conflicts_with_all = ["canary", "leave_out"])]
    resume: bool,
    /// An ingress that is missing and is to be left out; it must be planned for later
    #[arg(long, value_name = "NAME")]
    leave_out: Vec<String>,
    /// Makes the change at so many ingresses first, and watches them before the others
    #[arg(long, value_name = "N")]
    canary: Option<usize>,
    /// How long these are watched
    #[arg(long, value_name = "TIME", default_value = "10s", value_parser = span)]
    watch: Duration,
    /// By how much the share of requests refused or failed may grow there
    #[arg(long, value_name = "SHARE", default_value_t = 0.02)]
    most_lost: f64,
    /// How long ingresses that do not answer are asked again
    #[arg(long, value_name = "TIME", default_value = "30s", value_parser = span)]
    patience: Duration,
}

/// Confirms a change: with `--yes`, or by a prompt on a terminal.
///
/// # Errors
///
/// If the operator declines, or there is neither `--yes` nor a terminal.
pub fn confirm(yes: bool) -> Result<(), String> {
    if yes {
        return Ok(());
    }
    if !std::io::stdin().is_terminal() {
        return Err("standard input is no terminal: confirm with --yes".into());
    }
    eprint!("Make this change? Only \"yes\" makes it: ");
    let mut line = String::new();
    std::io::stdin()
        .lock()
        .read_line(&mut line)
        .map_err(|e| e.to_string())?;
    (line.trim() == "yes")
        .then_some(())
        .ok_or("not made".into())
}

fn sockets(plan: &Plan) -> BTreeMap<String, PathBuf> {
    plan.targets
        .iter()
        .map(|t| (t.ingress.clone(), PathBuf::from(&t.control)))
        .collect()
}

/// Checks that a target still enforces the generation that the plan was made from.
fn check_base(plan: &Plan, target: &Target, enforces: &Generation) -> Result<(), String> {
    if *enforces == target.base {
        return Ok(());
    }
    if enforces.number == plan.generation && enforces.digest == target.wanted {
        return Err("this plan was applied here already".into());
    }
    Err(format!(
        "the plan is outdated: the ingress enforces generation {} ({}), and the plan was made for {} ({}): make a new plan",
        enforces.number,
        enforces.digest.short(),
        target.base.number,
        target.base.digest.short()
    ))
}

/// Checks that every ingress still enforces what the plan was made from. Returns the unreachable group members.
fn check_bases(plan: &Plan) -> Result<BTreeMap<String, String>, ExitCode> {
    let (groups, rest) = split_by_group(plan);
    let (mut unreachable, mut failed_any) = (BTreeMap::new(), false);
    for (at, part) in &groups {
        let current = query_group(&members(at))
            .and_then(|seen| Ok((seen.committed_state()?, seen.unreachable)));
        match current {
            Ok((state, missing)) => {
                unreachable.extend(
                    missing
                        .into_iter()
                        .filter(|(name, _)| state.membership.member(name).is_some()),
                );
                if let Err(reason) = next_state(part, &state, false) {
                    failed(reason);
                    failed_any = true;
                }
            }
            Err(reason) => {
                failed(reason);
                failed_any = true;
            }
        }
    }
    let rest = check_ungrouped(&rest);
    if failed_any {
        return Err(ExitCode::FAILURE);
    }
    rest.map(|()| unreachable)
}

/// A group's part of a plan, with its members' sockets.
pub type GroupPart<'a> = (&'a BTreeMap<String, String>, Plan);

/// Splits a plan into the part of each group and that of the ingresses without a group.
pub fn split_by_group(plan: &Plan) -> (Vec<GroupPart<'_>>, Plan) {
    let of =
        |group: &BTreeMap<String, String>| plan.restricted_to(|t| group.contains_key(&t.ingress));
    let groups = plan.groups.iter().map(|group| (group, of(group))).collect();
    (
        groups,
        plan.restricted_to(|t| plan.groups.iter().all(|g| !g.contains_key(&t.ingress))),
    )
}

/// The current and the wanted state of a group member.
///
/// # Errors
///
/// If the member has left the group or enforces another generation than the plan was made for.
pub fn planned<'a>(
    part: &'a Plan,
    target: &Target,
    current: &GroupState,
) -> Result<(State, &'a Arc<State>), String> {
    let name = &target.ingress;
    let (enforces, state) = current
        .enforced_by(name)
        .ok_or_else(|| format!("{name} is no longer in the roster: make a new plan"))?;
    check_base(part, target, &enforces).map_err(|reason| format!("{name}: {reason}"))?;
    let wanted = part
        .states
        .get(&target.wanted)
        .ok_or("the plan has no such state")?;
    Ok((state, wanted))
}

/// Rejects a change while a rollout of the group is under way.
pub fn check_no_rollout(current: &GroupState) -> Result<(), String> {
    let rollout = current.rollout.as_ref().filter(|r| !r.phase.ended());
    rollout.map_or(Ok(()), |r| {
        let (author, phase) = (&r.author, &r.phase);
        Err(format!(
            "a rollout by {author} is under way ({phase}): wait for its end, or wrenctl rollout stop"
        ))
    })
}

/// The group state that follows the current one by a group's part of a plan. With `partial`, members that the plan does not
/// have keep their state; without it, such a member is an error.
fn next_state(part: &Plan, current: &GroupState, partial: bool) -> Result<GroupState, String> {
    check_no_rollout(current)?;
    let mut states: BTreeMap<String, Arc<State>> = BTreeMap::new();
    for target in &part.targets {
        let (state, wanted) = planned(part, target, current)?;
        let (has, wants) = (state.0.get(PROGRAM_KEY), wanted.0.get(PROGRAM_KEY));
        // A plan may set the program for the first time; later changes of it need a rollout.
        if has.is_some() && wants.is_some() && has != wants {
            return Err(format!(
                "{}: a program is changed by a rollout: wrenctl rollout start",
                target.ingress
            ));
        }
        states.insert(target.ingress.clone(), wanted.clone());
    }
    for member in &current.membership.members {
        if let (false, Some((_, state))) = (
            states.contains_key(&member.name),
            current.enforced_by(&member.name),
        ) {
            if !partial {
                return Err(format!(
                    "{} has joined the group since the plan was made: make a new plan",
                    member.name
                ));
            }
            states.insert(member.name.clone(), Arc::new(state));
        }
    }
    let (version, policy) = (current.version + 1, Policy::from_states(&states));
    Ok(GroupState::new(
        version,
        part.generation,
        part.id(),
        &part.author,
        current.membership.clone(),
        policy,
    ))
}

/// Checks the bases of the ingresses without a group.
fn check_ungrouped(plan: &Plan) -> Result<(), ExitCode> {
    let controls: Vec<PathBuf> = sockets(plan).into_values().collect();
    let by_path: BTreeMap<&Path, Result<folder::Status, String>> = controls
        .iter()
        .map(PathBuf::as_path)
        .zip(folder::status(controls.iter().map(PathBuf::as_path)))
        .collect();
    let mut failed_any = false;
    for target in &plan.targets {
        let status = by_path.get(Path::new(&target.control));
        let reason = match status {
            Some(Ok(s)) => match check_base(plan, target, &s.generation) {
                Ok(()) => continue,
                Err(reason) => reason,
            },
            Some(Err(reason)) => format!(
                "{reason}; --leave-out {} applies it to the others",
                target.ingress
            ),
            None => "its control socket is not known".to_string(),
        };
        failed(format!("{}: {reason}", target.ingress));
        failed_any = true;
    }
    if failed_any {
        Err(ExitCode::FAILURE)
    } else {
        Ok(())
    }
}

/// Applies a plan and prints the result.
pub fn apply(plan: &Plan, patience: Duration) -> ExitCode {
    apply_part(plan, false, patience)
}

/// Applies a plan. With `partial`, it may contain only some members of a group.
fn apply_part(plan: &Plan, partial: bool, patience: Duration) -> ExitCode {
    let (groups, rest) = split_by_group(plan);
    let mut applied = Vec::new();
    for (at, part) in groups {
        let outcome = decide(
            &members(at),
            &Request::Change(&|current| next_state(&part, current, partial)),
            patience,
        );
        decide::print_outcome(&format!("change {}", part.id().short()), &outcome);
        let code = match outcome {
            Outcome::Committed(..) => {
                applied.push(part);
                continue;
            }
            Outcome::Rejected(_) => ExitCode::FAILURE,
            Outcome::Unfinished => ExitCode::from(UNFINISHED),
        };
        if !applied.is_empty() {
            let done: Vec<&str> = applied
                .iter()
                .flat_map(|vote| &vote.targets)
                .map(|t| t.ingress.as_str())
                .collect();
            failed(format!(
                "the change was already made at {}: make a new plan for the rest",
                done.join(", ")
            ));
        }
        return code;
    }
    if rest.targets.is_empty() {
        return ExitCode::SUCCESS;
    }
    apply_ungrouped(&rest, patience)
}

/// Applies a plan at ingresses without a group.
fn apply_ungrouped(plan: &Plan, patience: Duration) -> ExitCode {
    let mut coordinator = Coordinator::new(plan, micros());
    let end = drive(&mut coordinator, &sockets(plan), patience);
    drive::print_outcome(&end, &coordinator);
    exit_code(&end)
}

fn exit_code(end: &CommitOutcome) -> ExitCode {
    match end {
        CommitOutcome::Committed(_) => ExitCode::SUCCESS,
        CommitOutcome::Aborted => ExitCode::FAILURE,
        CommitOutcome::Superseded | CommitOutcome::Unfinished(_) => ExitCode::from(UNFINISHED),
    }
}

pub fn main(options: &Options) -> ExitCode {
    run(options).unwrap_or_else(|code| code)
}

fn run(options: &Options) -> Result<ExitCode, ExitCode> {
    if options.resume {
        return resume(&options.plan, options.patience);
    }
    let path = options.plan.display();
    let text =
        std::fs::read_to_string(&options.plan).map_err(|e| failed(format!("{path}: {e}")))?;
    let plan = Plan::from_file_text(&text).map_err(|e| failed(format!("{path}: {e}")))?;
    plan.check_validity(micros())
        .map_err(|e| failed(format!("{path}: {e}")))?;
    for name in &options.leave_out {
        if plan.targets.iter().all(|t| t.ingress != *name) {
            return Err(failed(format!(
                "the plan has no ingress {name} to leave out"
            )));
        }
        if plan.groups.iter().any(|g| g.contains_key(name)) {
            return Err(failed(format!("{name} {}", plan::IN_A_GROUP)));
        }
    }
    let plan = if options.leave_out.is_empty() {
        plan
    } else {
        plan.restricted_to(|t| !options.leave_out.contains(&t.ingress))
    };
    let unreachable = check_bases(&plan)?;
    show::text(&plan);
    show::away(&unreachable);
    confirm(options.yes).map_err(failed)?;
    match options.canary {
        Some(first) if first < plan.targets.len() && first > 0 => {
            canary(&plan, first, &unreachable, options)
        }
        _ => Ok(apply(&plan, options.patience)),
    }
}

/// The summed metrics of the ingresses of a plan.
fn total_metrics(plan: &Plan) -> Result<IngressMetrics, ExitCode> {
    let mut sum = IngressMetrics::default();
    for (target, status) in plan.targets.iter().zip(folder::status(
        plan.targets.iter().map(|t| Path::new(&t.control)),
    )) {
        let status = status.map_err(|reason| failed(format!("{}: {reason}", target.ingress)))?;
        sum.merge(&status.metrics);
    }
    Ok(sum)
}

/// The metrics counted while the ingresses are watched for a duration.
fn watch(plan: &Plan, span: Duration) -> Result<IngressMetrics, ExitCode> {
    let before = total_metrics(plan)?;
    std::thread::sleep(span);
    Ok(total_metrics(plan)?.since(&before))
}

/// Applies a plan at the first ingresses and watches them. If their failure ratio has not grown by more than allowed, applies
/// it at the others, else reverts it.
fn canary(
    plan: &Plan,
    first: usize,
    unreachable: &BTreeMap<String, String>,
    options: &Options,
) -> Result<ExitCode, ExitCode> {
    let names: Vec<&str> = plan
        .targets
        .iter()
        .filter(|t| !unreachable.contains_key(&t.ingress))
        .take(first)
        .map(|t| t.ingress.as_str())
        .collect();
    let part = plan.restricted_to(|t| names.contains(&t.ingress.as_str()));
    let rest = plan.restricted_to(|t| !names.contains(&t.ingress.as_str()));
    eprintln!(
        "watching {} for {:?} before the change",
        names.join(", "),
        options.watch
    );
    let before = watch(&part, options.watch)?;
    let applied = apply_part(&part, true, options.patience);
    if applied != ExitCode::SUCCESS {
        return Ok(applied);
    }
    eprintln!(
        "watching {} for {:?} after the change",
        names.join(", "),
        options.watch
    );
    let after = watch(&part, options.watch)?;
    let (was, is) = (before.failure_ratio(), after.failure_ratio());
    let mut table = style::table(&["", "served", "refused", "failed", "lost"]);
    for (when, f) in [("before", &before), ("after", &after)] {
        let lost = format!("{:.1}%", f.failure_ratio() * 100.0);
        table.add_row(vec![
            when.to_string(),
            f.served.to_string(),
            f.rejected.to_string(),
            f.failed.to_string(),
            lost,
        ]);
    }
    println!("{table}");
    if is > was + options.most_lost {
        let reason = format!("{:.1}% lost in place of {:.1}%", is * 100.0, was * 100.0);
        anstream::eprintln!("{} {reason}: taking it back", style::bad("canary:"));
        let back = revert_plan(&part)?;
        let reverted = apply_part(&back, true, options.patience);
        return Ok(if reverted == ExitCode::SUCCESS {
            ExitCode::FAILURE
        } else {
            reverted
        });
    }
    Ok(apply_part(&rebase(&part, rest), true, options.patience))
}

/// Adapts the rest of a plan after its first part was applied. A generation belongs to a whole group: its other members have
/// the same state as before, under the first part's generation.
fn rebase(part: &Plan, mut rest: Plan) -> Plan {
    let in_group = |name: &str| part.groups.iter().any(|g| g.contains_key(name));
    let any = rest.targets.iter().any(|t| in_group(&t.ingress));
    for target in rest.targets.iter_mut().filter(|t| in_group(&t.ingress)) {
        target.base.number = part.generation;
    }
    rest.generation += u64::from(any);
    rest
}

/// The plan that reverts one that was just applied.
fn revert_plan(plan: &Plan) -> Result<Plan, ExitCode> {
    let has = folder::status(plan.targets.iter().map(|t| Path::new(&t.control)));
    let has = has
        .into_iter()
        .collect::<Result<Vec<_>, _>>()
        .map_err(failed)?;
    let ingresses = plan.targets.iter().map(|t| Ingress {
        name: t.ingress.clone(),
        control: PathBuf::from(&t.control),
        wanted: Pairs::new().into(),
    });
    let in_group = |name: &str| plan.groups.iter().any(|g| g.contains_key(name));
    let generation_of = |n: usize| plan.targets.get(n).map_or(0, |t| t.base.number);
    let was = folder::past_states(
        ingresses.collect(),
        &has,
        &BTreeMap::new(),
        in_group,
        generation_of,
    )?;
    let applied = plan::make(
        PlanHeader {
            author: plan.author.clone(),
            made_at: micros(),
            valid_for: plan.valid_for,
        },
        was,
        has,
        plan.groups.clone(),
    )?;
    applied.ok_or_else(|| failed("there is nothing to revert"))
}

/// Completes or aborts unfinished changes at the ingresses of a plan or of a folder.
fn resume(from: &Path, patience: Duration) -> Result<ExitCode, ExitCode> {
    let mut changes: BTreeMap<Digest, Vec<String>> = BTreeMap::new();
    let (mut at, groups): (BTreeMap<String, PathBuf>, Vec<Sockets>) = if from.is_dir() {
        let files = folder::read(from)?;
        let groups = files.groups.values().map(|g| g.links("")).collect();
        (
            files
                .ingresses
                .into_iter()
                .map(|i| (i.name, i.control))
                .collect(),
            groups,
        )
    } else {
        let text = std::fs::read_to_string(from)
            .map_err(|e| failed(format!("{}: {e}", from.display())))?;
        let plan =
            Plan::from_file_text(&text).map_err(|e| failed(format!("{}: {e}", from.display())))?;
        (sockets(&plan), plan.groups.iter().map(members).collect())
    };
    at.retain(|name, _| groups.iter().all(|g| !g.contains_key(name)));
    let mut code = ExitCode::SUCCESS;
    for group in &groups {
        let outcome = decide(group, &Request::Recover, patience);
        decide::print_outcome("nothing is left undecided", &outcome);
        if !matches!(outcome, Outcome::Committed(..)) {
            code = ExitCode::from(UNFINISHED);
        }
    }
    if at.is_empty() {
        return Ok(code);
    }
    for ((name, _), status) in at
        .iter()
        .zip(folder::status(at.values().map(PathBuf::as_path)))
    {
        match status {
            Ok(status) => {
                if let Some(vote) = status.prepared {
                    changes.entry(vote.change).or_insert(vote.members);
                }
            }
            Err(reason) => {
                anstream::eprintln!("{} {name}: {reason}", style::doubtful("not asked:"))
            }
        }
    }
    if changes.is_empty() {
        anstream::println!(
            "{} no ingress that answers has promised a change",
            style::good("nothing to resume:")
        );
        return Ok(code);
    }
    for (change, members) in changes {
        let mut coordinator = Coordinator::recover(change, members, micros());
        let end = drive(&mut coordinator, &at, patience);
        drive::print_outcome(&end, &coordinator);
        // An aborted change counts as success here.
        if matches!(
            end,
            CommitOutcome::Superseded | CommitOutcome::Unfinished(_)
        ) {
            code = exit_code(&end);
        }
    }
    Ok(code)
}
