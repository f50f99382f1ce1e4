//! What the files of a site say.

use super::fields::or;
use crate::reader::{At, Fields};

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

pub(super) fn near(f: &Fields) -> Option<Near> {
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
