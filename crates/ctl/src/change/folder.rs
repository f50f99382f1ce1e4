//! A folder of files: the ingresses that it describes, and what each is to enforce.

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

/// How long an ingress may take to say what it enforces.
const PATIENCE: Duration = Duration::from_secs(5);

/// States that are asked for at once.
const STATES_AT_ONCE: usize = 4;

/// The same state once: the sidecars of an application are to enforce the same.
fn shared(all: &mut Vec<Arc<Pairs>>, one: Pairs) -> Arc<Pairs> {
    if let Some(same) = all.iter().find(|known| ***known == one) {
        return same.clone();
    }
    all.push(Arc::new(one));
    all[all.len() - 1].clone()
}

/// An ingress, and what it is to enforce.
pub struct Ingress {
    pub name: String,
    pub control: PathBuf,
    pub wanted: Arc<Pairs>,
}

/// What a folder's files describe.
pub struct Files {
    /// The ingresses with a control socket, by name.
    pub ingresses: Vec<Ingress>,
    /// The groups that decide by a majority, by their application's name.
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

/// What an ingress says of itself.
#[derive(Clone)]
pub struct Status {
    pub generation: Generation,
    pub state: Arc<State>,
    pub promise: Option<PreparedVote>,
    pub figures: IngressMetrics,
}

/// The files of a folder that are read: those in it, not those below it.
fn files(folder: &Path) -> Result<Vec<PathBuf>, String> {
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
            "{}: there are no files of a site here (*.toml)",
            folder.display()
        ));
    }
    Ok(files)
}

/// What a folder's files describe; ingresses without a control socket are not among them.
///
/// # Errors
///
/// With the exit code, where the files are refused or describe none; why has been told.
pub fn read(folder: &Path) -> Result<Files, ExitCode> {
    let set = Set::read(files(folder).map_err(super::failed)?);
    if set.refused() {
        print::text(&set);
        return Err(ExitCode::FAILURE);
    }
    let Some(site) = set.site() else {
        return Err(super::failed(format!(
            "{}: there is no site's file",
            folder.display()
        )));
    };
    let fleet = set.fleet().map(|f| f.content);
    let (mut found, mut all) = (Vec::<Ingress>::new(), Vec::new());
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
            let (_, told) =
                enforced::sidecar(app.content, site.content, fleet, name).map_err(super::failed)?;
            found.push(Ingress {
                name: app.content.member_name(name),
                control: PathBuf::from(&control.value),
                wanted: shared(&mut all, told.state),
            });
        }
    }
    if found.is_empty() {
        return Err(super::failed(format!(
            "{}: no sidecar has a control socket: give each one `control = \"/path\"`",
            folder.display()
        )));
    }
    found.sort_by(|a, b| a.name.cmp(&b.name));
    Ok(Files {
        ingresses: found,
        groups,
    })
}

/// Of what one enforces, the same for another: with the differences that there are between the two of them elsewhere.
pub fn like(state: &Pairs, of: &Pairs, to: &Pairs) -> Pairs {
    let mut made = state.clone();
    made.retain(|key, _| !of.contains_key(key) || to.contains_key(key));
    let differs = to.iter().filter(|(k, v)| of.get(*k) != Some(v));
    made.extend(differs.map(|(k, v)| (k.clone(), v.clone())));
    made
}

/// Ingresses that are to enforce again what each enforced under a number; `has` is what each enforces now. A member of a
/// group that is away, or was when that was enforced, is to enforce what another member of its application did, with what
/// is its own.
///
/// # Errors
///
/// With the exit code, where it is not known any more; that has been told.
pub fn recall(
    ingresses: Vec<Ingress>,
    has: &[Status],
    away: &BTreeMap<String, String>,
    grouped: impl Fn(&str) -> bool,
    numbers: impl Fn(usize) -> u64,
) -> Result<Vec<Ingress>, ExitCode> {
    let there = ingresses
        .iter()
        .enumerate()
        .filter(|(_, i)| !away.contains_key(&i.name));
    let (places, asks): (Vec<usize>, Vec<_>) = there
        .map(|(n, i)| {
            (
                n,
                (
                    i.control.clone(),
                    CommitRequest::FetchGeneration {
                        generation: numbers(n),
                    },
                ),
            )
        })
        .unzip();
    let answers = drive::ask_all(asks, PATIENCE);
    let mut known: BTreeMap<usize, Arc<Pairs>> = BTreeMap::new();
    let mut missing: BTreeMap<usize, String> = away
        .iter()
        .filter_map(|(name, why)| {
            Some((ingresses.iter().position(|i| i.name == *name)?, why.clone()))
        })
        .collect();
    for (n, answer) in places.into_iter().zip(answers) {
        match answer {
            Ok(CommitResponse::PastGeneration { state, .. }) => {
                drop(known.insert(n, Arc::new(state.0.clone())))
            }
            Ok(CommitResponse::Rejected { reason: why }) | Err(why) => drop(missing.insert(n, why)),
            Ok(_) => drop(missing.insert(n, "it answers something else".into())),
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
    for (n, why) in missing {
        let name = &ingresses[n].name;
        let other = known
            .iter()
            .find(|(other, _)| application(**other) == application(n));
        let Some((other, state)) = other.filter(|_| grouped(name)) else {
            return Err(super::failed(format!("{name}: {why}")));
        };
        let state = like(state, &has[*other].state.0, &has[n].state.0);
        known.insert(n, Arc::new(state));
    }
    let was = ingresses
        .into_iter()
        .enumerate()
        .filter_map(|(n, ingress)| {
            let wanted = known.remove(&n)?;
            Some(Ingress { wanted, ..ingress })
        });
    Ok(was.collect())
}

/// Asks ingresses, all at once, what they enforce.
pub fn status<'a>(at: impl IntoIterator<Item = &'a Path>) -> Vec<Result<Status, String>> {
    let asks: Vec<_> = at
        .into_iter()
        .map(|path| (path.to_path_buf(), CommitRequest::Status))
        .collect();
    let mut known: HashMap<Digest, Arc<State>> = HashMap::new();
    // Some at once: each may be of some megabytes, and most are the same.
    let answers = asks.chunks(STATES_AT_ONCE).flat_map(|some| {
        let mut answers = drive::ask_all(some.to_vec(), PATIENCE);
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
            prepared: promise,
            metrics: figures,
            ..
        } => Ok(Status {
            generation,
            state,
            promise,
            figures,
        }),
        CommitResponse::Rejected { reason: why } => Err(why),
        _ => Err("it answers something else".into()),
    });
    read.collect()
}
