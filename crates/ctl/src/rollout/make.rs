//! Starts a rollout, and proposes the phase changes that an operator requests.

use super::{programs, terms};
use super::{Begin, Change};
use crate::change::apply::{check_no_rollout, confirm, planned, split_by_group};
use crate::change::{folder, micros, UNFINISHED};
use crate::group::decide::{decide, print_outcome, Outcome, Request};
use crate::group::query::query_group;
use crate::group::{sockets, Sockets};
use crate::style;
use std::collections::BTreeMap;
use std::process::ExitCode;
use std::time::Duration;
use wrenfork_commit::plan::Plan;
use wrenfork_consensus::group_state::GroupState;
use wrenfork_consensus::protocol::{GroupRequest, GroupResponse};
use wrenfork_control_plane::client;
use wrenfork_rollout::{assign_stages, difference, MemberMetrics, Rollback, Rollout, RolloutPhase};

/// Timeout for requesting a member's counters.
const METRICS_TIMEOUT: Duration = Duration::from_secs(2);

/// Requests the metrics of all named members at once; for a member without an answer, the reason.
pub fn member_metrics(
    sockets: &Sockets,
    names: &[String],
) -> BTreeMap<String, Result<MemberMetrics, String>> {
    let request = |name: &String| match sockets.get(name) {
        None => Err("its control socket is not known".to_string()),
        Some(path) => match client::request(path, &GroupRequest::Tally, METRICS_TIMEOUT)
            .map_err(|error| error.to_string())?
        {
            GroupResponse::Tallied(metrics) => Ok(*metrics),
            GroupResponse::Rejected { reason } => Err(reason),
            _ => Err("unexpected response".into()),
        },
    };
    std::thread::scope(|scope| {
        let requests: Vec<_> = names
            .iter()
            .map(|name| (name, scope.spawn(move || request(name))))
            .collect();
        let join = |handle: std::thread::ScopedJoinHandle<'_, _>| {
            handle
                .join()
                .unwrap_or_else(|_| Err("the request thread panicked".into()))
        };
        requests
            .into_iter()
            .map(|(name, handle)| (name.clone(), join(handle)))
            .collect()
    })
}

/// Builds the rollout of a plan on top of the current group state.
fn build_rollout(
    part: &Plan,
    current: &GroupState,
    begin: &Begin,
    zone_groups: &BTreeMap<String, String>,
) -> Result<Rollout, String> {
    check_no_rollout(current)?;
    let (scopes, policy) = terms::read(&begin.terms)?;
    let (mut changes, mut change_of) = (Vec::new(), BTreeMap::new());
    for target in &part.targets {
        let name = &target.ingress;
        let (state, wanted) = planned(part, target, current)?;
        let change = difference(&state, wanted);
        let index = changes
            .iter()
            .position(|c| *c == change)
            .unwrap_or_else(|| {
                changes.push(change);
                changes.len() - 1
            });
        change_of.insert(name.clone(), index);
    }
    if let Some(name) = current
        .policy
        .per_member
        .keys()
        .find(|name| !change_of.contains_key(*name))
    {
        return Err(format!(
            "{name} has joined the group since the plan was made: make a new plan"
        ));
    }
    let (id, author) = (part.id(), part.author.clone());
    let stages = assign_stages(&id, &scopes, zone_groups).map_err(|error| error.to_string())?;
    let rollout = Rollout {
        id,
        author,
        policy,
        stages,
        changes,
        change_of,
        phase: RolloutPhase::Active { stage: 0 },
        reason: String::new(),
    };
    rollout.validate().map_err(|error| error.to_string())?;
    Ok(rollout)
}

/// Prints the stages of a rollout and, if `start` is set, starts it.
pub fn begin(begin: &Begin, start: bool) -> Result<ExitCode, String> {
    let in_file = |e: &dyn std::fmt::Display| format!("{}: {e}", begin.plan.display());
    let text = std::fs::read_to_string(&begin.plan).map_err(|e| in_file(&e))?;
    let plan = Plan::from_file_text(&text).map_err(|e| in_file(&e))?;
    plan.check_validity(micros()).map_err(|e| in_file(&e))?;
    let (groups, rest) = split_by_group(&plan);
    let [(members, part)] = &groups[..] else {
        return Err(format!(
            "a rollout is for exactly one group, and the plan has {}",
            groups.len()
        ));
    };
    if let Some(target) = rest.targets.first() {
        return Err(format!(
            "{} belongs to no group: its change is made by wrenctl apply",
            target.ingress
        ));
    }
    let sockets = sockets(members);
    let current = query_group(&sockets)?.committed_state()?;
    let names: Vec<String> = current.policy.per_member.keys().cloned().collect();
    // The zone group of an unreachable member is unknown; such members are in the last stages.
    let zone_groups: BTreeMap<String, String> = member_metrics(&sockets, &names)
        .into_iter()
        .map(|(name, metrics)| (name, metrics.map(|m| m.zone_group).unwrap_or_default()))
        .collect();
    let rollout = build_rollout(part, &current, begin, &zone_groups)?;
    programs::check(&rollout, &begin.programs)?;
    print_stages(&rollout, &zone_groups);
    if !start {
        return Ok(ExitCode::SUCCESS);
    }
    confirm(begin.yes)?;
    let wanted = |current: &GroupState| {
        current
            .with_rollout(
                &part.author,
                build_rollout(part, current, begin, &zone_groups)?,
            )
            .map_err(|e| e.to_string())
    };
    let wanted = |current: &GroupState| {
        let next = wanted(current)?;
        current
            .check_rollout_step(&next)
            .map_err(|e| e.to_string())?;
        Ok(next)
    };
    Ok(finish(
        "stage 1",
        decide(&sockets, &Request::Change(&wanted), begin.patience),
    ))
}

