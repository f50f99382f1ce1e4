//! Carries a proposer's requests to the members of a group and their responses back. Each request has a thread of its own, so
//! that a member that hangs delays nobody else.

use crate::client::{self, ClientError};
use crate::clock;
use crate::failpoints::Failpoints;
use crate::thread::spawn_messenger;
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::sync::mpsc::{channel, Receiver, RecvTimeoutError, Sender};
use std::time::Duration;
use wrenfork_consensus::proposer::{ProposalOutcome, ProposalPhase, Proposer, RequestFailed};
use wrenfork_consensus::protocol::{GroupRequest, GroupResponse};

/// How long one request may take: a member checks and writes some megabytes, and its disk may be slow.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
/// The shortest and the longest wait for a response before it is looked at what is due.
const MIN_WAIT: Duration = Duration::from_millis(1);
const MAX_WAIT: Duration = Duration::from_millis(100);
/// The name of a proposal among the failpoints.
const FAILPOINT: &str = "apply";

/// What came of a request.
struct Completed {
    member: usize,
    request: GroupRequest,
    result: Result<GroupResponse, ClientError>,
}

/// A proposal that is run.
struct Run<'a> {
    proposer: &'a mut Proposer,
    control_sockets: &'a BTreeMap<String, PathBuf>,
    /// The members' names, by their places in the proposer.
    names: Vec<String>,
    completed: Sender<Completed>,
    failpoints: Failpoints,
}

/// Runs a proposal to its end, or until `timeout` is over. `control_sockets` has the members' sockets by name; `on_progress` is
/// called whenever something may have changed.
pub fn run_proposal(
    proposer: &mut Proposer,
    control_sockets: &BTreeMap<String, PathBuf>,
    timeout: Duration,
    mut on_progress: impl FnMut(&Proposer),
) -> ProposalOutcome {
    let deadline = clock::now() + timeout;
    let (completed, responses) = channel();
    let mut run = Run {
        names: proposer.member_names().map(String::from).collect(),
        proposer,
        control_sockets,
        completed,
        failpoints: Failpoints::from_env(),
    };
    run.failpoints.hit(FAILPOINT, "begun");
    loop {
        let now = clock::now();
        run.send_requests(now);
        on_progress(run.proposer);
        if let ProposalPhase::Ended(end) = &run.proposer.phase {
            return end.clone();
        }
        if now >= deadline {
            run.proposer.time_out();
        } else {
            run.receive(&responses, now, deadline);
        }
    }
}

impl Run<'_> {
    /// Sends what the proposer has to ask now.
    fn send_requests(&mut self, now: Duration) {
        let before = self.proposer.phase.clone();
        let requests = self.proposer.requests(now);
        self.hit_if_decided(&before);
        for (member, request) in requests {
            self.failpoints.hit(FAILPOINT, "asking");
            match self.control_sockets.get(&self.names[member]) {
                Some(path) => self.send(member, &request, path, now),
                None => {
                    let why = Err(RequestFailed {
                        reason: "nothing says where its socket is".into(),
                    });
                    self.proposer.handle_response(member, &request, why, now);
                }
            }
        }
    }

    /// Sends a request on a thread of its own.
    fn send(&mut self, member: usize, request: &GroupRequest, path: &Path, now: Duration) {
        let (path, completed, sent) = (path.to_path_buf(), self.completed.clone(), request.clone());
        let work = move || {
            let result = client::request(&path, &sent, REQUEST_TIMEOUT);
            // The proposal may have ended meanwhile.
            let _ = completed.send(Completed {
                member,
                request: sent,
                result,
            });
        };
        if spawn_messenger("group", work).is_err() {
            let why = Err(RequestFailed {
                reason: "no thread could be started".into(),
            });
            self.proposer.handle_response(member, request, why, now);
        }
    }

    /// Waits for a response, no longer than until something is due.
    fn receive(&mut self, responses: &Receiver<Completed>, now: Duration, deadline: Duration) {
        let due = self
            .proposer
            .next_request_in(now)
            .min(deadline.saturating_sub(now));
        match responses.recv_timeout(due.clamp(MIN_WAIT, MAX_WAIT)) {
            Ok(done) => {
                let before = self.proposer.phase.clone();
                let result = done.result.map_err(|error| RequestFailed {
                    reason: error.to_string(),
                });
                self.proposer
                    .handle_response(done.member, &done.request, result, clock::now());
                self.failpoints.hit(FAILPOINT, "answered");
                self.hit_if_decided(&before);
            }
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => self.proposer.time_out(),
        }
    }

    fn hit_if_decided(&self, before: &ProposalPhase) {
        if *before != self.proposer.phase {
            self.failpoints.hit(FAILPOINT, "decided");
        }
    }
}
