//! Renders a sidecar's settings as JSON. The same files always give the same bytes.

use crate::model::{Application, Effect, Fleet, Site, Status};
use crate::values::Listener;
use serde_json::{json, Value};
use std::collections::BTreeMap;

/// How far a hard limit's tokens may go below zero, as a share of the limit's burst. At least one largest request fits.
const CEILING_SLACK: f64 = 0.05;

/// The contracts of a sidecar: one for each plan, and one for each pair of quota and burst that overrides a plan.
pub struct Contracts {
    /// Index of each account's contract in `list`.
    pub index_by_account: BTreeMap<u64, usize>,
    /// Names of the contracts with their settings for the decision module.
    pub list: Vec<(String, Value)>,
}

/// Builds the contracts of an application's accounts.
pub fn contracts(app: &Application, site: &Site) -> Contracts {
    let largest_request = site.largest(|_| true).map_or(1.0, |c| c.units.value);
    let mut list: Vec<(String, Value)> = Vec::new();
    let mut known: BTreeMap<(usize, u64, u64), usize> = BTreeMap::new();
    let mut contract_index = |plan: usize, quota: Option<f64>, burst: Option<f64>| {
        let p = &site.plans[plan];
        let quota = quota.or(p.quota.as_ref().map(|q| q.value)).unwrap_or(0.0);
        let burst = burst.or(p.burst.as_ref().map(|b| b.value)).unwrap_or(0.0);
        *known
            .entry((plan, quota.to_bits(), burst.to_bits()))
            .or_insert_with(|| {
                // Named by its values, not by a number: a change of other accounts must not rename it.
                let name = if list.len() >= site.plans.len() {
                    format!("{}~{quota}~{burst}", p.name.value)
                } else {
                    p.name.value.clone()
                };
                let ceiling_burst = match &p.never_over {
                    Some(_) => p.never_over_burst.unwrap_or(2.0 * burst),
                    None => 0.0,
                };
                let value = json!({
                    "name": name, "quota_rate": quota, "burst": burst, "max_out": 0,
                    "never_over_rate": p.never_over.as_ref().map_or(0.0, |n| n.value),
                    "ceiling_burst": ceiling_burst,
                    "ceiling_slack": (ceiling_burst * CEILING_SLACK).max(largest_request),
                    "worth_factor": p.price, "over_worth": 0.0, "beyond_costs": p.beyond_costs,
                });
                list.push((name, value));
                list.len() - 1
            })
    };
    // The plans come first, in the site's order.
    for plan in 0..site.plans.len() {
        contract_index(plan, None, None);
    }
    let mut index_by_account = BTreeMap::new();
    for account in &app.accounts {
        let plan = account
            .plan
            .as_ref()
            .and_then(|name| site.plans.iter().position(|p| p.name.value == name.value));
        if let Some(plan) = plan {
            let value = |v: &Option<crate::reader::At<f64>>| v.as_ref().map(|q| q.value);
            index_by_account.insert(
                account.id.value,
                contract_index(plan, value(&account.quota), value(&account.burst)),
            );
        }
    }
    Contracts {
        index_by_account,
        list,
    }
}

/// Renders the settings of a sidecar.
///
/// # Errors
///
/// Fails if the application has no sidecar of that name.
pub fn render(
    app: &Application,
    site: &Site,
    fleet: Option<&Fleet>,
    sidecar: &str,
) -> Result<Value, String> {
    let index = app.sidecars.iter().position(|s| s.name.value == sidecar);
    let index = index.ok_or_else(|| {
        let names: Vec<&str> = app.sidecars.iter().map(|s| s.name.value.as_str()).collect();
        format!(
            "application \"{}\" has no sidecar \"{sidecar}\", only {}",
            app.display_name(),
            names.join(", ")
        )
    })?;
    let own = &app.sidecars[index];
    let listen = own
        .listen
        .as_ref()
        .map_or(String::new(), |l| l.value.to_string());
    let listen_tcp = matches!(
        own.listen.as_ref().map(|l| &l.value),
        Some(Listener::Tcp(_))
    );
    let peers: Vec<String> = app
        .sidecars
        .iter()
        .filter_map(|s| s.peers.as_ref())
        .map(|p| p.value.to_string())
        .collect();
    let has_peers = app.sidecars.len() > 1 && peers.len() == app.sidecars.len();
    let name = format!("{}/{sidecar}", app.display_name());
    let mut config = json!({
        "name": name,
        "listen": listen,
        "discovery": own.discovery.as_ref().map_or(String::new(), |d| d.value.to_string()),
        "seed": format!("{:016x}", fnv1a(name.as_bytes())),
        "limits": {"cores": app.cores, "memory_mb": app.memory.value >> 20, "sockets": app.descriptors.value},
        "known": initial_endpoints(fleet),
        "settings": settings(app, site, fleet, index, has_peers),
    });
    if has_peers {
        config["peer_listen"] = json!(peers[index]);
        config["peers"] = json!(peers);
    }
    if !listen_tcp {
        config["listen_mode"] = json!(format!("{:04o}", own.mode));
        config["listen_users"] = json!(own.users.iter().map(|u| u.value).collect::<Vec<_>>());
    }
    Ok(config)
}

