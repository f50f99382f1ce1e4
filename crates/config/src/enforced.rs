//! What of an ingress's settings may change while it serves, as keys and values, and what is fixed from its start on.
//!
//! The keys are those of the settings (`contracts.1.quota_rate`), and besides `discovery`, `sends` and `accounts.HEX` for a
//! sidecar. A place in the lists `contracts` and `grades` belongs to a name: requests that are open, and peers' messages,
//! name classes and plans by their places. [`align`] gives a wanted state the places that a running one has.

use crate::callers;
use crate::locality::ways;
use crate::model::{self, Application, Fleet, Site};
pub use crate::pairs::Pairs;
use crate::render::{contracts, render};
use crate::settings::Conf;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::{BTreeMap, HashMap};
use wrenfork_rollout::PROGRAM_KEY;
use wrenfork_routes::{Canary, Pool, PoolId, Route, Selector, Table};

/// The keys of a class, a plan, the limits and the rules that may change.
const CLASS: [&str; 10] = [
    "name",
    "effect",
    "group",
    "window_us",
    "objective_us",
    "aim_stretch",
    "give_up_us",
    "worth",
    "late_worth",
    "stream",
];
const PLAN: [&str; 10] = [
    "name",
    "quota_rate",
    "burst",
    "max_out",
    "never_over_rate",
    "ceiling_burst",
    "ceiling_slack",
    "worth_factor",
    "over_worth",
    "beyond_costs",
];
const LIMITS: [&str; 9] = [
    "most_tries",
    "second_copies",
    "cancelling",
    "may_probe",
    "retry_after",
    "max_retry_after_us",
    "max_open",
    "connect_timeout_us",
    "keepalive_us",
];
const POOL: [&str; 6] = ["name", "halls", "models", "groups", "nodes", "fallback"];
const ROUTE: [&str; 3] = ["pool", "trial", "share"];
const RULES: [&str; 7] = [
    "answer_slack_us",
    "drain_grace_us",
    "cold_from",
    "cold_us",
    "overload_factor",
    "fall_us",
    "must_ask_in_us",
];
/// The lists whose places belong to names.
const LISTS: [&str; 3] = ["contracts", "grades", "pools"];
/// Classes have a byte for their place, and one that went keeps its own.
const MOST_CLASSES: usize = 250;
const MOST_PLANS: usize = 60_000;

/// Whether a key may change while an ingress serves.
pub fn changeable(key: &str) -> bool {
    let parts: Vec<&str> = key.split('.').collect();
    match parts[..] {
        ["discovery" | "sends" | PROGRAM_KEY]
        | ["grades" | "contracts" | "pools", "count"]
        | ["family_info", "most_units"] => true,
        ["accounts", id] => crate::values::account(id).is_ok(),
        ["grades", n, field] => n.parse::<u16>().is_ok() && CLASS.contains(&field),
        ["contracts", n, field] => n.parse::<u16>().is_ok() && PLAN.contains(&field),
        ["pools", n, field] => n.parse::<u8>().is_ok() && POOL.contains(&field),
        // A class's name may have dots of its own.
        ["routes", _, .., field] => ROUTE.contains(&field),
        ["identity", ..] => callers::changeable(key),
        ["limits", field] => LIMITS.contains(&field),
        ["rules", field] => RULES.contains(&field),
        _ => false,
    }
}

/// Flattens nested settings to paths with values.
pub fn flatten(path: &str, value: &Value, pairs: &mut Vec<(String, String)>) {
    let below = |key: &str| {
        if path.is_empty() {
            key.to_string()
        } else {
            format!("{path}.{key}")
        }
    };
    let plain = |v: &Value| v.as_str().map_or_else(|| v.to_string(), String::from);
    match value {
        Value::Null => {}
        Value::Object(map) => map
            .iter()
            .for_each(|(key, v)| flatten(&below(key), v, pairs)),
        Value::Array(list) => {
            if list.iter().all(Value::is_object) {
                pairs.push((below("count"), list.len().to_string()));
                list.iter()
                    .enumerate()
                    .for_each(|(i, v)| flatten(&below(&i.to_string()), v, pairs));
            }
            if !list.iter().any(Value::is_object) {
                let joined: Vec<String> = list.iter().map(plain).collect();
                pairs.push((path.to_string(), joined.join(",")));
            }
        }
        _ => pairs.push((path.to_string(), plain(value))),
    }
}

