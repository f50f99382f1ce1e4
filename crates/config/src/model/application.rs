//! Contents of an application's file.

use super::fields::value_or;
use super::identity::{identity, Identity};
use crate::reader::{At, Fields};
use crate::values::Listener;
use std::net::SocketAddr;
use std::ops::Range;
use wrenfork_routes::Selector;

/// An ingress process of an application.
#[derive(Clone, Debug)]
pub struct Sidecar {
    /// Span of the sidecar's table in the file.
    pub span: Range<usize>,
    /// Name, unique within the application.
    pub name: At<String>,
    /// Address or Unix socket that accepts client connections.
    pub listen: Option<At<Listener>>,
    /// File mode of the Unix socket; ignored for a TCP listener.
    pub mode: u32,
    /// User ids that may connect to the Unix socket.
    pub users: Vec<At<u64>>,
    /// The hall in which the sidecar runs; without it, the site's first hall.
    pub hall: Option<At<String>>,
    /// Address of the discovery service.
    pub discovery: Option<At<SocketAddr>>,
    /// UDP address for messages from the other sidecars.
    pub peers: Option<At<SocketAddr>>,
    /// Path of the control socket.
    pub control: Option<At<String>>,
    /// Folder for the state that must survive a restart.
    pub state: Option<At<String>>,
    /// Folder in which the other members' control sockets are found by name, if not at their own paths. The operator
    /// forwards the sockets there if members run on several machines.
    pub links: Option<At<String>>,
}

/// A member of the group that can vote and serves no requests.
#[derive(Clone, Debug)]
pub struct Witness {
    /// Name, unique among the application's sidecars and witnesses.
    pub name: At<String>,
    /// Path of the control socket.
    pub control: Option<At<String>>,
    /// Folder for the state that must survive a restart.
    pub state: Option<At<String>>,
    /// Folder in which the other members' control sockets are found by name.
    pub links: Option<At<String>>,
}

/// Declares the sidecars a group, in which a majority can apply a change atomically while other members are missing.
#[derive(Clone, Debug)]
pub struct Roster {
    /// Span of the roster's table in the file.
    pub span: Range<usize>,
    /// How long a member may serve after a majority renewed its lease, in microseconds.
    pub lease: At<u64>,
    /// What a member does without a lease: `refuse` rejects requests, `as-known` serves under the last known state.
    pub alone: Option<At<String>>,
    /// Names of the voting members; when empty, all members vote.
    pub voters: Vec<At<String>>,
}

/// The program that a group's sidecars run.
#[derive(Clone, Debug)]
pub struct Program {
    /// Display name of the program's version.
    pub name: At<String>,
    /// SHA-256 of the program's file, 64 hex digits.
    pub sha256: At<String>,
}

/// A customer's account.
#[derive(Clone, Debug)]
pub struct Account {
    /// Account id, below 2^33.
    pub id: At<u64>,
    /// Name of the account's plan.
    pub plan: Option<At<String>>,
    /// Quota that overrides the plan's, in units per second.
    pub quota: Option<At<f64>>,
    /// Burst that overrides the plan's, in units.
    pub burst: Option<At<f64>>,
}

/// A pool of nodes.
#[derive(Clone, Debug)]
pub struct Pool {
    /// Name, unique within the file.
    pub name: At<String>,
    /// Selects the pool's nodes by hall, model, group and name.
    pub selector: Selector,
    /// The selector's halls with their spans, for diagnostics.
    pub halls: Vec<At<String>>,
    /// The selector's node names with their spans, for diagnostics.
    pub nodes: Vec<At<String>>,
    /// Pool that is used when no node of this one takes work.
    pub fallback: Option<At<String>>,
}

/// Where the requests of one class go.
#[derive(Clone, Debug)]
pub struct Route {
    /// Span of the route's table in the file.
    pub span: Range<usize>,
    /// Name of the routed class.
    pub class: At<String>,
    /// Pool that is tried first.
    pub pool: Option<At<String>>,
    /// Pool that serves the customers on trial.
    pub trial: Option<At<String>>,
    /// Share of the customers on trial, from 0 to 1.
    pub share: Option<At<f64>>,
    /// `trial` or `share` has an invalid value that is already reported.
    pub invalid_trial: bool,
}

/// Contents of a file with `kind = "application"`.
#[derive(Clone, Debug)]
pub struct Application {
    /// Name, unique within the site.
    pub name: Option<At<String>>,
    /// Name of the site that the application belongs to.
    pub site: Option<At<String>>,
    /// Classes that the application may send.
    pub sends: Vec<At<String>>,
    /// Memory limit of each sidecar, in bytes.
    pub memory: At<u64>,
    /// File descriptor limit of each sidecar.
    pub descriptors: At<u64>,
    /// CPU limit of each sidecar, in cores.
    pub cores: f64,
    /// The application's ingress processes.
    pub sidecars: Vec<Sidecar>,
    /// Group of the sidecars; without it, each change needs all of them.
    pub roster: Option<Roster>,
    /// Program that the group's sidecars run, if the file names one.
    pub program: Option<Program>,
    /// Members of the group that can vote and serve no requests.
    pub witnesses: Vec<Witness>,
    /// Accounts whose requests the sidecars admit.
    pub accounts: Vec<Account>,
    /// Pools that routes can name.
    pub pools: Vec<Pool>,
    /// The list `pool` is invalid as a whole and already reported.
    pub invalid_pools: bool,
    /// Routes, at most one for each class.
    pub routes: Vec<Route>,
    /// Who may call; without it, callers are not authenticated.
    pub identity: Option<Identity>,
}

