//! The configuration file, into what the ingress is made from. Whatever is wrong is told by its key.

use crate::discovery::{Roster, Sites};
use serde_json::Value;
use std::collections::{HashMap, HashSet};
use std::hash::{BuildHasher, RandomState};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use wrenfork_commit::state::State;
pub use wrenfork_config::callers::Callers;
use wrenfork_config::operator::Operator;
use wrenfork_config::set::Set;
use wrenfork_config::{enforced, group};
use wrenfork_control_plane::group::{GroupConfig, WithoutLease};
use wrenfork_decision::{Micros, Settings};
use wrenfork_routes::Table;
use wrenfork_wire::call::{Identity, Vocabulary};

/// A file that ends before its time.
const HALF: &str = "the file is no JSON, it is cut off";

/// What an ingress is told.
pub struct Config {
    pub listen: Listen,
    /// Where operators call; nowhere if none is told.
    pub management: Option<SocketAddr>,
    /// The descriptor of the listening socket that the platform holds; none where the ingress binds its own.
    pub passed: Option<String>,
    pub seed: u64,
    /// The most file descriptors.
    pub sockets: usize,
    /// The most bytes of memory.
    pub memory: usize,
    /// Where peers' messages come in; none where the settings allow no messages.
    pub peers: Option<PeerAddresses>,
    /// The list of backends as last held.
    pub known: Roster,
    /// Where the count service is, and how long an answer of it is waited for; none where the settings have none.
    pub counter: Option<(SocketAddr, Micros)>,
    pub enforced: Enforced,
    pub sites: Sites,
    /// What may change later, and what may not.
    pub told: enforced::Told,
    /// Told by the platform alone, whose file has no pools.
    pub platform: bool,
    /// The file that says what became of the last reload.
    pub status: Option<PathBuf>,
    /// Where changes are told, and what must not be forgotten is kept; from the application's file.
    pub control: Control,
}

/// What is enforced: all that a change may change.
pub struct Enforced {
    pub settings: Settings,
    pub vocabulary: Vocabulary,
    pub routes: Table,
    /// Who may call; none where nobody is asked.
    pub callers: Option<Callers>,
    pub discovery: SocketAddr,
    pub connect_timeout: Micros,
    pub keepalive: Micros,
}

/// The control side of an ingress.
#[derive(Clone, Debug, Default)]
pub struct Control {
    /// The name under which changes know it.
    pub name: String,
    /// Its socket; none where changes take a restart.
    pub socket: Option<PathBuf>,
    /// The folder for what must not be forgotten.
    pub state: Option<PathBuf>,
    /// The sockets of the others that enforce the same.
    pub others: Vec<PathBuf>,
    /// The group that it belongs to, if any.
    pub membership: Option<GroupConfig>,
}