/// 64-bit FNV-1a, from its public description. A sidecar's random seed is the hash of its name.
fn fnv1a(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0xCBF2_9CE4_8422_2325, |hash, b| {
        (hash ^ u64::from(*b)).wrapping_mul(0x0100_0000_01B3)
    })
}

/// The endpoint list that the sidecar starts with, without removed nodes.
fn initial_endpoints(fleet: Option<&Fleet>) -> Value {
    let nodes = fleet.map_or(&[][..], |f| &f.nodes);
    let listed = nodes.iter().filter(|n| n.status != Status::Removed).map(|n| {
        let status = if n.status == Status::Up { "up" } else { "draining" };
        let further: Vec<String> = n.addresses.iter().map(|a| a.value.to_string()).collect();
        let mut node = json!({"name": n.name.value, "address": n.address.to_string(), "zone": n.hall.value,
            "type": n.model, "group": n.group, "status": status, "weight": n.weight, "since_ms": n.since_ms});
        if !further.is_empty() {
            node["addresses"] = json!(further);
        }
        node
    });
    json!({"index": fleet.map_or(0, |f| f.index), "snapshot": true, "endpoints": listed.collect::<Vec<_>>()})
}

fn settings(
    app: &Application,
    site: &Site,
    fleet: Option<&Fleet>,
    index: usize,
    has_peers: bool,
) -> Value {
    let classes = site.classes.iter().map(|c| {
        let (effect, group, window) = match c.repeat() {
            Some(Effect::Safe) => ("repeatable", "all", 0),
            Some(Effect::Keyed { group, window }) => match group.as_str() {
                "hall" => ("by_key", "zone", window),
                "group" => ("by_key", "cell", window),
                _ => ("by_key", "all", window),
            },
            Some(Effect::Unsafe) | None => ("once", "all", 0),
        };
        json!({"name": c.name.value, "effect": effect, "group": group, "window_us": window,
               "objective_us": c.wanted.as_ref().map_or(0, |w| w.value),
               "give_up_us": c.deadline.as_ref().map_or(0, |d| d.value),
               "worth": c.worth.as_ref().map_or(0.0, |w| w.value), "late_worth": 0.0, "stream": false})
    });
    let contracts: Vec<Value> = contracts(app, site)
        .list
        .into_iter()
        .map(|(_, v)| v)
        .collect();
    let halls: Vec<&str> = site.halls.iter().map(|h| h.value.as_str()).collect();
    let own_hall = app.sidecars[index].hall.as_ref().map(|h| h.value.as_str());
    let zone = own_hall
        .and_then(|h| halls.iter().position(|k| *k == h))
        .unwrap_or(0);
    let mut models: Vec<&str> = fleet.map_or(Vec::new(), |f| {
        f.nodes.iter().map(|n| n.model.as_str()).collect()
    });
    models.extend(
        app.pools
            .iter()
            .flat_map(|p| p.selector.machine_types.iter().map(String::as_str)),
    );
    models.sort_unstable();
    models.dedup();
    let (limits, rules) = (&site.limits, &site.rules);
    json!({
        "n_instances": app.sidecars.len(), "slot_no": index, "zone": zone, "tick_us": limits.tick,
        "zones": halls, "skus": models,
        "grades": classes.collect::<Vec<_>>(), "contracts": contracts,
        "limits": {"most_tries": limits.attempts, "second_copies": limits.second_copies,
                   "cancelling": limits.cancel, "may_probe": limits.probes, "peers": has_peers,
                   "retry_after": limits.retry_after.is_some(),
                   "max_retry_after_us": limits.retry_after.unwrap_or(0), "max_open": limits.open,
                   "connect_timeout_us": limits.connect, "keepalive_us": limits.keepalive},
        "family_info": {"peer_in_per_s": limits.messages, "has_counter": false, "meter_period_us": 0,
                        "post_paid": false, "most_units": site.largest(|_| true).map_or(1.0, |c| c.units.value)},
        "rules": {"answer_slack_us": rules.answer_slack, "drain_grace_us": rules.drain_grace,
                  "cold_from": rules.cold_from, "cold_us": rules.cold, "overload_factor": rules.cold_factor,
                  "fall_us": rules.cold_push, "must_ask_in_us": 10_000_000},
        "membership_mode": "push", "weights": "nominal",
        "reporting": {"how": "answers", "fields": ["load_share"]},
    })
}
