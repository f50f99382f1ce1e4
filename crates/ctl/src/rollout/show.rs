//! `wrenctl rollout status` and `watch`.

use super::make::member_metrics;
use super::page::Page;
use crate::change::folder;
use crate::group::query::query_group;
use crate::group::Sockets;
use crate::style;
use clap::Args;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::{Duration, Instant};
use wrenfork_consensus::group_state::GroupState;
use wrenfork_control_plane::clock;
use wrenfork_rollout::{Observations, Rollout, RolloutPhase, StageMonitor};

/// Interval between two updates.
const POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Exit code if a rollout was rolled back or is paused.
const NOT_COMPLETED: u8 = 1;

#[derive(Args)]
pub struct Options {
    /// The folder with the files that describe the groups
    #[arg(value_name = "DIR")]
    folder: PathBuf,
}

#[derive(Args)]
pub struct Watching {
    #[command(flatten)]
    of: Options,
    /// Writes a page with tables and a chart when the rollout of the only group there has ended or is held
    #[arg(long, value_name = "FILE")]
    page: Option<PathBuf>,
}

type Group = (String, Sockets);

/// What `watch` keeps about a group between two updates.
#[derive(Default)]
struct WatchState {
    /// The monitor of the current stage, and the version of the group state that it belongs to.
    monitor: Option<(u64, StageMonitor)>,
    page: Page,
    /// Some(true) once completed, Some(false) once rolled back or paused, none before.
    result: Option<bool>,
}

fn groups(options: &Options) -> Result<Vec<Group>, String> {
    let files = folder::read(&options.folder).map_err(|_| String::new())?;
    if files.groups.is_empty() {
        return Err("no application here has a roster: a rollout goes through a group".into());
    }
    Ok(files
        .groups
        .iter()
        .map(|(name, group)| (name.clone(), group.links("")))
        .collect())
}

/// The phase as plain text; an active stage is shown with the number of stages.
fn phase_text(rollout: &Rollout) -> String {
    match rollout.phase {
        RolloutPhase::Active { stage } => {
            format!("stage {} of {}", stage + 1, rollout.stages.len())
        }
        _ => rollout.phase.to_string(),
    }
}

/// The phase in colour, with the reason if there is one.
fn styled_phase(rollout: &Rollout) -> String {
    let phase_text = phase_text(rollout);
    let styled = match rollout.phase {
        RolloutPhase::Active { .. } | RolloutPhase::Completed => style::good(&phase_text),
        RolloutPhase::Paused { .. } => style::doubtful(&phase_text),
        RolloutPhase::RollingBack { .. } | RolloutPhase::RolledBack => style::bad(&phase_text),
    };
    if rollout.reason.is_empty() {
        styled
    } else {
        format!("{styled} ({})", rollout.reason)
    }
}

/// The name of a program without its digest, or a placeholder if it reports none.
fn program_name(program: &str) -> &str {
    program
        .split('@')
        .next()
        .filter(|name| !name.is_empty())
        .unwrap_or("a program without a name")
}

/// The committed state of a group.
fn committed_state(at: &Sockets) -> Result<Arc<GroupState>, String> {
    query_group(at)?.committed_state()
}

pub fn status(options: &Options) -> Result<ExitCode, String> {
    for (name, at) in groups(options)? {
        let state = committed_state(&at)?;
        let Some(rollout) = &state.rollout else {
            anstream::println!("{} no rollout", style::head(format!("{name}:")));
            continue;
        };
        let (id, author) = (rollout.id.short(), &rollout.author);
        anstream::println!(
            "{} change {id} by {author}: {}",
            style::head(format!("{name}:")),
            styled_phase(rollout)
        );
        let names: Vec<String> = state.policy.per_member.keys().cloned().collect();
        let (seen, new) = (member_metrics(&at, &names), rollout.updated_members());
        let mut table = style::table(&["stage", "member", "has", "notes"]);
        for (n, stage) in rollout.stages.iter().enumerate() {
            for member in stage.iter().filter(|m| seen.contains_key(*m)) {
                let has = if new.contains(member.as_str()) {
                    "new"
                } else {
                    "old"
                };
                let note = match &seen[member] {
                    Ok(t) if t.group_version < state.version => {
                        "has not learned the new state yet".to_string()
                    }
                    Ok(t) if !t.unfit_reason.is_empty() => t.unfit_reason.clone(),
                    Ok(t) if !rollout.expects_program(member, &t.program) => {
                        format!("still runs {}", program_name(&t.program))
                    }
                    Ok(t) if rollout.changes_programs() => {
                        format!("runs {}", program_name(&t.program))
                    }
                    Ok(_) => String::new(),
                    Err(reason) => format!("away: {reason}"),
                };
                table.add_row(vec![(n + 1).to_string(), member.clone(), has.into(), note]);
            }
        }
        anstream::println!("{table}");
    }
    Ok(ExitCode::SUCCESS)
}

