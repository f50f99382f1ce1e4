//! What an ingress is told. Operators write files for a site, its applications and a fleet; they are read here
//! ([`source`], [`reader`], by the tables of [`form`]), checked ([`check`], all together in a [`set`]) and compiled into
//! what a sidecar is told ([`render`]). The platform's own settings are read by [`settings`]. No sockets and no clock.

// Not done yet, see docs/ROADMAP.md.
#![allow(
    clippy::missing_errors_doc,
    clippy::needless_pass_by_value,
    clippy::too_many_lines
)]

pub mod callers;
pub mod check;
pub mod codes;
pub mod diagnostic;
pub mod enforced;
pub mod form;
pub mod format;
pub mod group;
pub mod locality;
pub mod model;
pub mod operator;
pub mod pairs;
pub mod reach;
pub mod reader;
pub mod render;
pub mod schema;
pub mod set;
pub mod settings;
pub mod source;
mod source_file;
pub mod template;
pub mod values;

/// Writes a file in the usual form; see [`format::format`].
pub use format::format as fmt;
