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

/// A request to a member of a group.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(tag = "group", rename_all = "kebab-case")]
pub enum GroupRequest {
    /// Renews the sender's lease, which counts from the moment the request was sent.
    Renew {
        /// Name of the sender.
        from: String,
        /// Replica of the sender.
        #[serde(rename = "folder")]
        replica: ReplicaId,
        /// Version of that replica.
        #[serde(rename = "age")]
        replica_version: ReplicaVersion,
        /// Version of the group state the sender serves under; 0 if it knows none.
        #[serde(rename = "number")]
        version: u64,
        /// Digest of the next group state, if the sender has accepted it.
        #[serde(rename = "ready")]
        accepted: Option<Digest>,
    },
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

/// A member's response.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(tag = "say", rename_all = "kebab-case")]
pub enum GroupResponse {
    /// To [`GroupRequest::Renew`].
    Renewed {
        /// Replica of the responder.
        #[serde(rename = "folder")]
        replica: ReplicaId,
        /// Version of the group state in force at the responder.
        #[serde(rename = "number")]
        version: u64,
        /// Last version of the requester's replica seen before this request.
        #[serde(rename = "seen")]
        last_seen: Option<ReplicaVersion>,
        /// Whether the lease is granted.
        verdict: RenewalVerdict,
    },
    /// Phase 1b of Paxos: the member takes part in the ballot.
    Promised {
        /// Replica of the responder; 0 if its vote does not count.
        #[serde(rename = "folder")]
        replica: ReplicaId,
        /// What it has accepted in a lower ballot.
        accepted: Option<(Ballot, Arc<GroupState>)>,
        /// What it enforces, with its generation, while there is no group state.
        #[serde(rename = "own")]
        enforced: Option<(u64, Arc<State>)>,
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

#[cfg(test)]
mod tests {
    use super::{
        is_group_request, Arc, Ballot, Digest, GroupRequest, GroupResponse, GroupState,
        ReplicaVersion,
    };
    use wrenfork_commit::protocol::{self, decode_line};

    #[test]
    fn asks_of_a_group_are_told_from_the_others_and_survive_the_way() {
        let renew = GroupRequest::Renew {
            from: "a".into(),
            replica: 3,
            replica_version: ReplicaVersion {
                writes: 1,
                incarnation: 2,
            },
            version: 9,
            accepted: None,
        };
        let promise = GroupRequest::Prepare {
            version: 2,
            ballot: Ballot {
                round: u64::MAX,
                proposer: 7,
            },
            candidate: None,
        };
        let decree = Arc::new(GroupState::default());
        let accept = GroupRequest::Accept {
            ballot: Ballot::default(),
            state: decree.clone(),
        };
        let decided = GroupRequest::Decided {
            version: 1,
            digest: Digest::default(),
            state: Some(decree),
        };
        for ask in [
            renew,
            promise,
            accept,
            decided,
            GroupRequest::Learn,
            GroupRequest::Status,
            GroupRequest::Tally,
            GroupRequest::UpgradeTurn { version: 4 },
        ] {
            let line = protocol::encode_line(&ask);
            assert!(is_group_request(&line), "{line}");
            assert_eq!(decode_line::<GroupRequest>(&line).unwrap(), ask);
        }
        assert!(
            !is_group_request(&protocol::encode_line(&protocol::CommitRequest::Status))
                && !is_group_request("")
                && !is_group_request("{")
        );
        for say in [
            GroupResponse::NeedState,
            GroupResponse::Status(Box::default()),
            GroupResponse::Tallied(Box::default()),
            GroupResponse::State { state: None },
        ] {
            assert_eq!(
                decode_line::<GroupResponse>(&protocol::encode_line(&say)).unwrap(),
                say
            );
        }
        assert!(ReplicaVersion {
            writes: 4,
            incarnation: 1
        }
        .is_older_copy_of(&ReplicaVersion {
            writes: 5,
            incarnation: 1
        }));
        assert!(ReplicaVersion {
            writes: 5,
            incarnation: 1
        }
        .is_older_copy_of(&ReplicaVersion {
            writes: 5,
            incarnation: 2
        }));
        assert!(!ReplicaVersion {
            writes: 6,
            incarnation: 1
        }
        .is_older_copy_of(&ReplicaVersion {
            writes: 5,
            incarnation: 2
        }));
    }
}
