//! Messages between gateways: their encoding, the reports pending for each peer, and the limit on
//! the message rate.

pub(crate) mod codec;
pub(crate) mod peers;
