//! Reads a folder of configuration files: the ingresses that it describes and the state that each should enforce.

use super::drive;
use crate::config::print;
use std::collections::{BTreeMap, HashMap};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;
use wrenfork_commit::metrics::IngressMetrics;
use wrenfork_commit::protocol::PreparedVote;
use wrenfork_commit::protocol::{CommitRequest, CommitResponse};
use wrenfork_commit::state::{Digest, Generation, State};
use wrenfork_config::enforced::{self, Pairs};
use wrenfork_config::group::{self, Group};
use wrenfork_config::set::Set;

/// Timeout for asking an ingress for its state.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// Number of states requested concurrently. Limits memory, as each may be several megabytes.
const MAX_CONCURRENT_STATES: usize = 4;

/// Deduplicates states: the sidecars of an application usually have equal ones.
fn shared(all: &mut Vec<Arc<Pairs>>, state: Pairs) -> Arc<Pairs> {
    if let Some(same) = all.iter().find(|known| ***known == state) {
        return same.clone();
    }
    all.push(Arc::new(state));
    all[all.len() - 1].clone()
}

/// An ingress, its control socket and the state that it should enforce.
pub struct Ingress {
    pub name: String,
    pub control: PathBuf,
    pub wanted: Arc<Pairs>,
}

/// The ingresses and groups of a folder's files.
pub struct Files {
    /// The ingresses that have a control socket, ordered by name.
    pub ingresses: Vec<Ingress>,
    /// The groups that decide by a majority, by application name.
    pub groups: BTreeMap<String, Group>,
}

impl Files {
    /// The group that an ingress belongs to, if any.
    pub fn group_of(&self, ingress: &str) -> Option<&Group> {
        self.groups
            .values()
            .find(|g| g.members.iter().any(|m| m.name == ingress))
    }
}

/// The status that an ingress reports.
#[derive(Clone)]
pub struct Status {
    pub generation: Generation,
    pub state: Arc<State>,
    pub prepared: Option<PreparedVote>,
    pub metrics: IngressMetrics,
}

/// The `.toml` and `.json` files directly in a folder.
fn list_files(folder: &Path) -> Result<Vec<PathBuf>, String> {
    let told = |e: std::io::Error| format!("{}: {e}", folder.display());
    let all = std::fs::read_dir(folder).map_err(told)?;
    let mut files = Vec::new();
    for entry in all {
        let path = entry.map_err(told)?.path();
        if path.extension().is_some_and(|e| e == "toml" || e == "json") {
            files.push(path);
        }
    }
    files.sort();
    if files.is_empty() {
        return Err(format!(
            "{}: no configuration files (*.toml, *.json) in this folder",
            folder.display()
        ));
    }
    Ok(files)
}

/// Reads the files of a folder. Ingresses without a control socket are skipped.
///
/// # Errors
///
/// With the exit code, if the files have errors or describe no ingress. The reason has been printed.
pub fn read(folder: &Path) -> Result<Files, ExitCode> {
    let set = Set::read(list_files(folder).map_err(super::failed)?);
    if set.refused() {
        print::text(&set);
        return Err(ExitCode::FAILURE);
    }
    let Some(site) = set.site() else {
        return Err(super::failed(format!(
            "{}: no site file in this folder",
            folder.display()
        )));
    };
    let fleet = set.fleet().map(|f| f.content);
    let (mut ingresses, mut all) = (Vec::<Ingress>::new(), Vec::new());
    let mut groups = BTreeMap::new();
    for app in set.applications() {
        if let Some(group) = group::group(app.content) {
            groups.insert(app.content.display_name().to_string(), group);
        }
        for sidecar in &app.content.sidecars {
            let Some(control) = &sidecar.control else {
                continue;
            };
            let name = &sidecar.name.value;
            let (_, enforced_state) =
                enforced::sidecar(app.content, site.content, fleet, name).map_err(super::failed)?;
            ingresses.push(Ingress {
                name: app.content.member_name(name),
                control: PathBuf::from(&control.value),
                wanted: shared(&mut all, enforced_state.state),
            });
        }
    }
    if ingresses.is_empty() {
        return Err(super::failed(format!(
            "{}: no sidecar has a control socket: give each one `control = \"/path\"`",
            folder.display()
        )));
    }
    ingresses.sort_by(|a, b| a.name.cmp(&b.name));
    Ok(Files { ingresses, groups })
}

