//! The group that an application's sidecars are: who belongs to it, and who decides. It is checked in [`crate::check`].

use crate::model::Application;
use crate::reader::At;
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use wrenfork_consensus::membership::{self, MemberRole};

/// A member as a file has it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Its name in the group, with the application's before it.
    pub name: String,
    /// Its name in the file.
    pub short: String,
    /// Whether it serves.
    pub serves: bool,
    /// Whether it decides.
    pub votes: bool,
    /// Its control socket, where it listens.
    pub control: PathBuf,
    /// Its folder.
    pub state: Option<PathBuf>,
    /// Where it finds the others' sockets, if not where they listen.
    pub links: Option<PathBuf>,
}

impl Member {
    /// Where this member reaches another.
    pub fn reaches(&self, other: &Member) -> PathBuf {
        match &self.links {
            Some(folder) if other.name != self.name => folder.join(&other.short),
            _ => other.control.clone(),
        }
    }
}

/// A group as a file has it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Group {
    /// Milliseconds.
    pub lease_ms: u64,
    /// Whether a member without a lease serves on.
    pub as_known: bool,
    /// Its members.
    pub members: Vec<Member>,
}

impl Group {
    /// Its seats as the file has them, before anybody's folder is known.
    pub fn charter(&self) -> membership::Membership {
        let seat = |m: &Member| {
            let kind = if m.serves {
                MemberRole::Ingress
            } else {
                MemberRole::Witness
            };
            membership::Member {
                name: m.name.clone(),
                replica: 0,
                role: kind,
                votes: m.votes,
            }
        };
        let mut seats: Vec<membership::Member> = self.members.iter().map(seat).collect();
        seats.sort();
        membership::Membership {
            version: 0,
            lease_ms: self.lease_ms,
            members: seats,
        }
    }

    /// Where a member of that name reaches all of them; an operator's own sockets for any other name.
    pub fn links(&self, name: &str) -> BTreeMap<String, PathBuf> {
        let own = self.members.iter().find(|m| m.name == name);
        let at = |m: &Member| own.map_or_else(|| m.control.clone(), |own| own.reaches(m));
        self.members
            .iter()
            .map(|m| (m.name.clone(), at(m)))
            .collect()
    }
}

/// The group of an application whose file was taken; none where it has no roster.
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
