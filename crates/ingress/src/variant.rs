//! Other versions of the program, as tests make them from this library: worse on purpose, or of another number. The shipped one
//! is [`Shipped`]; what it does not do costs it nothing, since the loop is compiled for one version.

use crate::takeover::Form;
use wrenfork_compatibility::FormatVersions;

/// A version of the program.
pub trait Variant: Form + 'static {
    /// What it calls itself.
    const VERSION: &'static str = env!("CARGO_PKG_VERSION");
    /// How often it sends each message to a peer.
    const COPIES: usize = 1;

    /// What it reads and writes of each form.
    fn speaks(&self) -> FormatVersions {
        crate::speaks::speaks(Self::VERSION, Self::LAYOUT)
    }

    /// Called before anything else is.
    fn begin(&mut self) {}

    /// Whether it may make failures of what was served; where it may not, nothing is looked at for it.
    const SPOILS: bool = false;

    /// Called at each turn of the loop.
    fn turn(&mut self) {}

    /// Whether it makes a failure of a request that was served, by its class and plan and the number that are open.
    fn spoils(&mut self, _class: &str, _plan: &str, _open: usize) -> bool {
        false
    }
}

/// The version that ships.
#[derive(Clone, Copy, Debug, Default)]
pub struct Shipped;

impl Form for Shipped {}

impl Variant for Shipped {}
