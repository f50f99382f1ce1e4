//! Contents of a site's file.

use super::fields::value_or;
use crate::reader::{At, Fields};

/// Limits of each ingress of the site.
#[derive(Clone, Debug)]
pub struct SiteLimits {
    /// Most attempts for one request.
    pub attempts: u64,
    /// Whether hedged requests are allowed: two attempts in flight at once.
    pub second_copies: bool,
    /// Whether attempts may be cancelled.
    pub cancel: bool,
    /// Whether health checks may be sent to nodes.
    pub probes: bool,
    /// Most open requests.
    pub open: u64,
    /// Longest retry delay sent to clients, in microseconds; none sends no delay.
    pub retry_after: Option<u64>,
    /// Connect timeout, in microseconds.
    pub connect: u64,
    /// How long a node keeps an idle connection, in microseconds.
    pub keepalive: u64,
    /// Shortest time between two timer ticks, in microseconds.
    pub tick: u64,
    /// Most messages accepted from peers per second.
    pub messages: f64,
}

/// Parameters of the platform's rules; times are in microseconds.
#[derive(Clone, Debug)]
pub struct Rules {
    /// How long after the deadline a final answer still counts.
    pub answer_slack: u64,
    /// Time within which new work sent to a draining node must have ended.
    pub drain_grace: u64,
    /// Share of its full speed at which a node starts.
    pub cold_from: f64,
    /// Time until a started node reaches full speed.
    pub cold: u64,
    /// A warming node fails under more than this multiple of its speed, if the load lasts for `cold_push`.
    pub cold_factor: f64,
    /// How long a warming node tolerates more than `cold_factor`.
    pub cold_push: u64,
}

/// Whether a request that may have run may be repeated.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// A repeat is always allowed.
    Safe,
    /// A repeat is allowed while its idempotency key is remembered.
    Keyed {
        /// Which nodes share keys: `all`, those of a `hall` or those of a `group`.
        group: String,
        /// How long a key is remembered, in microseconds.
        window: u64,
    },
    /// A repeat is never allowed.
    Unsafe,
}

/// A class of requests.
#[derive(Clone, Debug)]
pub struct Class {
    /// Name that clients send.
    pub name: At<String>,
    /// `safe`, `keyed` or `unsafe`.
    pub effect: Option<At<String>>,
    /// Which nodes share idempotency keys: `all`, `hall` or `group`.
    pub group: Option<At<String>>,
    /// How long a key is remembered, in microseconds.
    pub window: Option<At<u64>>,
    /// `group` or `window` has an invalid value that is already reported.
    pub invalid_key: bool,
    /// Time within which an answer earns the full worth, in microseconds.
    pub wanted: Option<At<u64>>,
    /// Longest wait of a client over all its attempts, in microseconds.
    pub deadline: Option<At<u64>>,
    /// Worth of one answer in time.
    pub worth: Option<At<f64>>,
    /// Most quota units that one request takes.
    pub units: At<f64>,
}

impl Class {
    /// Whether a request may be repeated; none if the file leaves that incomplete.
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

/// A plan that accounts are on.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Name, unique within the site.
    pub name: At<String>,
    /// Quota of each account, in units per second.
    pub quota: Option<At<f64>>,
    /// Burst of each account, in units.
    pub burst: Option<At<f64>>,
    /// Hard limit of each account, in units per second; none for no limit.
    pub never_over: Option<At<f64>>,
    /// Burst of the hard limit, in units; none for twice the burst.
    pub never_over_burst: Option<f64>,
    /// Factor on the worth of the plan's answers.
    pub price: f64,
    /// Share of the worth that is lost by serving beyond the quota, from 0 to 1.
    pub beyond_costs: f64,
}

/// Limit on the sum of all quotas of a plan.
#[derive(Clone, Debug)]
pub struct Ceiling {
    /// Name of the plan.
    pub plan: At<String>,
    /// Most that the quotas may add up to, in units per second.
    pub rate: At<f64>,
}

/// For a hall, the others in order of nearness.
#[derive(Clone, Debug)]
pub struct Near {
    /// Hall that the requests come from.
    pub hall: At<String>,
    /// Other halls, the nearest first.
    pub others: Vec<At<String>>,
}

