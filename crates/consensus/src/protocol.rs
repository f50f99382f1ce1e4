//! Messages of the group protocol, between members and between `wrenctl` and a member.
//!
//! They are lines of the control sockets' protocol ([`wrenfork_commit::protocol`]) and are distinguished from the messages
//! of two-phase commit by the key `group`. Field and variant names are part of the wire format: a name that differs from
//! the Rust one is given by `serde(rename)`.

use crate::group_state::GroupState;
use crate::membership::{MemberRole, Membership, ReplicaId};
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use wrenfork_commit::state::{Digest, State};
use wrenfork_rollout::{MemberMetrics, RolloutPhase};

/// How far into a line the key `group` is looked for, in bytes: it is the first key after the version.
const GROUP_KEY_PREFIX: usize = 32;
const GROUP_KEY: &[u8] = b"\"group\":";

/// A Paxos ballot: a round, made unique by a random number of its proposer.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Ballot {
    /// Higher than every round the proposer has seen.
    pub round: u64,
    /// Random number of the proposer, which orders ballots of the same round.
    #[serde(rename = "by")]
    pub proposer: u64,
}

/// How recent a replica's stored state is.
///
/// Each start of a process draws another incarnation. A replica restored from a copy has fewer writes than its peers have
/// seen, or the same number with another incarnation.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct ReplicaVersion {
    /// Number of writes of the replica so far.
    pub writes: u64,
    /// Random number of the process, drawn at its start.
    #[serde(rename = "life")]
    pub incarnation: u64,
}

impl ReplicaVersion {
    /// Whether a replica that reports this version must be an older copy of one that was `seen` before.
    pub fn is_older_copy_of(&self, seen: &ReplicaVersion) -> bool {
        self.writes < seen.writes
            || self.writes == seen.writes && self.incarnation != seen.incarnation
    }
}

/// A group state that a member has accepted, written as an array of both.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(from = "(Ballot, Arc<GroupState>)", into = "(Ballot, Arc<GroupState>)")]
pub struct AcceptedState {
    /// Ballot in which it was accepted.
    pub ballot: Ballot,
    /// The state.
    pub state: Arc<GroupState>,
}

impl From<(Ballot, Arc<GroupState>)> for AcceptedState {
    fn from((ballot, state): (Ballot, Arc<GroupState>)) -> AcceptedState {
        AcceptedState { ballot, state }
    }
}

impl From<AcceptedState> for (Ballot, Arc<GroupState>) {
    fn from(accepted: AcceptedState) -> (Ballot, Arc<GroupState>) {
        (accepted.ballot, accepted.state)
    }
}

/// What a member enforces before its group is formed, written as an array of both.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(from = "(u64, Arc<State>)", into = "(u64, Arc<State>)")]
pub struct EnforcedState {
    /// Number of its generation.
    pub generation: u64,
    /// The state.
    pub state: Arc<State>,
}

impl From<(u64, Arc<State>)> for EnforcedState {
    fn from((generation, state): (u64, Arc<State>)) -> EnforcedState {
        EnforcedState { generation, state }
    }
}

impl From<EnforcedState> for (u64, Arc<State>) {
    fn from(enforced: EnforcedState) -> (u64, Arc<State>) {
        (enforced.generation, enforced.state)
    }
}

/// A request for a lease, which counts from the moment the request was sent.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RenewalRequest {
    /// Name of the sender.
    pub from: String,
    /// Replica of the sender.
    #[serde(rename = "folder")]
    pub replica: ReplicaId,
    /// Version of that replica.
    #[serde(rename = "age")]
    pub replica_version: ReplicaVersion,
    /// Version of the group state the sender serves under; 0 if it knows none.
    #[serde(rename = "number")]
    pub version: u64,
    /// Digest of the next group state, if the sender has accepted it.
    #[serde(rename = "ready")]
    pub accepted: Option<Digest>,
}

