//! `wrenctl plan`: compares the files of a folder with the state of the ingresses, and writes the plan of a change.

use super::folder::{self, Files, Ingress, Status};
use super::{author, failed, micros, show, span, CHANGES};
use crate::config::Format;
use crate::group::query::{query_group, GroupView};
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
    /// Output format, for people or for scripts
    #[arg(long, value_enum, default_value_t)]
    format: Format,
}

/// The current states of the ingresses that files describe.
pub struct CurrentStates {
    /// The ingresses that can be planned for.
    pub planned: Vec<Ingress>,
    /// The status of each, in the same order. For an unreachable group member it has the state of the group.
    pub has: Vec<Status>,
    /// Group members that do not answer, with the reason.
    pub unreachable: BTreeMap<String, String>,
    /// Per group, the control socket of each member.
    pub groups: Vec<BTreeMap<String, String>>,
}

/// Number of queries, and the delay between them, while a group has an undecided proposal.
const MAX_QUERIES: u32 = 10;
const QUERY_INTERVAL: Duration = Duration::from_millis(300);

/// Queries a group until it has no undecided proposal.
fn query_decided(at: &Sockets) -> Result<(GroupView, Arc<GroupState>), String> {
    for _ in 0..MAX_QUERIES {
        let seen = query_group(at)?;
        let group_states = seen.committed_state()?;
        if !seen.has_pending() {
            return Ok((seen, group_states));
        }
        std::thread::sleep(QUERY_INTERVAL);
    }
    Err(
        "the group has an undecided proposal: try again, or complete it with wrenctl apply --resume"
            .into(),
    )
}

/// The error, after the member's name, if a group member is to be left out.
pub const IN_A_GROUP: &str =
    "belongs to a group, which decides for all of its members: one that is away is shut out until it is back";

/// Queries the current state of all ingresses. Prints all errors before it returns the exit code.
pub fn query_ingresses(files: Files) -> Result<CurrentStates, ExitCode> {
    let (mut failed_any, mut unreachable, mut groups) = (false, BTreeMap::new(), Vec::new());
    // The state of each group member, as the group decided it.
    let mut group_states: BTreeMap<String, (Generation, Arc<State>)> = BTreeMap::new();
    let mut report = |reason: String| {
        failed(reason);
        failed_any = true;
    };
    let mut states: BTreeMap<Digest, Arc<State>> = BTreeMap::new();
    for (app, group) in &files.groups {
        let at = group.links("");
        let (seen, state) = match query_decided(&at) {
            Ok(seen) => seen,
            Err(reason) => {
                report(format!("{app}: {reason}"));
                continue;
            }
        };
        for member in &state.membership.members {
            if !at.contains_key(&member.name) {
                let name = &member.name;
                report(format!(
                    "{name} is in the roster and not in the files: wrenctl roster remove {name}"
                ));
            }
            if let Some((generation, state)) = state.enforced_by(&member.name) {
                // Most members have equal states, which are shared.
                let state = states
                    .entry(generation.digest.clone())
                    .or_insert_with(|| Arc::new(state))
                    .clone();
                group_states.insert(member.name.clone(), (generation, state));
            }
        }
        let members = |name: &String| state.membership.member(name).is_some();
        unreachable.extend(
            seen.unreachable
                .into_iter()
                .filter(|(name, _)| members(name)),
        );
        groups.push(
            at.iter()
                .map(|(name, path)| (name.clone(), path.display().to_string()))
                .collect(),
        );
    }
    let in_group: BTreeSet<String> = files
        .ingresses
        .iter()
        .filter(|i| files.group_of(&i.name).is_some())
        .map(|i| i.name.clone())
        .collect();
    let (members, strangers): (Vec<_>, Vec<_>) = files
        .ingresses
        .into_iter()
        .partition(|i| !in_group.contains(&i.name) || group_states.contains_key(&i.name));
    if failed_any {
        return Err(ExitCode::FAILURE);
    }
    for ingress in strangers {
        let name = ingress.name;
        anstream::eprintln!(
            "{} {name} is not in the roster: wrenctl roster add {name}",
            style::doubtful("left out:")
        );
    }
    let mut has = query_statuses(&members, &group_states, &unreachable)?;
    for (ingress, status) in members.iter().zip(&mut has) {
        if let Some((generation, state)) = group_states.get(&ingress.name) {
            (status.generation, status.state) = (generation.clone(), state.clone());
        }
    }
    Ok(CurrentStates {
        planned: members,
        has,
        unreachable,
        groups,
    })
}

