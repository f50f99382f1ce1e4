//! The deployments of the seeded runs, with different settings, and how their backends behave over
//! time.

use wrenfork_decision::{
    BackendId, BackendRules, Class, DiscoveryMode, Endpoint, EndpointState, Idempotency, KeyScope,
    Limits, Micros, Plan, Settings, WeightMeaning,
};

const SECOND: Micros = 1_000_000;
/// Duration of each phase of backend behavior, in microseconds.
pub const PHASE_LENGTH: Micros = 4 * SECOND;

#[derive(Clone)]
pub struct Scenario {
    pub name: &'static str,
    pub settings: Settings,
    /// Numbers of the running gateways; the other gateways of the deployment are never heard from.
    pub running: Vec<u16>,
    pub backends: u64,
    pub customers: u64,
    pub seed: u64,
    /// Mean time between two steps, in microseconds.
    pub mean_step: Micros,
}

/// Behavior of a backend during a phase.
pub struct BackendBehavior {
    /// Minimum answer time, in microseconds.
    pub min_latency: Micros,
    /// Number of attempts out of 1000 that fail.
    pub failures_per_thousand: u64,
}

impl Scenario {
    pub fn endpoint(&self, n: u64) -> Endpoint {
        let pools = u64::from(self.settings.pool_count);
        let in_pool = |p: &u64| n % pools == *p || (n + 1) % pools == *p;
        Endpoint {
            backend: BackendId(n),
            zone: (n % 3) as u8,
            cell: (n % 4) as u16,
            machine_kind: (n % 2) as u16,
            state: EndpointState::Ready,
            weight: 0.5 + (n % 4) as f64 / 2.0,
            started_at: 0,
            pools: (0..pools).filter(in_pool).fold(0, |set, p| set | 1 << p),
        }
    }

    /// First gateway of a customer and the number of its gateways. Some customers get invalid
    /// values.
    pub fn gateway_range(&self, customer: u64) -> (f64, f64) {
        let gateways = u64::from(self.settings.gateway_count.max(1));
        match customer % 11 {
            9 => (0.0, f64::NAN),
            10 => (1e6, 2.0),
            _ => ((customer % 3) as f64, (1 + customer % gateways) as f64),
        }
    }

    pub fn behavior(&self, backend: BackendId, now: Micros) -> BackendBehavior {
        let objective = self.settings.classes[0].latency_objective;
        let normal_latency = objective / 12;
        let phase = now / PHASE_LENGTH % 6;
        let affected = backend.0.is_multiple_of(5);
        match phase {
            1 => BackendBehavior {
                min_latency: objective * 3 / 4,
                failures_per_thousand: 30,
            },
            2 if affected => BackendBehavior {
                min_latency: normal_latency,
                failures_per_thousand: 800,
            },
            3 if affected => BackendBehavior {
                min_latency: 8 * objective,
                failures_per_thousand: 500,
            },
            4 if backend.0 % 3 == 1 => BackendBehavior {
                min_latency: normal_latency,
                failures_per_thousand: 950,
            },
            5 => BackendBehavior {
                min_latency: objective * 5 / 4,
                failures_per_thousand: 150,
            },
            _ => BackendBehavior {
                min_latency: normal_latency + backend.0 % 7 * normal_latency / 4,
                failures_per_thousand: 15,
            },
        }
    }

    pub fn changed_settings(&self, variant: u64) -> Settings {
        let mut settings = self.settings.clone();
        match variant {
            0 => settings.plans.push(plan(3.0, 9.0)),
            1 => {
                settings.plans.truncate(settings.plans.len().max(2) - 1);
                settings.name_digests = [
                    settings.name_digests[0],
                    settings.name_digests[1].wrapping_add(1),
                ];
            }
            2 => {
                for plan in &mut settings.plans {
                    plan.rate *= 0.5;
                    plan.burst *= 0.75;
                }
                settings.classes[0].idempotency = Idempotency::NotIdempotent;
                settings.limits.hedging = !settings.limits.hedging;
            }
            _ => settings
                .classes
                .push(class(Idempotency::Idempotent, 300_000)),
        }
        settings
    }
}

fn class(idempotency: Idempotency, latency_objective: Micros) -> Class {
    Class {
        latency_objective,
        objective_stretch: 0.0,
        deadline: 4 * SECOND,
        priority_weight: 1.0,
        late_weight: 0.0,
        idempotency,
        streaming: false,
    }
}

fn plan(rate: f64, burst: f64) -> Plan {
    Plan {
        rate,
        burst,
        max_in_flight: 0,
        ceiling_rate: 0.0,
        ceiling_burst: 0.0,
        ceiling_slack: 0.0,
        weight_factor: 1.0,
        over_quota_weight: 0.0,
        over_quota_cost: 1.0,
    }
}

fn with_key(scope: KeyScope) -> Idempotency {
    let window = 700_000;
    Idempotency::WithKey { scope, window }
}

fn limits() -> Limits {
    Limits {
        max_attempts: 3,
        hedging: true,
        cancellation: true,
        health_checks: false,
        peers: true,
        peer_messages_per_s: 60.0,
        retry_after: true,
        max_retry_after: 2 * SECOND,
        shared_counter: false,
        max_pending: 20_000,
    }
}

