//! What the files of an application say.

use super::fields::or;
use super::identity::{identity, Identity};
use crate::reader::{At, Fields};
use crate::values::Listener;
use std::net::SocketAddr;
use std::ops::Range;
use wrenfork_routes::Selector;

/// A sidecar.
#[derive(Clone, Debug)]
pub struct Sidecar {
    /// Its place in the file.
    pub span: Range<usize>,
    /// Its name.
    pub name: At<String>,
    /// Where it listens.
    pub listen: Option<At<Listener>>,
    /// The socket's mode.
    pub mode: u32,
    /// The users that may connect to its socket.
    pub users: Vec<At<u64>>,
    /// The hall that it stands in.
    pub hall: Option<At<String>>,
    /// Where it asks for nodes.
    pub discovery: Option<At<SocketAddr>>,
    /// Where it takes messages.
    pub peers: Option<At<SocketAddr>>,
    /// Its control socket.
    pub control: Option<At<String>>,
    /// The folder for what it must not forget.
    pub state: Option<At<String>>,
    /// The folder in which it finds the other members' control sockets, where that is not where they listen.
    pub links: Option<At<String>>,
}

/// A member of the roster that keeps promises and serves nobody.
#[derive(Clone, Debug)]
pub struct Witness {
    /// Its name.
    pub name: At<String>,
    /// Its control socket.
    pub control: Option<At<String>>,
    /// The folder for what it must not forget.
    pub state: Option<At<String>>,
    /// The folder in which it finds the others' control sockets.
    pub links: Option<At<String>>,
}

/// That the sidecars are a group, which makes changes everywhere or nowhere while some are missing.
#[derive(Clone, Debug)]
pub struct Roster {
    /// Its place in the file.
    pub span: Range<usize>,
    /// For how long one may serve on the word of a majority, in microseconds.
    pub lease: At<u64>,
    /// What one does without a lease: `refuse` or `as-known`.
    pub alone: Option<At<String>>,
    /// Those that decide; all where none are named.
    pub voters: Vec<At<String>>,
}

/// The program that a group's sidecars run.
#[derive(Clone, Debug)]
pub struct Program {
    /// What people call it.
    pub name: At<String>,
    /// The digest of its file.
    pub sha256: At<String>,
}

/// An account.
#[derive(Clone, Debug)]
pub struct Account {
    /// Its number.
    pub id: At<u64>,
    /// Its plan.
    pub plan: Option<At<String>>,
    /// A quota of its own, in units a second.
    pub quota: Option<At<f64>>,
    /// A burst of its own, in units.
    pub burst: Option<At<f64>>,
}

/// A pool.
#[derive(Clone, Debug)]
pub struct Pool {
    /// Its name.
    pub name: At<String>,
    /// Its nodes.
    pub selector: Selector,
    /// The places of the halls and names in the selector.
    pub halls: Vec<At<String>>,
    /// See `halls`.
    pub nodes: Vec<At<String>>,
    /// Where to fall back.
    pub fallback: Option<At<String>>,
}

/// A route.
#[derive(Clone, Debug)]
pub struct Route {
    /// Its place in the file.
    pub span: Range<usize>,
    /// The class.
    pub class: At<String>,
    /// Its pool.
    pub pool: Option<At<String>>,
    /// A pool on trial.
    pub trial: Option<At<String>>,
    /// The share of customers on trial.
    pub share: Option<At<f64>>,
    /// What stands at `trial` or `share` is wrong and told already.
    pub bad_trial: bool,
}

/// An application.
#[derive(Clone, Debug)]
pub struct Application {
    /// Its name.
    pub name: Option<At<String>>,
    /// Its site's name.
    pub site: Option<At<String>>,
    /// The classes that it may send.
    pub sends: Vec<At<String>>,
    /// Bytes.
    pub memory: At<u64>,
    /// How many.
    pub descriptors: At<u64>,
    /// Part of a core.
    pub cores: f64,
    /// Its sidecars.
    pub sidecars: Vec<Sidecar>,
    /// That they are a group; none where each change needs all of them.
    pub roster: Option<Roster>,
    /// What they run, if they are told.
    pub program: Option<Program>,
    /// Members of the group that keep promises and serve nobody.
    pub witnesses: Vec<Witness>,
    /// Its accounts.
    pub accounts: Vec<Account>,
    /// Its pools.
    pub pools: Vec<Pool>,
    /// What stands at `pool` is wrong as a whole, and told already.
    pub bad_pools: bool,
    /// Its routes.
    pub routes: Vec<Route>,
    /// Who may call; none where nobody is asked.
    pub identity: Option<Identity>,
}

