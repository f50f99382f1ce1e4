//! What a route means. A class of requests goes to a pool of nodes; where that has nobody to take it, to the pool that it falls
//! back on, and so on; a fraction of the customers may be sent to a canary pool first. This package says which nodes may be
//! asked, and in what order of pools. Which node of a pool serves a request, whether it is retried and what is rejected is for
//! the decision module alone. No I/O, no clock.

mod path;
mod selector;
mod table;

pub use path::{RoutePath, RoutePaths, MAX_TIERS};
pub use selector::{NodeLabels, Selector};
pub use table::{Canary, Pool, PoolId, Route, Table, TableError, MAX_POOLS};
