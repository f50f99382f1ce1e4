//! Queries the members of a group for their status and the committed group state.

use super::Sockets;
use std::collections::BTreeMap;
use std::sync::mpsc::channel;
use std::sync::Arc;
use std::time::{Duration, Instant};
use wrenfork_consensus::group_state::GroupState;
use wrenfork_consensus::membership::Membership;
use wrenfork_consensus::protocol::{GroupRequest, GroupResponse, GroupStatus};
use wrenfork_control_plane::client;

/// Timeout of each status request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// Additional wait once a majority has answered, so that a frozen member does not delay the query.
const STRAGGLER_TIMEOUT: Duration = Duration::from_millis(300);

/// Answers of the members of a group to one query.
pub struct GroupView {
    /// Status by member name, of the members that answered.
    pub statuses: BTreeMap<String, GroupStatus>,
    /// Reason by member name, of the members that did not answer.
    pub unreachable: BTreeMap<String, String>,
    /// The newest group state known to a member; none if the group has not been formed.
    pub state: Option<Arc<GroupState>>,
}

/// Whether a majority of the voters of a membership has answered.
fn has_quorum(membership: &Membership, statuses: &BTreeMap<String, GroupStatus>) -> bool {
    membership
        .voters()
        .filter(|s| statuses.contains_key(&s.name))
        .count()
        >= membership.majority()
}

/// Requests the status of all members at once. After a majority has answered, the others get a short additional wait.
///
/// # Errors
///
/// If no member answers, or the newest state cannot be fetched.
pub fn query_group(sockets: &Sockets) -> Result<GroupView, String> {
    let (sender, answers) = channel();
    for (name, path) in sockets.clone() {
        let sender = sender.clone();
        let request = move || {
            let answer: Result<GroupResponse, String> =
                client::request(&path, &GroupRequest::Status, REQUEST_TIMEOUT)
                    .map_err(|error| error.to_string());
            let _ = sender.send((name, answer)); // the receiver is gone once the query has ended
        };
        std::thread::Builder::new()
            .spawn(request)
            .map_err(|e| format!("cannot start a thread: {e}"))?;
    }
    drop(sender);
    let (mut statuses, mut unreachable) = (BTreeMap::<String, GroupStatus>::new(), BTreeMap::new());
    let (start, mut deadline) = (Instant::now(), REQUEST_TIMEOUT);
    while let Ok((name, answer)) = answers.recv_timeout(deadline.saturating_sub(start.elapsed())) {
        match answer {
            Ok(GroupResponse::Status(status)) if status.name == name => {
                drop(statuses.insert(name, *status))
            }
            Ok(GroupResponse::Status(status)) => {
                drop(unreachable.insert(name, format!("{} answers at its socket", status.name)))
            }
            Ok(GroupResponse::Rejected { reason }) | Err(reason) => {
                drop(unreachable.insert(name, reason))
            }
            Ok(_) => drop(unreachable.insert(name, "unexpected response".into())),
        }
        let newest = statuses
            .values()
            .max_by_key(|s| s.version)
            .filter(|s| s.version > 0);
        if deadline == REQUEST_TIMEOUT
            && newest.is_some_and(|s| has_quorum(&s.membership, &statuses))
        {
            deadline = (start.elapsed() + STRAGGLER_TIMEOUT).min(REQUEST_TIMEOUT);
        }
    }
    for name in sockets.keys().filter(|n| !statuses.contains_key(*n)) {
        unreachable
            .entry(name.clone())
            .or_insert_with(|| "no answer in time".into());
    }
    let newest = statuses.values().max_by_key(|s| s.version);
    let Some(newest) = newest else {
        let reason: Vec<String> = unreachable
            .iter()
            .map(|(name, reason)| format!("{name}: {reason}"))
            .collect();
        return Err(format!("no member answers: {}", reason.join("; ")));
    };
    let state = match newest.version {
        0 => None,
        _ => match client::request(
            &sockets[&newest.name],
            &GroupRequest::Learn,
            REQUEST_TIMEOUT,
        ) {
            Ok(GroupResponse::State { state }) => state,
            Ok(_) => return Err(format!("{}: unexpected response", newest.name)),
            Err(reason) => return Err(format!("{}: {reason}", newest.name)),
        },
    };
    Ok(GroupView {
        statuses,
        unreachable,
        state,
    })
}

impl GroupView {
    /// The committed group state. It is current, as a majority answered and every decision shares a member with it.
    ///
    /// # Errors
    ///
    /// If the group has not been formed, or no majority of the voters answered.
    pub fn committed_state(&self) -> Result<Arc<GroupState>, String> {
        let unreachable: Vec<String> = self
            .unreachable
            .iter()
            .map(|(name, reason)| format!("{name} ({reason})"))
            .collect();
        let Some(state) = &self.state else {
            let suffix = if unreachable.is_empty() {
                String::new()
            } else {
                format!("; unreachable: {}", unreachable.join(", "))
            };
            return Err(format!(
                "the group has not been formed yet, which requires all of its members{suffix}"
            ));
        };
        if !has_quorum(&state.membership, &self.statuses) {
            let answered = state
                .membership
                .voters()
                .filter(|s| self.statuses.contains_key(&s.name))
                .count();
            return Err(format!(
                "no quorum: {answered} of {} voters answer, and {} are needed; unreachable: {}",
                state.membership.voters().count(),
                state.membership.majority(),
                unreachable.join(", ")
            ));
        }
        Ok(state.clone())
    }

    /// The highest ballot round that a member has promised.
    pub fn max_round(&self) -> u64 {
        self.statuses
            .values()
            .map(|s| s.promised.round)
            .max()
            .unwrap_or(0)
    }

    /// Whether a member reports an accepted proposal that is not decided.
    pub fn has_pending(&self) -> bool {
        let version = self.state.as_ref().map_or(0, |d| d.version);
        self.statuses
            .values()
            .any(|s| s.version == version && s.pending.is_some())
    }
}
