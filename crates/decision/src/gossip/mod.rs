//! Messages between gateways: their bytes, what is to be sent to whom, and how many may be sent.

pub(crate) mod codec;
pub(crate) mod peers;
