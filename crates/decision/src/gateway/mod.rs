//! The state of a gateway and the dispatch of events to their handlers. Each submodule holds the
//! decisions on one topic.

mod admission;
mod attempts;
mod checks;
mod dispatch;
mod endpoints;
mod feedback;
mod gossip_in;
mod gossip_out;
mod owners;
mod settings_change;
mod status;
mod wake;

pub use status::{BackendStatus, PlanUsage};

use crate::action::Action;
use crate::backends::Backends;
use crate::customers::Customers;
use crate::event::Event;
use crate::gossip::peers::{report_period, MessageBudget, Peers};
use crate::ids::Micros;
use crate::latency::LatencyTracker;
use crate::outlier_ejection::Zones;
use crate::pools::Pools;
use crate::requests::PendingRequests;
use crate::retry::RetryBudget;
use crate::settings::{Settings, MAX_POOLS};
use crate::slow_start::{SendRate, SlowStart};
use serde::{Deserialize, Serialize};

/// Ticks between wake-ups, which check deadlines and send gossip. Fewer wake-ups save CPU.
const TICKS_PER_WAKE_UP: u64 = 5;
/// Number of missed wake-ups after which the gateway is considered to have stalled.
const MISSED_WAKE_UPS_FOR_STALL: u64 = 4;
/// Token that identifies the wake-up timer.
const WAKE_TOKEN: u32 = 0;

/// The current time and related times, all on the host's clock.
#[derive(Default, Serialize, Deserialize)]
struct Clock {
    now: Micros,
    started_at: Micros,
    settings_changed_at: Micros,
    wake_at: Micros,
    /// When the last stall ended. Times measured in that call include the stall and are ignored.
    stall_ended_at: Micros,
}

/// The decision state of one gateway. The host passes events to [`Gateway::handle`] and carries out
/// the returned actions.
///
/// A handover passes the serialized state on. Its form is positional, so fields, also those of
/// nested types, must not be reordered.
#[derive(Default, Serialize, Deserialize)]
pub struct Gateway {
    settings: Settings,
    /// Seed for the next choice of a backend.
    choice_seed: u64,
    clock: Clock,
    requests: PendingRequests,
    customers: Customers,
    peers: Peers,
    backends: Backends,
    pools: Pools,
    slow_start: SlowStart,
    message_budget: MessageBudget,
    zones: Zones,
    latency: LatencyTracker,
    retry_budget: RetryBudget,
    send_rate: SendRate,
    /// Time between two reports to a peer, in microseconds, in a small deployment, where every
    /// gateway of a customer owns its quota; 0 in a larger deployment.
    report_period: Micros,
    next_sweep_at: Micros,
    next_poll_at: Micros,
    gateway_count: u64,
}

impl Gateway {
    /// Creates a gateway that starts at `now`, without endpoints or customers. `seed` determines
    /// its random choices.
    pub fn new(settings: Settings, seed: u64, now: Micros) -> Self {
        Gateway {
            choice_seed: seed,
            clock: Clock {
                now,
                started_at: now,
                ..Clock::default()
            },
            pools: Pools::new(usize::from(settings.pool_count.min(MAX_POOLS as u8))),
            latency: LatencyTracker::new(&settings.classes, now),
            retry_budget: RetryBudget::new(),
            report_period: report_period(&settings),
            gateway_count: u64::from(settings.gateway_count.max(1)),
            settings,
            ..Gateway::default()
        }
    }

    /// Sets how many customers the gateway remembers at most. Requests of further ones are rejected
    /// until others can be forgotten, since without a record their quotas would not hold.
    pub fn set_max_customers(&mut self, max_customers: usize) {
        self.customers.set_max_count(max_customers);
    }

    /// Handles one event at time `now` and appends the resulting actions to `actions`.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        // After a stall of several wake-ups, checks are postponed to the next wake-up, so that all
        // events that arrived meanwhile are read before any backend is considered silent.
        let wake_at = self.clock.wake_at;
        if wake_at > 0 && now > wake_at + MISSED_WAKE_UPS_FOR_STALL * self.wake_interval() {
            self.resume_after_stall(now, actions);
        }
        self.clock.now = self.clock.now.max(now);
        let is_timer = matches!(event, Event::Timer(_));
        if is_timer && self.clock.now < self.clock.wake_at {
            return;
        }
        self.dispatch_event(event, actions);
        if self.clock.now >= self.clock.wake_at {
            self.on_wake(actions);
            self.set_wake_up(self.clock.now, actions);
        }
    }

    fn dispatch_event(&mut self, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Request(request) => self.on_request(request, actions),
            Event::AttemptCompleted {
                id,
                attempt,
                backend,
                outcome,
                complete,
                elapsed,
                charged_units,
                report,
                ..
            } => {
                let completion = attempts::Completion {
                    id,
                    attempt,
                    backend,
                    outcome,
                    complete,
                    elapsed,
                    charged_units,
                    queue: report.and_then(|r| r.queue),
                };
                self.on_attempt_completed(&completion, actions);
            }
            Event::ClientDisconnected(id) => self.on_request_ended(id, actions),
            Event::FirstByte { id, attempt } => self.on_first_byte(id, attempt, actions),
            Event::PeerMessage { from, bytes } => self.on_peer_message(from, &bytes, actions),
            Event::EndpointsChanged(kind, list) => {
                self.on_endpoints_changed(kind, list, actions);
            }
            Event::SettingsChanged(new) => self.on_settings_changed(*new),
            Event::Timer(_) | Event::HealthChecked { .. } | Event::CounterUpdated { .. } => {}
        }
    }

    /// Time between two wake-ups in microseconds, as used for deadlines; 0 if the tick is 0.
    fn nominal_wake_interval(&self) -> Micros {
        TICKS_PER_WAKE_UP * self.settings.tick
    }

    fn wake_interval(&self) -> Micros {
        self.nominal_wake_interval().max(1)
    }

    fn set_wake_up(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let delay = self.wake_interval();
        self.clock.wake_at = now + delay;
        actions.push(Action::SetTimer {
            delay,
            token: WAKE_TOKEN,
        });
    }

    /// Whether every gateway of a customer owns its quota, as in a small deployment.
    fn every_gateway_owns(&self) -> bool {
        self.report_period > 0
    }

    /// The number of this gateway.
    fn id(&self) -> u16 {
        self.settings.gateway_id.0
    }

    fn now(&self) -> Micros {
        self.clock.now
    }
}
