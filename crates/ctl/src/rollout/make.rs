//! Begins a rollout, and has it take a step that somebody wants.

use super::{programs, terms};
use super::{Begin, Change};
use crate::change::apply::{meant, none_under_way, parts, planned};
use crate::change::{folder, micros, UNFINISHED};
use crate::group::decide::{decide, tell, Outcome, Wanted};
use crate::group::look::look;
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

/// How long a member may take to tell what it counted.
const PATIENCE: Duration = Duration::from_secs(2);

/// What each member tells of itself, all asked at once.
pub fn tallies(at: &Sockets, names: &[String]) -> BTreeMap<String, Result<MemberMetrics, String>> {
    let ask = |name: &String| match at.get(name) {
        None => Err("nothing says where its socket is".to_string()),
        Some(path) => match client::request(path, &GroupRequest::Tally, PATIENCE)
            .map_err(|error| error.to_string())?
        {
            GroupResponse::Tallied(tally) => Ok(*tally),
            GroupResponse::Rejected { reason: why } => Err(why),
            _ => Err("it answers something else".into()),
        },
    };
    std::thread::scope(|scope| {
        let asked: Vec<_> = names
            .iter()
            .map(|name| (name, scope.spawn(move || ask(name))))
            .collect();
        let told = |one: std::thread::ScopedJoinHandle<'_, _>| {
            one.join().unwrap_or_else(|_| Err("the ask ended".into()))
        };
        asked
            .into_iter()
            .map(|(name, one)| (name.clone(), told(one)))
            .collect()
    })
}

/// The rollout that a plan begins behind what stands.
fn record(
    part: &Plan,
    stands: &GroupState,
    begin: &Begin,
    halls: &BTreeMap<String, String>,
) -> Result<Rollout, String> {
    none_under_way(stands)?;
    let (reach, terms) = terms::read(&begin.terms)?;
    let (mut changes, mut of) = (Vec::new(), BTreeMap::new());
    for target in &part.targets {
        let name = &target.ingress;
        let (state, wanted) = planned(part, target, stands)?;
        let change = difference(&state, wanted);
        let place = changes
            .iter()
            .position(|c| *c == change)
            .unwrap_or_else(|| {
                changes.push(change);
                changes.len() - 1
            });
        of.insert(name.clone(), place);
    }
    if let Some(name) = stands
        .policy
        .per_member
        .keys()
        .find(|name| !of.contains_key(*name))
    {
        return Err(format!(
            "{name} has come into the roster since the plan was made: make it anew"
        ));
    }
    let (id, author) = (part.id(), part.author.clone());
    let stages = assign_stages(&id, &reach, halls).map_err(|error| error.to_string())?;
    let record = Rollout {
        id,
        author,
        policy: terms,
        stages,
        changes,
        change_of: of,
        phase: RolloutPhase::Active { stage: 0 },
        reason: String::new(),
    };
    record.validate().map_err(|error| error.to_string())?;
    Ok(record)
}

/// Shows a rollout before it begins, and begins it.
pub fn begin(begin: &Begin, start: bool) -> Result<ExitCode, String> {
    let told = |e: &dyn std::fmt::Display| format!("{}: {e}", begin.plan.display());
    let text = std::fs::read_to_string(&begin.plan).map_err(|e| told(&e))?;
    let plan = Plan::from_file_text(&text).map_err(|e| told(&e))?;
    plan.check_validity(micros()).map_err(|e| told(&e))?;
    let (groups, rest) = parts(&plan);
    let [(members, part)] = &groups[..] else {
        return Err(format!(
            "a rollout goes through one group, and the plan has {}",
            groups.len()
        ));
    };
    if let Some(target) = rest.targets.first() {
        return Err(format!(
            "{} belongs to no group: its change is made by wrenctl apply",
            target.ingress
        ));
    }
    let at = sockets(members);
    let stands = look(&at)?.known()?;
    let names: Vec<String> = stands.policy.per_member.keys().cloned().collect();
    // A member that is away stands in no hall that is known, and comes last.
    let halls: BTreeMap<String, String> = tallies(&at, &names)
        .into_iter()
        .map(|(name, tally)| (name, tally.map(|t| t.zone_group).unwrap_or_default()))
        .collect();
    let first = record(part, &stands, begin, &halls)?;
    programs::check(&first, &begin.programs)?;
    stages_of(&first, &halls);
    if !start {
        return Ok(ExitCode::SUCCESS);
    }
    meant(begin.yes)?;
    let wanted = |stands: &GroupState| {
        stands
            .with_rollout(&part.author, record(part, stands, begin, &halls)?)
            .map_err(|e| e.to_string())
    };
    let wanted = |stands: &GroupState| {
        let next = wanted(stands)?;
        stands
            .check_rollout_step(&next)
            .map_err(|e| e.to_string())?;
        Ok(next)
    };
    Ok(end(
        "stage 1",
        decide(&at, &Wanted::Decree(&wanted), begin.patience),
    ))
}

