//! Configuration of an ingress. Operators write TOML files for a site, its applications and a fleet. This crate parses
//! them ([`source`], [`reader`], with the tables of [`form`]), checks them alone and together ([`check`], [`set`]) and
//! renders the settings of each sidecar ([`render`]). [`settings`] parses the platform's own settings. The crate opens
//! no sockets and reads no clock.

// These lints are not satisfied yet, see docs/ROADMAP.md.
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

/// Formats a file's text; see [`format::format`].
pub use format::format as fmt;
