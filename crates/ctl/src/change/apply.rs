//! `wrenctl apply`.

use super::drive::{self, drive, End};
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

/// Whether it is meant: asked on a terminal, said with `--yes` elsewhere.
pub fn meant(yes: bool) -> Result<(), String> {
    if yes {
        return Ok(());
    }
    if !std::io::stdin().is_terminal() {
        return Err("nobody can be asked here: --yes makes the change unasked".into());
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

/// Whether a target still enforces what the plan was made from.
fn still(plan: &Plan, target: &Target, enforces: &Generation) -> Result<(), String> {
    if *enforces == target.base {
        return Ok(());
    }
    if enforces.number == plan.generation && enforces.digest == target.wanted {
        return Err("this plan was applied here already".into());
    }
    Err(format!(
        "it has moved: it enforces generation {} ({}), and the plan was made for {} ({}): make it anew",
        enforces.number,
        enforces.digest.short(),
        target.base.number,
        target.base.digest.short()
    ))
}

/// Whether every ingress still enforces what the plan was made from; who is away of its groups.
fn unmoved(plan: &Plan) -> Result<BTreeMap<String, String>, ExitCode> {
    let (groups, rest) = parts(plan);
    let (mut away, mut wrong) = (BTreeMap::new(), false);
    for (at, part) in &groups {
        let stands = query_group(&members(at))
            .and_then(|seen| Ok((seen.committed_state()?, seen.unreachable)));
        match stands {
            Ok((decree, gone)) => {
                away.extend(
                    gone.into_iter()
                        .filter(|(name, _)| decree.membership.member(name).is_some()),
                );
                if let Err(why) = follows(part, &decree, false) {
                    failed(why);
                    wrong = true;
                }
            }
            Err(why) => {
                failed(why);
                wrong = true;
            }
        }
    }
    let rest = alone_unmoved(&rest);
    if wrong {
        return Err(ExitCode::FAILURE);
    }
    rest.map(|()| away)
}

/// A group's part of a plan, with its members' sockets.
pub type Part<'a> = (&'a BTreeMap<String, String>, Plan);

/// A plan's parts: that of each group, with its members' sockets, and that of ingresses which decide each for itself.
pub fn parts(plan: &Plan) -> (Vec<Part<'_>>, Plan) {
    let of =
        |group: &BTreeMap<String, String>| plan.restricted_to(|t| group.contains_key(&t.ingress));
    let groups = plan.groups.iter().map(|group| (group, of(group))).collect();
    (
        groups,
        plan.restricted_to(|t| plan.groups.iter().all(|g| !g.contains_key(&t.ingress))),
    )
}

/// What a target enforces as the plan was made for, and what the plan wants of it.
pub fn planned<'a>(
    part: &'a Plan,
    target: &Target,
    stands: &GroupState,
) -> Result<(State, &'a Arc<State>), String> {
    let name = &target.ingress;
    let (enforces, state) = stands
        .enforced_by(name)
        .ok_or_else(|| format!("{name}: it is not in the roster any more: make the plan anew"))?;
    still(part, target, &enforces).map_err(|why| format!("{name}: {why}"))?;
    let wanted = part
        .states
        .get(&target.wanted)
        .ok_or("the plan has no such state")?;
    Ok((state, wanted))
}

/// A group makes no other change while a rollout goes through it.
pub fn none_under_way(stands: &GroupState) -> Result<(), String> {
    let rollout = stands.rollout.as_ref().filter(|r| !r.phase.ended());
    rollout.map_or(Ok(()), |r| {
        let (author, phase) = (&r.author, &r.phase);
        Err(format!(
            "a rollout by {author} is under way ({phase}): wait for its end, or wrenctl rollout stop"
        ))
    })
}

