//! Random legal deployments: settings and small worlds, drawn.

pub mod play;

use proptest::prelude::{any, prop, prop_oneof, Just, Strategy};
use wrenfork_decision::{
    BackendRules, Class, Idempotency, KeyScope, Limits, Micros, Plan, Settings, WeightMeaning,
};

const T0: Micros = 500_000_000;
pub const S: Micros = 1_000_000;

/// What is drawn besides the settings.
#[derive(Clone, Debug)]
pub struct World {
    pub settings: Settings,
    /// Mean work of a class on a core, in microseconds.
    work: Vec<Micros>,
    backends: usize,
    cores: usize,
    /// Requests a second, as a share of what all cores can do.
    load: f64,
    customers: u64,
    /// The share of a customer's rate that it asks for.
    usage: f64,
    peer_delay: Micros,
    peer_loss: f64,
    /// Work of an attempt that is called off runs on.
    runs_on: bool,
    pub troubled: bool,
    /// For two seconds all work takes this many times as long.
    pub slower: f64,
    seed: u64,
}

fn plan() -> impl Strategy<Value = Plan> {
    (2.0..30.0f64, 1.5..4.0f64, 0u32..3, 0.0..3.0f64, 0.5..2.0f64).prop_map(
        |(rate, burst, cap, over, weight_factor)| {
            let burst = (rate * burst).max(8.0);
            let factor = if over > 1.5 { over } else { 0.0 };
            Plan {
                rate,
                burst,
                // No tighter than a few attempts: what a cap refuses is its own doing.
                max_in_flight: if cap == 2 { 12 } else { 0 },
                ceiling_rate: rate * factor,
                ceiling_burst: burst * factor,
                ceiling_slack: (burst * factor * 0.1).max(1.0),
                weight_factor,
                over_quota_weight: 0.0,
                over_quota_cost: 1.0,
            }
        },
    )
}

fn class() -> impl Strategy<Value = (Class, Micros)> {
    let repeat = prop_oneof![
        Just(Idempotency::Idempotent),
        Just(Idempotency::NotIdempotent),
        Just(Idempotency::WithKey {
            scope: KeyScope::All,
            window: 3 * S
        }),
        Just(Idempotency::WithKey {
            scope: KeyScope::Cell,
            window: 2 * S
        }),
    ];
    (8_000u64..90_000, 8u64..20, 15u64..40, repeat).prop_map(|(work, aims, patience, repeat)| {
        let aim = work * aims;
        let deadline = aim * patience / 10;
        let class = Class {
            latency_objective: aim,
            objective_stretch: 0.0,
            deadline,
            priority_weight: 1.0,
            late_weight: 0.0,
            idempotency: repeat,
            streaming: false,
        };
        (class, work)
    })
}

fn limits() -> impl Strategy<Value = Limits> {
    (
        1u32..5,
        any::<(bool, bool, bool, bool, bool)>(),
        20.0..90.0f64,
    )
        .prop_map(
            |(max_attempts, (hedging, cancel, probes, peers, retry_after), peer_messages_per_s)| {
                Limits {
                    max_attempts,
                    hedging,
                    cancellation: cancel,
                    health_checks: probes,
                    peers,
                    peer_messages_per_s,
                    retry_after,
                    max_retry_after: 2 * S,
                    shared_counter: probes,
                    max_pending: 20_000,
                }
            },
        )
}

fn rules() -> impl Strategy<Value = BackendRules> {
    (0.1..0.6f64, 4u64..20, 2.0..4.0f64, 5u64..20).prop_map(
        |(warm_up_from, cold, overload_factor, fall)| BackendRules {
            answer_slack: 16_000,
            drain_grace: 250_000,
            warm_up_from,
            warm_up_time: cold * S,
            overload_factor,
            overload_window: fall * 100_000,
            max_poll_interval: 10 * S,
        },
    )
}

pub fn world() -> impl Strategy<Value = World> {
    let classes = prop::collection::vec(class(), 1..4);
    let plans = prop::collection::vec(plan(), 1..4);
    let site = (
        1u16..5,
        1u64..9,
        classes,
        plans,
        limits(),
        rules(),
        any::<bool>(),
    );
    let rest = (
        2usize..9,
        1usize..5,
        any::<u64>(),
        any::<bool>(),
        any::<bool>(),
        1_000u64..30_000,
    );
    (site, rest, 0.0..0.06f64).prop_map(|(site, rest, peer_loss)| {
        let (gateways, tick, classes, plans, limits, rules, sized) = site;
        let (backends, cores, seed, runs_on, troubled, peer_delay) = rest;
        let (classes, work): (Vec<_>, Vec<_>) = classes.into_iter().unzip();
        let sizes = if sized {
            WeightMeaning::Capacity
        } else {
            WeightMeaning::None
        };
        let settings = Settings {
            gateway_count: gateways,
            tick: tick * 1_000,
            classes,
            plans,
            limits,
            rules,
            weights: sizes,
            ..Settings::default()
        };
        let (load, usage) = if troubled { (0.9, 1.5) } else { (0.3, 0.2) };
        let slower = if seed % 2 == 0 { 2.5 } else { 1.0 };
        World {
            settings,
            work,
            backends,
            cores,
            load,
            customers: 24,
            usage,
            peer_delay,
            peer_loss,
            runs_on,
            troubled,
            slower,
            seed,
        }
    })
}

/// splitmix64, from 0 to 1.
fn lot(state: &mut u64) -> f64 {
    *state = state.wrapping_add(0x9E37_79B9_7F4A_7C15);
    let mut z = *state;
    z = (z ^ (z >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    ((z ^ (z >> 31)) >> 11) as f64 / (1u64 << 53) as f64
}
