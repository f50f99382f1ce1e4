//! Taking over from the process that serves at this moment.

use super::error::HandoverError;
use super::state::{decode, HandoverFormat, InheritedState, OLDEST_LAYOUT};
use crate::config::{compile, ActiveConfig};
use std::os::fd::OwnedFd;
use std::path::Path;
use wrenfork_commit::state::State;
use wrenfork_control_plane::group::InheritedLease;
use wrenfork_handover::predecessor::{OfferedState, Predecessor};

/// One part in so many of the memory bounds a state on its way: it stands there beside what it is read into.
const STATE_MEMORY_SHARE: usize = 4;

/// What was taken over.
pub struct TakenOver {
    /// The state of the process before.
    pub state: InheritedState,
    /// The lease of a member of a group; none where the other process's layout has none.
    pub lease: Option<InheritedLease>,
    /// What the process before enforced, compiled.
    pub active: ActiveConfig,
    /// The sockets, in the order in which the state names them.
    pub descriptors: Vec<OwnedFd>,
}

/// Takes over from the process that serves at this moment; none if there is none, or it can't: then this one begins anew.
/// `memory` is what this ingress may use, in bytes.
pub fn take_over<F: HandoverFormat>(path: &Path, memory: usize) -> Option<TakenOver> {
    match try_take_over::<F>(path, memory) {
        Ok(taken) => taken,
        Err(error) => {
            tracing::warn!(
                %error,
                "handover: failed, beginning anew beside the other process, which has to end by itself"
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
    let offered = Predecessor::request_state(path, layouts, memory / STATE_MEMORY_SHARE)?;
    let Some(OfferedState {
        mut predecessor,
        layout,
        state: bytes,
    }) = offered
    else {
        return Ok(None);
    };
    // All that may fail comes before the state is this process's.
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
            "handover: connections did not come, they are lost"
        );
    }
    descriptors
}
