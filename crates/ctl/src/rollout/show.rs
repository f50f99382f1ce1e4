//! How rollouts stand.

use super::make::tallies;
use super::page::Page;
use crate::change::folder;
use crate::group::look::look;
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

/// Between two looks.
const EVERY: Duration = Duration::from_secs(1);
/// It ended with the old one everywhere, or waits for somebody.
const NOT_THROUGH: u8 = 1;

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

/// What whoever watches a group remembers.
#[derive(Default)]
struct Seen {
    /// Of the decree with that number.
    watch: Option<(u64, StageMonitor)>,
    page: Page,
    /// Whether it has ended well, or otherwise, or is held.
    end: Option<bool>,
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

fn words(record: &Rollout) -> String {
    match record.phase {
        RolloutPhase::Active { stage } => format!("stage {} of {}", stage + 1, record.stages.len()),
        _ => record.phase.to_string(),
    }
}

fn phase(record: &Rollout) -> String {
    let words = words(record);
    let styled = match record.phase {
        RolloutPhase::Active { .. } | RolloutPhase::Completed => style::good(&words),
        RolloutPhase::Paused { .. } => style::doubtful(&words),
        RolloutPhase::RollingBack { .. } | RolloutPhase::RolledBack => style::bad(&words),
    };
    if record.reason.is_empty() {
        styled
    } else {
        format!("{styled} ({})", record.reason)
    }
}

/// A program for people: its name, or that nobody says.
fn runs(program: &str) -> &str {
    program
        .split('@')
        .next()
        .filter(|name| !name.is_empty())
        .unwrap_or("what nobody names")
}

/// What is known of a group's rollout.
fn stands(at: &Sockets) -> Result<Arc<GroupState>, String> {
    look(at)?.known()
}

pub fn status(options: &Options) -> Result<ExitCode, String> {
    for (name, at) in groups(options)? {
        let decree = stands(&at)?;
        let Some(record) = &decree.rollout else {
            anstream::println!("{} no rollout", style::head(format!("{name}:")));
            continue;
        };
        let (id, author) = (record.id.short(), &record.author);
        anstream::println!(
            "{} change {id} by {author}: {}",
            style::head(format!("{name}:")),
            phase(record)
        );
        let names: Vec<String> = decree.policy.per_member.keys().cloned().collect();
        let (seen, new) = (tallies(&at, &names), record.updated_members());
        let mut table = style::table(&["stage", "member", "has", "notes"]);
        for (n, stage) in record.stages.iter().enumerate() {
            for member in stage.iter().filter(|m| seen.contains_key(*m)) {
                let has = if new.contains(member.as_str()) {
                    "new"
                } else {
                    "old"
                };
                let note = match &seen[member] {
                    Ok(t) if t.group_version < decree.version => {
                        "it has not learnt this yet".to_string()
                    }
                    Ok(t) if !t.unfit_reason.is_empty() => t.unfit_reason.clone(),
                    Ok(t) if !record.expects_program(member, &t.program) => {
                        format!("still runs {}", runs(&t.program))
                    }
                    Ok(t) if record.changes_programs() => format!("runs {}", runs(&t.program)),
                    Ok(_) => String::new(),
                    Err(why) => format!("away: {why}"),
                };
                table.add_row(vec![(n + 1).to_string(), member.clone(), has.into(), note]);
            }
        }
        anstream::println!("{table}");
    }
    Ok(ExitCode::SUCCESS)
}

/// One group's line.
fn line(name: &str, at: &Sockets, seen: &mut Seen, since: Instant) -> Result<(), String> {
    let decree = stands(at)?;
    let Some(record) = &decree.rollout else {
        return Err(format!("{name}: no rollout"));
    };
    let (mut text, watch, mut standing) = (phase(record), &mut seen.watch, None);
    if let RolloutPhase::Active { .. } = record.phase {
        if watch.as_ref().is_none_or(|w| w.0 != decree.version) {
            let fresh = StageMonitor::new(Rollout::clone(record), decree.version, clock::now());
            *watch = Some((decree.version, fresh));
        }
        let names: Vec<String> = decree.policy.per_member.keys().cloned().collect();
        if let Some((_, watch)) = watch {
            // What it would decide is the driver's to decide.
            let seen: Observations = tallies(at, &names)
                .into_iter()
                .map(|(name, tally)| (name, tally.ok()))
                .collect();
            let _ = watch.observe(clock::now(), &seen);
            let s = watch.report();
            let most = s
                .measures
                .iter()
                .max_by(|a, b| a.wealth.total_cmp(&b.wealth));
            let worst = most.map_or(String::new(), |worst| {
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
            standing = Some(s.clone());
            text += &format!(
                ": {} blocks, good {:.1} of {:.0}{worst}{away}{changing}",
                s.blocks, s.good, s.needed
            );
        }
    }
    anstream::println!("{} {text}", style::head(format!("{name}:")));
    seen.page.note(
        since.elapsed().as_secs_f64(),
        words(record),
        record.reason.clone(),
        standing,
    );
    seen.end = match record.phase {
        RolloutPhase::Completed => Some(true),
        RolloutPhase::RolledBack | RolloutPhase::Paused { .. } => Some(false),
        RolloutPhase::Active { .. } | RolloutPhase::RollingBack { .. } => None,
    };
    Ok(())
}

pub fn watch(options: &Watching) -> Result<ExitCode, String> {
    let groups = groups(&options.of)?;
    if options.page.is_some() && groups.len() > 1 {
        return Err("a page is of one group: name the folder of one application".into());
    }
    let mut all: Vec<Seen> = groups.iter().map(|_| Seen::default()).collect();
    let since = Instant::now();
    loop {
        let begun = Instant::now();
        for ((name, at), seen) in groups
            .iter()
            .zip(&mut all)
            .filter(|(_, seen)| seen.end.is_none())
        {
            match line(name, at, seen, since) {
                Ok(()) => {}
                Err(why) if groups.len() == 1 && why.ends_with("no rollout") => return Err(why),
                // Members come and go: as long as there is something to see, it is looked again.
                Err(why) => anstream::eprintln!("{} {why}", style::doubtful("not known:")),
            }
        }
        if all.iter().all(|seen| seen.end.is_some()) {
            for ((name, _), seen) in groups.iter().zip(&all) {
                options
                    .page
                    .as_ref()
                    .map_or(Ok(()), |to| seen.page.write(name, to))?;
            }
            let through = all.iter().all(|seen| seen.end == Some(true));
            return Ok(if through {
                ExitCode::SUCCESS
            } else {
                ExitCode::from(NOT_THROUGH)
            });
        }
        std::thread::sleep(EVERY.saturating_sub(begun.elapsed()));
    }
}
