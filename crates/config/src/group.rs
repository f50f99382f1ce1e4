//! The group that an application's sidecars are: who belongs to it, who decides, and what must not be said of it.

use crate::check::{quoted, twice, unknown, In};
use crate::codes::Code;
use crate::diagnostic::Diagnostic;
use crate::enforced::called;
use crate::model::{Application, Roster};
use crate::reader::At;
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::time::Duration;
use wrenfork_consensus::membership::{self, MemberRole};

/// How many may decide before it is told that fewer are enough.
const ENOUGH_VOTERS: usize = 9;

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
        name: called(app, name),
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

/// What must not be said of a group.
pub(crate) fn check(a: &In<Application>, found: &mut Vec<Diagnostic>) {
    let app = a.content;
    let Some(roster) = &app.roster else {
        if let Some(program) = &app.program {
            let message = format!(
                "program \"{}\" has no roster that could bring it in",
                program.name.value
            );
            found.push(a.wrong(Code::IdleProgram, &program.name, message));
        }
        if let Some(witness) = app.witnesses.first() {
            let message = format!(
                "witness \"{}\" has no roster to keep promises for",
                witness.name.value
            );
            found.push(a.wrong(Code::IdleWitness, &witness.name, message));
        }
        return;
    };
    if !app.witnesses.is_empty() {
        let names = app
            .sidecars
            .iter()
            .map(|s| &s.name)
            .chain(app.witnesses.iter().map(|w| &w.name));
        let taken = |w: &&At<String>| app.sidecars.iter().any(|s| s.name.value == w.value);
        let among = app.witnesses.iter().map(|w| &w.name);
        // Sidecars among themselves are looked at elsewhere.
        match among.clone().find(taken) {
            Some(_) => twice(a, "member", names.map(quoted), found),
            None => twice(a, "witness", among.map(quoted), found),
        }
    }
    for sidecar in app
        .sidecars
        .iter()
        .filter(|s| s.control.is_none() || s.state.is_none())
    {
        let missing = if sidecar.control.is_none() {
            "control"
        } else {
            "state"
        };
        let message = format!(
            "sidecar \"{}\" is in the roster and has no `{missing}`",
            sidecar.name.value
        );
        found.push(a.wrong(Code::RosterUnkept, &sidecar.name, message));
    }
    if !(membership::MIN_LEASE..=membership::MAX_LEASE)
        .contains(&Duration::from_micros(roster.lease.value))
    {
        let message = "a lease is from 300 ms to 60 s long";
        found.push(a.wrong(Code::OddLease, &roster.lease, message));
    }
    if let Some(alone) = roster.alone.as_ref().filter(|a| a.value == "as-known") {
        let message = "a change does not hold at a sidecar that is cut off while it is made";
        found.push(a.wrong(Code::AsKnown, alone, message));
    }
    voters(a, roster, found);
}

fn voters(a: &In<Application>, roster: &Roster, found: &mut Vec<Diagnostic>) {
    let app = a.content;
    let names = || {
        let sidecars = app.sidecars.iter().map(|s| s.name.value.as_str());
        sidecars.chain(app.witnesses.iter().map(|w| w.name.value.as_str()))
    };
    twice(a, "voter", roster.voters.iter().map(quoted), found);
    let mut known = true;
    for voter in roster
        .voters
        .iter()
        .filter(|v| names().all(|n| n != v.value))
    {
        known = false;
        let sidecars = app.sidecars.iter().map(|s| s.name.value.as_str());
        found.push(unknown(
            a,
            Code::NoSuchMember,
            "sidecar or witness",
            voter,
            sidecars,
        ));
    }
    let count = if roster.voters.is_empty() {
        names().count()
    } else {
        roster.voters.len()
    };
    let here = a.at(&roster.span);
    let (code, message) = match count {
        _ if !known => return,
        1 => (
            Code::RosterOfOne,
            "one member decides for itself".to_string(),
        ),
        2 => (
            Code::RosterOfTwo,
            "the loss of either of the two that decide stops both".to_string(),
        ),
        n if n % 2 == 0 => (
            Code::RosterEven,
            format!("{n} decide, and {} would survive as much", n - 1),
        ),
        n if n > ENOUGH_VOTERS => (
            Code::ManyVoters,
            format!("{n} decide, and five or seven would be enough"),
        ),
        _ => return,
    };
    found.push(Diagnostic::new(code, here, message));
}
