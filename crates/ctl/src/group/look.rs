//! How a group stands, as far as its members answer.

use super::Sockets;
use std::collections::BTreeMap;
use std::sync::mpsc::channel;
use std::sync::Arc;
use std::time::{Duration, Instant};
use wrenfork_consensus::group_state::GroupState;
use wrenfork_consensus::membership::Membership;
use wrenfork_consensus::protocol::{GroupRequest, GroupResponse, GroupStatus};
use wrenfork_control_plane::client;

/// How long the first answers are waited for.
const PATIENCE: Duration = Duration::from_secs(5);
/// How long more, once enough have answered: a member that is frozen must not hold up those that aren't.
const GRACE: Duration = Duration::from_millis(300);

/// A look at all members.
pub struct Look {
    /// What each said of itself.
    pub stands: BTreeMap<String, GroupStatus>,
    /// Who did not, and why.
    pub away: BTreeMap<String, String>,
    /// What stands; none where the group has not been formed.
    pub decree: Option<Arc<GroupState>>,
}

/// Whether as many voters of a roster as are enough are among those that answered.
fn enough(roster: &Membership, stands: &BTreeMap<String, GroupStatus>) -> bool {
    roster
        .voters()
        .filter(|s| stands.contains_key(&s.name))
        .count()
        >= roster.majority()
}

/// Asks all members how they stand; whoever is slow is waited for a moment only, once enough have answered.
///
/// # Errors
///
/// Where none answers.
pub fn look(at: &Sockets) -> Result<Look, String> {
    let (sender, answers) = channel();
    for (name, path) in at.clone() {
        let sender = sender.clone();
        let ask = move || {
            let answer: Result<GroupResponse, String> =
                client::request(&path, &GroupRequest::Status, PATIENCE)
                    .map_err(|error| error.to_string());
            let _ = sender.send((name, answer)); // nobody waits any more
        };
        std::thread::Builder::new()
            .spawn(ask)
            .map_err(|e| format!("no thread: {e}"))?;
    }
    drop(sender);
    let (mut stands, mut away) = (BTreeMap::<String, GroupStatus>::new(), BTreeMap::new());
    let (start, mut until) = (Instant::now(), PATIENCE);
    while let Ok((name, answer)) = answers.recv_timeout(until.saturating_sub(start.elapsed())) {
        match answer {
            Ok(GroupResponse::Status(stand)) if stand.name == name => {
                drop(stands.insert(name, *stand))
            }
            Ok(GroupResponse::Status(stand)) => {
                drop(away.insert(name, format!("{} answers there", stand.name)))
            }
            Ok(GroupResponse::Rejected { reason: why }) | Err(why) => drop(away.insert(name, why)),
            Ok(_) => drop(away.insert(name, "it answers something else".into())),
        }
        let newest = stands
            .values()
            .max_by_key(|s| s.version)
            .filter(|s| s.version > 0);
        if until == PATIENCE && newest.is_some_and(|s| enough(&s.membership, &stands)) {
            until = (start.elapsed() + GRACE).min(PATIENCE);
        }
    }
    for name in at.keys().filter(|n| !stands.contains_key(*n)) {
        away.entry(name.clone())
            .or_insert_with(|| "it does not answer".into());
    }
    let newest = stands.values().max_by_key(|s| s.version);
    let Some(newest) = newest else {
        let why: Vec<String> = away
            .iter()
            .map(|(name, why)| format!("{name}: {why}"))
            .collect();
        return Err(format!("no member answers: {}", why.join("; ")));
    };
    let decree = match newest.version {
        0 => None,
        _ => match client::request(&at[&newest.name], &GroupRequest::Learn, PATIENCE) {
            Ok(GroupResponse::State { state: decree }) => decree,
            Ok(_) => return Err(format!("{}: it answers something else", newest.name)),
            Err(why) => return Err(format!("{}: {why}", newest.name)),
        },
    };
    Ok(Look {
        stands,
        away,
        decree,
    })
}

impl Look {
    /// What stands, as enough members know it: any decision shares a member with these.
    ///
    /// # Errors
    ///
    /// Where the group has not been formed, or too few answer to know.
    pub fn known(&self) -> Result<Arc<GroupState>, String> {
        let away: Vec<String> = self
            .away
            .iter()
            .map(|(name, why)| format!("{name} ({why})"))
            .collect();
        let Some(decree) = &self.decree else {
            let rest = if away.is_empty() {
                String::new()
            } else {
                format!("; these are away: {}", away.join(", "))
            };
            return Err(format!(
                "the group has not been formed yet, which takes all of its members{rest}"
            ));
        };
        if !enough(&decree.membership, &self.stands) {
            let answer = decree
                .membership
                .voters()
                .filter(|s| self.stands.contains_key(&s.name))
                .count();
            return Err(format!(
                "too few members answer to decide: {answer} of {}, and {} are enough; these are away: {}",
                decree.membership.voters().count(),
                decree.membership.majority(),
                away.join(", ")
            ));
        }
        Ok(decree.clone())
    }

    /// The highest round that was heard of.
    pub fn round(&self) -> u64 {
        self.stands
            .values()
            .map(|s| s.promised.round)
            .max()
            .unwrap_or(0)
    }

    /// Whether a decree is taken up somewhere and not decided, as far as is known.
    pub fn pending(&self) -> bool {
        let number = self.decree.as_ref().map_or(0, |d| d.version);
        self.stands
            .values()
            .any(|s| s.version == number && s.pending.is_some())
    }
}
