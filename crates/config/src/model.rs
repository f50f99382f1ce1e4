//! What the files mean: typed, with the place of each value that a check may have to show.

use crate::reader::{At, Fields};
use crate::values::Listener;
use std::net::SocketAddr;
use std::ops::Range;
use wrenfork_happy_eyeballs::Address;
use wrenfork_routes::Selector;

/// The default of a key, which [`crate::form`] shows to people in the same words.
fn or<T>(value: Option<At<T>>, default: T) -> T {
    value.map_or(default, |at| at.value)
}

/// What an ingress may do.
#[derive(Clone, Debug)]
pub struct SiteLimits {
    /// Attempts for a request.
    pub attempts: u64,
    /// Two attempts may be out together.
    pub second_copies: bool,
    /// Attempts may be called off.
    pub cancel: bool,
    /// Nodes may be probed.
    pub probes: bool,
    /// Requests open at once.
    pub open: u64,
    /// The longest pause that clients are told, in microseconds.
    pub retry_after: Option<u64>,
    /// Microseconds that a connection may take to come up.
    pub connect: u64,
    /// Microseconds that a node keeps an idle connection.
    pub keepalive: u64,
    /// Microseconds.
    pub tick: u64,
    /// Messages from peers in a second.
    pub messages: f64,
}

/// The figures of the rules; times in microseconds.
#[derive(Clone, Debug)]
pub struct Rules {
    /// How long after the deadline an answer counts.
    pub answer_slack: u64,
    /// How long new work at a draining node may go on.
    pub drain_grace: u64,
    /// The share of its speed with which a node starts.
    pub cold_from: f64,
    /// How long it takes to be warm.
    pub cold: u64,
    /// The multiple of its speed that pushes it over ...
    pub cold_factor: f64,
    /// ... where it lasts so long.
    pub cold_push: u64,
}

/// Whether a request may run again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Always.
    Safe,
    /// While its key is known.
    Keyed {
        /// Where: `all`, `hall` or `group`.
        group: String,
        /// For how many microseconds.
        window: u64,
    },
    /// Never.
    Unsafe,
}

/// A class.
#[derive(Clone, Debug)]
pub struct Class {
    /// Its name.
    pub name: At<String>,
    /// `safe`, `keyed` or `unsafe`.
    pub effect: Option<At<String>>,
    /// Where a key is known: `all`, `hall` or `group`.
    pub group: Option<At<String>>,
    /// How many microseconds a key is known.
    pub window: Option<At<u64>>,
    /// What stands at `group` or `window` is wrong and told already.
    pub bad_key: bool,
    /// Microseconds.
    pub wanted: Option<At<u64>>,
    /// Microseconds.
    pub deadline: Option<At<u64>>,
    /// What an answer is worth.
    pub worth: Option<At<f64>>,
    /// The most units of one request.
    pub units: At<f64>,
}

impl Class {
    /// Whether it may run again; none where the file does not make that clear.
    pub fn repeat(&self) -> Option<Effect> {
        match self.effect.as_ref()?.value.as_str() {
            "safe" => Some(Effect::Safe),
            "unsafe" => Some(Effect::Unsafe),
            _ => {
                let (group, window) = (self.group.clone()?.value, self.window.as_ref()?.value);
                Some(Effect::Keyed { group, window })
            }
        }
    }
}

/// A plan.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Its name.
    pub name: At<String>,
    /// Units a second.
    pub quota: Option<At<f64>>,
    /// Units.
    pub burst: Option<At<f64>>,
    /// Units a second.
    pub never_over: Option<At<f64>>,
    /// Units.
    pub never_over_burst: Option<f64>,
    /// Factor on the worth.
    pub price: f64,
    /// Share of the worth.
    pub beyond_costs: f64,
}

/// What all accounts of a plan may be promised.
#[derive(Clone, Debug)]
pub struct Ceiling {
    /// The plan.
    pub plan: At<String>,
    /// Units a second.
    pub rate: At<f64>,
}

/// For a hall, the others in order of nearness.
#[derive(Clone, Debug)]
pub struct Near {
    /// The hall.
    pub hall: At<String>,
    /// The others, the nearest first.
    pub others: Vec<At<String>>,
}

