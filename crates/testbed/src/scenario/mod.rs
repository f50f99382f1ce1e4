//! Scenarios: the setup of a run, a seed and a timetable of faults, read from TOML. Errors in a file are reported with
//! line, key and reason.

mod diagnostic;
mod file;
mod timetable;

pub use diagnostic::Diagnostic;
pub use file::{
    BackendSet, Class, Clients, Effect, Group, Ingresses, Network, Plan, Reports, Scenario,
};
pub use timetable::{CounterFault, Fault, Leg, LegFault, LinkFault, Manner, Step};

/// A time on the rig's clock or a duration, in microseconds.
pub type Micros = u64;

/// The scenario of `wrenctl fleet demo`.
pub const DEMO: &str = include_str!("../../scenarios/demo.toml");

/// One second in [`Micros`].
pub const SECOND: Micros = 1_000_000;