/// Prints the outcome and returns the exit code.
fn finish(action: &str, outcome: Outcome) -> ExitCode {
    print_outcome(action, &outcome);
    match outcome {
        Outcome::Committed(..) => ExitCode::SUCCESS,
        Outcome::Rejected(_) => ExitCode::FAILURE,
        Outcome::Unfinished => ExitCode::from(UNFINISHED),
    }
}

/// Prints the members of each stage and the policy.
fn print_stages(rollout: &Rollout, zone_groups: &BTreeMap<String, String>) {
    let mut table = style::table(&["stage", "members", "zone groups", "names"]);
    for (number, stage) in rollout.stages.iter().enumerate() {
        let mut in_stage: Vec<&str> = stage
            .iter()
            .filter_map(|s| zone_groups.get(s))
            .map(String::as_str)
            .collect();
        in_stage.sort_unstable();
        in_stage.dedup();
        let shown = stage.iter().take(6).cloned().collect::<Vec<_>>().join(", ");
        let more = if stage.len() > 6 {
            format!(" and {} more", stage.len() - 6)
        } else {
            String::new()
        };
        let (number, count) = ((number + 1).to_string(), stage.len().to_string());
        table.add_row(vec![
            number,
            count,
            in_stage.join(", "),
            format!("{shown}{more}"),
        ]);
    }
    anstream::println!("{table}");
    let policy = &rollout.policy;
    anstream::println!(
        "each stage is watched for at least {} s; a loss of {:.1}% of the worth is detected; an equal change is stopped in \
         {:.1} of 100 rollouts; up to {} members may be unreachable",
        policy.min_watch_ms / 1_000,
        policy.regression() * 100.0,
        policy.false_alarm() * 100.0,
        policy.max_unavailable
    );
}

/// Pauses an active rollout at its stage.
pub fn pause(rollout: &Rollout) -> Result<Rollout, String> {
    match rollout.phase {
        RolloutPhase::Active { stage } => {
            Ok(rollout.with_phase(RolloutPhase::Paused { stage }, ""))
        }
        _ => Err(format!("the rollout cannot be paused: {}", rollout.phase)),
    }
}

/// Resumes a paused rollout at its stage.
pub fn resume(rollout: &Rollout) -> Result<Rollout, String> {
    match rollout.phase {
        RolloutPhase::Paused { stage } => {
            Ok(rollout.with_phase(RolloutPhase::Active { stage }, ""))
        }
        _ => Err(format!("the rollout is not paused: {}", rollout.phase)),
    }
}

/// Rolls a rollout back, in steps or at once.
pub fn stop(rollout: &Rollout, at_once: bool, reason: &str) -> Result<Rollout, String> {
    match rollout.phase {
        RolloutPhase::Active { .. } | RolloutPhase::Paused { .. } => Ok(rollout.roll_back(
            if at_once {
                Rollback::Immediate
            } else {
                Rollback::Stepwise
            },
            reason,
        )),
        RolloutPhase::RollingBack { .. } if at_once => {
            Ok(rollout.with_phase(RolloutPhase::RolledBack, reason))
        }
        _ => Err(format!(
            "the rollout can no longer be stopped: {}",
            rollout.phase
        )),
    }
}

/// Proposes a phase change of the rollout of the only group in a folder that has one under way.
pub fn step(
    change: &Change,
    action: &str,
    step: &dyn Fn(&Rollout) -> Result<Rollout, String>,
) -> Result<ExitCode, String> {
    let files = folder::read(&change.folder).map_err(|_| String::new())?;
    let mut under_way = Vec::new();
    for group in files.groups.values() {
        let sockets = group.links("");
        let current = query_group(&sockets)?.committed_state()?;
        if current.rollout.as_ref().is_some_and(|r| !r.phase.ended()) {
            under_way.push(sockets);
        }
    }
    let [sockets] = &under_way[..] else {
        return Err(match under_way.len() {
            0 => "no rollout is under way".into(),
            _ => {
                "several groups have a rollout under way: name the folder of one application".into()
            }
        });
    };
    let author = crate::change::author(None);
    let wanted = |current: &GroupState| {
        let rollout = current
            .rollout
            .as_deref()
            .ok_or("no rollout is under way")?;
        let next = step(rollout)?;
        let reason = if next.reason.is_empty() {
            change.why.clone()
        } else {
            next.reason.clone()
        };
        current
            .with_rollout(&author, Rollout { reason, ..next })
            .map_err(|e| e.to_string())
    };
    Ok(finish(
        action,
        decide(sockets, &Request::Change(&wanted), change.patience),
    ))
}