/// A site.
#[derive(Clone, Debug)]
pub struct Site {
    /// Its name.
    pub name: Option<At<String>>,
    /// Its halls.
    pub halls: Vec<At<String>>,
    /// Halls in order of nearness.
    pub near: Vec<Near>,
    /// What a node of weight 1 serves, in units a second.
    pub per_weight: Option<f64>,
    /// What an ingress may do.
    pub limits: SiteLimits,
    /// The rules' figures.
    pub rules: Rules,
    /// The classes.
    pub classes: Vec<Class>,
    /// The plans.
    pub plans: Vec<Plan>,
    /// Ceilings over applications.
    pub ceilings: Vec<Ceiling>,
}

impl Site {
    /// What a file's values mean.
    pub fn new(f: &Fields) -> Site {
        let empty = Fields::default();
        let limits = f.table("limits").unwrap_or(&empty);
        let rules = f.table("rules").unwrap_or(&empty);
        Site {
            name: f.text("name"),
            halls: or(f.names("halls"), Vec::new()),
            near: f.tables("near").iter().filter_map(near).collect(),
            per_weight: f.number("per-weight").map(|n| n.value),
            limits: SiteLimits {
                attempts: or(limits.whole("attempts"), 3),
                second_copies: or(limits.flag("second-copies"), true),
                cancel: or(limits.flag("cancel"), true),
                probes: or(limits.flag("probes"), false),
                open: or(limits.whole("open"), 20_000),
                retry_after: limits.whole("retry-after").map(|t| t.value),
                connect: or(limits.whole("connect"), 250_000),
                keepalive: or(limits.whole("keepalive"), 15_000_000),
                tick: or(limits.whole("tick"), 4_000),
                messages: or(limits.number("messages"), 40.0),
            },
            rules: Rules {
                answer_slack: or(rules.whole("answer-slack"), 16_000),
                drain_grace: or(rules.whole("drain-grace"), 1_000_000),
                cold_from: or(rules.number("cold-from"), 0.28),
                cold: or(rules.whole("cold"), 16_000_000),
                cold_factor: or(rules.number("cold-factor"), 4.0),
                cold_push: or(rules.whole("cold-push"), 1_000_000),
            },
            classes: f.tables("class").iter().filter_map(class).collect(),
            plans: f.tables("plan").iter().filter_map(plan).collect(),
            ceilings: f.tables("ceiling").iter().filter_map(ceiling).collect(),
        }
    }

    /// The class whose largest request takes most units, among those of some names.
    pub fn largest(&self, among: impl Fn(&str) -> bool) -> Option<&Class> {
        let classes = self.classes.iter().filter(|c| among(&c.name.value));
        classes.max_by(|a, b| a.units.value.total_cmp(&b.units.value))
    }

    /// A class by its name.
    pub fn class(&self, name: &str) -> Option<&Class> {
        self.classes.iter().find(|c| c.name.value == name)
    }

    /// A plan by its name.
    pub fn plan(&self, name: &str) -> Option<&Plan> {
        self.plans.iter().find(|p| p.name.value == name)
    }
}

fn near(f: &Fields) -> Option<Near> {
    Some(Near {
        hall: f.text("hall")?,
        others: or(f.names("others"), Vec::new()),
    })
}

fn class(f: &Fields) -> Option<Class> {
    Some(Class {
        name: f.text("name")?,
        effect: f.text("effect"),
        group: f.text("group"),
        window: f.whole("window"),
        bad_key: f.is_bad("group") || f.is_bad("window"),
        wanted: f.whole("wanted"),
        deadline: f.whole("deadline"),
        worth: f.number("worth"),
        units: f.number("units").unwrap_or(At {
            value: 1.0,
            span: f.span.clone(),
        }),
    })
}

fn plan(f: &Fields) -> Option<Plan> {
    Some(Plan {
        name: f.text("name")?,
        quota: f.number("quota"),
        burst: f.number("burst"),
        never_over: f.number("never-over"),
        never_over_burst: f.number("never-over-burst").map(|n| n.value),
        price: or(f.number("price"), 1.0),
        beyond_costs: or(f.number("beyond-costs"), 0.0),
    })
}