/// A request to a member of a group.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(tag = "group", rename_all = "kebab-case")]
pub enum GroupRequest {
    /// Renews the sender's lease.
    Renew(RenewalRequest),
    /// Phase 1a of Paxos: take part in deciding `version`, and in no lower ballot from now on.
    #[serde(rename = "promise")]
    Prepare {
        /// Version of the group state to be decided.
        #[serde(rename = "number")]
        version: u64,
        /// Ballot of the proposer.
        ballot: Ballot,
        /// What would be proposed. A member that could not enforce it says so before anything is decided.
        #[serde(rename = "trial")]
        candidate: Option<Arc<GroupState>>,
    },
    /// Phase 2a of Paxos: accept a group state. From then on the member enforces it as soon as it hears that it is
    /// decided, and renews leases under its predecessor only for members that have accepted it too.
    Accept {
        /// Ballot of the proposer.
        ballot: Ballot,
        /// The proposed state.
        #[serde(rename = "decree")]
        state: Arc<GroupState>,
    },
    /// Heartbeat of the proposer of an accepted state.
    #[serde(rename = "still")]
    ProposerAlive {
        /// Ballot of the proposer.
        ballot: Ballot,
        /// Members the proposer knows to have accepted its state. They alone may keep serving under its predecessor until
        /// they are notified.
        #[serde(rename = "ready")]
        accepted_by: Vec<String>,
    },
    /// Notifies a member that a group state is decided.
    Decided {
        /// Its version.
        #[serde(rename = "number")]
        version: u64,
        /// Its digest.
        digest: Digest,
        /// The state itself, for members that have not accepted it.
        #[serde(rename = "decree")]
        state: Option<Arc<GroupState>>,
    },
    /// Asks for the whole group state in force.
    Learn,
    /// Asks for the member's status.
    #[serde(rename = "stand")]
    Status,
    /// Asks for the member's request counts; sent by the leader of a rollout.
    Tally,
    /// Allows a member to change the program it runs; sent by the leader of a rollout.
    #[serde(rename = "turn")]
    UpgradeTurn {
        /// Version of the group state the permission holds for.
        #[serde(rename = "number")]
        version: u64,
    },
    /// Reports that a program fails to come into service; sent by the member's supervisor.
    #[serde(rename = "unfit")]
    ProgramUnfit {
        /// The program, written `NAME@SHA256`.
        program: String,
        /// Why it failed.
        #[serde(rename = "why")]
        reason: String,
    },
}

/// Outcome of a renewal request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RenewalVerdict {
    /// The lease is granted.
    Granted,
    /// The voter has accepted the next group state, and the requester has not.
    Pending,
    /// The requester's group state is older than the voter's.
    Behind,
    /// The requester's group state is newer than the voter's.
    Ahead,
    /// The requester is not a member.
    #[serde(rename = "stranger")]
    UnknownMember,
    /// The group has not been formed yet.
    #[serde(rename = "unformed")]
    NoGroup,
    /// Another process with the same name and another replica may hold a lease.
    #[serde(rename = "twin")]
    DuplicateMember,
}

/// The response of a voter to a [`RenewalRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RenewalResponse {
    /// Replica of the voter.
    #[serde(rename = "folder")]
    pub replica: ReplicaId,
    /// Version of the group state in force at the voter.
    #[serde(rename = "number")]
    pub version: u64,
    /// Last version of the requester's replica seen before this request.
    #[serde(rename = "seen")]
    pub last_seen: Option<ReplicaVersion>,
    /// Whether the lease is granted.
    pub verdict: RenewalVerdict,
}

