//! Reads the settings text into [`Settings`]. Unknown keys are skipped, missing or bad ones named.

use chalkgap::{
    Class, Discovery, GatewayNo, Group, Limits, Micros, Plan, Repeat, Rules, Settings, SizeMeaning,
};
use std::collections::HashMap;

struct Conf<'a>(HashMap<&'a str, &'a str>);

impl<'a> Conf<'a> {
    fn text(&self, key: &str) -> Result<&'a str, String> {
        self.0.get(key).copied().ok_or_else(|| format!("setting {key} is missing"))
    }

    fn number(&self, key: &str) -> Result<f64, String> {
        let text = self.text(key)?;
        match text.parse::<f64>() {
            Ok(n) if n.is_finite() && n >= 0.0 => Ok(n),
            _ => Err(format!("setting {key} is not a number from 0 up: {text}")),
        }
    }

    fn number_or(&self, key: &str, absent: f64) -> Result<f64, String> {
        if self.0.contains_key(key) {
            self.number(key)
        } else {
            Ok(absent)
        }
    }

    fn whole(&self, key: &str, most: u64) -> Result<u64, String> {
        let text = self.text(key)?;
        match text.parse::<u64>() {
            Ok(n) if n <= most => Ok(n),
            _ => Err(format!("setting {key} is not a whole number up to {most}: {text}")),
        }
    }

    fn micros(&self, key: &str) -> Result<Micros, String> {
        self.whole(key, u64::MAX >> 12)
    }

    fn flag(&self, key: &str) -> Result<bool, String> {
        match self.text(key)? {
            "true" => Ok(true),
            "false" => Ok(false),
            other => Err(format!("setting {key} is neither true nor false: {other}")),
        }
    }

    /// The length of a list of objects; one item more or fewer than told is an error.
    fn count(&self, list: &str) -> Result<u64, String> {
        let count = self.whole(&format!("{list}.count"), 65_535)?;
        let prefix = format!("{list}.");
        for key in self.0.keys() {
            let index = key.strip_prefix(&prefix).and_then(|rest| rest.split('.').next());
            if index.and_then(|i| i.parse::<u64>().ok()).is_some_and(|i| i >= count) {
                return Err(format!("setting {list}.count is {count}, but there is {key}"));
            }
        }
        Ok(count)
    }

    fn class(&self, i: u64) -> Result<Class, String> {
        let key = |name: &str| format!("grades.{i}.{name}");
        let repeat = match self.text(&key("effect"))? {
            "repeatable" => Repeat::Safe,
            "once" => Repeat::Once,
            "by_key" => Repeat::Keyed {
                group: match self.text(&key("group"))? {
                    "all" => Group::All,
                    "zone" => Group::Zone,
                    "cell" => Group::Cell,
                    other => return Err(format!("setting {} is unknown: {other}", key("group"))),
                },
                window: self.micros(&key("window_us"))?,
            },
            other => return Err(format!("setting {} is unknown: {other}", key("effect"))),
        };
        Ok(Class {
            aim: self.micros(&key("objective_us"))?,
            aim_stretch: self.number_or(&key("aim_stretch"), 0.0)?,
            deadline: self.micros(&key("give_up_us"))?,
            worth: self.number(&key("worth"))?,
            late_worth: self.number(&key("late_worth"))?,
            repeat,
            stream: self.flag(&key("stream"))?,
        })
    }

    fn plan(&self, i: u64) -> Result<Plan, String> {
        let key = |name: &str| format!("contracts.{i}.{name}");
        Ok(Plan {
            rate: self.number(&key("quota_rate"))?,
            burst: self.number(&key("burst"))?,
            open_cap: self.whole(&key("max_out"), u64::from(u32::MAX))? as u32,
            ceiling_rate: self.number(&key("never_over_rate"))?,
            ceiling_burst: self.number(&key("ceiling_burst"))?,
            ceiling_slack: self.number(&key("ceiling_slack"))?,
            price: self.number(&key("worth_factor"))?,
            over_worth: self.number(&key("over_worth"))?,
            over_cost: self.number(&key("beyond_costs"))?,
        })
    }
}

