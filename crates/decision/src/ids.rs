//! Identifier types used in events and actions.

use serde::{Deserialize, Serialize};

/// A time on the host's clock, or a duration, in microseconds.
pub type Micros = u64;

/// Identifies a request. The host assigns it and never reuses it.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Default, Serialize, Deserialize,
)]
pub struct RequestId(pub u64);

/// Identifies a backend; the value has no other meaning.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Default, Serialize, Deserialize,
)]
pub struct BackendId(pub u64);

/// Identifies a customer, who holds a plan.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Default, Serialize, Deserialize,
)]
pub struct CustomerId(pub u64);

/// Number of a gateway among its peers, from 0.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Default, Serialize, Deserialize,
)]
pub struct GatewayId(pub u16);