/// The decree that a group's part of a plan wants behind the one that stands. Only where it is a part of the members on
/// purpose may it say nothing of one, which goes on with what it has.
fn follows(part: &Plan, stands: &GroupState, some: bool) -> Result<GroupState, String> {
    none_under_way(stands)?;
    let mut states: BTreeMap<String, Arc<State>> = BTreeMap::new();
    for target in &part.targets {
        let (state, wanted) = planned(part, target, stands)?;
        let (has, wants) = (state.0.get(PROGRAM_KEY), wanted.0.get(PROGRAM_KEY));
        // What runs may be named; from then on it changes in stages.
        if has.is_some() && wants.is_some() && has != wants {
            return Err(format!(
                "{}: its program changes in stages: wrenctl rollout start",
                target.ingress
            ));
        }
        states.insert(target.ingress.clone(), wanted.clone());
    }
    for seat in &stands.membership.members {
        if let (false, Some((_, state))) = (
            states.contains_key(&seat.name),
            stands.enforced_by(&seat.name),
        ) {
            if !some {
                return Err(format!(
                    "{} has come into the roster since the plan was made: make it anew",
                    seat.name
                ));
            }
            states.insert(seat.name.clone(), Arc::new(state));
        }
    }
    let (number, policy) = (stands.version + 1, Policy::from_states(&states));
    Ok(GroupState::new(
        number,
        part.generation,
        part.id(),
        &part.author,
        stands.membership.clone(),
        policy,
    ))
}

fn alone_unmoved(plan: &Plan) -> Result<(), ExitCode> {
    let controls: Vec<PathBuf> = sockets(plan).into_values().collect();
    let by_path: BTreeMap<&Path, Result<folder::Status, String>> = controls
        .iter()
        .map(PathBuf::as_path)
        .zip(folder::status(controls.iter().map(PathBuf::as_path)))
        .collect();
    let mut wrong = false;
    for target in &plan.targets {
        let status = by_path.get(Path::new(&target.control));
        let why = match status {
            Some(Ok(s)) => match still(plan, target, &s.generation) {
                Ok(()) => continue,
                Err(why) => why,
            },
            Some(Err(why)) => format!(
                "{why}; --leave-out {} applies it to the others",
                target.ingress
            ),
            None => "nothing says where its socket is".to_string(),
        };
        failed(format!("{}: {why}", target.ingress));
        wrong = true;
    }
    if wrong {
        Err(ExitCode::FAILURE)
    } else {
        Ok(())
    }
}

/// Makes a change, and tells how it ended.
pub fn make(plan: &Plan, patience: Duration) -> ExitCode {
    make_at(plan, false, patience)
}

/// The same; with `some` at some members of a group alone.
fn make_at(plan: &Plan, some: bool, patience: Duration) -> ExitCode {
    let (groups, rest) = parts(plan);
    let mut made = Vec::new();
    for (at, part) in groups {
        let outcome = decide(
            &members(at),
            &Request::Change(&|stands| follows(&part, stands, some)),
            patience,
        );
        decide::print_outcome(&format!("change {}", part.id().short()), &outcome);
        let code = match outcome {
            Outcome::Committed(..) => {
                made.push(part);
                continue;
            }
            Outcome::Rejected(_) => ExitCode::FAILURE,
            Outcome::Unfinished => ExitCode::from(UNFINISHED),
        };
        if !made.is_empty() {
            let done: Vec<&str> = made
                .iter()
                .flat_map(|p| &p.targets)
                .map(|t| t.ingress.as_str())
                .collect();
            failed(format!(
                "it was made at {} before: plan again for the rest",
                done.join(", ")
            ));
        }
        return code;
    }
    if rest.targets.is_empty() {
        return ExitCode::SUCCESS;
    }
    alone(&rest, patience)
}

/// Makes a change at ingresses that decide each for itself.
fn alone(plan: &Plan, patience: Duration) -> ExitCode {
    let mut applier = Coordinator::new(plan, micros());
    let end = drive(&mut applier, &sockets(plan), patience);
    drive::tell(&end, &applier);
    code(&end)
}