/// What an ingress is told, split into what is fixed and what may change.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Told {
    /// Settings that are fixed from the start on.
    pub fixed: Vec<(String, String)>,
    /// What may change.
    pub state: Pairs,
}

/// Splits what an ingress is told.
///
/// # Errors
///
/// Where it has no settings.
pub fn split(told: &Value) -> Result<Told, String> {
    let mut pairs = Vec::new();
    flatten(
        "",
        told.get("settings").ok_or("settings is missing")?,
        &mut pairs,
    );
    let (state, fixed) = pairs
        .into_iter()
        .partition::<Vec<_>, _>(|(key, _)| changeable(key));
    let mut state: Pairs = state.into_iter().collect();
    if let Some(discovery) = told.get("discovery").and_then(Value::as_str) {
        state.insert("discovery".into(), discovery.into());
    }
    Ok(Told { fixed, state })
}

/// What a sidecar is told, and the same split.
///
/// # Errors
///
/// Where the application has no sidecar of that name.
pub fn sidecar(
    app: &Application,
    site: &Site,
    fleet: Option<&Fleet>,
    name: &str,
) -> Result<(Value, Told), String> {
    let told = render(app, site, fleet, name)?;
    let mut split = split(&told)?;
    let list = contracts(app, site);
    let accounts = app.accounts.iter().filter_map(|a| {
        let place = list.of.get(&a.id.value)?;
        Some((a.id.value, list.list.get(*place)?.0.as_str()))
    });
    identify(
        &mut split.state,
        accounts,
        app.sends.iter().map(|c| c.value.as_str()),
    );
    let place = app.sidecars.iter().find(|c| c.name.value == name);
    let (pools, routes) = ways(app, site, place);
    route(&mut split.state, &pools, &routes);
    if let Some(program) = &app.program {
        split.state.insert(
            PROGRAM_KEY.into(),
            format!("{}@{}", program.name.value, program.sha256.value),
        );
    }
    app.identity
        .iter()
        .for_each(|identity| callers::put(&mut split.state, identity));
    Ok((told, split))
}

/// A sidecar's pools and routes.
pub(crate) fn route(state: &mut Pairs, pools: &[model::Pool], routes: &[model::Route]) {
    if pools.is_empty() {
        return;
    }
    state.insert("pools.count".into(), pools.len().to_string());
    for (n, pool) in pools.iter().enumerate() {
        let groups: Vec<String> = pool.selector.cells.iter().map(u64::to_string).collect();
        let fields = [
            ("name", pool.name.value.clone()),
            ("halls", pool.selector.zone_groups.join(",")),
            ("models", pool.selector.machine_types.join(",")),
            ("groups", groups.join(",")),
            ("nodes", pool.selector.nodes.join(",")),
            (
                "fallback",
                pool.fallback
                    .as_ref()
                    .map_or(String::new(), |f| f.value.clone()),
            ),
        ];
        let given = fields.into_iter().filter(|(_, value)| !value.is_empty());
        state.extend(given.map(|(key, value)| (format!("pools.{n}.{key}"), value)));
    }
    for route in routes {
        let class = &route.class.value;
        let mut put = |key: &str, value: Option<String>| {
            if let Some(value) = value {
                state.insert(format!("routes.{class}.{key}"), value);
            }
        };
        put("pool", route.pool.as_ref().map(|p| p.value.clone()));
        put("trial", route.trial.as_ref().map(|p| p.value.clone()));
        put("share", route.share.as_ref().map(|s| s.value.to_string()));
    }
}

