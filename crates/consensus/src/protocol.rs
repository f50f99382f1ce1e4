//! Messages of the group protocol, sent between members and between `wrenctl` and a member.
//!
//! Messages are lines of the control socket protocol ([`wrenfork_commit::protocol`]). The key `group` distinguishes
//! requests from those of two-phase commit. Field and variant names are part of the wire format; where the Rust name
//! differs, the wire name is given by `serde(rename)`.

use crate::group_state::GroupState;
use crate::membership::{MemberRole, Membership, ReplicaId};
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use wrenfork_commit::state::{Digest, State};
use wrenfork_rollout::{MemberMetrics, RolloutPhase};

/// Number of bytes at the start of a line in which the key `group` is searched; it is the first key after the version.
const GROUP_KEY_PREFIX: usize = 32;
const GROUP_KEY: &[u8] = b"\"group\":";

/// A Paxos ballot number: a round, made unique by a random number of the proposer.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Ballot {
    /// The round, which must be higher than every round that the proposer has seen.
    pub round: u64,
    /// Random number of the proposer; orders ballots of the same round.
    #[serde(rename = "by")]
    pub proposer: u64,
}

/// How recent a replica's stored state is.
///
/// Each start of a process draws a new incarnation. A replica that was restored from a copy has fewer writes than its
/// peers have seen, or the same number of writes with another incarnation.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct ReplicaVersion {
    /// Number of times the replica's state was written.
    pub writes: u64,
    /// Random number of the process, drawn at its start.
    #[serde(rename = "life")]
    pub incarnation: u64,
}

impl ReplicaVersion {
    /// Whether a replica that reports this version must be an older copy of the replica that reported `seen` before.
    pub fn is_older_copy_of(&self, seen: &ReplicaVersion) -> bool {
        self.writes < seen.writes
            || self.writes == seen.writes && self.incarnation != seen.incarnation
    }
}

