//! `wrenctl plan`.

use super::folder::{self, Ingress, Status};
use super::{author, failed, micros, show, span, CHANGES};
use crate::config::Format;
use crate::style;
use clap::Args;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;
use wrenfork_config::enforced::align;
use wrenfork_config::reach::{stranded, Node};
use wrenfork_control::figures::NodeSeen;
use wrenfork_control::plan::{Danger, Plan, Seen};
use wrenfork_control::protocol::{Ask, Record};
use wrenfork_control::state::State;
use wrenfork_routes::Traits;

#[derive(Args)]
pub struct Options {
    /// The folder with the files of the site, its applications and perhaps a fleet snapshot
    #[arg(value_name = "DIR")]
    folder: PathBuf,
    /// Where to write the plan; only shown without it
    #[arg(long, value_name = "FILE")]
    out: Option<PathBuf>,
    /// For how long it may be applied
    #[arg(long, value_name = "TIME", default_value = "1h", value_parser = span)]
    good_for: Duration,
    /// Who makes it
    #[arg(long, value_name = "NAME")]
    author: Option<String>,
    /// An ingress that is not to be changed, though the files describe it; it must be planned for later
    #[arg(long, value_name = "NAME")]
    leave_out: Vec<String>,
    /// For people or for scripts
    #[arg(long, value_enum, default_value_t)]
    format: Format,
}

/// What every ingress enforces; all that hinders is told at once.
pub fn look(ingresses: &[Ingress]) -> Result<Vec<Status>, ExitCode> {
    let (mut seen, mut wrong) = (Vec::new(), false);
    let found = folder::status(ingresses.iter().map(|i| i.control.as_path()));
    for (ingress, status) in ingresses.iter().zip(found) {
        match status {
            Ok(status) => {
                if let Some(p) = &status.promise {
                    let (change, by) = (p.change.short(), &p.author);
                    failed(format!(
                        "{}: change {change} by {by} is promised and not decided: wrenctl apply --resume ends it",
                        ingress.name
                    ));
                    wrong = true;
                }
                seen.push(status);
            }
            Err(why) => {
                failed(format!("{}: {why}; --leave-out {} plans without it", ingress.name, ingress.name));
                wrong = true;
            }
        }
    }
    if wrong {
        return Err(ExitCode::FAILURE);
    }
    Ok(seen)
}

fn node(seen: &NodeSeen) -> Node<'_> {
    let NodeSeen { name, hall, model, group, takes, rests } = seen;
    Node { traits: Traits { name, hall, model, group: *group }, takes: *takes, rests }
}

/// Makes a plan for ingresses, each to enforce what is wanted of it.
pub fn make(
    who: (&str, u64, u64),
    ingresses: Vec<Ingress>,
    has: Vec<Status>,
) -> Result<Option<Plan>, ExitCode> {
    let mut seen: Vec<Seen> = Vec::with_capacity(ingresses.len());
    // The sidecars of an application tell each other what is used.
    let application = |name: &str| name.split('/').next().map(String::from);
    let mut known: Vec<((Vec<*const State>, *const _), Arc<State>)> = Vec::new();
    let aligned = ingresses.iter().map(|ingress| {
        let own = application(&ingress.name);
        let all = ingresses.iter().zip(&has).filter(|(i, _)| application(&i.name) == own);
        let mut running: Vec<&Arc<State>> = all.map(|(_, has)| &has.state).collect();
        running.dedup_by(|a, b| Arc::ptr_eq(a, b));
        // Those that are alike before and after are aligned once.
        let key: (Vec<_>, _) =
            (running.iter().map(|r| Arc::as_ptr(r)).collect(), Arc::as_ptr(&ingress.wanted));
        if let Some((_, done)) = known.iter().find(|(k, _)| *k == key) {
            return Ok::<_, ExitCode>(Arc::clone(done));
        }
        let places: Vec<_> = running.iter().map(|r| &r.0).collect();
        let aligned =
            align(&places, &ingress.wanted).map_err(|why| failed(format!("{}: {why}", ingress.name)))?;
        known.push((key, Arc::new(State(aligned))));
        Ok(known[known.len() - 1].1.clone())
    });
    let aligned = aligned.collect::<Result<Vec<_>, _>>()?;
    for ((ingress, has), wanted) in ingresses.into_iter().zip(has).zip(aligned) {
        let nodes: Vec<Node> = has.figures.nodes.iter().map(node).collect();
        let lost = stranded(&has.state.0, &wanted.0, &nodes);
        seen.push(Seen {
            besides: lost.into_iter().map(|(key, what)| Danger { key, what }).collect(),
            ingress: ingress.name,
            control: ingress.control.display().to_string(),
            base: has.generation,
            has: has.state,
            wanted,
            used: has.figures.plans,
        });
    }
    Ok(Plan::make(who, seen))
}

/// Writes a plan's file: whole or not at all.
pub fn write(plan: &Plan, to: &Path) -> Result<(), String> {
    let told = |e: std::io::Error| format!("{}: {e}", to.display());
    let folder = to.parent().filter(|p| !p.as_os_str().is_empty()).unwrap_or(Path::new("."));
    let mut file = tempfile::NamedTempFile::new_in(folder).map_err(told)?;
    file.write_all(plan.write().as_bytes()).and_then(|()| file.as_file().sync_all()).map_err(told)?;
    file.persist(to).map_err(|e| told(e.error))?;
    Ok(())
}

/// Has every ingress of a plan keep a record of what was done; one that can't has none.
pub fn note(plan: &Plan, what: &str, author: &str, why: &str) {
    let record = Record {
        at: 0,
        what: what.into(),
        author: author.into(),
        change: plan.id(),
        generation: plan.generation,
        why: why.into(),
    };
    let asks = plan.targets.iter().map(|t| (PathBuf::from(&t.control), Ask::Note { record: record.clone() }));
    super::drive::ask_all(asks.collect(), Duration::from_secs(5));
}

pub fn main(options: &Options) -> ExitCode {
    run(options).unwrap_or_else(|code| code)
}

fn run(options: &Options) -> Result<ExitCode, ExitCode> {
    let mut ingresses = folder::ingresses(&options.folder)?;
    for name in &options.leave_out {
        if ingresses.iter().all(|i| i.name != *name) {
            return Err(failed(format!("there is no ingress {name} to leave out")));
        }
    }
    ingresses.retain(|i| !options.leave_out.contains(&i.name));
    let has = look(&ingresses)?;
    let author = author(options.author.as_deref());
    let plan = make((&author, micros(), options.good_for.as_secs()), ingresses, has)?;
    let Some(plan) = plan else {
        match options.format {
            Format::Text => anstream::println!(
                "{} the ingresses enforce what the files say",
                style::good("nothing to do:")
            ),
            Format::Json => println!("{}", serde_json::json!({"change": null, "targets": []})),
        }
        return Ok(ExitCode::SUCCESS);
    };
    match options.format {
        Format::Text => show::text(&plan),
        Format::Json => show::json(&plan),
    }
    if let Some(out) = &options.out {
        write(&plan, out).map_err(failed)?;
        note(&plan, "planned", &author, "");
        if options.format == Format::Text {
            anstream::println!("written to {}; wrenctl apply {} makes it", out.display(), out.display());
        }
    }
    Ok(ExitCode::from(CHANGES))
}
