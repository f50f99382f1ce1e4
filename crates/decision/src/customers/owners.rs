//! The quota owners of a customer: the gateways that receive all reports of its use and are asked
//! for room.
//!
//! In a small deployment all of the customer's gateways are owners. In a larger one there are two,
//! chosen by a hash of the customer: the first is asked, the second mirrors the first one's state
//! and takes over while the first is silent.

use crate::ids::CustomerId;
use crate::numeric::unit_hash;

/// The owners of a customer's quota; once computed they never change.
#[derive(Default)]
pub(crate) struct Owners {
    /// The first and the second owner; the same gateway twice if the customer has only one.
    pub(super) pair: [u16; 2],
    pub(super) first_gateway: u16,
    pub(super) gateway_span: f64,
    pub(super) all: Vec<u16>,
    /// Whether this gateway is an owner.
    pub(super) is_owner: bool,
}

/// The range of gateways that a customer's requests come through.
#[derive(Clone, Copy)]
pub(crate) struct Span {
    pub(crate) first_gateway: u16,
    pub(crate) gateway_span: u16,
}

impl Owners {
    /// Computes a customer's owners among its gateways; `gateway_count` is the number of gateways
    /// in the deployment.
    pub(crate) fn of(
        customer: CustomerId,
        span: Span,
        gateway_count: u16,
        this_gateway: u16,
        every_gateway_owns: bool,
    ) -> Owners {
        let count = u64::from(span.gateway_span.clamp(1, gateway_count));
        let first = u64::from(span.first_gateway);
        let gateway_at = |offset: u64| ((first + offset % count) % u64::from(gateway_count)) as u16;
        let first_offset = (unit_hash(customer.0) * count as f64) as u64;
        let second_distance = 1 + (unit_hash(!customer.0) * (count as f64 - 1.0)) as u64;
        let pair = [
            gateway_at(first_offset),
            gateway_at(first_offset + second_distance),
        ];
        let mut all = if every_gateway_owns {
            (0..count).map(gateway_at).collect()
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

    /// Whether the owners have been computed.
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
