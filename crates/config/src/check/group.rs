//! What must not be said of the group that an application's sidecars are.

use super::findings::{quoted, twice, unknown, In};
use crate::codes::Code;
use crate::diagnostic::Diagnostic;
use crate::model::{Application, Roster};
use crate::reader::At;
use std::time::Duration;
use wrenfork_consensus::membership;

/// How many may decide before it is told that fewer are enough.
const ENOUGH_VOTERS: usize = 9;

/// What must not be said of a group.
pub(super) fn check(a: &In<Application>, found: &mut Vec<Diagnostic>) {
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
    member_names(a, found);
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

/// Members have names of their own.
fn member_names(a: &In<Application>, found: &mut Vec<Diagnostic>) {
    let app = a.content;
    if app.witnesses.is_empty() {
        return;
    }
    let witnesses = app.witnesses.iter().map(|w| &w.name);
    let is_sidecar = |w: &&At<String>| app.sidecars.iter().any(|s| s.name.value == w.value);
    // Sidecars among themselves are looked at with the sidecars.
    if witnesses.clone().any(|w| is_sidecar(&w)) {
        let members = app.sidecars.iter().map(|s| &s.name).chain(witnesses);
        twice(a, "member", members.map(quoted), found);
    } else {
        twice(a, "witness", witnesses.map(quoted), found);
    }
}