/// Contents of a file with `kind = "site"`.
#[derive(Clone, Debug)]
pub struct Site {
    /// Name that applications refer to.
    pub name: Option<At<String>>,
    /// Halls in which nodes and sidecars run.
    pub halls: Vec<At<String>>,
    /// For each listed hall, the other halls in order of nearness.
    pub near: Vec<Near>,
    /// Capacity of a node of weight 1, in units per second.
    pub per_weight: Option<f64>,
    /// Limits of each ingress.
    pub limits: SiteLimits,
    /// Parameters of the platform's rules.
    pub rules: Rules,
    /// Classes of requests.
    pub classes: Vec<Class>,
    /// Plans that accounts can be on.
    pub plans: Vec<Plan>,
    /// Ceilings on the quotas of all applications together.
    pub ceilings: Vec<Ceiling>,
}

impl Site {
    /// Builds the site from the valid fields of its file.
    pub fn new(fields: &Fields) -> Site {
        let empty = Fields::default();
        let limits = fields.table("limits").unwrap_or(&empty);
        let rules = fields.table("rules").unwrap_or(&empty);
        Site {
            name: fields.text("name"),
            halls: value_or(fields.names("halls"), Vec::new()),
            near: fields.tables("near").iter().filter_map(near).collect(),
            per_weight: fields.number("per-weight").map(|n| n.value),
            limits: SiteLimits {
                attempts: value_or(limits.integer("attempts"), 3),
                second_copies: value_or(limits.flag("second-copies"), true),
                cancel: value_or(limits.flag("cancel"), true),
                probes: value_or(limits.flag("probes"), false),
                open: value_or(limits.integer("open"), 20_000),
                retry_after: limits.integer("retry-after").map(|t| t.value),
                connect: value_or(limits.integer("connect"), 250_000),
                keepalive: value_or(limits.integer("keepalive"), 15_000_000),
                tick: value_or(limits.integer("tick"), 4_000),
                messages: value_or(limits.number("messages"), 40.0),
            },
            rules: Rules {
                answer_slack: value_or(rules.integer("answer-slack"), 16_000),
                drain_grace: value_or(rules.integer("drain-grace"), 1_000_000),
                cold_from: value_or(rules.number("cold-from"), 0.28),
                cold: value_or(rules.integer("cold"), 16_000_000),
                cold_factor: value_or(rules.number("cold-factor"), 4.0),
                cold_push: value_or(rules.integer("cold-push"), 1_000_000),
            },
            classes: fields.tables("class").iter().filter_map(class).collect(),
            plans: fields.tables("plan").iter().filter_map(plan).collect(),
            ceilings: fields
                .tables("ceiling")
                .iter()
                .filter_map(ceiling)
                .collect(),
        }
    }

    /// The class whose requests can take the most units, among the classes whose name `filter` accepts.
    pub fn largest(&self, filter: impl Fn(&str) -> bool) -> Option<&Class> {
        let classes = self.classes.iter().filter(|c| filter(&c.name.value));
        classes.max_by(|a, b| a.units.value.total_cmp(&b.units.value))
    }

    /// Finds a class by name.
    pub fn class(&self, name: &str) -> Option<&Class> {
        self.classes.iter().find(|c| c.name.value == name)
    }

    /// Finds a plan by name.
    pub fn plan(&self, name: &str) -> Option<&Plan> {
        self.plans.iter().find(|p| p.name.value == name)
    }
}

pub(super) fn near(fields: &Fields) -> Option<Near> {
    Some(Near {
        hall: fields.text("hall")?,
        others: value_or(fields.names("others"), Vec::new()),
    })
}

fn class(fields: &Fields) -> Option<Class> {
    Some(Class {
        name: fields.text("name")?,
        effect: fields.text("effect"),
        group: fields.text("group"),
        window: fields.integer("window"),
        invalid_key: fields.is_invalid("group") || fields.is_invalid("window"),
        wanted: fields.integer("wanted"),
        deadline: fields.integer("deadline"),
        worth: fields.number("worth"),
        units: fields.number("units").unwrap_or(At {
            value: 1.0,
            span: fields.span.clone(),
        }),
    })
}

fn plan(fields: &Fields) -> Option<Plan> {
    Some(Plan {
        name: fields.text("name")?,
        quota: fields.number("quota"),
        burst: fields.number("burst"),
        never_over: fields.number("never-over"),
        never_over_burst: fields.number("never-over-burst").map(|n| n.value),
        price: value_or(fields.number("price"), 1.0),
        beyond_costs: value_or(fields.number("beyond-costs"), 0.0),
    })
}

fn ceiling(fields: &Fields) -> Option<Ceiling> {
    Some(Ceiling {
        plan: fields.text("plan")?,
        rate: fields.number("rate")?,
    })
}
