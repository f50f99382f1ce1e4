//! Splits an ingress's settings into the enforced state, which may change while the ingress runs, and the settings that
//! are fixed at its start.
//!
//! The keys of the state are those of the settings (`contracts.1.quota_rate`), plus `discovery`, `sends` and
//! `accounts.HEX` for a sidecar. An index in the lists `contracts`, `grades` and `pools` belongs to a name, because
//! open requests and messages between peers refer to classes and plans by index. [`align`] gives a wanted state the
//! indexes of the running states.

use crate::callers;
use crate::locality::pools_and_routes;
use crate::model::{self, Application, Fleet, Site};
pub use crate::pairs::Pairs;
use crate::render::{contracts, render};
use crate::settings::Conf;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::{BTreeMap, HashMap};
use wrenfork_rollout::PROGRAM_KEY;
use wrenfork_routes::{Canary, Pool, PoolId, Route, Selector, Table};

/// Changeable fields of a class.
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
/// Changeable fields of a plan.
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
/// Changeable limits.
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
/// Changeable fields of a pool.
const POOL: [&str; 6] = ["name", "halls", "models", "groups", "nodes", "fallback"];
/// Changeable fields of a route.
const ROUTE: [&str; 3] = ["pool", "trial", "share"];
/// Changeable parameters of the rules.
const RULES: [&str; 7] = [
    "answer_slack_us",
    "drain_grace_us",
    "cold_from",
    "cold_us",
    "overload_factor",
    "fall_us",
    "must_ask_in_us",
];
/// Lists in which an index belongs to a name.
const LISTS: [&str; 3] = ["contracts", "grades", "pools"];
/// Most indexes for classes: a class index is one byte, and a removed class keeps its index.
const MAX_CLASSES: usize = 250;
/// Most indexes for plans, including those of removed plans.
const MAX_PLANS: usize = 60_000;

/// Whether the value of a key may change while an ingress runs.
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
        // A class name may contain dots.
        ["routes", _, .., field] => ROUTE.contains(&field),
        ["identity", ..] => callers::changeable(key),
        ["limits", field] => LIMITS.contains(&field),
        ["rules", field] => RULES.contains(&field),
        _ => false,
    }
}

/// Flattens nested settings to pairs of a dotted path and a value.
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

/// Settings of an ingress, split into fixed ones and enforced state.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct SplitSettings {
    /// Settings that are fixed when the ingress starts.
    pub fixed: Vec<(String, String)>,
    /// Enforced state, which may change while the ingress runs.
    pub state: Pairs,
}

/// Splits the JSON settings of an ingress.
///
/// # Errors
///
/// Fails if the object `settings` is missing.
pub fn split(config: &Value) -> Result<SplitSettings, String> {
    let mut pairs = Vec::new();
    flatten(
        "",
        config.get("settings").ok_or("settings is missing")?,
        &mut pairs,
    );
    let (state, fixed) = pairs
        .into_iter()
        .partition::<Vec<_>, _>(|(key, _)| changeable(key));
    let mut state: Pairs = state.into_iter().collect();
    if let Some(discovery) = config.get("discovery").and_then(Value::as_str) {
        state.insert("discovery".into(), discovery.into());
    }
    Ok(SplitSettings { fixed, state })
}

/// The JSON settings of a sidecar, whole and split.
///
/// # Errors
///
/// Fails if the application has no sidecar of that name.
pub fn sidecar(
    app: &Application,
    site: &Site,
    fleet: Option<&Fleet>,
    name: &str,
) -> Result<(Value, SplitSettings), String> {
    let config = render(app, site, fleet, name)?;
    let mut split = split(&config)?;
    let contracts = contracts(app, site);
    let accounts = app.accounts.iter().filter_map(|a| {
        let index = contracts.index_by_account.get(&a.id.value)?;
        Some((a.id.value, contracts.list.get(*index)?.0.as_str()))
    });
    insert_accounts(
        &mut split.state,
        accounts,
        app.sends.iter().map(|c| c.value.as_str()),
    );
    let sidecar = app.sidecars.iter().find(|c| c.name.value == name);
    let (pools, routes) = pools_and_routes(app, site, sidecar);
    insert_routing(&mut split.state, &pools, &routes);
    if let Some(program) = &app.program {
        split.state.insert(
            PROGRAM_KEY.into(),
            format!("{}@{}", program.name.value, program.sha256.value),
        );
    }
    app.identity
        .iter()
        .for_each(|identity| callers::insert_identity(&mut split.state, identity));
    Ok((config, split))
}

