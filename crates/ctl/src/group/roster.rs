//! `wrenctl roster`: who belongs to a group, and changes of that.

use super::decide::{decide, tell, Outcome, Wanted};
use super::look::look;
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

/// How long a member may take to say which folder it has.
const PATIENCE: Duration = Duration::from_secs(5);

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
        Verb::Add(change) => Work::of(change).and_then(|w| w.add()),
        Verb::Remove(change) => Work::of(change).and_then(|w| w.remove()),
        Verb::Replace(change) => Work::of(change).and_then(|w| w.replace()),
    };
    done.unwrap_or_else(|code| code)
}

/// What a change of a roster is made with.
struct Work<'a> {
    change: &'a Change,
    author: String,
    files: folder::Files,
    /// The group's sockets; those of a member that the files don't have any more are not known, and not needed.
    at: Sockets,
    start: Instant,
}

impl<'a> Work<'a> {
    fn of(change: &'a Change) -> Result<Work<'a>, ExitCode> {
        let files = folder::read(&change.folder)?;
        let app = change.member.split('/').next().unwrap_or("");
        let Some(group) = files.groups.get(app) else {
            return Err(failed(format!(
                "{}: a member is named as application/name, and no application {app:?} here has a roster",
                change.member
            )));
        };
        let (at, author) = (group.links(""), author(change.author.as_deref()));
        Ok(Work {
            change,
            author,
            at,
            files,
            start: Instant::now(),
        })
    }

    fn member(&self) -> Result<&Member, ExitCode> {
        let all = self.files.groups.values().flat_map(|g| &g.members);
        let found = all.into_iter().find(|m| m.name == self.change.member);
        found.ok_or_else(|| failed(format!("{} is not in the files", self.change.member)))
    }

    /// The folder that a member has.
    fn folder(&self, member: &Member) -> Result<ReplicaId, ExitCode> {
        match client::request(&member.control, &GroupRequest::Status, PATIENCE)
            .map_err(|error| error.to_string())
        {
            Ok(GroupResponse::Status(stand)) if stand.name == member.name => Ok(stand.replica),
            Ok(GroupResponse::Status(stand)) => Err(failed(format!(
                "{}: {} answers at its socket",
                member.name, stand.name
            ))),
            Ok(GroupResponse::Rejected { reason: why }) | Err(why) => Err(failed(format!(
                "{}: {why}: it has to run, so that it can be asked for its folder",
                member.name
            ))),
            Ok(_) => Err(failed(format!(
                "{}: it answers something else",
                member.name
            ))),
        }
    }

    /// What a member that is new is to enforce.
    fn own(&self, stands: &GroupState, name: &str) -> Result<BTreeMap<String, Arc<State>>, String> {
        let of = |name: &str| self.files.ingresses.iter().find(|i| i.name == name);
        let Some(new) = of(name) else {
            return Ok(BTreeMap::new());
        }; // a witness
        let known = stands
            .policy
            .per_member
            .keys()
            .find_map(|n| Some((stands.policy.state_for(n)?, of(n)?)));
        let (has, files_like) = known.ok_or("no member of the roster is in the files")?;
        Ok([(
            name.to_string(),
            Arc::new(State(folder::like(&has.0, &files_like.wanted, &new.wanted))),
        )]
        .into())
    }

    fn make(
        &self,
        what: &str,
        roster: &dyn Fn(&Membership) -> Result<Membership, String>,
    ) -> Result<ExitCode, ExitCode> {
        let wanted = |stands: &GroupState| {
            let roster = roster(&stands.membership)?;
            let new = match roster.member(&self.change.member) {
                Some(seat)
                    if seat.role == MemberRole::Ingress
                        && stands.membership.member(&seat.name).is_none() =>
                {
                    self.own(stands, &seat.name)?
                }
                _ => BTreeMap::new(),
            };
            Ok(stands.with_membership(&self.author, roster, new))
        };
        let left = self.change.patience.saturating_sub(self.start.elapsed());
        let outcome = decide(&self.at, &Wanted::Decree(&wanted), left);
        tell(what, &outcome);
        Ok(match outcome {
            Outcome::Made(..) => ExitCode::SUCCESS,
            Outcome::Refused(_) => ExitCode::FAILURE,
            Outcome::Unfinished => ExitCode::from(UNFINISHED),
        })
    }

    fn add(&self) -> Result<ExitCode, ExitCode> {
        let member = self.member()?;
        let folder = self.folder(member)?;
        let kind = if member.serves {
            MemberRole::Ingress
        } else {
            MemberRole::Witness
        };
        let folder = if member.votes { folder } else { 0 };
        let seat = membership::Member {
            name: member.name.clone(),
            replica: folder,
            role: kind,
            votes: member.votes,
        };
        let what = format!("{} belongs to the roster", member.name);
        self.make(&what, &|r| {
            r.with_member(seat.clone()).map_err(|e| e.to_string())
        })
    }

    fn remove(&self) -> Result<ExitCode, ExitCode> {
        let name = &self.change.member;
        self.make(&format!("{name} is out of the roster"), &|r| {
            r.without_member(name).map_err(|e| e.to_string())
        })
    }

    /// First without a vote, then with one by its new folder: at each step the old and the new majority share a member.
    fn replace(&self) -> Result<ExitCode, ExitCode> {
        let member = self.member()?;
        let (name, folder) = (&member.name, self.folder(member)?);
        let seen = look(&self.at).map_err(failed)?;
        let stands = seen.known().map_err(failed)?;
        let Some(seat) = stands.membership.member(name) else {
            return Err(failed(format!(
                "{name} is not in the roster: wrenctl roster add"
            )));
        };
        if seat.votes && seat.replica == folder {
            anstream::println!("{name} votes by the folder that it has: there is nothing to do");
            return Ok(ExitCode::SUCCESS);
        }
        if seat.votes {
            let what = format!("{name} has no vote by its old folder");
            let out = self.make(&what, &|r| {
                r.with_vote(name, None).map_err(|e| e.to_string())
            })?;
            if out != ExitCode::SUCCESS {
                return Ok(out);
            }
        }
        let what = format!("{name} votes by its new folder");
        self.make(&what, &|r| {
            r.with_vote(name, Some(folder)).map_err(|e| e.to_string())
        })
    }
}