fn code(end: &End) -> ExitCode {
    match end {
        End::Made(_) => ExitCode::SUCCESS,
        End::GivenUp => ExitCode::FAILURE,
        End::Overtaken | End::Unfinished(_) => ExitCode::from(UNFINISHED),
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
    let away = unmoved(&plan)?;
    show::text(&plan);
    show::away(&away);
    meant(options.yes).map_err(failed)?;
    match options.canary {
        Some(first) if first < plan.targets.len() && first > 0 => {
            canary(&plan, first, &away, options)
        }
        _ => Ok(make(&plan, options.patience)),
    }
}

/// The sum of the figures of some ingresses.
fn figures(plan: &Plan) -> Result<IngressMetrics, ExitCode> {
    let mut sum = IngressMetrics::default();
    for (target, status) in plan.targets.iter().zip(folder::status(
        plan.targets.iter().map(|t| Path::new(&t.control)),
    )) {
        let status = status.map_err(|why| failed(format!("{}: {why}", target.ingress)))?;
        sum.merge(&status.figures);
    }
    Ok(sum)
}

fn watched(plan: &Plan, span: Duration) -> Result<IngressMetrics, ExitCode> {
    let before = figures(plan)?;
    std::thread::sleep(span);
    Ok(figures(plan)?.since(&before))
}

/// Makes a change at the first ingresses, watches them, and makes it at the others if these do no worse; else takes it back.
fn canary(
    plan: &Plan,
    first: usize,
    away: &BTreeMap<String, String>,
    options: &Options,
) -> Result<ExitCode, ExitCode> {
    let names: Vec<&str> = plan
        .targets
        .iter()
        .filter(|t| !away.contains_key(&t.ingress))
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
    let before = watched(&part, options.watch)?;
    let made = make_at(&part, true, options.patience);
    if made != ExitCode::SUCCESS {
        return Ok(made);
    }
    eprintln!(
        "watching {} for {:?} after the change",
        names.join(", "),
        options.watch
    );
    let after = watched(&part, options.watch)?;
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
        let why = format!("{:.1}% lost in place of {:.1}%", is * 100.0, was * 100.0);
        anstream::eprintln!("{} {why}: taking it back", style::bad("canary:"));
        let back = back(&part)?;
        let taken = make_at(&back, true, options.patience);
        return Ok(if taken == ExitCode::SUCCESS {
            ExitCode::FAILURE
        } else {
            taken
        });
    }
    Ok(make_at(&behind(&part, rest), true, options.patience))
}

/// The rest of a plan once its first part is made. A group numbers what all of it enforces: its members that were not among
/// the first enforce the same as before, under the first part's number.
fn behind(part: &Plan, mut rest: Plan) -> Plan {
    let grouped = |name: &str| part.groups.iter().any(|g| g.contains_key(name));
    let any = rest.targets.iter().any(|t| grouped(&t.ingress));
    for target in rest.targets.iter_mut().filter(|t| grouped(&t.ingress)) {
        target.base.number = part.generation;
    }
    rest.generation += u64::from(any);
    rest
}

/// The plan that undoes one that was just made.
fn back(plan: &Plan) -> Result<Plan, ExitCode> {
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
    let grouped = |name: &str| plan.groups.iter().any(|g| g.contains_key(name));
    let numbers = |n: usize| plan.targets.get(n).map_or(0, |t| t.base.number);
    let was = folder::recall(
        ingresses.collect(),
        &has,
        &BTreeMap::new(),
        grouped,
        numbers,
    )?;
    let made = plan::make(
        PlanHeader {
            author: plan.author.clone(),
            made_at: micros(),
            valid_for: plan.valid_for,
        },
        was,
        has,
        plan.groups.clone(),
    )?;
    made.ok_or_else(|| failed("there is nothing to take back"))
}

/// Ends what was begun. The ingresses are those of a plan, or of a folder's files.
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
    let mut worst = ExitCode::SUCCESS;
    for group in &groups {
        let outcome = decide(group, &Request::Recover, patience);
        decide::print_outcome("nothing is left undecided", &outcome);
        if !matches!(outcome, Outcome::Committed(..)) {
            worst = ExitCode::from(UNFINISHED);
        }
    }
    if at.is_empty() {
        return Ok(worst);
    }
    for ((name, _), status) in at
        .iter()
        .zip(folder::status(at.values().map(PathBuf::as_path)))
    {
        match status {
            Ok(status) => {
                if let Some(p) = status.promise {
                    changes.entry(p.change).or_insert(p.members);
                }
            }
            Err(why) => anstream::eprintln!("{} {name}: {why}", style::doubtful("not asked:")),
        }
    }
    if changes.is_empty() {
        anstream::println!(
            "{} no ingress that answers has promised a change",
            style::good("nothing to resume:")
        );
        return Ok(worst);
    }
    for (change, members) in changes {
        let mut applier = Coordinator::recover(change, members, micros());
        let end = drive(&mut applier, &at, patience);
        drive::tell(&end, &applier);
        // Given up is an end as good as another here.
        if matches!(end, End::Overtaken | End::Unfinished(_)) {
            worst = code(&end);
        }
    }
    Ok(worst)
}
