//! Checks the group that an application's sidecars and witnesses form.

use super::findings::{quoted, report_duplicates, unknown_name, InFile};
use crate::codes::Code;
use crate::diagnostic::Diagnostic;
use crate::model::{Application, Roster};
use crate::reader::At;
use std::time::Duration;
use wrenfork_consensus::membership;

/// Most voters without a warning that fewer are enough.
const MAX_VOTERS_WITHOUT_WARNING: usize = 9;

/// Checks the roster, the program and the witnesses.
pub(super) fn check(app_file: &InFile<Application>, found: &mut Vec<Diagnostic>) {
    let app = app_file.content;
    let Some(roster) = &app.roster else {
        if let Some(program) = &app.program {
            let message = format!(
                "program \"{}\" has no roster that could bring it in",
                program.name.value
            );
            found.push(app_file.diagnostic(Code::IdleProgram, &program.name, message));
        }
        if let Some(witness) = app.witnesses.first() {
            let message = format!(
                "witness \"{}\" has no roster to keep promises for",
                witness.name.value
            );
            found.push(app_file.diagnostic(Code::IdleWitness, &witness.name, message));
        }
        return;
    };
    check_member_names(app_file, found);
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
        found.push(app_file.diagnostic(Code::RosterUnkept, &sidecar.name, message));
    }
    if !(membership::MIN_LEASE..=membership::MAX_LEASE)
        .contains(&Duration::from_micros(roster.lease.value))
    {
        let message = "a lease is from 300 ms to 60 s long";
        found.push(app_file.diagnostic(Code::OddLease, &roster.lease, message));
    }
    if let Some(alone) = roster.alone.as_ref().filter(|a| a.value == "as-known") {
        let message = "a change does not hold at a sidecar that is cut off while it is made";
        found.push(app_file.diagnostic(Code::AsKnown, alone, message));
    }
    check_voters(app_file, roster, found);
}

fn check_voters(app_file: &InFile<Application>, roster: &Roster, found: &mut Vec<Diagnostic>) {
    let app = app_file.content;
    let member_names = || {
        let sidecars = app.sidecars.iter().map(|s| s.name.value.as_str());
        sidecars.chain(app.witnesses.iter().map(|w| w.name.value.as_str()))
    };
    report_duplicates(app_file, "voter", roster.voters.iter().map(quoted), found);
    let mut all_known = true;
    for voter in roster
        .voters
        .iter()
        .filter(|v| member_names().all(|n| n != v.value))
    {
        all_known = false;
        let sidecars = app.sidecars.iter().map(|s| s.name.value.as_str());
        found.push(unknown_name(
            app_file,
            Code::NoSuchMember,
            "sidecar or witness",
            voter,
            sidecars,
        ));
    }
    let count = if roster.voters.is_empty() {
        member_names().count()
    } else {
        roster.voters.len()
    };
    let place = app_file.place(&roster.span);
    let (code, message) = match count {
        _ if !all_known => return,
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
        n if n > MAX_VOTERS_WITHOUT_WARNING => (
            Code::ManyVoters,
            format!("{n} decide, and five or seven would be enough"),
        ),
        _ => return,
    };
    found.push(Diagnostic::new(code, place, message));
}

/// Reports members that share a name.
fn check_member_names(app_file: &InFile<Application>, found: &mut Vec<Diagnostic>) {
    let app = app_file.content;
    if app.witnesses.is_empty() {
        return;
    }
    let witnesses = app.witnesses.iter().map(|w| &w.name);
    let is_sidecar = |w: &&At<String>| app.sidecars.iter().any(|s| s.name.value == w.value);
    // Duplicate names among sidecars alone are reported by the check of the sidecars.
    if witnesses.clone().any(|w| is_sidecar(&w)) {
        let members = app.sidecars.iter().map(|s| &s.name).chain(witnesses);
        report_duplicates(app_file, "member", members.map(quoted), found);
    } else {
        report_duplicates(app_file, "witness", witnesses.map(quoted), found);
    }
}
