//! `wrenctl plan`.

use super::folder::{self, Files, Ingress, Status};
use super::{author, failed, micros, show, span, CHANGES};
use crate::config::Format;
use crate::group::look::{look as look_at, Look};
use crate::group::Sockets;
use crate::style;
use clap::Args;
use std::collections::{BTreeMap, BTreeSet};
use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;
use wrenfork_commit::metrics::{IngressMetrics, ObservedNode};
use wrenfork_commit::plan::{Danger, IngressSnapshot, Plan, PlanHeader};
use wrenfork_commit::protocol::{AuditRecord, CommitRequest};
use wrenfork_commit::state::{Digest, Generation, State};
use wrenfork_config::enforced::align;
use wrenfork_config::reach::{classes_losing_nodes, Node};
use wrenfork_consensus::group_state::GroupState;
use wrenfork_routes::NodeLabels;

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

/// What stands at the ingresses that files describe.
pub struct Found {
    /// Those that can be planned for.
    pub ingresses: Vec<Ingress>,
    /// What each enforces, or is to enforce as soon as it is back.
    pub has: Vec<Status>,
    /// Members of groups that do not answer, and why.
    pub away: BTreeMap<String, String>,
    /// The sockets of the groups' members.
    pub groups: Vec<BTreeMap<String, String>>,
}

/// How often, and after which pause, it is looked again at a group that is deciding something.
const LOOKS: u32 = 10;
const LOOK_AGAIN: Duration = Duration::from_millis(300);

/// What stands in a group, once nothing is being decided there.
fn settled(at: &Sockets) -> Result<(Look, Arc<GroupState>), String> {
    for _ in 0..LOOKS {
        let seen = look_at(at)?;
        let stands = seen.known()?;
        if !seen.pending() {
            return Ok((seen, stands));
        }
        std::thread::sleep(LOOK_AGAIN);
    }
    Err(
        "something is being decided there: try again, or wrenctl apply --resume settles it at once"
            .into(),
    )
}

/// Why a member of a group can't be left out.
pub const IN_A_GROUP: &str =
    "belongs to a group, which decides for all of its members: one that is away is shut out until it is back";

/// What every ingress enforces; all that hinders is told at once.
pub fn look(files: Files) -> Result<Found, ExitCode> {
    let (mut wrong, mut away, mut groups) = (false, BTreeMap::new(), Vec::new());
    // What stands at each member of a group, as the group says.
    let mut stands: BTreeMap<String, (Generation, Arc<State>)> = BTreeMap::new();
    let mut refuse = |why: String| {
        failed(why);
        wrong = true;
    };
    let mut states: BTreeMap<Digest, Arc<State>> = BTreeMap::new();
    for (app, group) in &files.groups {
        let at = group.links("");
        let (seen, decree) = match settled(&at) {
            Ok(seen) => seen,
            Err(why) => {
                refuse(format!("{app}: {why}"));
                continue;
            }
        };
        for seat in &decree.membership.members {
            if !at.contains_key(&seat.name) {
                let name = &seat.name;
                refuse(format!(
                    "{name} is in the roster and not in the files: wrenctl roster remove {name}"
                ));
            }
            if let Some((generation, state)) = decree.enforced_by(&seat.name) {
                // Most members enforce the same, which is kept once.
                let state = states
                    .entry(generation.digest.clone())
                    .or_insert_with(|| Arc::new(state))
                    .clone();
                stands.insert(seat.name.clone(), (generation, state));
            }
        }
        let seated = |name: &String| decree.membership.member(name).is_some();
        away.extend(seen.away.into_iter().filter(|(name, _)| seated(name)));
        groups.push(
            at.iter()
                .map(|(name, path)| (name.clone(), path.display().to_string()))
                .collect(),
        );
    }
    let grouped: BTreeSet<String> = files
        .ingresses
        .iter()
        .filter(|i| files.group_of(&i.name).is_some())
        .map(|i| i.name.clone())
        .collect();
    let (seated, unseated): (Vec<_>, Vec<_>) = files
        .ingresses
        .into_iter()
        .partition(|i| !grouped.contains(&i.name) || stands.contains_key(&i.name));
    if wrong {
        return Err(ExitCode::FAILURE);
    }
    for ingress in unseated {
        let name = ingress.name;
        anstream::eprintln!(
            "{} {name} is not in the roster: wrenctl roster add {name}",
            style::doubtful("left out:")
        );
    }
    let mut has = standing(&seated, &stands, &away)?;
    for (ingress, status) in seated.iter().zip(&mut has) {
        if let Some((generation, state)) = stands.get(&ingress.name) {
            (status.generation, status.state) = (generation.clone(), state.clone());
        }
    }
    Ok(Found {
        ingresses: seated,
        has,
        away,
        groups,
    })
}

