//! `wrenctl roster`: shows and changes the membership of a group.

use super::decide::{decide, print_outcome, Outcome, Request};
use super::query::query_group;
use super::{status, Sockets};
use crate::change::{author, failed, folder, span, UNFINISHED};
use clap::{Args, Subcommand};
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::{Duration, Instant};
use wrenfork_commit::state::State;
use wrenfork_config::group::Member;
use wrenfork_consensus::group_state::GroupState;
use wrenfork_consensus::membership::{self, MemberRole, Membership, ReplicaId};
use wrenfork_consensus::protocol::{GroupRequest, GroupResponse};
use wrenfork_control_plane::client;

/// Timeout for asking a member for its replica id.
const STATUS_TIMEOUT: Duration = Duration::from_secs(5);

#[derive(Subcommand)]
pub enum Verb {
    /// Shows who belongs to the groups of a folder's files, and how it stands with each
    Show(status::Options),
    /// Takes in a member that the files describe and that runs
    Add(Change),
    /// Puts a member out; it serves nobody from then on
    Remove(Change),
    /// Has a member vote by the folder that it has now, in place of one that was lost
    Replace(Change),
}

#[derive(Args)]
pub struct Change {
    /// The member, as application/name
    #[arg(value_name = "MEMBER")]
    member: String,
    /// The folder with the files that describe the group
    #[arg(value_name = "DIR")]
    folder: PathBuf,
    /// Who does this
    #[arg(long, value_name = "NAME")]
    author: Option<String>,
    /// How long it is tried
    #[arg(long, value_name = "TIME", default_value = "30s", value_parser = span)]
    patience: Duration,
}

pub fn main(verb: &Verb) -> ExitCode {
    let done = match verb {
        Verb::Show(options) => return status::main(options),
        Verb::Add(change) => MembershipChange::new(change).and_then(|w| w.add()),
        Verb::Remove(change) => MembershipChange::new(change).and_then(|w| w.remove()),
        Verb::Replace(change) => MembershipChange::new(change).and_then(|w| w.replace()),
    };
    done.unwrap_or_else(|code| code)
}

/// A membership change and what it needs.
struct MembershipChange<'a> {
    change: &'a Change,
    author: String,
    files: folder::Files,
    /// The group's control sockets. A member that is no longer in the files has none here, and needs none.
    sockets: Sockets,
    start: Instant,
}

