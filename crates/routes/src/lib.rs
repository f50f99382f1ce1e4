//! Routes and pools. Each class of requests has a route to a pool of nodes. If no node of the pool can take the request, it goes to
//! the fallback of that pool, and so on. A fraction of the customers can be sent to a canary pool first. This package determines
//! which nodes may serve a request, and the order of the pools. The decision module chooses the node within a pool and decides
//! about retries and rejections. No I/O, no clock.

mod path;
mod selector;
mod table;

pub use path::{RoutePath, RoutePaths, MAX_TIERS};
pub use selector::{NodeLabels, Selector};
pub use table::{Canary, Pool, PoolId, Route, Table, TableError, MAX_POOLS};