fn ceiling(f: &Fields) -> Option<Ceiling> {
    Some(Ceiling {
        plan: f.text("plan")?,
        rate: f.number("rate")?,
    })
}

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

/// Who may call, and how they prove it.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Its place in the file.
    pub span: Range<usize>,
    /// What tokens must be for.
    pub audience: Option<At<String>>,
    /// Whether requests without a proof are turned away.
    pub required: bool,
    /// Microseconds.
    pub skew: u64,
    /// Microseconds.
    pub longest: u64,
    /// Whoever signs.
    pub issuers: Vec<Issuer>,
    /// On whose behalf.
    pub tenants: Vec<Tenant>,
}

/// Whoever signs tokens.
#[derive(Clone, Debug)]
pub struct Issuer {
    /// Its name.
    pub name: At<String>,
    /// Its keys.
    pub keys: Vec<IssuerKey>,
}

/// A key that signs tokens.
#[derive(Clone, Debug)]
pub struct IssuerKey {
    /// Its name.
    pub name: At<String>,
    /// The public half, 64 hex digits.
    pub public: At<String>,
    /// From when on, in seconds of Unix time.
    pub from: u64,
    /// Until when.
    pub until: Option<u64>,
}

/// On whose behalf tokens speak.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Its name.
    pub name: At<String>,
    /// The accounts that it may name.
    pub accounts: Vec<At<u64>>,
    /// The classes that it may send; none for all.
    pub classes: Option<Vec<At<String>>>,
}

fn identity(f: &Fields) -> Identity {
    let key = |k: &Fields| {
        Some(IssuerKey {
            name: k.text("name")?,
            public: k.text("public")?,
            from: or(k.whole("from"), 0),
            until: k.whole("until").map(|u| u.value),
        })
    };
    let issuer = |i: &Fields| {
        Some(Issuer {
            name: i.text("name")?,
            keys: i.tables("key").iter().filter_map(key).collect(),
        })
    };
    let tenant = |t: &Fields| {
        Some(Tenant {
            name: t.text("name")?,
            accounts: or(t.wholes("accounts"), Vec::new()),
            classes: t.names("classes").map(|c| c.value),
        })
    };
    Identity {
        span: f.span.clone(),
        audience: f.text("audience"),
        required: or(f.flag("required"), true),
        skew: or(f.whole("skew"), 30_000_000),
        longest: or(f.whole("longest"), 24 * 3_600_000_000),
        issuers: f.tables("issuer").iter().filter_map(issuer).collect(),
        tenants: f.tables("tenant").iter().filter_map(tenant).collect(),
    }
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

/// What an operator adds to an ingress that the platform describes.
#[derive(Clone, Debug)]
pub struct Ingress {
    /// Its control socket.
    pub control: Option<At<String>>,
    /// The folder for what it must not forget.
    pub state: Option<At<String>>,
    /// The file that says what became of the last reload.
    pub status: Option<At<String>>,
    /// Halls in order of nearness.
    pub near: Vec<Near>,
    /// Its pools and routes, as an application without a name has them.
    pub ways: Application,
}

impl Ingress {
    /// What a file's values mean.
    pub fn new(f: &Fields) -> Ingress {
        Ingress {
            control: f.text("control"),
            state: f.text("state"),
            status: f.text("status"),
            near: f.tables("near").iter().filter_map(near).collect(),
            ways: Application::new(f),
        }
    }

    /// The site that the platform's file describes, as far as pools and routes ask for it, and the application that may
    /// send all of its classes.
    pub fn at(&self, halls: &[String], classes: &[String]) -> (Site, Application) {
        let here = |value: &String| At {
            value: value.clone(),
            span: 0..0,
        };
        let mut site = Site::new(&Fields::default());
        (site.halls, site.near) = (halls.iter().map(here).collect(), self.near.clone());
        site.classes = classes
            .iter()
            .map(|name| Class {
                name: here(name),
                effect: None,
                group: None,
                window: None,
                bad_key: false,
                wanted: None,
                deadline: None,
                worth: None,
                units: At {
                    value: 1.0,
                    span: 0..0,
                },
            })
            .collect();
        let mut ways = self.ways.clone();
        ways.sends = classes.iter().map(here).collect();
        (site, ways)
    }
}

/// A node's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// Takes work.
    Up,
    /// Takes nothing new.
    Draining,
    /// Gone.
    Removed,
}