/// What a state means here; `fixed` is what no change changes.
///
/// # Errors
///
/// Names the key that is unknown, missing or of no use.
pub fn compile(fixed: &[(String, String)], state: &State) -> Result<Enforced, String> {
    let conf = enforced::join(fixed, &state.0)?;
    let mut settings = conf.settings()?;
    let (routes, _) = enforced::table(&state.0)?;
    settings.pool_count = routes.pools.len() as u8;
    if settings.tick == 0 {
        return Err("setting tick_us is 0".into());
    }
    let names = conf.names("grades")?;
    for (list, names) in [("grades", &names), ("contracts", &conf.names("contracts")?)] {
        let mut seen = HashSet::new();
        let twice = names
            .iter()
            .enumerate()
            .find(|(_, name)| !name.is_empty() && !seen.insert(*name));
        if let Some((n, name)) = twice {
            return Err(format!("setting {list}.{n}.name is there twice: {name}"));
        }
    }
    let classes: Vec<_> = names
        .into_iter()
        .zip(settings.classes.iter().map(|c| c.idempotency))
        .collect();
    let most_units = conf.number_or("family_info.most_units", f64::MAX)?;
    let (plans, gateways) = (conf.names("contracts")?, u64::from(settings.gateway_count));
    let identity = match state.0.get("sends") {
        Some(sends) => {
            let sends: Vec<&str> = sends.split(',').collect();
            let places: HashMap<&str, u16> = plans.iter().map(String::as_str).zip(0..).collect();
            let accounts = state
                .0
                .iter()
                .filter_map(|(key, plan)| Some((key.strip_prefix("accounts.")?, plan)));
            let accounts = accounts.map(|(id, plan)| {
                let id = wrenfork_config::values::account(id)?;
                let place = places.get(plan.as_str()).filter(|_| !plan.is_empty());
                let place = place.ok_or_else(|| {
                    format!("account {id:016x} is on plan {plan}, which there is not")
                })?;
                Ok((id, *place))
            });
            Some(Identity {
                accounts: accounts.collect::<Result<_, String>>()?,
                // A quota of its own is this program's matter: backends know the plan.
                known: plans
                    .iter()
                    .map(|p| p.split('~').next().unwrap_or(p).to_string())
                    .collect(),
                sends: classes
                    .iter()
                    .map(|c| !c.0.is_empty() && sends.contains(&c.0.as_str()))
                    .collect(),
            })
        }
        None => None,
    };
    let discovery = state.0.get("discovery").ok_or("discovery is missing")?;
    let (connect_timeout, keepalive) = (
        conf.micros("limits.connect_timeout_us")?,
        conf.micros("limits.keepalive_us")?,
    );
    let names: Vec<String> = classes.iter().map(|c| c.0.clone()).collect();
    let callers = wrenfork_config::callers::read(&state.0, &names)?;
    let asks = callers.is_some();
    let vocabulary = Vocabulary {
        classes,
        plans,
        most_units,
        gateways,
        identity,
        asks,
    };
    let discovery = address(discovery, "discovery")?;
    Ok(Enforced {
        settings,
        vocabulary,
        routes,
        callers,
        discovery,
        connect_timeout,
        keepalive,
    })
}

/// Where clients find an ingress.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Listen {
    Tcp(SocketAddr),
    /// A socket's path, its mode, and the users that may connect; whoever the mode lets in where none are named.
    Unix(PathBuf, u32, Vec<u32>),
}

impl std::fmt::Display for Listen {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        match self {
            Listen::Tcp(at) => write!(f, "{at}"),
            Listen::Unix(path, ..) => write!(f, "unix:{}", path.display()),
        }
    }
}

impl Listen {
    /// What is told; `given` comes before the file's address.
    fn read(json: &Value, given: Option<String>) -> Result<Listen, String> {
        if let Some(text) = given {
            return address(&text, "LB_LISTEN").map(Listen::Tcp);
        }
        let place = text(json, "listen")?;
        let Some(path) = place.strip_prefix("unix:") else {
            return address(place, "listen").map(Listen::Tcp);
        };
        wrenfork_config::values::path(path).map_err(|why| format!("listen: {why}"))?;
        let mode = json
            .get("listen_mode")
            .and_then(Value::as_str)
            .unwrap_or("0600");
        let mode =
            wrenfork_config::values::mode(mode).map_err(|why| format!("listen_mode: {why}"))?;
        let user = |v: &Value| v.as_u64().and_then(|n| u32::try_from(n).ok());
        let users = json
            .get("listen_users")
            .and_then(Value::as_array)
            .map(|l| l.iter().map(user).collect());
        let users: Option<Vec<u32>> = users.unwrap_or_else(|| Some(Vec::new()));
        Ok(Listen::Unix(
            path.into(),
            mode,
            users.ok_or("listen_users: not numbers of users")?,
        ))
    }
}

/// The peers of an ingress.
pub struct PeerAddresses {
    pub listen: SocketAddr,
    /// By their number, this one among them.
    pub peers: Vec<SocketAddr>,
    pub all: Option<SocketAddr>,
}

/// The files that a sidecar runs from.
pub struct Files {
    pub app: PathBuf,
    /// Beside the application's file, under the name `site.toml`, where it is not given.
    pub site: Option<PathBuf>,
    /// A fleet snapshot, for the first list of backends.
    pub fleet: Option<PathBuf>,
    /// The sidecar's name; not needed where the application has but one.
    pub sidecar: Option<String>,
}

/// Where an ingress is told from.
pub enum Told {
    /// The platform's file, and what an operator adds to it.
    Platform(String, Option<PathBuf>),
    /// An operator's files.
    Sidecar(Files),
}

