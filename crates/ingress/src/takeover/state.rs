//! The state that is handed over, and its layouts. The postcard encoding is positional, so the order of fields and variants is
//! part of the layout.

use super::error::{ExtensionError, HandoverError};
use crate::backend::{Connection, SavedBackends};
use crate::client::{ClientConnection, SavedClients};
use crate::clock::ClockReading;
use crate::discovery::DiscoveryPosition;
use crate::requests::OpenRequests;
use crate::timers::Timers;
use serde::{Deserialize, Serialize};
use wrenfork_config::enforced::SplitSettings;
use wrenfork_control_plane::group::InheritedLease;
use wrenfork_decision::{Gateway, Micros};

/// Newest layout of the handover state. It is increased with every change to the stored data, here or in the decision module,
/// so that a process with another layout never misreads the bytes. A new layout only appends to the previous one: the
/// previous layout is written by omitting the appended data, and read with the default for missing data.
///
/// - 4: [`OutgoingState`].
/// - 5: layout 4, followed by the lease of a member of a group.
pub const LAYOUT: u32 = 5;
/// Oldest layout that this program still writes and reads.
pub const OLDEST_LAYOUT: u32 = 4;
/// First layout that contains the lease of a member of a group.
const FIRST_LAYOUT_WITH_LEASE: u32 = 5;

/// The state that a predecessor sends, borrowed from the running ingress.
#[derive(Serialize)]
pub struct OutgoingState<'a> {
    /// The enforced configuration, with the indices of classes and plans.
    pub source_pairs: &'a SplitSettings,
    /// Event loop clock and system clock at the moment of the handover.
    pub clocks: ClockReading,
    /// Time of the last event loop iteration.
    pub now: Micros,
    /// State of the decision module.
    pub gateway: &'a Gateway,
    /// Open requests with their attempts.
    pub requests: &'a OpenRequests,
    /// Pending timers of the event loop.
    pub timers: &'a Timers,
    /// Address of discovery, and the version of the endpoint list.
    pub discovery: DiscoveryPosition,
    /// Whether the first descriptor is the UDP socket for peers.
    pub has_peer_socket: bool,
    /// Client connections, in the order of their descriptors.
    pub clients: SavedClients<&'a ClientConnection>,
    /// Backend connections, in the order of their descriptors.
    pub backends: SavedBackends<&'a Connection>,
}

/// [`OutgoingState`] as decoded by the successor: same fields in the same order.
#[derive(Deserialize)]
pub struct InheritedState {
    pub source_pairs: SplitSettings,
    pub clocks: ClockReading,
    pub now: Micros,
    pub gateway: Gateway,
    pub requests: OpenRequests,
    pub timers: Timers,
    pub discovery: DiscoveryPosition,
    pub has_peer_socket: bool,
    pub clients: SavedClients<ClientConnection<()>>,
    pub backends: SavedBackends<Connection<()>>,
}

impl InheritedState {
    /// Number of descriptors that the predecessor sends with this state.
    pub fn descriptor_count(&self) -> usize {
        usize::from(self.has_peer_socket) + self.clients.len() + self.backends.len()
    }
}

/// Extension of the handover state by versions of the program whose layout is newer than the shipped one.
pub trait HandoverFormat {
    /// Newest layout that this version writes and reads.
    const LAYOUT: u32 = LAYOUT;

    /// Appends the data that `layout` has after the shipped layout.
    fn write_extension(_layout: u32, _state: &mut Vec<u8>) {}

    /// Checks the data that [`HandoverFormat::write_extension`] appended.
    ///
    /// # Errors
    ///
    /// If `extension` is not what `layout` requires.
    fn read_extension(_layout: u32, extension: &[u8]) -> Result<(), ExtensionError> {
        if extension.is_empty() {
            Ok(())
        } else {
            Err(ExtensionError(
                "unexpected bytes after the end of the handover state",
            ))
        }
    }
}

/// Serializes a state in the given layout.
///
/// # Errors
///
/// If serialization fails, or there is a lease and the layout cannot carry it.
pub fn encode<F: HandoverFormat>(
    layout: u32,
    state: &OutgoingState,
    lease: Option<InheritedLease>,
) -> Result<Vec<u8>, HandoverError> {
    let has_lease = layout >= FIRST_LAYOUT_WITH_LEASE;
    if !has_lease && lease.is_some() {
        return Err(HandoverError::NoLeaseInLayout(layout));
    }
    let mut bytes = postcard::to_stdvec(state).map_err(HandoverError::Encode)?;
    if has_lease {
        bytes = postcard::to_extend(&lease, bytes).map_err(HandoverError::Encode)?;
    }
    F::write_extension(layout, &mut bytes);
    Ok(bytes)
}

/// Deserializes a state of the given layout, and the lease of a member of a group if the layout contains one.
///
/// # Errors
///
/// If the bytes are not a state of this layout, or its extension is invalid.
pub(super) fn decode<F: HandoverFormat>(
    layout: u32,
    bytes: &[u8],
) -> Result<(InheritedState, Option<InheritedLease>), HandoverError> {
    let (state, mut rest) =
        postcard::take_from_bytes::<InheritedState>(bytes).map_err(HandoverError::Decode)?;
    let mut lease = None;
    if layout >= FIRST_LAYOUT_WITH_LEASE {
        (lease, rest) = postcard::take_from_bytes(rest).map_err(HandoverError::Decode)?;
    }
    F::read_extension(layout, rest)?;
    Ok((state, lease))
}
