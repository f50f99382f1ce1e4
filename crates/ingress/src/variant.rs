//! Versions of the program. Tests build versions from this library that are faulty on purpose or have other format versions; the
//! released one is [`Shipped`]. The event loop is compiled for one version, so hooks that are not overridden cost nothing.

use crate::takeover::HandoverFormat;
use wrenfork_compatibility::FormatVersions;

/// Hooks in which versions of the program differ.
pub trait Variant: HandoverFormat + 'static {
    /// Version number that the program reports.
    const VERSION: &'static str = env!("CARGO_PKG_VERSION");
    /// Number of copies of each message that are sent to a peer.
    const MESSAGE_COPIES: usize = 1;
    /// Whether [`Variant::fails_served`] is called at all.
    const FAILS_SERVED: bool = false;

    /// Returns the versions of each format that this program reads and writes.
    fn format_versions(&self) -> FormatVersions {
        crate::format_versions::format_versions(Self::VERSION, Self::LAYOUT)
    }

    /// Called once at the start, before logging and configuration.
    fn start(&mut self) {}

    /// Called in each iteration of the event loop.
    fn turn(&mut self) {}

    /// Whether to turn a served request into a failed one, given its class, its plan and the number of open requests.
    fn fails_served(&mut self, _class: &str, _plan: &str, _open: usize) -> bool {
        false
    }
}

/// The released version of the program.
#[derive(Clone, Copy, Debug, Default)]
pub struct Shipped;

impl HandoverFormat for Shipped {}

impl Variant for Shipped {}