/// The pools and routes of a state, with the routes in the order of its classes, and the names of the pools.
///
/// # Errors
///
/// Names what leads nowhere or in a circle.
pub fn table(state: &Pairs) -> Result<(Table, Vec<String>), String> {
    let pool_names = names(state, "pools");
    let number = |name: &str| {
        let at = pool_names.iter().position(|n| !n.is_empty() && n == name);
        at.and_then(|n| u8::try_from(n).ok())
            .map(PoolId)
            .ok_or_else(|| format!("there is no pool {name}"))
    };
    let field = |list: &str, at: &str, key: &str| {
        state.get(&format!("{list}.{at}.{key}")).map(String::as_str)
    };
    let words = |n: usize, key: &str| -> Vec<String> {
        let text = field("pools", &n.to_string(), key).unwrap_or("");
        text.split(',')
            .filter(|w| !w.is_empty())
            .map(String::from)
            .collect()
    };
    let mut table = Table::default();
    for (n, name) in pool_names.iter().enumerate() {
        let groups = words(n, "groups")
            .iter()
            .map(|g| g.parse().map_err(|_| format!("{g} is no group")))
            .collect();
        let groups: Result<Vec<u64>, String> = groups;
        let selector = Selector {
            zone_groups: words(n, "halls"),
            machine_types: words(n, "models"),
            cells: groups?,
            nodes: words(n, "nodes"),
        };
        let fallback = field("pools", &n.to_string(), "fallback").filter(|_| !name.is_empty());
        table.pools.push(Pool {
            selector,
            fallback: fallback.map(number).transpose()?,
        });
    }
    for class in names(state, "grades") {
        let Some(pool) = field("routes", &class, "pool").filter(|_| !class.is_empty()) else {
            table.routes.push(None);
            continue;
        };
        let trial = match (
            field("routes", &class, "trial"),
            field("routes", &class, "share"),
        ) {
            (Some(trial), Some(share)) => {
                let share = share.parse().ok().filter(|s: &f64| (0.0..=1.0).contains(s));
                let share = share.ok_or_else(|| format!("routes.{class}.share is no share"))?;
                Some(Canary {
                    pool: number(trial)?,
                    fraction: share,
                })
            }
            _ => None,
        };
        table.routes.push(Some(Route {
            pool: number(pool)?,
            canary: trial,
        }));
    }
    match table.errors().first() {
        Some(error) => Err(format!("the pools can't be used: {error}")),
        None => Ok((table, pool_names)),
    }
}

/// A sidecar's accounts, with the names of their contracts, and the classes that it may send.
fn identify<'a>(
    state: &mut Pairs,
    accounts: impl IntoIterator<Item = (u64, &'a str)>,
    sends: impl IntoIterator<Item = &'a str>,
) {
    for (id, contract) in accounts {
        state.insert(format!("accounts.{id:016x}"), contract.into());
    }
    let mut sends: Vec<&str> = sends.into_iter().collect();
    sends.sort_unstable();
    state.insert("sends".into(), sends.join(","));
}

/// Settings from what is fixed and what may change.
///
/// # Errors
///
/// Names a key that this program does not know, or whose value it can't use.
pub fn join(fixed: &[(String, String)], state: &Pairs) -> Result<Conf, String> {
    if let Some(key) = state.keys().find(|key| !changeable(key)) {
        return Err(format!(
            "the key {key} is unknown here, or fixed from the start on"
        ));
    }
    Ok(Conf::new(
        fixed
            .iter()
            .cloned()
            .chain(state.iter().map(|(k, v)| (k.clone(), v.clone()))),
    ))
}

/// The names of a list by their places; empty for one that went.
pub(crate) fn names(state: &Pairs, list: &str) -> Vec<String> {
    let count = state
        .get(&format!("{list}.count"))
        .and_then(|n| n.parse().ok())
        .unwrap_or(0);
    (0..count)
        .map(|n: usize| {
            state
                .get(&format!("{list}.{n}.name"))
                .cloned()
                .unwrap_or_default()
        })
        .collect()
}

