//! The control server: opens the connections of the control socket, and ends or hands over the control plane.

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

/// Connections that are served at once, besides one for each other member of the group.
const MAX_CONNECTIONS: usize = 8;
/// Descriptors for each member: a connection from it, one to it, and one of a rollout that is driven here.
const DESCRIPTORS_PER_MEMBER: usize = 3;
/// How long a handover waits for a request that is carried out: the next process waits for a second at each step.
const HANDOVER_TIMEOUT: Duration = Duration::from_millis(200);
/// Between two attempts of a handover to have the lock.
const HANDOVER_RETRY: Duration = Duration::from_millis(1);

/// What a control server is started with.
pub struct ServerConfig<D> {
    /// The ingress's name.
    pub name: String,
    /// The control socket.
    pub socket: BoundSocket,
    /// What is remembered.
    pub durable: DurableState,
    /// What serves requests.
    pub data_plane: D,
    /// The most bytes of a message.
    pub max_message_bytes: usize,
    /// The group that the ingress is a member of, if it is.
    pub group: Option<GroupConfig>,
}

/// The control plane of an ingress.
pub struct ControlServer<D> {
    state: Arc<Mutex<ControlState<D>>>,
    lease: Option<Arc<SharedLease>>,
    socket_file: SocketFile,
}

/// A member at its start, with the socket that wakes its renewing thread.
struct JoinedMember {
    member: GroupMember,
    wake_up: UnixStream,
}

/// The descriptors that a member of a group of that size may take.
pub fn max_descriptors(members: usize) -> usize {
    MAX_CONNECTIONS + DESCRIPTORS_PER_MEMBER * members
}

impl<D: DataPlane> ControlServer<D> {
    /// Serves the socket from now on, and renews the lease of a member of a group.
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
        let joined = match &group {
            Some(group) => Some(join(&name, &mut durable, group, &data_plane)?),
            None => None,
        };
        let (member, wake_up) = joined.map(|j| (j.member, j.wake_up)).unzip();
        let lease = member.as_ref().map(|member| member.lease.clone());
        let state = Arc::new(Mutex::new(ControlState {
            participant: Participant::new(&name, durable.memory().clone()),
            name,
            member,
            durable,
            data_plane,
            failpoints: Failpoints::from_env(),
            max_message_bytes,
            unfit_program: None,
        }));
        let peers = group
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
        let accept = move || accept_connections(&listener, &handler, MAX_CONNECTIONS + peers);
        spawn_background("control", accept).map_err(StartError::Thread)?;
        Ok(ControlServer {
            state,
            lease,
            socket_file: socket.file,
        })
    }

    /// The guard of requests, where the ingress is a member of a group.
    pub fn lease_guard(&self) -> Option<LeaseGuard> {
        self.lease.as_ref().map(|lease| lease.guard())
    }

    /// Hands the control plane over to the next process of this ingress. `transfer` does it, with the lease as it stands:
    /// while it runs nothing is promised, written or enforced here, and if it succeeds nothing ever is again. `meanwhile` is
    /// called while a request is carried out, which may wait for the event loop.
    ///
    /// # Errors
    ///
    /// Where `transfer` fails, or a request takes too long: all goes on as before.
    pub fn hand_over<T, E>(
        &self,
        meanwhile: impl FnMut(),
        transfer: impl FnOnce(Option<InheritedLease>) -> Result<T, E>,
    ) -> Result<T, HandoverError<E>> {
        let mut state = self
            .lock_within(HANDOVER_TIMEOUT, meanwhile)
            .ok_or(HandoverError::Busy)?;
        let lease = self.lease.as_ref().map(|lease| lease.to_inherit());
        let transferred = transfer(lease).map_err(HandoverError::Transfer)?;
        self.shut_down(&mut state);
        Ok(transferred)
    }

    fn lock_within(
        &self,
        timeout: Duration,
        mut meanwhile: impl FnMut(),
    ) -> Option<MutexGuard<'_, ControlState<D>>> {
        let deadline = clock::now() + timeout;
        loop {
            match self.state.try_lock() {
                Ok(state) => return Some(state),
                Err(TryLockError::Poisoned(state)) => return Some(PoisonError::into_inner(state)),
                Err(TryLockError::WouldBlock) if clock::now() < deadline => {
                    meanwhile();
                    std::thread::sleep(HANDOVER_RETRY);
                }
                Err(TryLockError::WouldBlock) => return None,
            }
        }
    }

    /// Ends the grants first, then closes the store, whose lock is what the next process waits for.
    fn shut_down(&self, state: &mut ControlState<D>) {
        if let Some(lease) = &self.lease {
            lease.close();
        }
        state.durable.close();
        self.socket_file.remove();
    }

    /// Ends the control plane: requests are rejected from now on, the store is closed, and the socket's file is removed if it
    /// is still this one's.
    pub fn close(self) {
        self.shut_down(&mut lock(&self.state));
    }
}

/// Accepts connections, each served by a thread of its own.
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
            // A connection that breaks is made again by its peer.
            let _ = handler.serve(&connection);
        };
        // Where the system gives no thread, the connection ends.
        let _ = spawn_background("control", serve);
    }
}

/// What a member starts with: what it has promised, if the folder is its own, and that it has started again, written down.
fn join<D: DataPlane>(
    name: &str,
    durable: &mut DurableState,
    group: &GroupConfig,
    data_plane: &D,
) -> Result<JoinedMember, StartError> {
    let stored = stored_member(name, durable, data_plane)?;
    let memory = PersistentState {
        writes: stored.writes + 1,
        ..stored
    };
    durable.commit(&Update {
        member: Some(&memory),
        ..Update::default()
    })?;
    let member = group.initial_members.member(name);
    let serves = member.is_none_or(|member| member.role == MemberRole::Ingress);
    let enforced = durable.memory();
    let own = serves.then(|| EnforcedState {
        generation: enforced.enforced.number,
        state: enforced.state.clone(),
    });
    let NewLease { lease, wake_up } = SharedLease::start(name, &memory, group)?;
    let version_at_start = memory.version();
    let member = GroupMember {
        acceptor: Acceptor::new(memory, own),
        lease,
        version_at_start,
        turn_version: 0,
    };
    Ok(JoinedMember { member, wake_up })
}

/// What a member has promised; nothing where the folder is another member's or none's yet.
fn stored_member<D: DataPlane>(
    name: &str,
    durable: &DurableState,
    data_plane: &D,
) -> Result<PersistentState, StartError> {
    match durable.member()? {
        Some(memory) if memory.name == name => return Ok(memory),
        Some(other) => {
            let why = format!(
                "the folder is {}'s: it is used as an empty one, without a vote",
                other.name
            );
            data_plane.log(&audit_log::record("group", why));
        }
        None => {}
    }
    Ok(PersistentState::new(name, random_id()))
}