impl Application {
    /// Builds the application from the valid fields of its file.
    pub fn new(fields: &Fields) -> Application {
        let empty = Fields::default();
        let limits = fields.table("limits").unwrap_or(&empty);
        let default_at = |value| At {
            value,
            span: limits.span.clone(),
        };
        Application {
            name: fields.text("name"),
            site: fields.text("site"),
            sends: value_or(fields.names("sends"), Vec::new()),
            memory: limits
                .integer("memory")
                .unwrap_or_else(|| default_at(48 << 20)),
            descriptors: limits
                .integer("descriptors")
                .unwrap_or_else(|| default_at(256)),
            cores: value_or(limits.number("cores"), 1.0),
            sidecars: fields
                .tables("sidecar")
                .iter()
                .filter_map(sidecar)
                .collect(),
            roster: fields.table("roster").map(roster),
            program: fields.table("program").and_then(program),
            witnesses: fields
                .tables("witness")
                .iter()
                .filter_map(witness)
                .collect(),
            accounts: fields
                .tables("account")
                .iter()
                .filter_map(account)
                .collect(),
            pools: fields.tables("pool").iter().filter_map(pool).collect(),
            invalid_pools: fields.is_invalid("pool"),
            routes: fields.tables("route").iter().filter_map(route).collect(),
            identity: fields.table("identity").map(identity),
        }
    }

    /// The application's name, or `?` if the file has none.
    pub fn display_name(&self) -> &str {
        self.name.as_ref().map_or("?", |n| &n.value)
    }

    /// Name of a sidecar or witness that is unique within the site: `application/member`.
    pub fn member_name(&self, member: &str) -> String {
        format!("{}/{member}", self.display_name())
    }
}

fn sidecar(fields: &Fields) -> Option<Sidecar> {
    Some(Sidecar {
        span: fields.span.clone(),
        name: fields.text("name")?,
        listen: fields.listener("listen"),
        mode: value_or(fields.integer("mode"), 0o600) as u32,
        users: value_or(fields.integers("users"), Vec::new()),
        hall: fields.text("hall"),
        discovery: fields.address("discovery"),
        peers: fields.address("peers"),
        control: fields.text("control"),
        state: fields.text("state"),
        links: fields.text("links"),
    })
}

fn witness(fields: &Fields) -> Option<Witness> {
    let (control, state, links) = (
        fields.text("control"),
        fields.text("state"),
        fields.text("links"),
    );
    Some(Witness {
        name: fields.text("name")?,
        control,
        state,
        links,
    })
}

fn roster(fields: &Fields) -> Roster {
    let default_at = |value| At {
        value,
        span: fields.span.clone(),
    };
    Roster {
        span: fields.span.clone(),
        lease: fields
            .integer("lease")
            .unwrap_or_else(|| default_at(1_500_000)),
        alone: fields.text("alone"),
        voters: value_or(fields.names("voters"), Vec::new()),
    }
}

fn program(fields: &Fields) -> Option<Program> {
    Some(Program {
        name: fields.text("name")?,
        sha256: fields.text("sha256")?,
    })
}

fn account(fields: &Fields) -> Option<Account> {
    let (plan, quota, burst) = (
        fields.text("plan"),
        fields.number("quota"),
        fields.number("burst"),
    );
    Some(Account {
        id: fields.integer("id")?,
        plan,
        quota,
        burst,
    })
}

fn pool(fields: &Fields) -> Option<Pool> {
    let halls = value_or(fields.names("halls"), Vec::new());
    let nodes = value_or(fields.names("nodes"), Vec::new());
    let texts = |list: &[At<String>]| list.iter().map(|n| n.value.clone()).collect();
    let selector = Selector {
        zone_groups: texts(&halls),
        machine_types: texts(&value_or(fields.names("models"), Vec::new())),
        cells: value_or(fields.integers("groups"), Vec::new())
            .iter()
            .map(|g| g.value)
            .collect(),
        nodes: texts(&nodes),
    };
    Some(Pool {
        name: fields.text("name")?,
        selector,
        halls,
        nodes,
        fallback: fields.text("fallback"),
    })
}

fn route(fields: &Fields) -> Option<Route> {
    Some(Route {
        span: fields.span.clone(),
        class: fields.text("class")?,
        pool: fields.text("pool"),
        trial: fields.text("trial"),
        share: fields.number("share"),
        invalid_trial: fields.is_invalid("trial") || fields.is_invalid("share"),
    })
}