/// A wanted state with the places that running ones have, those of all ingresses that tell each other what is used: a place
/// means the same at all of them. A name keeps its place; a new one takes a place that is nobody's anywhere, else the next one.
/// A place between others whose name went has no name and the figures of the first that has one, so that the same names at
/// the same places are always the same state.
///
/// # Errors
///
/// Where no place is left.
pub fn align(running: &[&Pairs], wanted: &Pairs) -> Result<Pairs, String> {
    let of_list = |key: &str| {
        LISTS.iter().any(|l| {
            key.strip_prefix(l)
                .is_some_and(|rest| rest.starts_with('.'))
        })
    };
    let mut out: Pairs = wanted
        .iter()
        .filter(|(key, _)| !of_list(key))
        .map(|(k, v)| (k.clone(), v.clone()))
        .collect();
    for list in LISTS {
        let (has, wants) = (
            running.iter().map(|r| names(r, list)).collect::<Vec<_>>(),
            names(wanted, list),
        );
        let known = has.iter().map(Vec::len).max().unwrap_or(0);
        // Who has a place, at any of them; two who have one place keep it neither.
        let mut holders: Vec<Option<&str>> = vec![None; known];
        let mut torn = vec![false; known];
        for names in &has {
            for (place, name) in names
                .iter()
                .enumerate()
                .filter(|(_, name)| !name.is_empty())
            {
                torn[place] |= holders[place].is_some_and(|h| h != name);
                holders[place] = Some(name);
            }
        }
        let mut place_of: HashMap<&str, usize> = HashMap::new();
        let mut split: Vec<&str> = Vec::new();
        for (place, holder) in holders.iter().enumerate() {
            let Some(name) = holder.filter(|_| !torn[place]) else {
                continue;
            };
            if place_of.insert(name, place).is_some() {
                split.push(name); // at one place here, at another there
            }
        }
        place_of.retain(|name, _| !split.contains(name));
        let mut free: Vec<usize> = (0..known)
            .rev()
            .filter(|place| holders[*place].is_none())
            .collect();
        let (mut next, mut from): (usize, BTreeMap<usize, usize>) = (known, BTreeMap::new());
        for (at, name) in wants
            .iter()
            .enumerate()
            .filter(|(_, name)| !name.is_empty())
        {
            let place = place_of
                .get(name.as_str())
                .copied()
                .or_else(|| free.pop())
                .unwrap_or(next);
            next = next.max(place + 1);
            from.insert(place, at);
        }
        let count = from.last_key_value().map_or(0, |(place, _)| place + 1);
        let most = match list {
            "grades" => MOST_CLASSES,
            "pools" => wrenfork_routes::MAX_POOLS,
            _ => MOST_PLANS,
        };
        if count > most {
            return Err(format!(
                "{list} has no place left for a new name: a restart of all gives those that went free"
            ));
        }
        let first = from.first_key_value().map_or(0, |(_, at)| *at);
        for place in 0..count {
            let named = from.get(&place);
            let prefix = format!("{list}.{}.", named.unwrap_or(&first));
            let fields = wanted
                .range(prefix.clone()..)
                .take_while(|(key, _)| key.starts_with(&prefix));
            for (key, value) in fields {
                out.insert(
                    format!("{list}.{place}.{}", &key[prefix.len()..]),
                    value.clone(),
                );
            }
            if named.is_none() {
                out.insert(format!("{list}.{place}.name"), String::new());
            }
        }
        if wanted.contains_key(&format!("{list}.count")) {
            out.insert(format!("{list}.count"), count.to_string());
        }
    }
    Ok(out)
}

/// A key as people say it: the name of a class or plan in place of its place.
pub fn spoken(key: &str, old: &Pairs, new: &Pairs) -> String {
    let mut parts = key.splitn(3, '.');
    let (Some(list), Some(place), Some(field)) = (parts.next(), parts.next(), parts.next()) else {
        return key
            .strip_prefix("accounts.")
            .map_or(key.to_string(), |id| format!("account {id}"));
    };
    let word = match list {
        "contracts" => "plan",
        "grades" => "class",
        "pools" => "pool",
        "routes" => return format!("route {place} {field}"),
        _ => return key.to_string(),
    };
    let at = format!("{list}.{place}.name");
    let name = [new, old]
        .iter()
        .find_map(|s| s.get(&at).filter(|n| !n.is_empty()).cloned());
    format!(
        "{word} {} {field}",
        name.unwrap_or_else(|| place.to_string())
    )
}

#[cfg(test)]
mod tests;
