//! What the files mean: typed, with the place of each value that a check may have to show.

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