/// Prints the status line of one group and records it for the report.
fn print_line(
    name: &str,
    at: &Sockets,
    seen: &mut WatchState,
    start: Instant,
) -> Result<(), String> {
    let state = committed_state(at)?;
    let Some(rollout) = &state.rollout else {
        return Err(format!("{name}: no rollout"));
    };
    let (mut text, monitor, mut report) = (styled_phase(rollout), &mut seen.monitor, None);
    if let RolloutPhase::Active { .. } = rollout.phase {
        if monitor.as_ref().is_none_or(|w| w.0 != state.version) {
            let fresh = StageMonitor::new(Rollout::clone(rollout), state.version, clock::now());
            *monitor = Some((state.version, fresh));
        }
        let names: Vec<String> = state.policy.per_member.keys().cloned().collect();
        if let Some((_, monitor)) = monitor {
            // Only the member that drives the rollout acts on the monitor's decision.
            let seen: Observations = member_metrics(at, &names)
                .into_iter()
                .map(|(name, metrics)| (name, metrics.ok()))
                .collect();
            let _ = monitor.observe(clock::now(), &seen);
            let s = monitor.report();
            let worst = s
                .measures
                .iter()
                .max_by(|a, b| a.wealth.total_cmp(&b.wealth));
            let worst = worst.map_or(String::new(), |worst| {
                let (m, mean, stake) = (worst.measure, worst.mean, worst.wealth);
                format!(
                    ", most doubtful: {m} {:+.2}% (stake {stake:.1})",
                    mean * 100.0
                )
            });
            let away = if s.unavailable.is_empty() {
                String::new()
            } else {
                format!(", away: {}", s.unavailable.join(", "))
            };
            let changing = match s.changing.len() {
                0 => String::new(),
                _ => format!(", changing: {}", s.changing.join(", ")),
            };
            report = Some(s.clone());
            text += &format!(
                ": {} blocks, good {:.1} of {:.0}{worst}{away}{changing}",
                s.blocks, s.good, s.needed
            );
        }
    }
    anstream::println!("{} {text}", style::head(format!("{name}:")));
    seen.page.add_sample(
        start.elapsed().as_secs_f64(),
        phase_text(rollout),
        rollout.reason.clone(),
        report,
    );
    seen.result = match rollout.phase {
        RolloutPhase::Completed => Some(true),
        RolloutPhase::RolledBack | RolloutPhase::Paused { .. } => Some(false),
        RolloutPhase::Active { .. } | RolloutPhase::RollingBack { .. } => None,
    };
    Ok(())
}

pub fn watch(options: &Watching) -> Result<ExitCode, String> {
    let groups = groups(&options.of)?;
    if options.page.is_some() && groups.len() > 1 {
        return Err("--page is for one group: name the folder of one application".into());
    }
    let mut states: Vec<WatchState> = groups.iter().map(|_| WatchState::default()).collect();
    let start = Instant::now();
    loop {
        let started = Instant::now();
        for ((name, at), seen) in groups
            .iter()
            .zip(&mut states)
            .filter(|(_, seen)| seen.result.is_none())
        {
            match print_line(name, at, seen, start) {
                Ok(()) => {}
                Err(reason) if groups.len() == 1 && reason.ends_with("no rollout") => {
                    return Err(reason)
                }
                // Members may be unreachable for a while: retry at the next update.
                Err(reason) => anstream::eprintln!("{} {reason}", style::doubtful("not known:")),
            }
        }
        if states.iter().all(|seen| seen.result.is_some()) {
            for ((name, _), seen) in groups.iter().zip(&states) {
                options
                    .page
                    .as_ref()
                    .map_or(Ok(()), |to| seen.page.write(name, to))?;
            }
            let completed = states.iter().all(|seen| seen.result == Some(true));
            return Ok(if completed {
                ExitCode::SUCCESS
            } else {
                ExitCode::from(NOT_COMPLETED)
            });
        }
        std::thread::sleep(POLL_INTERVAL.saturating_sub(started.elapsed()));
    }
}
