//! Versions of the program, as tests make them from this library: faulty on purpose, or of another number. The shipped one is
//! [`Shipped`]; what it does not do costs it nothing, since the event loop is compiled for one version.

use crate::takeover::HandoverFormat;
use wrenfork_compatibility::FormatVersions;

/// A version of the program.
pub trait Variant: HandoverFormat + 'static {
    /// The version's number.
    const VERSION: &'static str = env!("CARGO_PKG_VERSION");
    /// How often it sends each message to a peer.
    const MESSAGE_COPIES: usize = 1;
    /// Whether it may fail requests that were served; where it may not, nothing is evaluated for it.
    const FAILS_SERVED: bool = false;

    /// What it reads and writes of each format.
    fn format_versions(&self) -> FormatVersions {
        crate::format_versions::format_versions(Self::VERSION, Self::LAYOUT)
    }

    /// Called before anything else is.
    fn start(&mut self) {}

    /// Called at each turn of the event loop.
    fn turn(&mut self) {}

    /// Whether it fails a request that was served, by its class and plan and the number of open requests.
    fn fails_served(&mut self, _class: &str, _plan: &str, _open: usize) -> bool {
        false
    }
}

/// The version that ships.
#[derive(Clone, Copy, Debug, Default)]
pub struct Shipped;

impl HandoverFormat for Shipped {}

impl Variant for Shipped {}
