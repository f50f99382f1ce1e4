//! The group that an application's sidecars and witnesses form, and its voting members. [`crate::check`] checks it.

use crate::model::Application;
use crate::reader::At;
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use wrenfork_consensus::membership::{self, MemberRole};

/// A member of a group, as the application's file declares it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Name in the group: `application/member`.
    pub name: String,
    /// Name in the file.
    pub short: String,
    /// Whether the member serves requests; false for a witness.
    pub serves: bool,
    /// Whether the member votes.
    pub votes: bool,
    /// Path at which the member's control socket listens.
    pub control: PathBuf,
    /// Folder for the state that must survive a restart.
    pub state: Option<PathBuf>,
    /// Folder in which the other members' control sockets are found by name, if not at their own paths.
    pub links: Option<PathBuf>,
}

impl Member {
    /// Path at which this member reaches another member's control socket.
    pub fn path_to(&self, other: &Member) -> PathBuf {
        match &self.links {
            Some(folder) if other.name != self.name => folder.join(&other.short),
            _ => other.control.clone(),
        }
    }
}

/// A group, as the application's file declares it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Group {
    /// Length of a lease, in milliseconds.
    pub lease_ms: u64,
    /// Whether a member without a lease keeps serving under the last known state.
    pub as_known: bool,
    /// Sidecars first, then witnesses, each in the file's order.
    pub members: Vec<Member>,
}

impl Group {
    /// Initial membership of the group, without the replica ids, which are created with the members' folders.
    pub fn initial_membership(&self) -> membership::Membership {
        let to_member = |m: &Member| {
            let role = if m.serves {
                MemberRole::Ingress
            } else {
                MemberRole::Witness
            };
            membership::Member {
                name: m.name.clone(),
                replica: 0,
                role,
                votes: m.votes,
            }
        };
        let mut members: Vec<membership::Member> = self.members.iter().map(to_member).collect();
        members.sort();
        membership::Membership {
            version: 0,
            lease_ms: self.lease_ms,
            members,
        }
    }

    /// Control socket paths of all members, by name, as the member `name` reaches them. If no member has that name, the
    /// paths at which the sockets listen.
    pub fn links(&self, name: &str) -> BTreeMap<String, PathBuf> {
        let own = self.members.iter().find(|m| m.name == name);
        let path = |m: &Member| own.map_or_else(|| m.control.clone(), |own| own.path_to(m));
        self.members
            .iter()
            .map(|m| (m.name.clone(), path(m)))
            .collect()
    }
}

/// Builds the group of an application that passed the checks; none if it has no roster.
pub fn group(app: &Application) -> Option<Group> {
    let roster = app.roster.as_ref()?;
    let path = |p: &Option<At<String>>| p.as_ref().map(|p| PathBuf::from(&p.value));
    let votes =
        |name: &str| roster.voters.is_empty() || roster.voters.iter().any(|v| v.value == name);
    let member = |name: &str, serves, [control, state, links]: [&Option<At<String>>; 3]| Member {
        name: app.member_name(name),
        short: name.into(),
        serves,
        votes: votes(name),
        control: path(control).unwrap_or_else(|| Path::new("").into()),
        state: path(state),
        links: path(links),
    };
    let sidecars = app
        .sidecars
        .iter()
        .map(|s| member(&s.name.value, true, [&s.control, &s.state, &s.links]));
    let witnesses = app
        .witnesses
        .iter()
        .map(|w| member(&w.name.value, false, [&w.control, &w.state, &w.links]));
    let members = sidecars.chain(witnesses).collect();
    let as_known = roster.alone.as_ref().is_some_and(|a| a.value == "as-known");
    Some(Group {
        lease_ms: roster.lease.value / 1_000,
        as_known,
        members,
    })
}