/// The settings, and the names of the values in a load report.
pub fn parse(text: &str) -> Result<(Settings, Vec<String>), String> {
    let mut map = HashMap::new();
    for (at, line) in text.lines().enumerate().filter(|(_, line)| !line.is_empty()) {
        let (key, value) =
            line.split_once('=').ok_or_else(|| format!("line {} of the settings has no '='", at + 1))?;
        map.insert(key, value);
    }
    let conf = Conf(map);
    let classes = (0..conf.count("grades")?).map(|i| conf.class(i)).collect::<Result<Vec<_>, _>>()?;
    let plans = (0..conf.count("contracts")?).map(|i| conf.plan(i)).collect::<Result<Vec<_>, _>>()?;
    let settings = Settings {
        gateways: conf.whole("n_instances", 65_535)? as u16,
        me: GatewayNo(conf.whole("slot_no", 65_535)? as u16),
        zone: conf.whole("zone", 255)? as u8,
        tick: conf.micros("tick_us")?,
        classes,
        plans,
        limits: Limits {
            max_attempts: conf.whole("limits.most_tries", u64::from(u32::MAX))? as u32,
            second_copies: conf.flag("limits.second_copies")?,
            cancel: conf.flag("limits.cancelling")?,
            probes: conf.flag("limits.may_probe")?,
            peers: conf.flag("limits.peers")?,
            peer_in_per_s: conf.number("family_info.peer_in_per_s")?,
            retry_after: conf.flag("limits.retry_after")?,
            max_retry_after: conf.micros("limits.max_retry_after_us")?,
            counter: conf.flag("family_info.has_counter")?,
            max_open: conf.whole("limits.max_open", u64::from(u32::MAX))? as u32,
        },
        rules: Rules {
            answer_slack: conf.micros("rules.answer_slack_us")?,
            drain_grace: conf.micros("rules.drain_grace_us")?,
            cold_from: conf.number("rules.cold_from")?,
            cold_time: conf.micros("rules.cold_us")?,
            fall_factor: conf.number("rules.overload_factor")?,
            fall_time: conf.micros("rules.fall_us")?,
            must_ask: conf.micros("rules.must_ask_in_us")?,
        },
        discovery: match conf.text("membership_mode")? {
            "ask" => Discovery::Ask,
            "push" => Discovery::Push,
            other => return Err(format!("setting membership_mode is unknown: {other}")),
        },
        sizes: match conf.text("weights")? {
            "none" => SizeMeaning::None,
            "live" => SizeMeaning::Live,
            "nominal" | "rough" => SizeMeaning::Capacity,
            other => return Err(format!("setting weights is unknown: {other}")),
        },
        meter_period: conf.micros("family_info.meter_period_us")?,
        post_paid: conf.flag("family_info.post_paid")?,
    };
    let names = match conf.text("reporting.how")? {
        "none" => Vec::new(),
        _ => {
            let listed = conf.text("reporting.fields")?;
            listed.split(',').filter(|n| !n.is_empty()).map(String::from).collect()
        }
    };
    Ok((settings, names))
}

#[cfg(test)]
mod tests {
    use super::parse;

    #[test]
    fn names_what_is_missing_or_bad() {
        let err = parse("grades.count=1\n").unwrap_err();
        assert!(err.contains("grades.0.effect"), "{err}");
        let err = parse("grades.count=0\ngrades.0.worth=1\n").unwrap_err();
        assert!(err.contains("grades.count"), "{err}");
        let err = parse("nonsense\n").unwrap_err();
        assert!(err.contains("line 1"), "{err}");
        let err = parse("grades.count=0\ncontracts.count=1\ncontracts.0.quota_rate=inf\n").unwrap_err();
        assert!(err.contains("contracts.0.quota_rate"), "{err}");
    }
}
