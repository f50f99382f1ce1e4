//! Sends a proposer's requests to the members of a group and feeds the responses back to the proposer. Each request runs on its
//! own thread, so that an unresponsive member does not delay the others.

use crate::client::{self, ClientError};
use crate::clock;
use crate::failpoints::Failpoints;
use crate::thread::spawn_message_thread;
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::sync::mpsc::{channel, Receiver, RecvTimeoutError, Sender};
use std::time::Duration;
use wrenfork_consensus::proposer::{ProposalOutcome, ProposalPhase, Proposer, RequestFailed};
use wrenfork_consensus::protocol::{GroupRequest, GroupResponse};

/// Timeout of one request: a member checks and writes several megabytes, and its disk may be slow.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
/// Minimum time to wait for a response before checking for due requests.
const MIN_WAIT: Duration = Duration::from_millis(1);
/// Maximum time to wait for a response before checking for due requests.
const MAX_WAIT: Duration = Duration::from_millis(100);
/// Failpoint name of a proposal.
const FAILPOINT: &str = "apply";

/// The result of a request to one member.
struct Completed {
    /// Index of the member in the proposer.
    member: usize,
    request: GroupRequest,
    result: Result<GroupResponse, ClientError>,
}

/// A proposal in progress.
struct ProposalRun<'a> {
    proposer: &'a mut Proposer,
    control_sockets: &'a BTreeMap<String, PathBuf>,
    /// The members' names, by their index in the proposer.
    names: Vec<String>,
    completed: Sender<Completed>,
    failpoints: Failpoints,
}

/// Runs a proposal until it has an outcome or `timeout` has elapsed. `control_sockets` maps member names to control sockets;
/// `on_progress` is called whenever the proposer may have changed.
pub fn run_proposal(
    proposer: &mut Proposer,
    control_sockets: &BTreeMap<String, PathBuf>,
    timeout: Duration,
    mut on_progress: impl FnMut(&Proposer),
) -> ProposalOutcome {
    let deadline = clock::now() + timeout;
    let (completed, responses) = channel();
    let mut run = ProposalRun {
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
        if let ProposalPhase::Ended(outcome) = &run.proposer.phase {
            return outcome.clone();
        }
        if now >= deadline {
            run.proposer.time_out();
        } else {
            run.receive(&responses, now, deadline);
        }
    }
}

impl ProposalRun<'_> {
    /// Sends the requests that the proposer has due now.
    fn send_requests(&mut self, now: Duration) {
        let previous_phase = self.proposer.phase.clone();
        let requests = self.proposer.requests(now);
        self.hit_if_phase_changed(&previous_phase);
        for (member, request) in requests {
            self.failpoints.hit(FAILPOINT, "asking");
            match self.control_sockets.get(&self.names[member]) {
                Some(path) => self.send(member, &request, path, now),
                None => {
                    let failure = Err(RequestFailed {
                        reason: "no control socket is configured for this member".into(),
                    });
                    self.proposer
                        .handle_response(member, &request, failure, now);
                }
            }
        }
    }

    /// Sends a request on a new thread.
    fn send(&mut self, member: usize, request: &GroupRequest, path: &Path, now: Duration) {
        let (path, completed, sent) = (path.to_path_buf(), self.completed.clone(), request.clone());
        let exchange = move || {
            let result = client::request(&path, &sent, REQUEST_TIMEOUT);
            // The receiver is dropped if the proposal has ended in the meantime.
            let _ = completed.send(Completed {
                member,
                request: sent,
                result,
            });
        };
        if spawn_message_thread("group", exchange).is_err() {
            let failure = Err(RequestFailed {
                reason: "failed to spawn a thread for the request".into(),
            });
            self.proposer.handle_response(member, request, failure, now);
        }
    }

    /// Waits for a response, until the next request is due at the latest.
    fn receive(&mut self, responses: &Receiver<Completed>, now: Duration, deadline: Duration) {
        let due = self
            .proposer
            .next_request_in(now)
            .min(deadline.saturating_sub(now));
        match responses.recv_timeout(due.clamp(MIN_WAIT, MAX_WAIT)) {
            Ok(completed) => {
                let previous_phase = self.proposer.phase.clone();
                let result = completed.result.map_err(|error| RequestFailed {
                    reason: error.to_string(),
                });
                self.proposer.handle_response(
                    completed.member,
                    &completed.request,
                    result,
                    clock::now(),
                );
                self.failpoints.hit(FAILPOINT, "answered");
                self.hit_if_phase_changed(&previous_phase);
            }
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => self.proposer.time_out(),
        }
    }

    fn hit_if_phase_changed(&self, previous_phase: &ProposalPhase) {
        if *previous_phase != self.proposer.phase {
            self.failpoints.hit(FAILPOINT, "decided");
        }
    }
}
