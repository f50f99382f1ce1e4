//! Parses settings, given as pairs of a path and a value, into [`Settings`]. Both hosts of the decision module use this
//! parser: the simulator's adapter with lines of text, the real ingress with nested JSON that is flattened to the same
//! paths. Unknown keys are ignored; an error names the missing or invalid key.

use std::collections::HashMap;
use wrenfork_decision::{
    BackendRules, Class, DiscoveryMode, GatewayId, Idempotency, KeyScope, Limits, LoadReport,
    Micros, Plan, Settings, WeightMeaning,
};

/// Longest deadline of a class, a day: a larger value is taken for a typing error.
const MAX_DEADLINE_MICROS: Micros = 86_400_000_000;
/// Most attempts for a request: a larger value is taken for a typing error.
const MAX_ATTEMPTS: u64 = 1_000;

/// Unparsed settings: values by path, such as `grades.0.worth`.
pub struct Conf(HashMap<String, String>);

impl Conf {
    /// Collects pairs of a path and a value.
    pub fn new(pairs: impl IntoIterator<Item = (String, String)>) -> Self {
        Conf(pairs.into_iter().collect())
    }

    /// Parses lines of the form `path=value`.
    pub fn from_lines(text: &str) -> Result<Self, String> {
        let mut map = HashMap::new();
        for (at, line) in text
            .lines()
            .enumerate()
            .filter(|(_, line)| !line.is_empty())
        {
            let (key, value) = line
                .split_once('=')
                .ok_or_else(|| format!("line {} of the settings has no '='", at + 1))?;
            map.insert(key.to_string(), value.to_string());
        }
        Ok(Conf(map))
    }

    fn text(&self, key: &str) -> Result<&str, String> {
        self.0
            .get(key)
            .map(String::as_str)
            .ok_or_else(|| format!("setting {key} is missing"))
    }

    fn number(&self, key: &str) -> Result<f64, String> {
        let text = self.text(key)?;
        match text.parse::<f64>() {
            Ok(n) if n.is_finite() && n >= 0.0 => Ok(n),
            _ => Err(format!("setting {key} is not a number from 0 up: {text}")),
        }
    }

    /// The number at a path, or `default` if the path is missing.
    pub fn number_or(&self, key: &str, default: f64) -> Result<f64, String> {
        if self.0.contains_key(key) {
            self.number(key)
        } else {
            Ok(default)
        }
    }

    fn integer(&self, key: &str, max: u64) -> Result<u64, String> {
        let text = self.text(key)?;
        match text.parse::<u64>() {
            Ok(n) if n <= max => Ok(n),
            _ => Err(format!(
                "setting {key} is not a whole number up to {max}: {text}"
            )),
        }
    }

    fn positive(&self, key: &str, max: u64) -> Result<u64, String> {
        match self.integer(key, max)? {
            0 => Err(format!(
                "setting {key} is 0: a whole number from 1 up to {max} is wanted"
            )),
            n => Ok(n),
        }
    }

    /// The duration at a path, in microseconds.
    pub fn micros(&self, key: &str) -> Result<Micros, String> {
        self.integer(key, u64::MAX >> 12)
    }

    fn flag(&self, key: &str) -> Result<bool, String> {
        match self.text(key)? {
            "true" => Ok(true),
            "false" => Ok(false),
            other => Err(format!("setting {key} is neither true nor false: {other}")),
        }
    }

    /// The length of a list of objects. An item with an index at or above the declared count is an error.
    fn count(&self, list: &str) -> Result<u64, String> {
        let count = self.integer(&format!("{list}.count"), 65_535)?;
        let prefix = format!("{list}.");
        for key in self.0.keys() {
            let index = key
                .strip_prefix(&prefix)
                .and_then(|rest| rest.split('.').next());
            if index
                .and_then(|i| i.parse::<u64>().ok())
                .is_some_and(|i| i >= count)
            {
                return Err(format!(
                    "setting {list}.count is {count}, but there is {key}"
                ));
            }
        }
        Ok(count)
    }

    fn class(&self, index: u64) -> Result<Class, String> {
        let key = |name: &str| format!("grades.{index}.{name}");
        let idempotency = match self.text(&key("effect"))? {
            "repeatable" => Idempotency::Idempotent,
            "once" => Idempotency::NotIdempotent,
            "by_key" => Idempotency::WithKey {
                scope: match self.text(&key("group"))? {
                    "all" => KeyScope::All,
                    "zone" => KeyScope::Zone,
                    "cell" => KeyScope::Cell,
                    other => return Err(format!("setting {} is unknown: {other}", key("group"))),
                },
                window: self.micros(&key("window_us"))?,
            },
            other => return Err(format!("setting {} is unknown: {other}", key("effect"))),
        };
        Ok(Class {
            latency_objective: self.micros(&key("objective_us"))?,
            objective_stretch: self.number_or(&key("aim_stretch"), 0.0)?,
            deadline: self.positive(&key("give_up_us"), MAX_DEADLINE_MICROS)?,
            priority_weight: self.number(&key("worth"))?,
            late_weight: self.number(&key("late_worth"))?,
            idempotency,
            streaming: self.flag(&key("stream"))?,
        })
    }