/// Inserts pools and routes into a state.
pub(crate) fn insert_routing(state: &mut Pairs, pools: &[model::Pool], routes: &[model::Route]) {
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
        let mut insert = |key: &str, value: Option<String>| {
            if let Some(value) = value {
                state.insert(format!("routes.{class}.{key}"), value);
            }
        };
        insert("pool", route.pool.as_ref().map(|p| p.value.clone()));
        insert("trial", route.trial.as_ref().map(|p| p.value.clone()));
        insert("share", route.share.as_ref().map(|s| s.value.to_string()));
    }
}

/// The pools and routes of a state, with the routes in the order of the state's classes, and the names of the pools.
///
/// # Errors
///
/// Names a pool that does not exist, a fallback cycle or an invalid value.
pub fn table(state: &Pairs) -> Result<(Table, Vec<String>), String> {
    let pool_names = names(state, "pools");
    let pool_id = |name: &str| {
        let at = pool_names.iter().position(|n| !n.is_empty() && n == name);
        at.and_then(|n| u8::try_from(n).ok())
            .map(PoolId)
            .ok_or_else(|| format!("pool {name} does not exist"))
    };
    let field = |list: &str, at: &str, key: &str| {
        state.get(&format!("{list}.{at}.{key}")).map(String::as_str)
    };
    let list_items = |n: usize, key: &str| -> Vec<String> {
        let text = field("pools", &n.to_string(), key).unwrap_or("");
        text.split(',')
            .filter(|w| !w.is_empty())
            .map(String::from)
            .collect()
    };
    let mut table = Table::default();
    for (n, name) in pool_names.iter().enumerate() {
        let groups = list_items(n, "groups")
            .iter()
            .map(|g| {
                g.parse()
                    .map_err(|_| format!("pools.{n}.groups: {g} is not a group number"))
            })
            .collect();
        let groups: Result<Vec<u64>, String> = groups;
        let selector = Selector {
            zone_groups: list_items(n, "halls"),
            machine_types: list_items(n, "models"),
            cells: groups?,
            nodes: list_items(n, "nodes"),
        };
        let fallback = field("pools", &n.to_string(), "fallback").filter(|_| !name.is_empty());
        table.pools.push(Pool {
            selector,
            fallback: fallback.map(pool_id).transpose()?,
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
                let share = share
                    .ok_or_else(|| format!("routes.{class}.share is not a number from 0 to 1"))?;
                Some(Canary {
                    pool: pool_id(trial)?,
                    fraction: share,
                })
            }
            _ => None,
        };
        table.routes.push(Some(Route {
            pool: pool_id(pool)?,
            canary: trial,
        }));
    }
    match table.errors().first() {
        Some(error) => Err(format!("invalid pools: {error}")),
        None => Ok((table, pool_names)),
    }
}

/// Inserts a sidecar's accounts with the names of their contracts, and the classes that the application may send.
fn insert_accounts<'a>(
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

/// Joins fixed settings and enforced state to complete settings.
///
/// # Errors
///
/// Names a key of the state that is unknown or fixed.
pub fn join(fixed: &[(String, String)], state: &Pairs) -> Result<Conf, String> {
    if let Some(key) = state.keys().find(|key| !changeable(key)) {
        return Err(format!(
            "the key {key} is unknown or can't change while the ingress runs"
        ));
    }
    Ok(Conf::new(
        fixed
            .iter()
            .cloned()
            .chain(state.iter().map(|(k, v)| (k.clone(), v.clone()))),
    ))
}

/// Names in a list by index; empty for a removed one.
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

