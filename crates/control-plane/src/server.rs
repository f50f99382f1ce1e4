//! The control server: accepts connections on the control socket, and shuts down or hands over the control plane.

use crate::audit_log;
use crate::clock;
use crate::connection_handler::{reject_connection, ConnectionHandler};
use crate::connection_table::ConnectionTable;
use crate::control_state::{lock, ControlState, GroupMember};
use crate::data_plane::DataPlane;
use crate::durable_state::{DurableState, Update};
use crate::error::{HandoverError, StartError};
use crate::failpoints::Failpoints;
use crate::group::{GroupConfig, InheritedLease};
use crate::lease_guard::LeaseGuard;
use crate::lease_renewer::LeaseRenewer;
use crate::shared_lease::{random_id, NewLease, SharedLease};
use crate::socket::{BoundSocket, SocketFile};
use crate::thread::spawn_background;
use std::os::unix::net::{UnixListener, UnixStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, TryLockError};
use std::time::Duration;
use wrenfork_commit::participant::Participant;
use wrenfork_consensus::acceptor::{Acceptor, PersistentState};
use wrenfork_consensus::membership::MemberRole;
use wrenfork_consensus::protocol::EnforcedState;

/// Maximum number of concurrent connections, in addition to one for each member of the group.
const MAX_CONNECTIONS: usize = 8;
/// File descriptors per member: one connection from the member, one to the member, and one of the rollout controller.
const DESCRIPTORS_PER_MEMBER: usize = 3;
/// How long a handover waits for a request in progress. Must be well below the one second that the successor waits per step.
const HANDOVER_TIMEOUT: Duration = Duration::from_millis(200);
/// Delay between two attempts of a handover to acquire the lock.
const HANDOVER_RETRY_DELAY: Duration = Duration::from_millis(1);

/// Configuration of a [`ControlServer`].
pub struct ServerConfig<D> {
    /// The ingress's name.
    pub name: String,
    /// The bound control socket.
    pub socket: BoundSocket,
    /// The durable state of this ingress.
    pub durable: DurableState,
    /// The data plane that enforces states.
    pub data_plane: D,
    /// Maximum size of a message in bytes.
    pub max_message_bytes: usize,
    /// The group configuration; `None` if the ingress is not a member of a group.
    pub group: Option<GroupConfig>,
}

/// A running control plane of an ingress.
pub struct ControlServer<D> {
    state: Arc<Mutex<ControlState<D>>>,
    lease: Option<Arc<SharedLease>>,
    socket_file: SocketFile,
}

/// A group member at its start, with the socket that wakes its lease renewer.
struct StartedMember {
    member: GroupMember,
    wake_up: UnixStream,
}

/// Maximum number of file descriptors that the control plane uses in a group of `members` members.
pub fn max_descriptors(members: usize) -> usize {
    MAX_CONNECTIONS + DESCRIPTORS_PER_MEMBER * members
}

impl<D: DataPlane> ControlServer<D> {
    /// Starts serving the control socket and, for a group member, renewing its lease.
    ///
    /// # Errors
    ///
    /// See [`StartError`].
    pub fn start(config: ServerConfig<D>) -> Result<ControlServer<D>, StartError> {
        let ServerConfig {
            name,
            socket,
            mut durable,
            data_plane,
            max_message_bytes,
            group,
        } = config;
        let started = match &group {
            Some(group) => Some(start_member(&name, &mut durable, group, &data_plane)?),
            None => None,
        };
        let (member, wake_up) = started
            .map(|started| (started.member, started.wake_up))
            .unzip();
        let lease = member.as_ref().map(|member| member.lease.clone());
        let state = Arc::new(Mutex::new(ControlState {
            participant: Participant::new(&name, durable.participant().clone()),
            name,
            member,
            durable,
            data_plane,
            failpoints: Failpoints::from_env(),
            max_message_bytes,
            unfit_program: None,
        }));
        let member_count = group
            .as_ref()
            .map_or(0, |group| group.control_sockets.len());
        if let (Some(lease), Some(wake_up), Some(group)) = (&lease, wake_up, group) {
            let renewer = LeaseRenewer::new(group, lease.clone(), wake_up, state.clone());
            spawn_background("group", || renewer.run()).map_err(StartError::Thread)?;
        }
        let handler = ConnectionHandler {
            state: state.clone(),
            lease: lease.clone(),
        };
        let listener = socket.listener;
        let accept =
            move || accept_connections(&listener, &handler, MAX_CONNECTIONS + member_count);
        spawn_background("control", accept).map_err(StartError::Thread)?;
        Ok(ControlServer {
            state,
            lease,
            socket_file: socket.file,
        })
    }

    /// The guard that admits requests under the lease; `None` if the ingress is not a member of a group.
    pub fn lease_guard(&self) -> Option<LeaseGuard> {
        self.lease.as_ref().map(|lease| lease.guard())
    }