/// A member's response.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(tag = "say", rename_all = "kebab-case")]
pub enum GroupResponse {
    /// To [`GroupRequest::Renew`].
    Renewed(RenewalResponse),
    /// Phase 1b of Paxos: the member takes part in the ballot.
    Promised {
        /// Replica of the responder; 0 if its vote does not count.
        #[serde(rename = "folder")]
        replica: ReplicaId,
        /// What it has accepted in a lower ballot.
        accepted: Option<AcceptedState>,
        /// What it enforces while there is no group state.
        #[serde(rename = "own")]
        enforced: Option<EnforcedState>,
    },
    /// Phase 2b of Paxos: the member has accepted the state.
    Accepted {
        /// Replica of the responder; 0 if its vote does not count.
        #[serde(rename = "folder")]
        replica: ReplicaId,
    },
    /// The member has promised a higher ballot.
    #[serde(rename = "outbid")]
    HigherBallot {
        /// That ballot.
        ballot: Ballot,
    },
    /// The version to be decided next at the member is another one.
    #[serde(rename = "moved")]
    OtherVersion {
        /// Version of the group state in force there.
        #[serde(rename = "number")]
        version: u64,
        /// Its digest.
        digest: Digest,
    },
    /// The decided state is in force at the member.
    Decided {
        /// Replica of the responder.
        #[serde(rename = "folder")]
        replica: ReplicaId,
        /// Version of the group state in force there.
        #[serde(rename = "number")]
        version: u64,
        /// Ballot in which the member had accepted it, if it had.
        #[serde(rename = "from")]
        accepted_in: Option<Ballot>,
    },
    /// The member needs the whole state to act on [`GroupRequest::Decided`].
    #[serde(rename = "want")]
    NeedState,
    /// To [`GroupRequest::Learn`].
    #[serde(rename = "learnt")]
    State {
        /// The group state in force; none before the group is formed.
        #[serde(rename = "decree")]
        state: Option<Arc<GroupState>>,
    },
    /// To [`GroupRequest::Status`].
    #[serde(rename = "stands")]
    Status(Box<GroupStatus>),
    /// To [`GroupRequest::Tally`].
    Tallied(Box<MemberMetrics>),
    /// The request has been recorded.
    #[serde(rename = "noted")]
    Acknowledged,
    /// The request is rejected; nothing has changed.
    #[serde(rename = "no")]
    Rejected {
        /// Why, for people.
        #[serde(rename = "why")]
        reason: String,
    },
    /// The request can't be carried out now, for example because of the disk; nothing has changed and it may be retried.
    #[serde(rename = "unable")]
    Unavailable {
        /// Why, for people.
        #[serde(rename = "why")]
        reason: String,
    },
}

/// Status of a member.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct GroupStatus {
    /// Name of the member.
    pub name: String,
    /// Its replica.
    #[serde(rename = "folder")]
    pub replica: ReplicaId,
    /// Its role, if it is a member of the group state in force.
    #[serde(rename = "kind")]
    pub role: Option<MemberRole>,
    /// Version of the group state in force; 0 before the group is formed.
    #[serde(rename = "number")]
    pub version: u64,
    /// Generation enforced under it.
    pub generation: u64,
    /// The change that made it.
    pub change: Digest,
    /// Its digest.
    pub digest: Digest,
    /// Its membership.
    #[serde(rename = "roster")]
    pub membership: Membership,
    /// Highest ballot promised.
    pub promised: Ballot,
    /// Digest of the next state, if one has been accepted.
    pub pending: Option<Digest>,
    /// Phase of the rollout the group state belongs to, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rollout: Option<RolloutPhase>,
    /// Milliseconds until the lease expires; none if the member may not serve.
    pub lease_ms: Option<u64>,
    /// Why the member's vote does not count, if it does not.
    #[serde(rename = "unsure")]
    pub vote_withheld: Option<String>,
    /// Program the member runs, as its supervisor says.
    #[serde(rename = "runs", default, skip_serializing_if = "Option::is_none")]
    pub running_program: Option<String>,
    /// Program the group state wants it to run.
    #[serde(rename = "wants", default, skip_serializing_if = "Option::is_none")]
    pub wanted_program: Option<String>,
    /// Whether it may change to that program now.
    #[serde(rename = "turn", default)]
    pub may_upgrade: bool,
}

/// Whether a line of the control socket is a [`GroupRequest`].
pub fn is_group_request(line: &str) -> bool {
    let bytes = line.as_bytes();
    let head = &bytes[..bytes.len().min(GROUP_KEY_PREFIX)];
    head.windows(GROUP_KEY.len())
        .any(|window| window == GROUP_KEY)
}
