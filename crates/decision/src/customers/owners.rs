//! Which gateways own a customer's quota: those that hear of all its use and are asked for room.
//!
//! In a small deployment all of the customer's gateways own it. In a larger one two of them do,
//! drawn by a hash of the customer: the first is asked, the second mirrors it and steps in while
//! the first is silent.

use crate::ids::CustomerId;
use crate::numeric::unit_hash;

/// The owners of a customer's quota, fixed for good.
#[derive(Default)]
pub(crate) struct Owners {
    /// The first owner and the second; the same gateway twice where there is one alone.
    pub(super) pair: [u16; 2],
    pub(super) first_gateway: u16,
    pub(super) gateway_span: f64,
    pub(super) all: Vec<u16>,
    /// This gateway is one of them.
    pub(super) is_owner: bool,
}

/// Through which gateways a customer's requests come.
#[derive(Clone, Copy)]
pub(crate) struct Span {
    pub(crate) first_gateway: u16,
    pub(crate) gateway_span: u16,
}

impl Owners {
    /// Draws the owners of a customer among its gateways, of `gateway_count` in all.
    pub(crate) fn of(
        customer: CustomerId,
        span: Span,
        gateway_count: u16,
        this_gateway: u16,
        every_gateway_owns: bool,
    ) -> Owners {
        let count = u64::from(span.gateway_span.clamp(1, gateway_count));
        let first = u64::from(span.first_gateway);
        let at = |n: u64| ((first + n % count) % u64::from(gateway_count)) as u16;
        let one = (unit_hash(customer.0) * count as f64) as u64;
        let other = 1 + (unit_hash(!customer.0) * (count as f64 - 1.0)) as u64;
        let pair = [at(one), at(one + other)];
        let mut all = if every_gateway_owns {
            (0..count).map(at).collect()
        } else {
            pair.to_vec()
        };
        all.dedup();
        Owners {
            pair,
            first_gateway: span.first_gateway,
            gateway_span: count as f64,
            is_owner: all.contains(&this_gateway),
            all,
        }
    }

    /// They have been drawn.
    pub(crate) fn are_known(&self) -> bool {
        !self.all.is_empty()
    }

    pub(crate) fn pair(&self) -> [u16; 2] {
        self.pair
    }

    pub(crate) fn all(&self) -> &[u16] {
        &self.all
    }

    pub(crate) fn is_owner(&self) -> bool {
        self.is_owner
    }

    pub(crate) fn first_gateway(&self) -> u16 {
        self.first_gateway
    }

    pub(crate) fn gateway_span(&self) -> f64 {
        self.gateway_span
    }
}