    /// Hands the control plane over to the successor. `transfer` sends the state, including the given lease. While `transfer`
    /// runs, this process promises, writes and enforces nothing; if it succeeds, this process never does so again.
    /// `while_waiting` is called repeatedly while a request is in progress, since that request may wait for the event loop.
    ///
    /// # Errors
    ///
    /// If `transfer` fails, or a request takes too long. The control plane then continues as before.
    pub fn hand_over<T, E>(
        &self,
        while_waiting: impl FnMut(),
        transfer: impl FnOnce(Option<InheritedLease>) -> Result<T, E>,
    ) -> Result<T, HandoverError<E>> {
        let mut state = self
            .lock_within(HANDOVER_TIMEOUT, while_waiting)
            .ok_or(HandoverError::Busy)?;
        let lease = self.lease.as_ref().map(|lease| lease.inherited_lease());
        let transferred = transfer(lease).map_err(HandoverError::Transfer)?;
        self.shut_down(&mut state);
        Ok(transferred)
    }

    fn lock_within(
        &self,
        timeout: Duration,
        mut while_waiting: impl FnMut(),
    ) -> Option<MutexGuard<'_, ControlState<D>>> {
        let deadline = clock::now() + timeout;
        loop {
            match self.state.try_lock() {
                Ok(state) => return Some(state),
                Err(TryLockError::Poisoned(state)) => return Some(PoisonError::into_inner(state)),
                Err(TryLockError::WouldBlock) if clock::now() < deadline => {
                    while_waiting();
                    std::thread::sleep(HANDOVER_RETRY_DELAY);
                }
                Err(TryLockError::WouldBlock) => return None,
            }
        }
    }

    /// Stops granting leases before closing the store: the successor waits for the store's lock, so it starts only once this
    /// process grants nothing more.
    fn shut_down(&self, state: &mut ControlState<D>) {
        if let Some(lease) = &self.lease {
            lease.close();
        }
        state.durable.close();
        self.socket_file.remove();
    }

    /// Shuts the control plane down: rejects requests from now on, closes the store, and removes the socket file unless it has
    /// been replaced.
    pub fn close(self) {
        self.shut_down(&mut lock(&self.state));
    }
}

/// Accepts connections and serves each on its own thread.
fn accept_connections<D: DataPlane>(
    listener: &UnixListener,
    handler: &ConnectionHandler<D>,
    capacity: usize,
) {
    let connections = ConnectionTable::new(capacity);
    for stream in listener.incoming().flatten() {
        let connection = match connections.admit(stream) {
            Ok(connection) => connection,
            Err(stream) => {
                reject_connection(&stream);
                continue;
            }
        };
        let handler = handler.clone();
        let serve = move || {
            // If the connection fails, the peer reconnects.
            let _ = handler.serve(&connection);
        };
        // If no thread can be spawned, the connection is dropped and closed.
        let _ = spawn_background("control", serve);
    }
}

/// Restores a member from its stored state, if the folder belongs to this member, and records the start by increasing the write
/// count.
fn start_member<D: DataPlane>(
    name: &str,
    durable: &mut DurableState,
    group: &GroupConfig,
    data_plane: &D,
) -> Result<StartedMember, StartError> {
    let stored = stored_member(name, durable, data_plane)?;
    let persistent = PersistentState {
        writes: stored.writes + 1,
        ..stored
    };
    durable.commit(&Update {
        member: Some(&persistent),
        ..Update::default()
    })?;
    let member = group.initial_members.member(name);
    let is_ingress = member.is_none_or(|member| member.role == MemberRole::Ingress);
    let participant = durable.participant();
    let enforced_state = is_ingress.then(|| EnforcedState {
        generation: participant.enforced.number,
        state: participant.state.clone(),
    });
    let NewLease { lease, wake_up } = SharedLease::start(name, &persistent, group)?;
    let version_at_start = persistent.version();
    let member = GroupMember {
        acceptor: Acceptor::new(persistent, enforced_state),
        lease,
        version_at_start,
        turn_version: 0,
    };
    Ok(StartedMember { member, wake_up })
}

/// Reads the member's persistent state; a new one with a new replica id if the folder is empty or belongs to another member.
fn stored_member<D: DataPlane>(
    name: &str,
    durable: &DurableState,
    data_plane: &D,
) -> Result<PersistentState, StartError> {
    match durable.member()? {
        Some(stored) if stored.name == name => return Ok(stored),
        Some(other) => {
            let detail = format!(
                "the state folder belongs to member {}: treating it as empty, without a vote",
                other.name
            );
            data_plane.log(&audit_log::new_record("group", detail));
        }
        None => {}
    }
    Ok(PersistentState::new(name, random_id()))
}
