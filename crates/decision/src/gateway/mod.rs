//! A gateway: its parts, and which of them an event goes to. Each decision stands in the module
//! named for it.

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

/// Ticks between wake-ups, which look at deadlines and gossip; more saves CPU (ours).
const WAKE_TICKS: u64 = 5;
/// Wake-ups missed from which the gateway counts as having stood still (ours).
const STALL_WAKE_UPS: u64 = 4;
/// The token of the wake-up timer.
const WAKE_TOKEN: u32 = 0;

/// The gateway's clock, as the host moves it.
#[derive(Default, Serialize, Deserialize)]
struct Clock {
    now: Micros,
    started_at: Micros,
    settings_changed_at: Micros,
    wake_at: Micros,
    /// Stood still until then: times found with that turn say nothing.
    resumed_at: Micros,
}

/// One gateway's decisions. Feed it events, do what it asks.
///
/// Its serialized form is the state that a handover passes on: positional, so the fields and those
/// of all parts keep their order.
#[derive(Default, Serialize, Deserialize)]
pub struct Gateway {
    settings: Settings,
    /// The seed of the next choice.
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
    /// Report period with all gateways as quota owners; 0 in a deployment too large for that.
    report_period: Micros,
    sweep_at: Micros,
    poll_at: Micros,
    gateway_count: u64,
}

impl Gateway {
    /// A gateway that starts now and knows nothing yet.
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

    /// Takes one event and appends what the host is to do.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        // Stood still for several wake-ups: all that came meanwhile is read before anybody is
        // judged by it.
        let wake_at = self.clock.wake_at;
        if wake_at > 0 && now > wake_at + STALL_WAKE_UPS * self.wake_interval() {
            self.resume(now, actions);
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

    /// The time between two wake-ups as requests reckon with it.
    fn wake_ticks(&self) -> Micros {
        WAKE_TICKS * self.settings.tick
    }

    fn wake_interval(&self) -> Micros {
        self.wake_ticks().max(1)
    }

    fn set_wake_up(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let delay = self.wake_interval();
        self.clock.wake_at = now + delay;
        actions.push(Action::SetTimer {
            delay,
            token: WAKE_TOKEN,
        });
    }

    /// In a small deployment all of a customer's gateways own its quota.
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