fn rules() -> BackendRules {
    BackendRules {
        answer_slack: 16_000,
        drain_grace: 250_000,
        warm_up_from: 0.2,
        warm_up_time: 6 * SECOND,
        overload_factor: 3.0,
        overload_window: SECOND,
        max_poll_interval: 2 * SECOND,
    }
}

fn few_gateways() -> Scenario {
    let ceiling = Plan {
        ceiling_rate: 12.0,
        ceiling_burst: 24.0,
        weight_factor: 3.0,
        ..plan(50.0, 50.0)
    };
    let capped = Plan {
        max_in_flight: 3,
        ..plan(0.0, 0.0)
    };
    let settings = Settings {
        gateway_count: 3,
        tick: 4_000,
        classes: vec![
            class(Idempotency::Idempotent, 500_000),
            class(with_key(KeyScope::Cell), 800_000),
            class(Idempotency::NotIdempotent, 500_000),
        ],
        plans: vec![plan(1e6, 1e6), plan(4.0, 12.0), ceiling, capped],
        limits: limits(),
        rules: rules(),
        ..Settings::default()
    };
    Scenario {
        name: "few gateways",
        settings,
        running: vec![0, 1, 2],
        backends: 9,
        customers: 24,
        seed: 11,
        mean_step: 3_000,
    }
}

fn one_gateway() -> Scenario {
    let base = few_gateways();
    let mut settings = base.settings.clone();
    settings.gateway_count = 1;
    settings.limits.peers = false;
    settings.limits.hedging = false;
    settings.limits.max_attempts = 5;
    settings.discovery = DiscoveryMode::Poll;
    settings.weights = WeightMeaning::Capacity;
    settings.classes = vec![
        class(Idempotency::Idempotent, 250_000),
        class(with_key(KeyScope::All), 400_000),
    ];
    Scenario {
        name: "one gateway that polls discovery",
        settings,
        running: vec![0],
        backends: 5,
        customers: 40,
        seed: 12,
        mean_step: 1_500,
    }
}

fn many_gateways() -> Scenario {
    let base = few_gateways();
    let mut settings = base.settings.clone();
    settings.gateway_count = 100;
    settings.limits.peer_messages_per_s = 40.0;
    settings.classes[1] = class(with_key(KeyScope::Zone), 800_000);
    settings.name_digests = [4, 9];
    Scenario {
        name: "a hundred gateways",
        settings,
        running: vec![0, 1, 2, 3, 40, 99],
        backends: 60,
        customers: 30,
        seed: 13,
        mean_step: 2_000,
    }
}

fn pools() -> Scenario {
    let base = few_gateways();
    let mut settings = base.settings.clone();
    settings.pool_count = 4;
    settings.gateway_count = 2;
    settings.weights = WeightMeaning::Capacity;
    Scenario {
        name: "pools with fallback",
        settings,
        running: vec![0, 1],
        backends: 14,
        customers: 35,
        seed: 14,
        mean_step: 2_000,
    }
}

fn post_paid() -> Scenario {
    let base = few_gateways();
    let mut settings = base.settings.clone();
    settings.post_paid = true;
    settings.meter_period = SECOND;
    settings.limits.cancellation = false;
    settings.limits.retry_after = false;
    settings.gateway_count = 4;
    settings.plans = vec![
        plan(30.0, 40.0),
        Plan {
            max_in_flight: 2,
            weight_factor: 2.0,
            ..plan(10.0, 15.0)
        },
        Plan {
            ceiling_rate: 5.0,
            ceiling_burst: 6.0,
            ceiling_slack: 1.0,
            ..plan(8.0, 16.0)
        },
    ];
    Scenario {
        name: "post-paid, nothing is cancelled",
        settings,
        running: vec![0, 1, 2, 3],
        backends: 7,
        customers: 20,
        seed: 15,
        mean_step: 3_000,
    }
}

fn many_gateways_with_pools() -> Scenario {
    let base = many_gateways();
    let mut settings = base.settings.clone();
    settings.pool_count = 3;
    settings.gateway_count = 60;
    settings.limits.hedging = false;
    settings.rules.warm_up_time = 30 * SECOND;
    settings.discovery = DiscoveryMode::Poll;
    // More plans than the plan index in a message can distinguish.
    settings.plans = (0..70)
        .map(|n| Plan {
            weight_factor: f64::from(1 + n % 3),
            ceiling_rate: f64::from(n % 4) * 3.0,
            ceiling_burst: f64::from(n % 4) * 6.0,
            max_in_flight: if n % 7 == 6 { 2 } else { 0 },
            ..plan(6.0, 12.0)
        })
        .collect();
    Scenario {
        name: "sixty gateways, pools, many plans, long warm-up",
        settings,
        running: vec![0, 1, 2, 17],
        backends: 30,
        customers: 120,
        seed: 16,
        mean_step: 2_000,
    }
}

/// All scenarios. The golden states and digests refer to them by position.
pub fn all() -> Vec<Scenario> {
    vec![
        few_gateways(),
        one_gateway(),
        many_gateways(),
        pools(),
        post_paid(),
        many_gateways_with_pools(),
    ]
}
