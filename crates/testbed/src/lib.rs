//! A fleet of its own on loopback addresses: stand-ins for clients, backends, discovery and the network round real
//! ingress processes, faults on a timetable, and a judge of the five rules.
//!
//! A [`scenario`] says what the world is and what goes wrong when; [`rig::play`] plays it; the [`judge`] decides from
//! what the stand-ins saw; the [`report`] tells what it came to. [`small`] has stand-ins that a test drives by hand.

// Not done yet, see docs/ROADMAP.md.
#![allow(
    clippy::missing_panics_doc,
    clippy::needless_pass_by_value,
    clippy::too_many_lines
)]

pub mod arrivals;
pub mod judge;
pub mod links;
pub mod machine;
pub mod report;
pub mod rig;
pub mod scenario;
pub mod small;