/// What ingresses say of themselves. Of a member of a group that is away it is known what stands there, and nothing else.
fn standing(
    ingresses: &[Ingress],
    stands: &BTreeMap<String, (Generation, Arc<State>)>,
    away: &BTreeMap<String, String>,
) -> Result<Vec<Status>, ExitCode> {
    let (mut seen, mut wrong) = (Vec::new(), false);
    let asked = ingresses.iter().filter(|i| !away.contains_key(&i.name));
    let mut found = folder::status(asked.map(|i| i.control.as_path())).into_iter();
    for ingress in ingresses {
        let status = match away.get(&ingress.name) {
            Some(why) => Err(why.clone()),
            None => found
                .next()
                .unwrap_or_else(|| Err("it was not asked".into())),
        };
        let known = stands.get(&ingress.name);
        match (status, known) {
            (Ok(status), Some(_)) => seen.push(status),
            (Err(_), Some((generation, state))) => seen.push(Status {
                generation: generation.clone(),
                state: state.clone(),
                promise: None,
                figures: IngressMetrics::default(),
            }),
            (Ok(status), None) => {
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
            (Err(why), None) => {
                failed(format!(
                    "{}: {why}; --leave-out {} plans without it",
                    ingress.name, ingress.name
                ));
                wrong = true;
            }
        }
    }
    if wrong {
        return Err(ExitCode::FAILURE);
    }
    Ok(seen)
}

fn node(seen: &ObservedNode) -> Node<'_> {
    let ObservedNode {
        name,
        zone_group: hall,
        model,
        group,
        accepting,
        ejected_for,
    } = seen;
    Node {
        labels: NodeLabels {
            name,
            zone_group: hall,
            machine_type: model,
            cell: *group,
        },
        available: *accepting,
        ejected_for,
    }
}

/// Makes a plan for ingresses, each to enforce what is wanted of it.
pub fn make(
    header: PlanHeader,
    ingresses: Vec<Ingress>,
    has: Vec<Status>,
    groups: Vec<BTreeMap<String, String>>,
) -> Result<Option<Plan>, ExitCode> {
    let mut seen: Vec<IngressSnapshot> = Vec::with_capacity(ingresses.len());
    // The sidecars of an application tell each other what is used.
    let application = |name: &str| name.split('/').next().map(String::from);
    let mut known: Vec<((Vec<*const State>, *const _), Arc<State>)> = Vec::new();
    let aligned = ingresses.iter().map(|ingress| {
        let own = application(&ingress.name);
        let all = ingresses
            .iter()
            .zip(&has)
            .filter(|(i, _)| application(&i.name) == own);
        let mut running: Vec<&Arc<State>> = all.map(|(_, has)| &has.state).collect();
        running.dedup_by(|a, b| Arc::ptr_eq(a, b));
        // Those that are alike before and after are aligned once.
        let key: (Vec<_>, _) = (
            running.iter().map(|r| Arc::as_ptr(r)).collect(),
            Arc::as_ptr(&ingress.wanted),
        );
        if let Some((_, done)) = known.iter().find(|(k, _)| *k == key) {
            return Ok::<_, ExitCode>(Arc::clone(done));
        }
        let places: Vec<_> = running.iter().map(|r| &r.0).collect();
        let aligned = align(&places, &ingress.wanted)
            .map_err(|why| failed(format!("{}: {why}", ingress.name)))?;
        known.push((key, Arc::new(State(aligned))));
        Ok(known[known.len() - 1].1.clone())
    });
    let aligned = aligned.collect::<Result<Vec<_>, _>>()?;
    for ((ingress, has), wanted) in ingresses.into_iter().zip(has).zip(aligned) {
        let nodes: Vec<Node> = has.figures.nodes.iter().map(node).collect();
        let lost = classes_losing_nodes(&has.state.0, &wanted.0, &nodes);
        seen.push(IngressSnapshot {
            extra_dangers: lost
                .into_iter()
                .map(|(key, what)| Danger {
                    key,
                    description: what,
                })
                .collect(),
            ingress: ingress.name,
            control: ingress.control.display().to_string(),
            base: has.generation,
            current: has.state,
            wanted,
            usage: has.figures.plans,
        });
    }
    Ok(Plan::make(header, seen).map(|plan| Plan { groups, ..plan }.restricted_to(|_| true)))
}