impl Told {
    /// Whether a file that was turned down for this may only be half written.
    pub fn may_be_half_written(&self, why: &str) -> bool {
        // A sidecar's files say a line each for all that is wrong, which a file's early end may be the cause of.
        matches!(self, Told::Sidecar(_)) || why.contains(HALF)
    }

    /// Reads it anew; `var` looks up the environment, which only the platform's file may be overruled by.
    pub fn read(&self, var: impl Fn(&str) -> Option<String>) -> Result<Config, String> {
        match self {
            Told::Platform(path, operator) => Config::read(path, operator.as_deref(), var),
            Told::Sidecar(files) => Config::sidecar(files),
        }
    }
}

fn address(text: &str, key: &str) -> Result<SocketAddr, String> {
    text.parse()
        .map_err(|_| format!("{key} is no address and port: {text}"))
}

fn text<'a>(object: &'a Value, key: &str) -> Result<&'a str, String> {
    object
        .get(key)
        .and_then(Value::as_str)
        .ok_or_else(|| format!("{key} is missing or no text"))
}

fn whole(object: &Value, list: &str, key: &str) -> Result<usize, String> {
    let n = object
        .get(list)
        .and_then(|l| l.get(key))
        .and_then(Value::as_u64);
    let n = n.and_then(|n| usize::try_from(n).ok()).filter(|n| *n > 0);
    n.ok_or_else(|| format!("{list}.{key} is missing or no whole number above 0"))
}

impl Config {
    /// Reads the file at a path; `var` looks up the environment, whose addresses come before the file's.
    pub fn read(
        path: &str,
        operator: Option<&Path>,
        var: impl Fn(&str) -> Option<String>,
    ) -> Result<Config, String> {
        let file = std::fs::read_to_string(path)
            .map_err(|e| format!("LB_CONFIG: cannot read {path}: {e}"))?;
        let named = |e: String| format!("{path}: {e}");
        let json: Value = serde_json::from_str(&file).map_err(|e| {
            named(format!(
                "{}: {e}",
                if e.is_eof() {
                    HALF
                } else {
                    "the file is no JSON"
                }
            ))
        })?;
        let mut told = enforced::split(&json).map_err(named)?;
        let added = operator.map(|at| Config::operator(&told, at)).transpose()?;
        if let Some(added) = &added {
            told.state.extend(added.ways.clone());
        }
        let mut config = Config::with(&json, told, var).map_err(named)?;
        if let Some(Operator {
            control,
            state,
            status,
            ..
        }) = added
        {
            config.platform = false;
            (config.control.socket, config.control.state, config.status) = (control, state, status);
        }
        Ok(config)
    }

    /// What an operator adds to what the platform tells.
    fn operator(told: &enforced::Told, at: &Path) -> Result<Operator, String> {
        let conf = enforced::join(&told.fixed, &told.state)?;
        let hall = conf.number_or("zone", 0.0)? as usize;
        wrenfork_config::operator::read(at, &conf.list("zones")?, &conf.names("grades")?, hall)
    }

    /// Reads a sidecar's files. Refused files are told line by line.
    fn sidecar(files: &Files) -> Result<Config, String> {
        let beside = || {
            files
                .app
                .parent()
                .unwrap_or(Path::new(""))
                .join("site.toml")
        };
        let site = files.site.clone().unwrap_or_else(beside);
        let set = Set::read(
            [site, files.app.clone()]
                .into_iter()
                .chain(files.fleet.clone()),
        );
        if set.refused() {
            let lines = set
                .found
                .iter()
                .filter(|d| d.refused())
                .map(|d| d.line(&set.sources));
            return Err(format!(
                "refused:\n{}",
                lines.collect::<Vec<_>>().join("\n")
            ));
        }
        let apps = set.applications();
        let (Some(site), [app]) = (set.site(), &apps[..]) else {
            return Err(format!(
                "{} is no application's file, or its site's is none",
                files.app.display()
            ));
        };
        let (site, app) = (site.content, app.content);
        let name = match (&files.sidecar, &app.sidecars[..]) {
            (Some(name), _) => name,
            (None, [only]) => &only.name.value,
            (None, _) => {
                return Err("the application has several sidecars: name one with --sidecar".into())
            }
        };
        let (told, split) = enforced::sidecar(app, site, set.fleet().map(|f| f.content), name)?;
        let mut config = Config::with(&told, split, |_| None)?;
        config.platform = false;
        config.seed = RandomState::new().hash_one(name);
        let path = |p: &Option<wrenfork_config::reader::At<String>>| {
            p.as_ref().map(|p| PathBuf::from(&p.value))
        };
        let own = app.sidecars.iter().find(|s| s.name.value == *name);
        let others = app.sidecars.iter().filter(|s| s.name.value != *name);
        config.control = Control {
            name: enforced::called(app, name),
            socket: own.and_then(|s| path(&s.control)),
            state: own.and_then(|s| path(&s.state)),
            others: others.filter_map(|s| path(&s.control)).collect(),
            membership: group::group(app).map(|g| GroupConfig {
                initial_members: g.charter(),
                control_sockets: g.links(&enforced::called(app, name)),
                without_lease: if g.as_known {
                    WithoutLease::ServeLastKnown
                } else {
                    WithoutLease::Reject
                },
                inherited_lease: None,
            }),
        };
        Ok(config)
    }

