//! Random valid deployments: settings, backends, load and network conditions.

pub mod run;

use proptest::prelude::{any, prop, prop_oneof, Just, Strategy};
use wrenfork_decision::{
    BackendRules, Class, Idempotency, KeyScope, Limits, Micros, Plan, Settings, WeightMeaning,
};

/// The clock at the start of a run, in microseconds.
const START: Micros = 500_000_000;
/// One second in microseconds.
pub const SECOND: Micros = 1_000_000;

/// Random settings and the conditions in which the gateways run.
#[derive(Clone, Debug)]
pub struct Deployment {
    pub settings: Settings,
    /// Mean time on a core for each class, in microseconds.
    mean_work: Vec<Micros>,
    backends: usize,
    cores: usize,
    /// Request rate as a fraction of the capacity of all cores.
    load: f64,
    customers: u64,
    /// Request rate of a customer as a fraction of its quota.
    quota_fraction: f64,
    peer_delay: Micros,
    peer_loss: f64,
    /// Whether backends still run a waiting attempt after it was cancelled.
    cancelled_work_runs: bool,
    /// Whether backends fail, drain and restart, and customers exceed their quotas.
    pub with_faults: bool,
    /// Factor by which all work takes longer during two seconds of the run.
    pub slowdown: f64,
    seed: u64,
}

fn plan() -> impl Strategy<Value = Plan> {
    (2.0..30.0f64, 1.5..4.0f64, 0u32..3, 0.0..3.0f64, 0.5..2.0f64).prop_map(
        |(rate, burst, limit_kind, ceiling_choice, weight_factor)| {
            let burst = (rate * burst).max(8.0);
            let factor = if ceiling_choice > 1.5 {
                ceiling_choice
            } else {
                0.0
            };
            Plan {
                rate,
                burst,
                // At least a few attempts, so that this limit alone causes almost no rejections.
                max_in_flight: if limit_kind == 2 { 12 } else { 0 },
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

/// A random class and its mean work in microseconds.
fn class() -> impl Strategy<Value = (Class, Micros)> {
    let idempotency = prop_oneof![
        Just(Idempotency::Idempotent),
        Just(Idempotency::NotIdempotent),
        Just(Idempotency::WithKey {
            scope: KeyScope::All,
            window: 3 * SECOND
        }),
        Just(Idempotency::WithKey {
            scope: KeyScope::Cell,
            window: 2 * SECOND
        }),
    ];
    (8_000u64..90_000, 8u64..20, 15u64..40, idempotency).prop_map(
        |(work, objective_factor, deadline_tenths, idempotency)| {
            let latency_objective = work * objective_factor;
            let deadline = latency_objective * deadline_tenths / 10;
            let class = Class {
                latency_objective,
                objective_stretch: 0.0,
                deadline,
                priority_weight: 1.0,
                late_weight: 0.0,
                idempotency,
                streaming: false,
            };
            (class, work)
        },
    )
}

fn limits() -> impl Strategy<Value = Limits> {
    (
        1u32..5,
        any::<(bool, bool, bool, bool, bool)>(),
        20.0..90.0f64,
    )
        .prop_map(
            |(
                max_attempts,
                (hedging, cancel, checks_allowed, peers, retry_after),
                peer_messages_per_s,
            )| {
                Limits {
                    max_attempts,
                    hedging,
                    cancellation: cancel,
                    health_checks: checks_allowed,
                    peers,
                    peer_messages_per_s,
                    retry_after,
                    max_retry_after: 2 * SECOND,
                    shared_counter: checks_allowed,
                    max_pending: 20_000,
                }
            },
        )
}

fn rules() -> impl Strategy<Value = BackendRules> {
    (0.1..0.6f64, 4u64..20, 2.0..4.0f64, 5u64..20).prop_map(
        |(warm_up_from, warm_up_s, overload_factor, window_tenths)| BackendRules {
            answer_slack: 16_000,
            drain_grace: 250_000,
            warm_up_from,
            warm_up_time: warm_up_s * SECOND,
            overload_factor,
            overload_window: window_tenths * 100_000,
            max_poll_interval: 10 * SECOND,
        },
    )
}

/// Generates random deployments.
pub fn any_deployment() -> impl Strategy<Value = Deployment> {
    let classes = prop::collection::vec(class(), 1..4);
    let plans = prop::collection::vec(plan(), 1..4);
    let settings_parts = (
        1u16..5,
        1u64..9,
        classes,
        plans,
        limits(),
        rules(),
        any::<bool>(),
    );
    let conditions = (
        2usize..9,
        1usize..5,
        any::<u64>(),
        any::<bool>(),
        any::<bool>(),
        1_000u64..30_000,
    );
    (settings_parts, conditions, 0.0..0.06f64).prop_map(
        |(settings_parts, conditions, peer_loss)| {
            let (gateways, tick, classes, plans, limits, rules, weighted) = settings_parts;
            let (backends, cores, seed, cancelled_work_runs, with_faults, peer_delay) = conditions;
            let (classes, mean_work): (Vec<_>, Vec<_>) = classes.into_iter().unzip();
            let weights = if weighted {
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
                weights,
                ..Settings::default()
            };
            let (load, quota_fraction) = if with_faults { (0.9, 1.5) } else { (0.3, 0.2) };
            let slowdown = if seed % 2 == 0 { 2.5 } else { 1.0 };
            Deployment {
                settings,
                mean_work,
                backends,
                cores,
                load,
                customers: 24,
                quota_fraction,
                peer_delay,
                peer_loss,
                cancelled_work_runs,
                with_faults,
                slowdown,
                seed,
            }
        },
    )
}

/// A pseudo-random number in `0.0..1.0` (splitmix64).
fn random_fraction(state: &mut u64) -> f64 {
    *state = state.wrapping_add(0x9E37_79B9_7F4A_7C15);
    let mut hash = *state;
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    ((hash ^ (hash >> 31)) >> 11) as f64 / (1u64 << 53) as f64
}
