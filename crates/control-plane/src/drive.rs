//! Carries a proposer's asks to the members of a group and their answers back, each on a thread of its own, so that a member
//! that is frozen holds up nobody else.

use crate::client;
use crate::clock;
use crate::fault::Faults;
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::sync::mpsc::{channel, RecvTimeoutError};
use std::time::Duration;
use wrenfork_consensus::proposer::{ProposalOutcome, ProposalPhase, Proposer};
use wrenfork_consensus::protocol::{GroupRequest, GroupResponse};

/// How long one ask may take: a member checks and writes some megabytes, and its disk may be slow.
const PATIENCE: Duration = Duration::from_secs(10);
/// The longest sleep between two looks at what is due.
const LOOK: Duration = Duration::from_millis(100);
/// A thread here writes and reads lines.
const STACK: usize = 256 << 10;

/// Drives a proposal to its end, or until time is over; `at` has the members' control sockets by name. `tell` is called
/// whenever something may have changed.
pub fn drive(
    proposer: &mut Proposer,
    at: &BTreeMap<String, PathBuf>,
    patience: Duration,
    mut tell: impl FnMut(&Proposer),
) -> ProposalOutcome {
    let (faults, begun) = (Faults::told(), clock::now());
    let names: Vec<String> = proposer.member_names().map(String::from).collect();
    let (answered, answers) = channel::<(usize, GroupRequest, Result<GroupResponse, String>)>();
    faults.pass("apply", "begun");
    loop {
        let (now, before) = (clock::now(), proposer.phase.clone());
        let asks = proposer.requests(now);
        if before != proposer.phase {
            faults.pass("apply", "decided");
        }
        for (member, ask) in asks {
            faults.pass("apply", "asking");
            let Some(path) = at.get(&names[member]).cloned() else {
                let why = Err("nothing says where its socket is".to_string());
                proposer.handle_response(member, &ask, why, now);
                continue;
            };
            let (done, sent) = (answered.clone(), ask.clone());
            let carry = move || {
                let answer = client::ask(&path, &sent, PATIENCE);
                let _ = done.send((member, sent, answer)); // nobody waits any more
            };
            let thread = std::thread::Builder::new()
                .name("group".into())
                .stack_size(STACK)
                .spawn(carry);
            if thread.is_err() {
                proposer.handle_response(
                    member,
                    &ask,
                    Err("no thread could be started".into()),
                    now,
                );
            }
        }
        tell(proposer);
        if let ProposalPhase::Ended(end) = &proposer.phase {
            return end.clone();
        }
        let left = (begun + patience).saturating_sub(now);
        if left.is_zero() {
            proposer.time_out();
            continue;
        }
        match answers.recv_timeout(
            proposer
                .next_request_in(now)
                .min(left)
                .clamp(Duration::from_millis(1), LOOK),
        ) {
            Ok((member, ask, answer)) => {
                let before = proposer.phase.clone();
                proposer.handle_response(member, &ask, answer, clock::now());
                faults.pass("apply", "answered");
                if before != proposer.phase {
                    faults.pass("apply", "decided");
                }
            }
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => proposer.time_out(),
        }
    }
}