fn end(what: &str, outcome: Outcome) -> ExitCode {
    tell(what, &outcome);
    match outcome {
        Outcome::Made(..) => ExitCode::SUCCESS,
        Outcome::Refused(_) => ExitCode::FAILURE,
        Outcome::Unfinished => ExitCode::from(UNFINISHED),
    }
}

/// Who gets the new one when.
fn stages_of(record: &Rollout, halls: &BTreeMap<String, String>) {
    let mut table = style::table(&["stage", "members", "halls", "they are"]);
    for (n, stage) in record.stages.iter().enumerate() {
        let mut in_halls: Vec<&str> = stage
            .iter()
            .filter_map(|s| halls.get(s))
            .map(String::as_str)
            .collect();
        in_halls.sort_unstable();
        in_halls.dedup();
        let shown = stage.iter().take(6).cloned().collect::<Vec<_>>().join(", ");
        let more = if stage.len() > 6 {
            format!(" and {} more", stage.len() - 6)
        } else {
            String::new()
        };
        let (n, many) = ((n + 1).to_string(), stage.len().to_string());
        table.add_row(vec![n, many, in_halls.join(", "), format!("{shown}{more}")]);
    }
    anstream::println!("{table}");
    let t = &record.policy;
    anstream::println!(
        "each watched for {} s at the least; a loss of {:.1}% of the worth is found, an equal stopped in {:.1} of 100; {} \
         may be away",
        t.min_watch_ms / 1_000,
        t.regression() * 100.0,
        t.false_alarm() * 100.0,
        t.max_unavailable
    );
}

/// Holds it.
pub fn held(record: &Rollout) -> Result<Rollout, String> {
    match record.phase {
        RolloutPhase::Active { stage } => Ok(record.with_phase(RolloutPhase::Paused { stage }, "")),
        _ => Err(format!("it can't be held: {}", record.phase)),
    }
}

/// Lets it go on.
pub fn resumed(record: &Rollout) -> Result<Rollout, String> {
    match record.phase {
        RolloutPhase::Paused { stage } => Ok(record.with_phase(RolloutPhase::Active { stage }, "")),
        _ => Err(format!("it is not held: {}", record.phase)),
    }
}

/// Stops it.
pub fn stopped(record: &Rollout, at_once: bool, why: &str) -> Result<Rollout, String> {
    match record.phase {
        RolloutPhase::Active { .. } | RolloutPhase::Paused { .. } => Ok(record.roll_back(
            if at_once {
                Rollback::Immediate
            } else {
                Rollback::Stepwise
            },
            why,
        )),
        RolloutPhase::RollingBack { .. } if at_once => {
            Ok(record.with_phase(RolloutPhase::RolledBack, why))
        }
        _ => Err(format!(
            "it is not to be stopped any more: {}",
            record.phase
        )),
    }
}

/// Has the rollout of a folder's group take a step.
pub fn step(
    change: &Change,
    what: &str,
    step: &dyn Fn(&Rollout) -> Result<Rollout, String>,
) -> Result<ExitCode, String> {
    let files = folder::read(&change.folder).map_err(|_| String::new())?;
    let mut under_way = Vec::new();
    for group in files.groups.values() {
        let at = group.links("");
        let stands = look(&at)?.known()?;
        if stands.rollout.as_ref().is_some_and(|r| !r.phase.ended()) {
            under_way.push(at);
        }
    }
    let [at] = &under_way[..] else {
        return Err(match under_way.len() {
            0 => "no rollout is under way".into(),
            _ => {
                "several groups have a rollout under way: name the folder of one application".into()
            }
        });
    };
    let author = crate::change::author(None);
    let wanted = |stands: &GroupState| {
        let record = stands.rollout.as_deref().ok_or("no rollout is under way")?;
        let next = step(record)?;
        let why = if next.reason.is_empty() {
            change.why.clone()
        } else {
            next.reason.clone()
        };
        stands
            .with_rollout(
                &author,
                Rollout {
                    reason: why,
                    ..next
                },
            )
            .map_err(|e| e.to_string())
    };
    Ok(end(
        what,
        decide(at, &Wanted::Decree(&wanted), change.patience),
    ))
}