    fn plan(&self, index: u64) -> Result<Plan, String> {
        let key = |name: &str| format!("contracts.{index}.{name}");
        Ok(Plan {
            rate: self.number(&key("quota_rate"))?,
            burst: self.number(&key("burst"))?,
            max_in_flight: self.integer(&key("max_out"), u64::from(u32::MAX))? as u32,
            ceiling_rate: self.number(&key("never_over_rate"))?,
            ceiling_burst: self.number(&key("ceiling_burst"))?,
            ceiling_slack: self.number(&key("ceiling_slack"))?,
            weight_factor: self.number(&key("worth_factor"))?,
            over_quota_weight: self.number(&key("over_worth"))?,
            over_quota_cost: self.number(&key("beyond_costs"))?,
        })
    }

    /// Digest of a list's names in order (32-bit FNV-1a, folded to 8 bits).
    fn names_digest(&self, list: &str) -> u8 {
        let names = (0..self.count(list).unwrap_or(0))
            .map(|i| self.text(&format!("{list}.{i}.name")).unwrap_or(""));
        let bytes = names.flat_map(|name| name.bytes().chain([0]));
        let hash = bytes.fold(0x811c_9dc5_u32, |h, b| {
            (h ^ u32::from(b)).wrapping_mul(0x0100_0193)
        });
        hash.to_le_bytes().into_iter().fold(0, |a, b| a ^ b)
    }

    /// Parses the settings that the decision module is started with.
    pub fn settings(&self) -> Result<Settings, String> {
        let classes = (0..self.count("grades")?)
            .map(|i| self.class(i))
            .collect::<Result<Vec<_>, _>>()?;
        let plans = (0..self.count("contracts")?)
            .map(|i| self.plan(i))
            .collect::<Result<Vec<_>, _>>()?;
        Ok(Settings {
            gateway_count: self.integer("n_instances", 65_535)? as u16,
            gateway_id: GatewayId(self.integer("slot_no", 65_535)? as u16),
            zone: self.integer("zone", 255)? as u8,
            tick: self.micros("tick_us")?,
            classes,
            plans,
            limits: Limits {
                max_attempts: self.positive("limits.most_tries", MAX_ATTEMPTS)? as u32,
                hedging: self.flag("limits.second_copies")?,
                cancellation: self.flag("limits.cancelling")?,
                health_checks: self.flag("limits.may_probe")?,
                peers: self.flag("limits.peers")?,
                peer_messages_per_s: self.number("family_info.peer_in_per_s")?,
                retry_after: self.flag("limits.retry_after")?,
                max_retry_after: self.micros("limits.max_retry_after_us")?,
                shared_counter: self.flag("family_info.has_counter")?,
                max_pending: self.integer("limits.max_open", u64::from(u32::MAX))? as u32,
            },
            rules: BackendRules {
                answer_slack: self.micros("rules.answer_slack_us")?,
                drain_grace: self.micros("rules.drain_grace_us")?,
                warm_up_from: self.number("rules.cold_from")?,
                warm_up_time: self.micros("rules.cold_us")?,
                overload_factor: self.number("rules.overload_factor")?,
                overload_window: self.micros("rules.fall_us")?,
                max_poll_interval: self.micros("rules.must_ask_in_us")?,
            },
            discovery: match self.text("membership_mode")? {
                "ask" => DiscoveryMode::Poll,
                "push" => DiscoveryMode::Push,
                other => return Err(format!("setting membership_mode is unknown: {other}")),
            },
            weights: match self.text("weights")? {
                "none" => WeightMeaning::None,
                "live" => WeightMeaning::Live,
                "nominal" | "rough" => WeightMeaning::Capacity,
                other => return Err(format!("setting weights is unknown: {other}")),
            },
            meter_period: self.micros("family_info.meter_period_us")?,
            post_paid: self.flag("family_info.post_paid")?,
            pool_count: 0,
            name_digests: [self.names_digest("grades"), self.names_digest("contracts")],
        })
    }

    /// Names of the values in a load report, in wire order; empty if backends send no reports.
    pub fn report_fields(&self) -> Result<Vec<String>, String> {
        match self.text("reporting.how")? {
            "none" => Ok(Vec::new()),
            _ => self.list("reporting.fields"),
        }
    }

    /// The comma-separated list at a path, without empty items.
    pub fn list(&self, key: &str) -> Result<Vec<String>, String> {
        Ok(self
            .text(key)?
            .split(',')
            .filter(|n| !n.is_empty())
            .map(String::from)
            .collect())
    }

    /// Names of the objects in a list, such as the classes in `grades`, by index.
    pub fn names(&self, list: &str) -> Result<Vec<String>, String> {
        let name = |i| self.text(&format!("{list}.{i}.name")).map(String::from);
        (0..self.count(list)?).map(name).collect()
    }
}

/// Stores a value of a load report. `name` is the name used in the settings or its plain synonym; other names are
/// ignored.
pub fn note_field(report: &mut LoadReport, name: &str, value: Option<f64>) {
    match name {
        "concurrent" | "inflight" => report.in_flight = value,
        "depth" | "queue" => report.queue = value,
        "load_share" | "util" => report.utilization = value,
        "mean_ms" | "latency_ms" => report.latency_ms = value,
        "tps" | "qps" => report.served = value,
        "err_ps" | "eps" => report.errors = value,
        _ => {}
    }
}

#[cfg(test)]
mod tests;