/// A group state that a member has accepted; serialized as the array `[ballot, state]`.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(from = "(Ballot, Arc<GroupState>)", into = "(Ballot, Arc<GroupState>)")]
pub struct AcceptedState {
    /// Ballot in which the state was accepted.
    pub ballot: Ballot,
    /// The accepted group state.
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

/// What a member enforces before its group is formed; serialized as the array `[generation, state]`.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(from = "(u64, Arc<State>)", into = "(u64, Arc<State>)")]
pub struct EnforcedState {
    /// Number of the generation that the member enforces.
    pub generation: u64,
    /// The complete state that the member enforces.
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

/// A request to renew the sender's lease. A granted lease counts from the moment the request was sent.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RenewalRequest {
    /// Name of the member that sends the request.
    pub from: String,
    /// Replica id of the sender.
    #[serde(rename = "folder")]
    pub replica: ReplicaId,
    /// How recent the sender's replica is.
    #[serde(rename = "age")]
    pub replica_version: ReplicaVersion,
    /// Version of the group state in force at the sender; 0 if it has none.
    #[serde(rename = "number")]
    pub version: u64,
    /// Digest of the next group state, if the sender has accepted one.
    #[serde(rename = "ready")]
    pub accepted: Option<Digest>,
}

/// A request to a member of a group.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(tag = "group", rename_all = "kebab-case")]
pub enum GroupRequest {
    /// Renews the sender's lease.
    Renew(RenewalRequest),
    /// Phase 1a of Paxos: asks for a promise to take part in deciding `version`, and in no lower ballot from now on.
    #[serde(rename = "promise")]
    Prepare {
        /// Version of the group state to be decided.
        #[serde(rename = "number")]
        version: u64,
        /// Ballot of the proposer.
        ballot: Ballot,
        /// The state that is to be proposed; none in a recovery or while the group is formed. A member that can't
        /// enforce it rejects the request before anything is decided.
        #[serde(rename = "trial")]
        candidate: Option<Arc<GroupState>>,
    },
    /// Phase 2a of Paxos: asks the member to accept a group state. From then on the member puts the state in force as
    /// soon as it learns that it is decided, and renews leases under the previous version only for members that have
    /// accepted the state too.
    Accept {
        /// Ballot of the proposer.
        ballot: Ballot,
        /// The proposed group state.
        #[serde(rename = "decree")]
        state: Arc<GroupState>,
    },
    /// Heartbeat of a proposer to the members that have accepted its state.
    #[serde(rename = "still")]
    ProposerAlive {
        /// Ballot of the proposer.
        ballot: Ballot,
        /// Members that the proposer knows to have accepted its state. Only they may keep serving under the previous
        /// version until they are notified.
        #[serde(rename = "ready")]
        accepted_by: Vec<String>,
    },
    /// Notifies a member that a group state is decided.
    Decided {
        /// Version of the decided state.
        #[serde(rename = "number")]
        version: u64,
        /// Digest of the decided state.
        digest: Digest,
        /// The decided state, for a member that has not accepted it.
        #[serde(rename = "decree")]
        state: Option<Arc<GroupState>>,
    },
    /// Asks for the group state in force.
    Learn,
    /// Asks for the member's status.
    #[serde(rename = "stand")]
    Status,
    /// Asks for the member's metrics, such as its request counts; sent by the controller of a rollout.
    Tally,
    /// Allows a member to replace the program it runs; sent by the controller of a rollout.
    #[serde(rename = "turn")]
    UpgradeTurn {
        /// Version of the group state that the permission is valid for.
        #[serde(rename = "number")]
        version: u64,
    },
    /// Reports that a program failed to start serving; sent by the member's supervisor.
    #[serde(rename = "unfit")]
    ProgramUnfit {
        /// The program, in the form `NAME@SHA256`.
        program: String,
        /// Why the program failed, for display only.
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
    /// The requester is not a member of the group state in force at the voter.
    #[serde(rename = "stranger")]
    UnknownMember,
    /// Neither the requester nor the voter has a group state.
    #[serde(rename = "unformed")]
    NoGroup,
    /// Another process with the same member name but another replica may still hold a lease.
    #[serde(rename = "twin")]
    DuplicateMember,
}

/// The response of a voter to a [`RenewalRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RenewalResponse {
    /// Replica id of the voter.
    #[serde(rename = "folder")]
    pub replica: ReplicaId,
    /// Version of the group state in force at the voter.
    #[serde(rename = "number")]
    pub version: u64,
    /// Version of the requester's replica that the voter saw last before this request; none if it had seen none.
    #[serde(rename = "seen")]
    pub last_seen: Option<ReplicaVersion>,
    /// Whether the lease is granted, or why not.
    pub verdict: RenewalVerdict,
}

/// The response of a member to a [`GroupRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(tag = "say", rename_all = "kebab-case")]
pub enum GroupResponse {
    /// Response to [`GroupRequest::Renew`].
    Renewed(RenewalResponse),
    /// Phase 1b of Paxos: the member takes part in the ballot.
    Promised {
        /// Replica id of the responder; 0 if its vote does not count.
        #[serde(rename = "folder")]
        replica: ReplicaId,
        /// The state that the member has accepted in an earlier ballot, if any.
        accepted: Option<AcceptedState>,
        /// What the member enforces, if it has no group state and is not a witness.
        #[serde(rename = "own")]
        enforced: Option<EnforcedState>,
    },
    /// Phase 2b of Paxos: the member has accepted the state.
    Accepted {
        /// Replica id of the responder; 0 if its vote does not count.
        #[serde(rename = "folder")]
        replica: ReplicaId,
    },
    /// The member has promised a higher ballot.
    #[serde(rename = "outbid")]
    HigherBallot {
        /// The ballot that the member has promised.
        ballot: Ballot,
    },
    /// The proposed version is not the one to be decided next at the member.
    #[serde(rename = "moved")]
    OtherVersion {
        /// Version of the group state in force at the member.
        #[serde(rename = "number")]
        version: u64,
        /// Digest of the group state in force; empty if there is none.
        digest: Digest,
    },
    /// The decided state is in force at the member.
    Decided {
        /// Replica id of the responder.
        #[serde(rename = "folder")]
        replica: ReplicaId,
        /// Version of the group state in force at the member.
        #[serde(rename = "number")]
        version: u64,
        /// Ballot in which the member had accepted the decided state; none if it had not.
        #[serde(rename = "from")]
        accepted_in: Option<Ballot>,
    },
    /// The member needs the whole group state to handle [`GroupRequest::Decided`].
    #[serde(rename = "want")]
    NeedState,
    /// Response to [`GroupRequest::Learn`].
    #[serde(rename = "learnt")]
    State {
        /// The group state in force; none before the group is formed.
        #[serde(rename = "decree")]
        state: Option<Arc<GroupState>>,
    },
    /// Response to [`GroupRequest::Status`].
    #[serde(rename = "stands")]
    Status(Box<GroupStatus>),
    /// Response to [`GroupRequest::Tally`].
    Tallied(Box<MemberMetrics>),
    /// The request has been recorded.
    #[serde(rename = "noted")]
    Acknowledged,
    /// The member rejects the request; nothing has changed.
    #[serde(rename = "no")]
    Rejected {
        /// Reason, for display only.
        #[serde(rename = "why")]
        reason: String,
    },
    /// The member can't handle the request now, for example because its disk fails; nothing has changed and the request
    /// may be retried.
    #[serde(rename = "unable")]
    Unavailable {
        /// Reason, for display only.
        #[serde(rename = "why")]
        reason: String,
    },
}

/// Status of a member, in the response to [`GroupRequest::Status`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct GroupStatus {
    /// Name of the member.
    pub name: String,
    /// Replica id of the member.
    #[serde(rename = "folder")]
    pub replica: ReplicaId,
    /// Role of the member in the group state in force; none if it is not a member.
    #[serde(rename = "kind")]
    pub role: Option<MemberRole>,
    /// Version of the group state in force; 0 before the group is formed.
    #[serde(rename = "number")]
    pub version: u64,
    /// Number of the generation enforced under the group state in force.
    pub generation: u64,
    /// Digest that identifies the change which made the group state in force.
    pub change: Digest,
    /// Digest of the group state in force.
    pub digest: Digest,
    /// Membership of the group state in force.
    #[serde(rename = "roster")]
    pub membership: Membership,
    /// Highest ballot promised for the next version.
    pub promised: Ballot,
    /// Digest of the next group state, if the member has accepted one.
    pub pending: Option<Digest>,
    /// Phase of the rollout in the group state in force, if there is one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rollout: Option<RolloutPhase>,
    /// Milliseconds until the member's lease expires; none if the member must not serve.
    pub lease_ms: Option<u64>,
    /// Why the member's vote does not count; none if it counts.
    #[serde(rename = "unsure")]
    pub vote_withheld: Option<String>,
    /// Program that the member runs, as reported by its supervisor.
    #[serde(rename = "runs", default, skip_serializing_if = "Option::is_none")]
    pub running_program: Option<String>,
    /// Program that the group state prescribes for the member.
    #[serde(rename = "wants", default, skip_serializing_if = "Option::is_none")]
    pub wanted_program: Option<String>,
    /// Whether the member may switch to `wanted_program` now.
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
