//! The addresses of a node, and the order in which they are tried (RFC 8305, section 4).

use crate::address::Address;
use crate::Micros;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Maximum number of addresses of a node. Further ones are ignored.
pub const MAX_ADDRESSES: usize = 8;
/// How long an address is ordered after the others when it has failed, in microseconds. Doubles with each consecutive failure.
pub const INITIAL_BACKOFF: Micros = 1_000_000;
/// Maximum number of doublings of [`INITIAL_BACKOFF`].
const MAX_DOUBLINGS: u32 = 6;
/// Number of address families: Unix sockets, IPv6 and IPv4.
const FAMILIES: usize = 3;

/// Result of using an address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AddressOutcome {
    /// The node responded.
    Responded,
    /// The connection was refused or timed out, or the address does not exist.
    Unreachable,
    /// The node accepted a request but did not respond in time.
    TimedOut,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct AddressState {
    #[serde(rename = "place")]
    address: Address,
    /// Number of consecutive failures.
    #[serde(rename = "strikes")]
    failures: u32,
    /// Until this time the address is ordered after those without a recent failure.
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

    /// Index of the address family. Addresses of different families alternate, so that a family that does not work on this machine
    /// costs at most one delay.
    fn family(&self) -> usize {
        match self.address {
            Address::Unix(_) => 0,
            Address::Tcp(SocketAddr::V6(_)) => 1,
            Address::Tcp(SocketAddr::V4(_)) => 2,
        }
    }
}

/// The addresses of a node and their recent failures. A handover passes the list to the successor in a positional format, so fields
/// must keep their order.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct AddressList(Vec<AddressState>);

impl AddressList {
    /// Replaces the list with `addresses` and keeps the failure state of those already listed. Returns whether any address was
    /// removed.
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

    /// The address if there is exactly one, in which case no order is needed.
    pub fn only(&self) -> Option<&Address> {
        match &self.0[..] {
            [state] => Some(&state.address),
            _ => None,
        }
    }

    /// The addresses in the order in which to try them. Those without a recent failure come first, alternating between families and
    /// in listed order within a family. The others follow, ordered by the end of their backoff.
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

    /// Records the result of using an address. Ignores an address that is not listed.
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

/// Yields the first item of each list, then the second of each, and so on.
fn interleaved<'a, T>(lists: &'a [Vec<&'a T>]) -> impl Iterator<Item = &'a T> {
    let longest = lists.iter().map(Vec::len).max().unwrap_or(0);
    (0..longest).flat_map(move |index| {
        lists
            .iter()
            .filter_map(move |list| list.get(index).copied())
    })
}
