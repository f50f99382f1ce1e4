//! Scenarios: a world, a seed and a timetable of faults, read from TOML. What is wrong with a file is told by its
//! line, its key and the reason.

mod diagnostic;
mod file;
mod timetable;

pub use diagnostic::Diagnostic;
pub use file::{
    BackendSet, Class, Clients, Effect, Group, Ingresses, Network, Plan, Reports, Scenario,
};
pub use timetable::{CounterFault, Fault, Leg, LegFault, LinkFault, Manner, Step};

/// A time on the rig's clock, or a span of it, in microseconds.
pub type Micros = u64;

/// The scenario of `wrenctl fleet demo`.
pub const DEMO: &str = include_str!("../../scenarios/demo.toml");

/// A second.
pub const SECOND: Micros = 1_000_000;
