//! The addresses of a node, and in what order they are tried (RFC 8305, section 4).

use crate::address::Address;
use crate::Micros;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The most addresses of a node; more are left out.
pub const MAX_ADDRESSES: usize = 8;
/// How long an address comes after the others once it has failed, in microseconds; it doubles with each failure in a row.
pub const INITIAL_BACKOFF: Micros = 1_000_000;
/// How often that doubles.
const MAX_DOUBLINGS: u32 = 6;
/// Address families: Unix sockets, IPv6, IPv4.
const FAMILIES: usize = 3;

/// What came of using an address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AddressOutcome {
    /// It responded.
    Responded,
    /// It refused the connection, does not exist, or did not accept in time.
    Unreachable,
    /// It accepted a request and did not respond in time.
    TimedOut,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct AddressState {
    #[serde(rename = "place")]
    address: Address,
    /// Failures in a row.
    #[serde(rename = "strikes")]
    failures: u32,
    /// Until then it comes after the addresses that have not failed.
    #[serde(rename = "rests_until")]
    backoff_until: Micros,
}

impl AddressState {
    fn new(address: Address) -> AddressState {
        AddressState {
            address,
            failures: 0,
            backoff_until: 0,
        }
    }

    fn is_backing_off(&self, now: Micros) -> bool {
        now < self.backoff_until
    }

    /// Families take turns: one that does not work on this machine must not cost more than one delay.
    fn family(&self) -> usize {
        match self.address {
            Address::Unix(_) => 0,
            Address::Tcp(SocketAddr::V6(_)) => 1,
            Address::Tcp(SocketAddr::V4(_)) => 2,
        }
    }
}

/// The addresses of a node. It passes to the next process of an ingress in a positional form: fields keep their order.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct AddressList(Vec<AddressState>);

impl AddressList {
    /// Takes the addresses that are listed now; what is known of those that stay is kept. Whether one was removed.
    pub fn update(&mut self, mut addresses: Vec<Address>) -> bool {
        addresses.truncate(MAX_ADDRESSES);
        let previous = std::mem::take(&mut self.0);
        let removed = previous
            .iter()
            .any(|state| !addresses.contains(&state.address));
        for address in addresses {
            if self.contains(&address) {
                continue;
            }
            let known = previous.iter().find(|state| state.address == address);
            let state = known.cloned();
            self.0
                .push(state.unwrap_or_else(|| AddressState::new(address)));
        }
        removed
    }

    /// Whether an address is listed.
    pub fn contains(&self, address: &Address) -> bool {
        self.0.iter().any(|state| state.address == *address)
    }

    /// The only address, where there is but one: no order is needed.
    pub fn only(&self) -> Option<&Address> {
        match &self.0[..] {
            [state] => Some(&state.address),
            _ => None,
        }
    }

    /// The addresses, best first: those that have not failed lately, families in turns and within one as listed; then those
    /// that have, the one whose backoff ends first in front.
    pub fn ordered(&self, now: Micros) -> Vec<Address> {
        let mut by_family: [Vec<&AddressState>; FAMILIES] = Default::default();
        let mut backing_off = Vec::new();
        for state in &self.0 {
            if state.is_backing_off(now) {
                backing_off.push(state);
            } else {
                by_family[state.family()].push(state);
            }
        }
        backing_off.sort_by_key(|state| state.backoff_until);
        interleaved(&by_family)
            .chain(backing_off)
            .map(|state| state.address.clone())
            .collect()
    }

    /// Records what came of using an address.
    pub fn record(&mut self, address: &Address, outcome: AddressOutcome, now: Micros) {
        let Some(state) = self.0.iter_mut().find(|state| state.address == *address) else {
            return;
        };
        match outcome {
            AddressOutcome::Responded => {
                state.failures = 0;
                state.backoff_until = 0;
            }
            AddressOutcome::Unreachable | AddressOutcome::TimedOut => {
                let backoff = INITIAL_BACKOFF << state.failures.min(MAX_DOUBLINGS);
                state.backoff_until = now + backoff;
                state.failures = state.failures.saturating_add(1);
            }
        }
    }
}

/// The first of each family, then the second of each, and so on.
fn interleaved<'a, T>(lists: &'a [Vec<&'a T>]) -> impl Iterator<Item = &'a T> {
    let longest = lists.iter().map(Vec::len).max().unwrap_or(0);
    (0..longest).flat_map(move |turn| lists.iter().filter_map(move |list| list.get(turn).copied()))
}
