//! The configuration file of an ingress.

use crate::judge::{ANSWER_SLACK, CEILING_SLACK};
use crate::machine::COLD;
use crate::scenario::{Effect, Reports, Scenario};
use serde_json::{json, Value};
use std::net::SocketAddr;

/// How long an ingress waits for a connection to a backend, in microseconds.
const CONNECT_TIMEOUT_US: u64 = 250_000;
/// How long an ingress keeps idle connections, in microseconds.
const KEEPALIVE_US: u64 = 15_000_000;

/// The addresses at which an ingress listens and reaches its peers.
pub struct Addresses {
    /// The listener for clients.
    pub listen: SocketAddr,
    /// The discovery agent of the ingress.
    pub discovery: SocketAddr,
    /// The own socket for peers, the address of each peer, and the address that reaches all peers.
    pub peers: (SocketAddr, Vec<SocketAddr>, SocketAddr),
    /// The count service; `None` if the scenario has none.
    pub counter: Option<SocketAddr>,
}

/// How long an ingress waits for a reply of the count service, in microseconds.
const COUNT_WAIT_US: u64 = 30_000;

/// Builds the configuration of an ingress. `known` is the endpoint list that it starts with.
pub fn config(s: &Scenario, ingress: usize, at: &Addresses, known: &Value) -> Value {
    let (own, peers, all) = &at.peers;
    let list: Vec<String> = peers.iter().map(SocketAddr::to_string).collect();
    json!({
        "name": format!("n{ingress}"),
        "listen": at.listen.to_string(),
        "discovery": at.discovery.to_string(),
        "seed": format!("{:016x}", s.seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) ^ ingress as u64),
        "limits": {"cores": s.ingresses.cores, "memory_mb": s.ingresses.memory_mb,
                   "sockets": s.ingresses.descriptors},
        "peer_listen": own.to_string(),
        "peers": list,
        "peers_all": all.to_string(),
        "counter": at.counter.map(|c| c.to_string()),
        "known": known,
        "settings": settings(s, ingress),
    })
}

fn settings(s: &Scenario, ingress: usize) -> Value {
    let classes = s.classes.iter().map(|c| {
        let (effect, group, window) = match c.effect {
            Effect::Safe => ("repeatable", "all", 0),
            Effect::Keyed { all, window } => ("by_key", if all { "all" } else { "cell" }, window),
            Effect::Unsafe => ("once", "all", 0),
        };
        json!({"name": c.name, "effect": effect, "group": group, "window_us": window,
               "objective_us": c.aim, "give_up_us": c.deadline, "worth": c.worth, "late_worth": 0.0,
               "stream": false})
    });
    let max_units = s.classes.iter().map(|c| c.units).fold(1.0, f64::max);
    let plans = s.plans.iter().map(|p| {
        json!({"name": p.name, "quota_rate": p.rate, "burst": p.burst, "max_out": p.open,
               "never_over_rate": p.ceiling, "ceiling_burst": p.ceiling_burst,
               "ceiling_slack": (p.ceiling_burst * CEILING_SLACK).max(max_units), "worth_factor": p.price,
               "over_worth": 0.0, "beyond_costs": p.beyond_costs})
    });
    let (reporting_mode, fields) = match s.network.reports {
        Reports::Answers => ("answers", vec!["load_share"]),
        Reports::Probes => ("probe", vec!["depth", "concurrent"]),
        Reports::None => ("none", vec![]),
    };
    let mut models: Vec<&str> = s.backends.iter().map(|b| b.model.as_str()).collect();
    models.sort_unstable();
    models.dedup();
    json!({
        "n_instances": s.ingresses.count, "slot_no": ingress, "zone": ingress % s.network.halls.len(),
        "tick_us": s.network.tick, "zones": s.network.halls, "skus": models,
        "grades": classes.collect::<Vec<_>>(), "contracts": plans.collect::<Vec<_>>(),
        "limits": {"most_tries": 3, "second_copies": s.network.second_copies, "cancelling": true, "may_probe": true,
                   "peers": s.network.peers, "retry_after": true, "max_retry_after_us": 2_000_000,
                   "max_open": 20_000, "connect_timeout_us": CONNECT_TIMEOUT_US, "keepalive_us": KEEPALIVE_US},
        "family_info": {"peer_in_per_s": s.network.peer_in_per_s, "has_counter": s.network.counter.is_some(),
                        "count_wait_us": COUNT_WAIT_US, "meter_period_us": 0, "post_paid": false, "most_units": max_units},
        "rules": {"answer_slack_us": ANSWER_SLACK, "drain_grace_us": s.network.drain_grace, "cold_from": COLD.from,
                  "cold_us": COLD.warm_in, "overload_factor": COLD.factor, "fall_us": COLD.over,
                  "must_ask_in_us": 10_000_000},
        "membership_mode": "push", "weights": if s.network.weights { "nominal" } else { "none" },
        "reporting": {"how": reporting_mode, "fields": fields},
    })
}