/// A node.
#[derive(Clone, Debug)]
pub struct Node {
    /// Its name.
    pub name: At<String>,
    /// Where it listens.
    pub address: Address,
    /// Where else it listens.
    pub addresses: Vec<At<Address>>,
    /// Its hall.
    pub hall: At<String>,
    /// Its model.
    pub model: String,
    /// Its group.
    pub group: u64,
    /// Its state.
    pub status: Status,
    /// Its capacity beside others.
    pub weight: f64,
    /// Milliseconds of Unix time.
    pub since_ms: u64,
}

/// The nodes at a moment.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    /// Discovery's number of the list.
    pub index: u64,
    /// The nodes.
    pub nodes: Vec<Node>,
}

impl Fleet {
    /// What a file's values mean.
    pub fn new(f: &Fields) -> Fleet {
        Fleet {
            index: or(f.whole("index"), 0),
            nodes: f.tables("node").iter().filter_map(node).collect(),
        }
    }

    /// Discovery's own list.
    ///
    /// # Errors
    ///
    /// With what is wrong, in words.
    pub fn from_discovery(text: &str) -> Result<Fleet, String> {
        #[derive(serde::Deserialize)]
        struct Line {
            name: String,
            address: String,
            #[serde(default)]
            addresses: Vec<String>,
            zone: String,
            r#type: String,
            group: u64,
            status: String,
            #[serde(default = "one")]
            weight: f64,
            #[serde(default)]
            since_ms: u64,
        }
        #[derive(serde::Deserialize)]
        struct List {
            index: u64,
            endpoints: Vec<Line>,
        }
        fn one() -> f64 {
            1.0
        }
        let list: List = serde_json::from_str(text).map_err(|e| e.to_string())?;
        let here = |value: String| At { value, span: 0..0 };
        let nodes = list.endpoints.into_iter().map(|l| {
            let status = match l.status.as_str() {
                "up" => Status::Up,
                "draining" => Status::Draining,
                "removed" => Status::Removed,
                other => return Err(format!("{}: the status \"{other}\" is unknown", l.name)),
            };
            let place = |text: &String| {
                text.parse::<Address>()
                    .map_err(|e| format!("{}: {e}", l.name))
            };
            let address = place(&l.address)?;
            let more = l.addresses.iter().map(|a| {
                Ok(At {
                    value: place(a)?,
                    span: 0..0,
                })
            });
            let addresses = more.collect::<Result<Vec<_>, String>>()?;
            if !l.weight.is_finite() || l.weight < 0.0 {
                return Err(format!("{}: the weight is no number from 0 up", l.name));
            }
            let (name, hall, model) = (here(l.name), here(l.zone), l.r#type);
            Ok(Node {
                name,
                address,
                addresses,
                hall,
                model,
                group: l.group,
                status,
                weight: l.weight,
                since_ms: l.since_ms,
            })
        });
        Ok(Fleet {
            index: list.index,
            nodes: nodes.collect::<Result<_, String>>()?,
        })
    }
}

fn node(f: &Fields) -> Option<Node> {
    let status = match f.text("status")?.value.as_str() {
        "up" => Status::Up,
        "draining" => Status::Draining,
        _ => Status::Removed,
    };
    Some(Node {
        name: f.text("name")?,
        address: f.node_address("address")?.value,
        addresses: or(f.node_addresses("addresses"), Vec::new()),
        hall: f.text("hall")?,
        model: f.text("model")?.value,
        group: f.whole("group")?.value,
        status,
        weight: or(f.number("weight"), 1.0),
        since_ms: or(f.whole("since-ms"), 0),
    })
}
