//! The successor's side of a handover: taking over from the process that currently serves.

use super::error::HandoverError;
use super::state::{decode, HandoverFormat, InheritedState, OLDEST_LAYOUT};
use crate::config::{compile, ActiveConfig};
use std::os::fd::OwnedFd;
use std::path::Path;
use wrenfork_commit::state::State;
use wrenfork_control_plane::group::InheritedLease;
use wrenfork_handover::predecessor::{OfferedState, Predecessor};

/// The received state may take at most the memory limit divided by this, since the received bytes and the decoded state are
/// in memory at the same time.
const STATE_MEMORY_DIVISOR: usize = 4;

/// Everything received from the predecessor.
pub struct TakenOver {
    /// The decoded state of the predecessor.
    pub state: InheritedState,
    /// The lease of a member of a group; `None` outside a group, or if the predecessor's layout has no lease.
    pub lease: Option<InheritedLease>,
    /// The configuration that the predecessor enforced, compiled.
    pub active: ActiveConfig,
    /// The sockets, in the order in which the state refers to them; may be fewer than the state refers to.
    pub descriptors: Vec<OwnedFd>,
}

/// Takes over from the process that currently serves. Returns `None` if there is no such process or the handover fails; the
/// ingress then starts without inherited state. `memory` is the memory limit of this ingress in bytes.
pub fn take_over<F: HandoverFormat>(path: &Path, memory: usize) -> Option<TakenOver> {
    match try_take_over::<F>(path, memory) {
        Ok(taken) => taken,
        Err(error) => {
            tracing::warn!(
                %error,
                "handover: failed, starting without the state of the predecessor, which keeps running until it is stopped"
            );
            None
        }
    }
}

fn try_take_over<F: HandoverFormat>(
    path: &Path,
    memory: usize,
) -> Result<Option<TakenOver>, HandoverError> {
    let layouts = OLDEST_LAYOUT..=F::LAYOUT;
    let offered = Predecessor::request_state(path, layouts, memory / STATE_MEMORY_DIVISOR)?;
    let Some(OfferedState {
        mut predecessor,
        layout,
        state: bytes,
    }) = offered
    else {
        return Ok(None);
    };
    // Everything that can fail is done before this process becomes the owner of the state: until then the predecessor can go on.
    let (state, lease, active) = match decode_and_compile::<F>(layout, &bytes) {
        Ok(decoded) => decoded,
        Err(error) => {
            predecessor.decline(&error.to_string());
            return Err(error);
        }
    };
    drop(bytes);
    predecessor.take_over()?;
    let descriptors = receive_descriptors(&mut predecessor, state.descriptor_count());
    Ok(Some(TakenOver {
        state,
        lease,
        active,
        descriptors,
    }))
}

type Decoded = (InheritedState, Option<InheritedLease>, ActiveConfig);

fn decode_and_compile<F: HandoverFormat>(
    layout: u32,
    bytes: &[u8],
) -> Result<Decoded, HandoverError> {
    let (state, lease) = decode::<F>(layout, bytes)?;
    let pairs = State(state.source_pairs.state.clone());
    let active = compile(&state.source_pairs.fixed, &pairs).map_err(HandoverError::Config)?;
    Ok((state, lease, active))
}

fn receive_descriptors(predecessor: &mut Predecessor, count: usize) -> Vec<OwnedFd> {
    let descriptors = predecessor.receive_descriptors(count);
    if descriptors.len() < count {
        let lost = count - descriptors.len();
        tracing::warn!(
            lost,
            count,
            "handover: fewer descriptors received than expected, their connections are lost"
        );
    }
    descriptors
}