/// Gives a wanted state the indexes of the running states. `running` has the states of all ingresses that exchange
/// usage reports, because an index must mean the same at all of them. A name keeps its index; a new name takes an index
/// that is free everywhere, or the next one. An unused index between used ones has an empty name and the fields of the
/// first named entry, so that the same names at the same indexes always give the same state.
///
/// # Errors
///
/// Fails if no index is left.
pub fn align(running: &[&Pairs], wanted: &Pairs) -> Result<Pairs, String> {
    let is_list_key = |key: &str| {
        LISTS.iter().any(|l| {
            key.strip_prefix(l)
                .is_some_and(|rest| rest.starts_with('.'))
        })
    };
    let mut aligned: Pairs = wanted
        .iter()
        .filter(|(key, _)| !is_list_key(key))
        .map(|(k, v)| (k.clone(), v.clone()))
        .collect();
    for list in LISTS {
        let (running_names, wanted_names) = (
            running.iter().map(|r| names(r, list)).collect::<Vec<_>>(),
            names(wanted, list),
        );
        let running_count = running_names.iter().map(Vec::len).max().unwrap_or(0);
        // The name at each index in any running state. If two names share an index, neither keeps it.
        let mut names_by_index: Vec<Option<&str>> = vec![None; running_count];
        let mut conflicting = vec![false; running_count];
        for names in &running_names {
            for (index, name) in names
                .iter()
                .enumerate()
                .filter(|(_, name)| !name.is_empty())
            {
                conflicting[index] |= names_by_index[index].is_some_and(|other| other != name);
                names_by_index[index] = Some(name);
            }
        }
        let mut index_of: HashMap<&str, usize> = HashMap::new();
        let mut ambiguous: Vec<&str> = Vec::new();
        for (index, owner) in names_by_index.iter().enumerate() {
            let Some(name) = owner.filter(|_| !conflicting[index]) else {
                continue;
            };
            if index_of.insert(name, index).is_some() {
                ambiguous.push(name); // has different indexes in different states
            }
        }
        index_of.retain(|name, _| !ambiguous.contains(name));
        let mut free: Vec<usize> = (0..running_count)
            .rev()
            .filter(|index| names_by_index[*index].is_none())
            .collect();
        let (mut next, mut wanted_index): (usize, BTreeMap<usize, usize>) =
            (running_count, BTreeMap::new());
        for (position, name) in wanted_names
            .iter()
            .enumerate()
            .filter(|(_, name)| !name.is_empty())
        {
            let index = index_of
                .get(name.as_str())
                .copied()
                .or_else(|| free.pop())
                .unwrap_or(next);
            next = next.max(index + 1);
            wanted_index.insert(index, position);
        }
        let count = wanted_index
            .last_key_value()
            .map_or(0, |(index, _)| index + 1);
        let max_count = match list {
            "grades" => MAX_CLASSES,
            "pools" => wrenfork_routes::MAX_POOLS,
            _ => MAX_PLANS,
        };
        if count > max_count {
            return Err(format!(
                "{list} has no free index for a new name: restarting all ingresses frees the indexes of removed names"
            ));
        }
        let first = wanted_index
            .first_key_value()
            .map_or(0, |(_, position)| *position);
        for index in 0..count {
            let named = wanted_index.get(&index);
            let prefix = format!("{list}.{}.", named.unwrap_or(&first));
            let fields = wanted
                .range(prefix.clone()..)
                .take_while(|(key, _)| key.starts_with(&prefix));
            for (key, value) in fields {
                aligned.insert(
                    format!("{list}.{index}.{}", &key[prefix.len()..]),
                    value.clone(),
                );
            }
            if named.is_none() {
                aligned.insert(format!("{list}.{index}.name"), String::new());
            }
        }
        if wanted.contains_key(&format!("{list}.count")) {
            aligned.insert(format!("{list}.count"), count.to_string());
        }
    }
    Ok(aligned)
}

/// A key for people, with the name of a class, plan or pool instead of its index. The name is looked up in `new`, then
/// in `old`.
pub fn display_key(key: &str, old: &Pairs, new: &Pairs) -> String {
    let mut parts = key.splitn(3, '.');
    let (Some(list), Some(entry), Some(field)) = (parts.next(), parts.next(), parts.next()) else {
        return key
            .strip_prefix("accounts.")
            .map_or(key.to_string(), |id| format!("account {id}"));
    };
    let kind = match list {
        "contracts" => "plan",
        "grades" => "class",
        "pools" => "pool",
        "routes" => return format!("route {entry} {field}"),
        _ => return key.to_string(),
    };
    let name_key = format!("{list}.{entry}.name");
    let name = [new, old]
        .iter()
        .find_map(|s| s.get(&name_key).filter(|n| !n.is_empty()).cloned());
    format!(
        "{kind} {} {field}",
        name.unwrap_or_else(|| entry.to_string())
    )
}

#[cfg(test)]
mod tests;
