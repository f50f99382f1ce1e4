//! Typed contents of the files. Each value that a diagnostic may point at keeps its span in the file.

mod application;
mod fields;
mod fleet;
mod identity;
mod ingress;
mod site;

pub use application::{Account, Application, Pool, Program, Roster, Route, Sidecar, Witness};
pub use fleet::{Fleet, Node, Status};
pub use identity::{Identity, Issuer, IssuerKey, Tenant};
pub use ingress::Ingress;
pub use site::{Ceiling, Class, Effect, Near, Plan, Rules, Site, SiteLimits};