    /// Takes what is told; `var` looks up the environment, whose addresses come before the file's.
    fn with(
        json: &Value,
        mut told: enforced::Told,
        var: impl Fn(&str) -> Option<String>,
    ) -> Result<Config, String> {
        let place = |name: &str, key: &str| match var(name) {
            Some(text) => address(&text, name),
            None => address(text(json, key)?, key),
        };
        let seed = text(json, "seed")?;
        let seed =
            u64::from_str_radix(seed, 16).map_err(|_| format!("seed is no hex number: {seed}"))?;
        let discovery = place("LB_DISCOVERY", "discovery")?;
        told.state.insert("discovery".into(), discovery.to_string());
        let enforced = compile(&told.fixed, &State(told.state.clone()))?;
        let conf = enforced::join(&told.fixed, &told.state)?;
        let settings = &enforced.settings;
        let sites = Sites {
            zones: conf.list("zones")?,
            kinds: conf.list("skus")?,
        };
        let known = json.get("known").ok_or("known is missing")?;
        let known = Roster::read(known, &sites).map_err(|e| format!("known: {e}"))?;
        let peers = if settings.limits.peers {
            Some(Self::peers(json)?)
        } else {
            None
        };
        if peers
            .as_ref()
            .is_some_and(|p| p.peers.len() != usize::from(settings.gateway_count))
        {
            return Err("peers does not have one address for each of setting n_instances".into());
        }
        let counter = if settings.limits.shared_counter {
            Some((
                address(text(json, "counter")?, "counter")?,
                conf.micros("family_info.count_wait_us")?,
            ))
        } else {
            None
        };
        let management = match var("LB_MANAGEMENT") {
            Some(text) => Some(address(&text, "LB_MANAGEMENT")?),
            None if json.get("management").is_none_or(Value::is_null) => None,
            None => Some(address(text(json, "management")?, "management")?),
        };
        Ok(Config {
            management,
            passed: None,
            listen: Listen::read(json, var("LB_LISTEN"))?,
            seed,
            sockets: whole(json, "limits", "sockets")?,
            memory: whole(json, "limits", "memory_mb")?.saturating_mul(1 << 20),
            peers,
            known,
            counter,
            enforced,
            sites,
            told,
            platform: true,
            status: None,
            control: Control {
                name: text(json, "name").unwrap_or("ingress").into(),
                ..Control::default()
            },
        })
    }

    fn peers(json: &Value) -> Result<PeerAddresses, String> {
        let list = json
            .get("peers")
            .and_then(Value::as_array)
            .ok_or("peers is missing or no list")?;
        let one = |v: &Value| address(v.as_str().unwrap_or_default(), "peers");
        let all = json.get("peers_all").filter(|v| !v.is_null());
        Ok(PeerAddresses {
            listen: address(text(json, "peer_listen")?, "peer_listen")?,
            peers: list.iter().map(one).collect::<Result<_, _>>()?,
            all: all
                .map(|v| address(v.as_str().unwrap_or_default(), "peers_all"))
                .transpose()?,
        })
    }
}
