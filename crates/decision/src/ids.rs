//! The identities that events and actions name.

use serde::{Deserialize, Serialize};

/// A time on the host's clock, or a span of it, in microseconds.
pub type Micros = u64;

/// A request, as named by the host. Never used twice.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Default, Serialize, Deserialize,
)]
pub struct RequestId(pub u64);

/// A backend; means nothing but identity.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Default, Serialize, Deserialize,
)]
pub struct BackendId(pub u64);

/// A customer, the holder of a plan.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Default, Serialize, Deserialize,
)]
pub struct CustomerId(pub u64);

/// The number of a gateway among its peers, from 0.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Default, Serialize, Deserialize,
)]
pub struct GatewayId(pub u16);