/// Converts the state of one ingress to that of another, by applying the differences between `from` and `to`: two states
/// of the same ingresses from another source.
pub fn transfer(state: &Pairs, from: &Pairs, to: &Pairs) -> Pairs {
    let mut result = state.clone();
    result.retain(|key, _| !from.contains_key(key) || to.contains_key(key));
    let differs = to.iter().filter(|(k, v)| from.get(*k) != Some(v));
    result.extend(differs.map(|(k, v)| (k.clone(), v.clone())));
    result
}

/// Sets the wanted state of each ingress to the one that it enforced at an earlier generation; `has` is what each enforces
/// now. For a group member that is unreachable, or was at that generation, it is derived from another member of its
/// application.
///
/// # Errors
///
/// With the exit code, if a state is no longer known. The reason has been printed.
pub fn past_states(
    ingresses: Vec<Ingress>,
    has: &[Status],
    unreachable: &BTreeMap<String, String>,
    in_group: impl Fn(&str) -> bool,
    generation_of: impl Fn(usize) -> u64,
) -> Result<Vec<Ingress>, ExitCode> {
    let reachable = ingresses
        .iter()
        .enumerate()
        .filter(|(_, i)| !unreachable.contains_key(&i.name));
    let (indices, requests): (Vec<usize>, Vec<_>) = reachable
        .map(|(n, i)| {
            (
                n,
                (
                    i.control.clone(),
                    CommitRequest::FetchGeneration {
                        generation: generation_of(n),
                    },
                ),
            )
        })
        .unzip();
    let answers = drive::request_all(requests, REQUEST_TIMEOUT);
    let mut known: BTreeMap<usize, Arc<Pairs>> = BTreeMap::new();
    let mut missing: BTreeMap<usize, String> = unreachable
        .iter()
        .filter_map(|(name, reason)| {
            Some((
                ingresses.iter().position(|i| i.name == *name)?,
                reason.clone(),
            ))
        })
        .collect();
    for (n, answer) in indices.into_iter().zip(answers) {
        match answer {
            Ok(CommitResponse::PastGeneration { state, .. }) => {
                drop(known.insert(n, Arc::new(state.0.clone())))
            }
            Ok(CommitResponse::Rejected { reason }) | Err(reason) => {
                drop(missing.insert(n, reason))
            }
            Ok(_) => drop(missing.insert(n, "unexpected response".into())),
        }
    }
    let application = |n: usize| {
        ingresses[n]
            .name
            .split('/')
            .next()
            .unwrap_or("")
            .to_string()
    };
    for (n, reason) in missing {
        let name = &ingresses[n].name;
        let other = known
            .iter()
            .find(|(other, _)| application(**other) == application(n));
        let Some((other, state)) = other.filter(|_| in_group(name)) else {
            return Err(super::failed(format!("{name}: {reason}")));
        };
        let state = transfer(state, &has[*other].state.0, &has[n].state.0);
        known.insert(n, Arc::new(state));
    }
    let restored = ingresses
        .into_iter()
        .enumerate()
        .filter_map(|(n, ingress)| {
            let wanted = known.remove(&n)?;
            Some(Ingress { wanted, ..ingress })
        });
    Ok(restored.collect())
}

/// Requests the status of ingresses. Equal states are shared.
pub fn status<'a>(at: impl IntoIterator<Item = &'a Path>) -> Vec<Result<Status, String>> {
    let requests: Vec<_> = at
        .into_iter()
        .map(|path| (path.to_path_buf(), CommitRequest::Status))
        .collect();
    let mut known: HashMap<Digest, Arc<State>> = HashMap::new();
    // In chunks: each state may be several megabytes, and most are equal.
    let answers = requests.chunks(MAX_CONCURRENT_STATES).flat_map(|chunk| {
        let mut answers = drive::request_all(chunk.to_vec(), REQUEST_TIMEOUT);
        for answer in answers.iter_mut().flatten() {
            if let CommitResponse::Status {
                generation, state, ..
            } = answer
            {
                *state = known
                    .entry(generation.digest.clone())
                    .or_insert_with(|| state.clone())
                    .clone();
            }
        }
        answers
    });
    let read = answers.map(|answer| match answer? {
        CommitResponse::Status {
            generation,
            state,
            prepared,
            metrics,
            ..
        } => Ok(Status {
            generation,
            state,
            prepared,
            metrics,
        }),
        CommitResponse::Rejected { reason } => Err(reason),
        _ => Err("unexpected response".into()),
    });
    read.collect()
}
