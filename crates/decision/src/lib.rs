//! Admission decisions for a gateway of a service sold by plan: which requests to admit, which
//! backend receives them, when to retry, and what to report to peer gateways.
//!
//! The crate does no I/O and reads no clock. The host passes [`Event`]s with the current time to
//! [`Gateway::handle`] and carries out the returned [`Action`]s in order.
//!
//! The life of one request, from arrival to answer:
//!
//! ```
//! use wrenfork_decision::{
//!     Action, BackendId, Class, Endpoint, EndpointListKind, Event, Gateway, Idempotency, Micros,
//!     Outcome, Plan, Request, RequestId, Settings,
//! };
//!
//! let plan = Plan {
//!     rate: 10.0, burst: 20.0, max_in_flight: 0, ceiling_rate: 0.0, ceiling_burst: 0.0,
//!     ceiling_slack: 0.0, weight_factor: 1.0, over_quota_weight: 0.0, over_quota_cost: 1.0,
//! };
//! let class = Class {
//!     latency_objective: 500_000, objective_stretch: 0.0, deadline: 2_000_000,
//!     priority_weight: 1.0, late_weight: 0.0, idempotency: Idempotency::Idempotent,
//!     streaming: false,
//! };
//! let settings = Settings {
//!     gateway_count: 1, tick: 4_000, classes: vec![class], plans: vec![plan],
//!     ..Settings::default()
//! };
//! let start = 1_000_000;
//! let mut gateway = Gateway::new(settings, 42, start);
//! let mut actions = Vec::new();
//!
//! let backend = BackendId(7);
//! let list = vec![Endpoint { backend, weight: 1.0, ..Endpoint::default() }];
//! let changed = Event::EndpointsChanged(EndpointListKind::Full, list);
//! gateway.handle(start, changed, &mut actions);
//! // The gateway sets its wake-up timer. The host passes an `Event::Timer` when a `SetTimer`
//! // is due.
//! assert!(matches!(actions[..], [Action::SetTimer { .. }]));
//!
//! actions.clear();
//! let id = RequestId(1);
//! let request = Request {
//!     id, deadline: start + 2_000_000, units: 1.0, gateway_span: 1.0, ..Request::default()
//! };
//! gateway.handle(start + 4_000, Event::Request(request), &mut actions);
//! let sent = Action::Send { id, backend, expires_at: 0, start_by: Micros::MAX };
//! assert_eq!(actions, [sent]);
//!
//! actions.clear();
//! let answer = Event::AttemptCompleted {
//!     id, attempt: 0, backend, outcome: Outcome::Ok, complete: true, elapsed: 12_000,
//!     metered_usage: None, charged_units: None, report: None,
//! };
//! gateway.handle(start + 16_000, answer, &mut actions);
//! assert!(actions.is_empty(), "the request has its answer and needs no further action");
//! ```

mod action;
mod backends;
mod concurrency_limit;
mod customers;
mod event;
mod gateway;
mod gossip;
mod hedging;
mod ids;
mod latency;
mod load_balancing;
mod load_shedding;
mod numeric;
mod outlier_ejection;
mod pools;
mod queueing;
mod requests;
mod retry;
mod settings;
mod slow_start;

pub use action::{Action, LogEvent};
pub use event::{Endpoint, EndpointListKind, EndpointState, Event, LoadReport, Outcome, Request};
pub use gateway::{BackendStatus, Gateway, PlanUsage};
pub use gossip::codec::VERSION as GOSSIP_VERSION;
pub use ids::{BackendId, CustomerId, GatewayId, Micros, RequestId};
pub use settings::{
    BackendRules, Class, DiscoveryMode, Idempotency, KeyScope, Limits, Plan, Settings,
    WeightMeaning, MAX_POOLS, MAX_ROUTE_POOLS,
};
