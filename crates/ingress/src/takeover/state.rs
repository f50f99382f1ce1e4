//! The state that passes from one process to the next, and its layouts. All forms are positional (postcard): the order of
//! fields and variants is part of the layout.

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

/// The number of the state's layout. It grows with every change of what is stored in it, here or in the module: a process of
/// another layout must not read it wrongly. What a layout has more than the one before stands behind all of that, so that a
/// neighbour's is written by leaving that away, and read with what it means that it is not there:
///
/// - 4: [`OutgoingState`].
/// - 5: and the lease of a member of a group.
pub const LAYOUT: u32 = 5;
/// The oldest layout that is written and read here.
pub const OLDEST_LAYOUT: u32 = 4;
/// The first layout with the lease of a member of a group.
const FIRST_LAYOUT_WITH_LEASE: u32 = 5;

/// What is handed over, by the old process.
#[derive(Serialize)]
pub struct OutgoingState<'a> {
    /// What is enforced, with the indices that classes and plans have.
    pub source_pairs: &'a SplitSettings,
    /// The event loop's clock and the system's.
    pub clocks: ClockReading,
    /// The time of the event loop's last turn.
    pub now: Micros,
    /// The decision module.
    pub gateway: &'a Gateway,
    /// The open requests.
    pub requests: &'a OpenRequests,
    /// The timers that are set.
    pub timers: &'a Timers,
    /// Where discovery is, and the version of the endpoint list.
    pub discovery: DiscoveryPosition,
    /// Whether the first descriptor is the peers' socket.
    pub has_peer_socket: bool,
    /// The client connections.
    pub clients: SavedClients<&'a ClientConnection>,
    /// The connections to backends.
    pub backends: SavedBackends<&'a Connection>,
}

/// The same, as the new process reads it.
#[derive(Deserialize)]
pub struct InheritedState {
    /// See [`OutgoingState::source_pairs`], and so on.
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
    /// How many descriptors belong to it.
    pub fn descriptor_count(&self) -> usize {
        usize::from(self.has_peer_socket) + self.clients.len() + self.backends.len()
    }
}

/// What a version of the program stores behind the shipped layout, in an extension that the shipped version does not know.
pub trait HandoverFormat {
    /// The newest layout that it writes and reads.
    const LAYOUT: u32 = LAYOUT;

    /// Appends what a layout has beyond the shipped one.
    fn write_extension(_layout: u32, _state: &mut Vec<u8>) {}

    /// Reads what [`HandoverFormat::write_extension`] appends.
    ///
    /// # Errors
    ///
    /// Where it is something else.
    fn read_extension(_layout: u32, extension: &[u8]) -> Result<(), ExtensionError> {
        if extension.is_empty() {
            Ok(())
        } else {
            Err(ExtensionError("there is more than its layout has"))
        }
    }
}

/// Serializes a state in a layout.
///
/// # Errors
///
/// Where it can't be serialized, or a process of that layout could not go on with it.
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

/// Deserializes a state of a layout, with the lease of a member of a group where the layout has one.
///
/// # Errors
///
/// Where the bytes are no state of this layout, or something stands behind it.
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