/// Writes a plan's file: whole or not at all.
pub fn write(plan: &Plan, to: &Path) -> Result<(), String> {
    let told = |e: std::io::Error| format!("{}: {e}", to.display());
    let folder = to
        .parent()
        .filter(|p| !p.as_os_str().is_empty())
        .unwrap_or(Path::new("."));
    let mut file = tempfile::NamedTempFile::new_in(folder).map_err(told)?;
    file.write_all(plan.to_file_text().as_bytes())
        .and_then(|()| file.as_file().sync_all())
        .map_err(told)?;
    file.persist(to).map_err(|e| told(e.error))?;
    Ok(())
}

/// Has every ingress of a plan that is not away keep a record of what was done; one that can't has none.
pub fn note(plan: &Plan, away: &BTreeMap<String, String>, what: &str, author: &str, why: &str) {
    let record = AuditRecord {
        at: 0,
        event: what.into(),
        author: author.into(),
        change: plan.id(),
        generation: plan.generation,
        detail: why.into(),
    };
    let there = plan
        .targets
        .iter()
        .filter(|t| !away.contains_key(&t.ingress));
    let asks = there.map(|t| {
        (
            PathBuf::from(&t.control),
            CommitRequest::AppendRecord {
                record: record.clone(),
            },
        )
    });
    super::drive::ask_all(asks.collect(), Duration::from_secs(5));
}

pub fn main(options: &Options) -> ExitCode {
    run(options).unwrap_or_else(|code| code)
}

fn run(options: &Options) -> Result<ExitCode, ExitCode> {
    let mut files = folder::read(&options.folder)?;
    for name in &options.leave_out {
        if files.ingresses.iter().all(|i| i.name != *name) {
            return Err(failed(format!("there is no ingress {name} to leave out")));
        }
        if files.group_of(name).is_some() {
            return Err(failed(format!("{name} {IN_A_GROUP}")));
        }
    }
    files
        .ingresses
        .retain(|i| !options.leave_out.contains(&i.name));
    let found = look(files)?;
    let author = author(options.author.as_deref());
    let plan = make(
        PlanHeader {
            author: author.clone(),
            made_at: micros(),
            valid_for: options.good_for.as_secs(),
        },
        found.ingresses,
        found.has,
        found.groups,
    )?;
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
        Format::Text => {
            show::text(&plan);
            show::away(&found.away);
        }
        Format::Json => show::json(&plan, &found.away),
    }
    if let Some(out) = &options.out {
        write(&plan, out).map_err(failed)?;
        note(&plan, &found.away, "planned", &author, "");
        if options.format == Format::Text {
            anstream::println!(
                "written to {}; wrenctl apply {} makes it",
                out.display(),
                out.display()
            );
        }
    }
    Ok(ExitCode::from(CHANGES))
}