/// Requests the status of ingresses. For an unreachable group member only the group's state is known.
fn query_statuses(
    ingresses: &[Ingress],
    group_states: &BTreeMap<String, (Generation, Arc<State>)>,
    unreachable: &BTreeMap<String, String>,
) -> Result<Vec<Status>, ExitCode> {
    let (mut seen, mut failed_any) = (Vec::new(), false);
    let reachable = ingresses
        .iter()
        .filter(|i| !unreachable.contains_key(&i.name));
    let mut found = folder::status(reachable.map(|i| i.control.as_path())).into_iter();
    for ingress in ingresses {
        let status = match unreachable.get(&ingress.name) {
            Some(reason) => Err(reason.clone()),
            None => found
                .next()
                .unwrap_or_else(|| Err("no status was requested".into())),
        };
        let known = group_states.get(&ingress.name);
        match (status, known) {
            (Ok(status), Some(_)) => seen.push(status),
            (Err(_), Some((generation, state))) => seen.push(Status {
                generation: generation.clone(),
                state: state.clone(),
                prepared: None,
                metrics: IngressMetrics::default(),
            }),
            (Ok(status), None) => {
                if let Some(vote) = &status.prepared {
                    let (change, by) = (vote.change.short(), &vote.author);
                    failed(format!(
                        "{}: change {change} by {by} is prepared and not decided: complete it with wrenctl apply --resume",
                        ingress.name
                    ));
                    failed_any = true;
                }
                seen.push(status);
            }
            (Err(reason), None) => {
                failed(format!(
                    "{}: {reason}; --leave-out {} plans without it",
                    ingress.name, ingress.name
                ));
                failed_any = true;
            }
        }
    }
    if failed_any {
        return Err(ExitCode::FAILURE);
    }
    Ok(seen)
}

fn node(seen: &ObservedNode) -> Node<'_> {
    let ObservedNode {
        name,
        zone_group,
        model,
        group,
        accepting,
        ejected_for,
    } = seen;
    Node {
        labels: NodeLabels {
            name,
            zone_group,
            machine_type: model,
            cell: *group,
        },
        available: *accepting,
        ejected_for,
    }
}

/// Makes a plan that brings each ingress to its wanted state; none if nothing changes.
pub fn make(
    header: PlanHeader,
    ingresses: Vec<Ingress>,
    has: Vec<Status>,
    groups: Vec<BTreeMap<String, String>>,
) -> Result<Option<Plan>, ExitCode> {
    let mut seen: Vec<IngressSnapshot> = Vec::with_capacity(ingresses.len());
    // States are aligned per application, as its sidecars exchange what is used.
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
        // Ingresses with the same states before and after are aligned only once.
        let key: (Vec<_>, _) = (
            running.iter().map(|r| Arc::as_ptr(r)).collect(),
            Arc::as_ptr(&ingress.wanted),
        );
        if let Some((_, done)) = known.iter().find(|(k, _)| *k == key) {
            return Ok::<_, ExitCode>(Arc::clone(done));
        }
        let pairs: Vec<_> = running.iter().map(|r| &r.0).collect();
        let aligned = align(&pairs, &ingress.wanted)
            .map_err(|reason| failed(format!("{}: {reason}", ingress.name)))?;
        known.push((key, Arc::new(State(aligned))));
        Ok(known[known.len() - 1].1.clone())
    });
    let aligned = aligned.collect::<Result<Vec<_>, _>>()?;
    for ((ingress, has), wanted) in ingresses.into_iter().zip(has).zip(aligned) {
        let nodes: Vec<Node> = has.metrics.nodes.iter().map(node).collect();
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
            usage: has.metrics.plans,
        });
    }
    Ok(Plan::make(header, seen).map(|plan| Plan { groups, ..plan }.restricted_to(|_| true)))
}

/// Writes the plan file atomically.
pub fn write(plan: &Plan, to: &Path) -> Result<(), String> {
    let error_at = |e: std::io::Error| format!("{}: {e}", to.display());
    let folder = to
        .parent()
        .filter(|vote| !vote.as_os_str().is_empty())
        .unwrap_or(Path::new("."));
    let mut file = tempfile::NamedTempFile::new_in(folder).map_err(error_at)?;
    file.write_all(plan.to_file_text().as_bytes())
        .and_then(|()| file.as_file().sync_all())
        .map_err(error_at)?;
    file.persist(to).map_err(|e| error_at(e.error))?;
    Ok(())
}

/// Appends an audit record at every reachable ingress of a plan. Failures are ignored.
pub fn append_records(
    plan: &Plan,
    unreachable: &BTreeMap<String, String>,
    event: &str,
    author: &str,
    reason: &str,
) {
    let record = AuditRecord {
        at: 0,
        event: event.into(),
        author: author.into(),
        change: plan.id(),
        generation: plan.generation,
        detail: reason.into(),
    };
    let reachable = plan
        .targets
        .iter()
        .filter(|t| !unreachable.contains_key(&t.ingress));
    let requests = reachable.map(|t| {
        (
            PathBuf::from(&t.control),
            CommitRequest::AppendRecord {
                record: record.clone(),
            },
        )
    });
    super::drive::request_all(requests.collect(), Duration::from_secs(5));
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
    let current = query_ingresses(files)?;
    let author = author(options.author.as_deref());
    let plan = make(
        PlanHeader {
            author: author.clone(),
            made_at: micros(),
            valid_for: options.good_for.as_secs(),
        },
        current.planned,
        current.has,
        current.groups,
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
            show::away(&current.unreachable);
        }
        Format::Json => show::json(&plan, &current.unreachable),
    }
    if let Some(out) = &options.out {
        write(&plan, out).map_err(failed)?;
        append_records(&plan, &current.unreachable, "planned", &author, "");
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