impl Application {
    /// What a file's values mean.
    pub fn new(f: &Fields) -> Application {
        let empty = Fields::default();
        let limits = f.table("limits").unwrap_or(&empty);
        let here = |value| At {
            value,
            span: limits.span.clone(),
        };
        Application {
            name: f.text("name"),
            site: f.text("site"),
            sends: or(f.names("sends"), Vec::new()),
            memory: limits.whole("memory").unwrap_or_else(|| here(48 << 20)),
            descriptors: limits.whole("descriptors").unwrap_or_else(|| here(256)),
            cores: or(limits.number("cores"), 1.0),
            sidecars: f.tables("sidecar").iter().filter_map(sidecar).collect(),
            roster: f.table("roster").map(roster),
            program: f.table("program").and_then(program),
            witnesses: f.tables("witness").iter().filter_map(witness).collect(),
            accounts: f.tables("account").iter().filter_map(account).collect(),
            pools: f.tables("pool").iter().filter_map(pool).collect(),
            bad_pools: f.is_bad("pool"),
            routes: f.tables("route").iter().filter_map(route).collect(),
            identity: f.table("identity").map(identity),
        }
    }

    /// Its name, or a stand-in for one.
    pub fn called(&self) -> &str {
        self.name.as_ref().map_or("?", |n| &n.value)
    }

    /// The name of one of its sidecars or witnesses among all of a site's.
    pub fn member_name(&self, member: &str) -> String {
        format!("{}/{member}", self.called())
    }
}

fn sidecar(f: &Fields) -> Option<Sidecar> {
    Some(Sidecar {
        span: f.span.clone(),
        name: f.text("name")?,
        listen: f.listener("listen"),
        mode: or(f.whole("mode"), 0o600) as u32,
        users: or(f.wholes("users"), Vec::new()),
        hall: f.text("hall"),
        discovery: f.address("discovery"),
        peers: f.address("peers"),
        control: f.text("control"),
        state: f.text("state"),
        links: f.text("links"),
    })
}

fn witness(f: &Fields) -> Option<Witness> {
    let (control, state, links) = (f.text("control"), f.text("state"), f.text("links"));
    Some(Witness {
        name: f.text("name")?,
        control,
        state,
        links,
    })
}

fn roster(f: &Fields) -> Roster {
    let here = |value| At {
        value,
        span: f.span.clone(),
    };
    Roster {
        span: f.span.clone(),
        lease: f.whole("lease").unwrap_or_else(|| here(1_500_000)),
        alone: f.text("alone"),
        voters: or(f.names("voters"), Vec::new()),
    }
}

fn program(f: &Fields) -> Option<Program> {
    Some(Program {
        name: f.text("name")?,
        sha256: f.text("sha256")?,
    })
}

fn account(f: &Fields) -> Option<Account> {
    let (plan, quota, burst) = (f.text("plan"), f.number("quota"), f.number("burst"));
    Some(Account {
        id: f.whole("id")?,
        plan,
        quota,
        burst,
    })
}

fn pool(f: &Fields) -> Option<Pool> {
    let halls = or(f.names("halls"), Vec::new());
    let nodes = or(f.names("nodes"), Vec::new());
    let texts = |list: &[At<String>]| list.iter().map(|n| n.value.clone()).collect();
    let selector = Selector {
        zone_groups: texts(&halls),
        machine_types: texts(&or(f.names("models"), Vec::new())),
        cells: or(f.wholes("groups"), Vec::new())
            .iter()
            .map(|g| g.value)
            .collect(),
        nodes: texts(&nodes),
    };
    Some(Pool {
        name: f.text("name")?,
        selector,
        halls,
        nodes,
        fallback: f.text("fallback"),
    })
}

fn route(f: &Fields) -> Option<Route> {
    Some(Route {
        span: f.span.clone(),
        class: f.text("class")?,
        pool: f.text("pool"),
        trial: f.text("trial"),
        share: f.number("share"),
        bad_trial: f.is_bad("trial") || f.is_bad("share"),
    })
}