impl<'a> MembershipChange<'a> {
    fn new(change: &'a Change) -> Result<MembershipChange<'a>, ExitCode> {
        let files = folder::read(&change.folder)?;
        let app = change.member.split('/').next().unwrap_or("");
        let Some(group) = files.groups.get(app) else {
            return Err(failed(format!(
                "{}: a member is named as application/name, and no application {app:?} here has a roster",
                change.member
            )));
        };
        let (sockets, author) = (group.links(""), author(change.author.as_deref()));
        Ok(MembershipChange {
            change,
            author,
            sockets,
            files,
            start: Instant::now(),
        })
    }

    fn member(&self) -> Result<&Member, ExitCode> {
        let all = self.files.groups.values().flat_map(|g| &g.members);
        let found = all.into_iter().find(|m| m.name == self.change.member);
        found.ok_or_else(|| failed(format!("{} is not in the files", self.change.member)))
    }

    /// Asks a running member for its replica id.
    fn replica_id(&self, member: &Member) -> Result<ReplicaId, ExitCode> {
        match client::request(&member.control, &GroupRequest::Status, STATUS_TIMEOUT)
            .map_err(|error| error.to_string())
        {
            Ok(GroupResponse::Status(status)) if status.name == member.name => Ok(status.replica),
            Ok(GroupResponse::Status(status)) => Err(failed(format!(
                "{}: {} answers at its socket",
                member.name, status.name
            ))),
            Ok(GroupResponse::Rejected { reason: why }) | Err(why) => Err(failed(format!(
                "{}: {why}: the member must be running so that its replica id can be read",
                member.name
            ))),
            Ok(_) => Err(failed(format!("{}: unexpected response", member.name))),
        }
    }

    /// The state of a new member: none for a witness. For an ingress, the state of a current member with the differences
    /// between the two in the files.
    fn initial_state(
        &self,
        current: &GroupState,
        name: &str,
    ) -> Result<BTreeMap<String, Arc<State>>, String> {
        let find = |name: &str| self.files.ingresses.iter().find(|i| i.name == name);
        let Some(new) = find(name) else {
            return Ok(BTreeMap::new());
        }; // a witness enforces nothing
        let existing = current
            .policy
            .per_member
            .keys()
            .find_map(|n| Some((current.policy.state_for(n)?, find(n)?)));
        let (state, files_of) =
            existing.ok_or("the files describe no member of the current membership")?;
        Ok([(
            name.to_string(),
            Arc::new(State(folder::transfer(
                &state.0,
                &files_of.wanted,
                &new.wanted,
            ))),
        )]
        .into())
    }

    /// Proposes a change of the membership; `action` names it in the output.
    fn propose(
        &self,
        action: &str,
        change: &dyn Fn(&Membership) -> Result<Membership, String>,
    ) -> Result<ExitCode, ExitCode> {
        let build = |current: &GroupState| {
            let membership = change(&current.membership)?;
            let new = match membership.member(&self.change.member) {
                Some(entry)
                    if entry.role == MemberRole::Ingress
                        && current.membership.member(&entry.name).is_none() =>
                {
                    self.initial_state(current, &entry.name)?
                }
                _ => BTreeMap::new(),
            };
            Ok(current.with_membership(&self.author, membership, new))
        };
        let remaining = self.change.patience.saturating_sub(self.start.elapsed());
        let outcome = decide(&self.sockets, &Request::Change(&build), remaining);
        print_outcome(action, &outcome);
        Ok(match outcome {
            Outcome::Committed(..) => ExitCode::SUCCESS,
            Outcome::Rejected(_) => ExitCode::FAILURE,
            Outcome::Unfinished => ExitCode::from(UNFINISHED),
        })
    }

    fn add(&self) -> Result<ExitCode, ExitCode> {
        let member = self.member()?;
        let replica = self.replica_id(member)?;
        let role = if member.serves {
            MemberRole::Ingress
        } else {
            MemberRole::Witness
        };
        let replica = if member.votes { replica } else { 0 };
        let entry = membership::Member {
            name: member.name.clone(),
            replica,
            role,
            votes: member.votes,
        };
        let action = format!("{} belongs to the roster", member.name);
        self.propose(&action, &|r| {
            r.with_member(entry.clone()).map_err(|e| e.to_string())
        })
    }

    fn remove(&self) -> Result<ExitCode, ExitCode> {
        let name = &self.change.member;
        self.propose(&format!("{name} is out of the roster"), &|r| {
            r.without_member(name).map_err(|e| e.to_string())
        })
    }

    /// Removes the member's vote, then restores it with the new replica id. Two steps, so that the old and the new majority
    /// share a member at each of them.
    fn replace(&self) -> Result<ExitCode, ExitCode> {
        let member = self.member()?;
        let (name, replica) = (&member.name, self.replica_id(member)?);
        let view = query_group(&self.sockets).map_err(failed)?;
        let current = view.committed_state().map_err(failed)?;
        let Some(entry) = current.membership.member(name) else {
            return Err(failed(format!(
                "{name} is not in the roster: wrenctl roster add"
            )));
        };
        if entry.votes && entry.replica == replica {
            anstream::println!("{name} votes by the folder that it has: there is nothing to do");
            return Ok(ExitCode::SUCCESS);
        }
        if entry.votes {
            let action = format!("{name} has no vote by its old folder");
            let code = self.propose(&action, &|r| {
                r.with_vote(name, None).map_err(|e| e.to_string())
            })?;
            if code != ExitCode::SUCCESS {
                return Ok(code);
            }
        }
        let action = format!("{name} votes by its new folder");
        self.propose(&action, &|r| {
            r.with_vote(name, Some(replica)).map_err(|e| e.to_string())
        })
    }
}
