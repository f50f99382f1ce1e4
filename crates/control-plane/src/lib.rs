//! The control side of an ingress, on threads of its own: a Unix socket that its owner alone may use ([`socket`]), what must
//! not be forgotten ([`ledger`]), and the [`Keeper`] that takes one ask after the other to the participant of
//! `wrenfork-commit`. None of it is on the loop that serves requests: reading a change of some megabytes, hashing it and
//! waiting for the disk would hold requests up. The loop is met through [`Enforcer`] alone.
//!
//! What an ask wants remembered is on the disk before it is carried out, and carried out before it is answered.

//!
//! Where ingresses belong to a group ([`group`]), what is decided comes from `wrenfork-consensus` instead, by the same socket.

// Not done yet, see docs/ROADMAP.md.
#![allow(clippy::too_many_lines)]

pub mod client;
pub mod clock;
mod connections;
pub mod drive;
pub mod fault;
pub mod group;
pub mod ledger;
mod links;
mod rollout;
pub mod socket;

use connections::{Connection, Connections};
use fault::Faults;
use group::{Driver, Gate, Inherited, Membership, Shared};
use ledger::Ledger;
use socket::Socket;
use std::io::{BufRead, BufReader, Read, Write};
use std::os::unix::net::{UnixListener, UnixStream};
use std::sync::{Arc, Mutex, PoisonError, TryLockError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use wrenfork_commit::metrics::IngressMetrics;
use wrenfork_commit::participant::Participant;
use wrenfork_commit::protocol::{self, AuditRecord, CommitRequest, CommitResponse, CommitStatus};
use wrenfork_commit::reason::NotEnforceable;
use wrenfork_commit::state::State;
use wrenfork_commit::step::Step;
use wrenfork_consensus::acceptor::{Acceptor, PersistentState, Step as Turn};
use wrenfork_consensus::group_state::GroupState;
use wrenfork_consensus::membership::MemberRole;
use wrenfork_consensus::protocol::{self as group_protocol, GroupRequest, GroupResponse};
use wrenfork_rollout::record::{same_program, PROGRAM};
use wrenfork_rollout::tally::Tally;

/// Connections that are served at once, besides one for each other member of the group.
const MOST_CONNECTIONS: usize = 8;
/// How long a connection may say nothing, or read nothing.
const PATIENCE: Duration = Duration::from_secs(10);
/// The most characters of a reason that is kept and told on.
const MOST_WHY: usize = 300;
/// How long an ask may still take before a handover is put off: the next process waits for a second at each step.
const QUIET: Duration = Duration::from_millis(200);
/// Threads here parse and hash; none goes deep.
const STACK: usize = 512 << 10;

/// The variable by which whoever keeps a process tells it which program it runs, `NAME@SHA256`.
pub const RUNS: &str = "WRENFORK_RUNS";
/// The one by which it says that the process was started on purpose in another program's place.
pub const CHANGED: &str = "WRENFORK_CHANGED";

/// What the record of a rollout's step begins with.
pub const ROLLOUT: &str = "rollout";

/// What serves requests, as the control side sees it.
pub trait Enforcer: Send + 'static {
    /// Whether a state could be enforced here.
    ///
    /// # Errors
    ///
    /// Why not, in plain words.
    fn check(&self, state: &State) -> Result<(), String>;

    /// Enforces a state that was checked, whole and in one step; returns once that is so.
    ///
    /// # Errors
    ///
    /// Where nothing serves any more.
    fn switch(&self, state: &State) -> Result<(), String>;

    /// What is used now, and how it goes.
    fn figures(&self) -> IngressMetrics;

    /// What was counted of requests, for whoever drives a rollout; its decree's number is filled in elsewhere.
    fn tally(&self) -> Tally;

    /// The program that runs here, where whoever keeps this process says so.
    fn runs(&self) -> Option<String> {
        None
    }

    /// A line for the log.
    fn log(&self, record: &AuditRecord);
}

struct Inner<E> {
    name: String,
    participant: Participant,
    /// As a member of a group.
    group: Option<Acceptor>,
    /// The decree that was found in the folder.
    began: u64,
    shared: Option<Arc<Shared>>,
    ledger: Ledger,
    enforcer: E,
    faults: Faults,
    /// The most bytes of a message.
    most: usize,
    /// The decree under which it is this member's turn to change its program.
    turn: u64,
    /// A program that does not come into service here, and why.
    unfit: Option<(String, String)>,
}

/// The control side of an ingress.
pub struct Keeper<E> {
    inner: Arc<Mutex<Inner<E>>>,
    shared: Option<Arc<Shared>>,
    socket: Socket,
}

fn seconds() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| d.as_secs())
}

impl<E: Enforcer> Keeper<E> {
    /// Serves the socket from now on, for an ingress of that name; `most` bounds a message in bytes. With a membership it
    /// belongs to a group.
    ///
    /// # Errors
    ///
    /// Where a thread can't be started, or what must be remembered can't be kept.
    pub fn start(
        name: &str,
        (listener, socket): (UnixListener, Socket),
        mut ledger: Ledger,
        enforcer: E,
        most: usize,
        membership: Option<Membership>,
    ) -> Result<Keeper<E>, String> {
        let member = membership
            .as_ref()
            .map(|m| join(name, &mut ledger, m, &enforcer))
            .transpose()?;
        let (group, begun) = match member {
            Some((acceptor, shared, woken)) => (Some(acceptor), Some((shared, woken))),
            None => (None, None),
        };
        let shared = begun.as_ref().map(|b| b.0.clone());
        let participant = Participant::new(name, ledger.memory().clone());
        let faults = Faults::told();
        let inner = Inner {
            name: name.into(),
            participant,
            began: group.as_ref().map_or(0, |g| g.state().version()),
            group,
            shared: shared.clone(),
            ledger,
            enforcer,
            faults,
            most,
            turn: 0,
            unfit: None,
        };
        let inner = Arc::new(Mutex::new(inner));
        let most_connections = MOST_CONNECTIONS + membership.as_ref().map_or(0, |m| m.links.len());
        if let (Some((shared, woken)), Some(membership)) = (begun, membership) {
            let driver = Driver {
                name: name.into(),
                membership,
                shared,
                woken,
                inner: inner.clone(),
                most,
            };
            let thread = std::thread::Builder::new()
                .name("group".into())
                .stack_size(STACK);
            let run = move || {
                let_others_first();
                driver.run();
            };
            thread
                .spawn(run)
                .map_err(|e| format!("control: no thread: {e}"))?;
        }
        let (serving, sharing) = (inner.clone(), shared.clone());
        let accept = move || {
            let_others_first();
            let connections = Connections::new(most_connections);
            for stream in listener.incoming().flatten() {
                let (inner, shared) = (serving.clone(), sharing.clone());
                let connection = match connections.take_in(stream) {
                    Ok(connection) => connection,
                    Err(stream) => {
                        let why = "too many control connections: try again".to_string();
                        let _ = (&stream).write_all(
                            protocol::encode_line(&CommitResponse::Rejected { reason: why })
                                .as_bytes(),
                        );
                        continue;
                    }
                };
                let serve = move || {
                    let_others_first();
                    // A connection that breaks is its peer's to mend.
                    let _ = Self::serve(&inner, shared.as_deref(), &connection);
                };
                // Where no thread can be had, the connection ends.
                let thread = std::thread::Builder::new()
                    .name("control".into())
                    .stack_size(STACK);
                let _ = thread.spawn(serve);
            }
        };
        let thread = std::thread::Builder::new()
            .name("control".into())
            .stack_size(STACK);
        thread
            .spawn(accept)
            .map_err(|e| format!("control: no thread: {e}"))?;
        Ok(Keeper {
            inner,
            shared,
            socket,
        })
    }

    /// The deadline for letting requests in, where it belongs to a group.
    pub fn gate(&self) -> Option<Gate> {
        self.shared.as_ref().map(|s| s.gate())
    }

    fn serve(
        inner: &Mutex<Inner<E>>,
        shared: Option<&Shared>,
        connection: &Connection,
    ) -> std::io::Result<()> {
        let stream: &UnixStream = &connection.stream;
        stream.set_read_timeout(Some(PATIENCE))?;
        stream.set_write_timeout(Some(PATIENCE))?;
        let most = inner.lock().unwrap_or_else(PoisonError::into_inner).most;
        let mut reader = BufReader::new(stream);
        loop {
            connection.busy(false);
            let mut line = String::new();
            let came = (&mut reader).take(most as u64 + 1).read_line(&mut line)?;
            if came == 0 {
                return Ok(());
            }
            connection.busy(true);
            if came > most {
                let why = format!(
                    "the message is longer than {most} bytes, which is what this ingress's memory allows"
                );
                return (&*stream).write_all(
                    protocol::encode_line(&CommitResponse::Rejected { reason: why }).as_bytes(),
                );
            }
            if !line.ends_with('\n') {
                return Ok(()); // cut off: nobody waits for an answer
            }
            if group_protocol::is_group_request(&line) {
                let ask = protocol::decode_line::<GroupRequest>(&line).map_err(|e| e.to_string());
                drop(line);
                Self::serve_group(inner, shared, ask, stream)?;
                continue;
            }
            let ask = protocol::decode_line::<CommitRequest>(&line).map_err(|e| e.to_string());
            drop(line);
            let (say, faults, point) = {
                let mut inner = inner.lock().unwrap_or_else(PoisonError::into_inner);
                let point = point_of(&ask);
                inner.faults.pass(point, "heard");
                let say = match ask {
                    Ok(ask) => inner.take(ask, point),
                    Err(why) => CommitResponse::Rejected { reason: why },
                };
                inner.faults.pass(point, "unanswered");
                (say, inner.faults.clone(), point)
            };
            (&*stream).write_all(protocol::encode_line(&say).as_bytes())?;
            faults.pass(point, "answered");
        }
    }

    /// A renewal waits for nothing that another ask does: neither for a disk nor for a large change that is read.
    fn serve_group(
        inner: &Mutex<Inner<E>>,
        shared: Option<&Shared>,
        ask: Result<GroupRequest, String>,
        mut stream: &UnixStream,
    ) -> std::io::Result<()> {
        let (say, faults, point) = match (ask, shared) {
            (Ok(ask @ GroupRequest::Renew { .. }), Some(shared)) => {
                return stream.write_all(protocol::encode_line(&shared.renew(&ask)).as_bytes());
            }
            (Ok(ask), Some(_)) => {
                let point = point_of_group(&ask);
                let mut inner = inner.lock().unwrap_or_else(PoisonError::into_inner);
                inner.faults.pass(point, "heard");
                let say = inner.take_group(ask, point);
                inner.faults.pass(point, "unanswered");
                (say, inner.faults.clone(), point)
            }
            (Ok(_), None) => {
                let why = "this ingress belongs to no group".to_string();
                (
                    GroupResponse::Rejected { reason: why },
                    Faults::default(),
                    "other",
                )
            }
            (Err(why), _) => (
                GroupResponse::Rejected { reason: why },
                Faults::default(),
                "other",
            ),
        };
        stream.write_all(protocol::encode_line(&say).as_bytes())?;
        faults.pass(point, "answered");
        Ok(())
    }

    /// Passes all that this side keeps on to the next process of this ingress. `give` hands over, with the right to serve as it
    /// stands: while it runs nothing is promised, written or switched here, and if it succeeds nothing ever is again. `meanwhile`
    /// is called while an ask is under way, which may wait for the loop.
    ///
    /// # Errors
    ///
    /// Where `give` fails, or an ask takes too long: all goes on as before.
    pub fn hand_over<T>(
        &self,
        mut meanwhile: impl FnMut(),
        give: impl FnOnce(Option<Inherited>) -> Result<T, String>,
    ) -> Result<T, String> {
        let begun = clock::now();
        let mut inner = loop {
            match self.inner.try_lock() {
                Ok(inner) => break inner,
                Err(TryLockError::Poisoned(inner)) => break inner.into_inner(),
                Err(TryLockError::WouldBlock) if clock::now() < begun + QUIET => {
                    meanwhile();
                    std::thread::sleep(QUIET / 200);
                }
                Err(TryLockError::WouldBlock) => return Err("a change is being made".into()),
            }
        };
        let given = give(self.shared.as_ref().map(|s| s.passed_on()))?;
        self.shut(&mut inner);
        Ok(given)
    }

    /// No vote first, then the store, whose lock is what the next process waits for.
    fn shut(&self, inner: &mut Inner<E>) {
        if let Some(shared) = &self.shared {
            shared.close();
        }
        inner.ledger.close();
        self.socket.remove();
    }

    /// Ends: what comes from now on is refused, the store is closed, and the socket is gone if it is still this one's.
    pub fn close(self) {
        self.shut(&mut self.inner.lock().unwrap_or_else(PoisonError::into_inner));
    }
}

/// The descriptors that belonging to a group of so many may take: connections of members and to members, and those of a rollout
/// that is driven here.
pub fn descriptors(members: usize) -> usize {
    MOST_CONNECTIONS + 3 * members
}

/// On one core, requests come first: this thread takes what the loop leaves. Where that is refused it goes on as it is.
fn let_others_first() {
    let _ = rustix::process::setpriority_process(Some(rustix::thread::gettid()), 10);
}

/// The name of an ask among the fault points.
fn point_of(ask: &Result<CommitRequest, String>) -> &'static str {
    match ask {
        Ok(CommitRequest::Prepare { .. }) => "prepare",
        Ok(CommitRequest::Fence { .. }) => "fence",
        Ok(CommitRequest::Decide { .. }) => "decide",
        _ => "other",
    }
}

/// The name of an ask of a group's member among the fault points.
fn point_of_group(ask: &GroupRequest) -> &'static str {
    match ask {
        GroupRequest::Prepare { .. } => "promise",
        GroupRequest::Accept { .. } => "accept",
        GroupRequest::Decided { .. } => "decided",
        _ => "other",
    }
}

/// What a member begins with: its memory, if the folder is its own, and that it has begun another life, written down.
fn join<E: Enforcer>(
    name: &str,
    ledger: &mut Ledger,
    membership: &Membership,
    enforcer: &E,
) -> Result<(Acceptor, Arc<Shared>, UnixStream), String> {
    let log = |why: String| {
        enforcer.log(&AuditRecord {
            event: "group".into(),
            detail: why,
            ..AuditRecord::default()
        })
    };
    let memory = match ledger.member()? {
        Some(memory) if memory.name == name => memory,
        Some(other) => {
            log(format!(
                "the folder is {}'s: it is used as an empty one, without a vote",
                other.name
            ));
            PersistentState::new(name, group::drawn())
        }
        None => PersistentState::new(name, group::drawn()),
    };
    let memory = PersistentState {
        writes: memory.writes + 1,
        ..memory
    };
    ledger
        .keep_member(&memory, None, None)
        .map_err(|why| format!("state: {why}"))?;
    let serves = membership
        .charter
        .member(name)
        .is_none_or(|s| s.role == MemberRole::Ingress);
    let own = ledger.memory();
    let own = serves.then(|| (own.enforced.number, own.state.clone()));
    let (shared, woken) = Shared::new(name, &memory, membership)?;
    Ok((Acceptor::new(memory, own), shared, woken))
}

impl<E: Enforcer> Inner<E> {
    /// As a member of a group, takes a message that is no renewal.
    pub(crate) fn take_group(&mut self, ask: GroupRequest, point: &'static str) -> GroupResponse {
        let (Some(acceptor), Some(shared)) = (&mut self.group, &self.shared) else {
            return GroupResponse::Rejected {
                reason: "this ingress belongs to no group".into(),
            };
        };
        let number = acceptor.state().version();
        let wants = self.participant.state().state.0.get(PROGRAM);
        match ask {
            GroupRequest::Tally => {
                let (began, turn, tally) = (self.began, self.turn == number, self.enforcer.tally());
                let unfit = self
                    .unfit
                    .as_ref()
                    .filter(|u| wants.is_some_and(|w| same_program(w, &u.0)));
                let unfit = unfit.map(|u| u.1.clone()).unwrap_or_default();
                return GroupResponse::Tallied(Box::new(Tally {
                    number,
                    began,
                    turn,
                    unfit,
                    ..tally
                }));
            }
            GroupRequest::UpgradeTurn { version: under } if under == number => {
                self.turn = number;
                return GroupResponse::Acknowledged;
            }
            GroupRequest::UpgradeTurn { .. } => {
                return GroupResponse::Rejected {
                    reason: "another decree stands here".into(),
                }
            }
            GroupRequest::ProgramUnfit {
                program,
                reason: why,
            } => {
                // The first reason stands: it is said again for whoever has not heard it.
                if self
                    .unfit
                    .as_ref()
                    .is_some_and(|u| same_program(&u.0, &program))
                {
                    return GroupResponse::Acknowledged;
                }
                let why = why.chars().take(MOST_WHY).collect::<String>();
                let (at, what) = (seconds(), "program".to_string());
                self.enforcer.log(&AuditRecord {
                    at,
                    event: what,
                    detail: format!("{program}: {why}"),
                    ..AuditRecord::default()
                });
                self.unfit = Some((program, why));
                return GroupResponse::Acknowledged;
            }
            _ => {}
        }
        let now = clock::now();
        let mut record = None;
        {
            let mut standing = shared.standing();
            let m = acceptor.state();
            match &ask {
                // From here on nobody who has not taken it up is told that the one before stands; if it is not taken up
                // after all, `follow` takes that back.
                GroupRequest::Accept {
                    ballot,
                    state: decree,
                } if decree.version == m.version() + 1 => {
                    standing.block_grants(*ballot, &decree.digest, now);
                    record = Some(("promised", decree.clone()));
                }
                GroupRequest::ProposerAlive {
                    ballot,
                    accepted_by: ready,
                } if m.accepted.as_ref().is_some_and(|a| a.0 == *ballot) => {
                    standing.proposer_alive(*ballot, ready, now);
                }
                _ => {}
            }
        }
        let sure = shared.standing().check_vote_eligibility();
        let enforcer = &self.enforcer;
        let (memory, then, switch) = match acceptor.handle(ask, sure, |state| enforcer.check(state))
        {
            Turn::Respond(say) => {
                shared.follow(acceptor.state());
                return match say {
                    GroupResponse::Status(mut stand) => {
                        stand.lease_ms = shared.lease_ms();
                        stand.running_program = self.enforcer.runs();
                        stand.wanted_program = wants.cloned();
                        let ended =
                            |d: &GroupState| d.rollout.as_ref().is_none_or(|r| r.phase.ended());
                        let free = acceptor
                            .state()
                            .group_state
                            .as_ref()
                            .is_none_or(|d| ended(d));
                        stand.may_upgrade = free || self.turn == number;
                        GroupResponse::Status(stand)
                    }
                    GroupResponse::Rejected { reason: why } => {
                        let record = AuditRecord {
                            at: seconds(),
                            event: "refused".into(),
                            detail: why,
                            ..AuditRecord::default()
                        };
                        self.enforcer.log(&record);
                        let _ = self.ledger.note(&record);
                        GroupResponse::Rejected {
                            reason: record.detail,
                        }
                    }
                    say => say,
                };
            }
            Turn::Persist {
                state: memory,
                response: then,
                applies: switch,
            } => (memory, then, switch),
        };
        let own = memory
            .group_state
            .as_ref()
            .filter(|_| switch)
            .and_then(|d| d.enforced_by(&self.name));
        let own = own.filter(|(generation, _)| *generation != self.participant.state().enforced);
        let own = own.map(|(enforced, state)| {
            let was = self.participant.state();
            wrenfork_commit::participant::ParticipantState {
                enforced,
                state: Arc::new(state),
                prepared: None,
                ..was.clone()
            }
        });
        if let Some(decree) = memory.group_state.as_ref().filter(|_| switch) {
            record = Some(("made", decree.clone()));
        }
        let had = acceptor
            .state()
            .group_state
            .as_ref()
            .and_then(|d| d.rollout.clone());
        let record = record.map(|(what, decree)| {
            let step = decree
                .rollout
                .as_deref()
                .filter(|step| what == "made" && had.as_deref() != Some(*step));
            let what = step.map_or(what.to_string(), |step| {
                format!("{ROLLOUT}: {}", step.phase)
            });
            AuditRecord {
                at: seconds(),
                event: what,
                author: decree.author.clone(),
                change: decree.change.clone(),
                generation: decree.generation,
                detail: step.map_or_else(String::new, |step| step.why.clone()),
            }
        });
        self.faults.pass(point, "unwritten");
        if let Err(why) = self
            .ledger
            .keep_member(&memory, own.as_ref(), record.as_ref())
        {
            shared.follow(acceptor.state());
            return GroupResponse::Unavailable {
                reason: format!("{} can't keep it: {why}", self.name),
            };
        }
        self.faults.pass(point, "written");
        acceptor.persisted(*memory);
        if let Some(own) = own {
            let state = own.state.clone();
            let wants = state.0.get(PROGRAM);
            // What is not wanted any more may be tried anew.
            self.unfit = self
                .unfit
                .take()
                .filter(|u| wants.is_some_and(|w| same_program(w, &u.0)));
            self.participant.persisted(own);
            if let Err(why) = self.enforcer.switch(&state) {
                return GroupResponse::Rejected { reason: why }; // the ingress ends; it will start with what is written
            }
            self.faults.pass(point, "switched");
        }
        shared.follow(acceptor.state());
        if let Some(record) = record {
            self.enforcer.log(&record);
        }
        then
    }

    /// The folder turned out to be an older copy: what it knows may be gone on with, its votes may not.
    pub(crate) fn shed(&mut self) {
        let (Some(acceptor), Some(shared)) = (&mut self.group, &self.shared) else {
            return;
        };
        let memory = acceptor.state().with_new_replica(group::drawn());
        let why = "the folder is an older copy of what others have seen: it has no vote; wrenctl roster replace gives it one";
        let record = AuditRecord {
            at: seconds(),
            event: "group".into(),
            detail: why.into(),
            ..AuditRecord::default()
        };
        if self
            .ledger
            .keep_member(&memory, None, Some(&record))
            .is_ok()
        {
            acceptor.persisted(memory);
            shared.follow(acceptor.state());
            self.enforcer.log(&record);
        }
    }

    fn take(&mut self, ask: CommitRequest, point: &'static str) -> CommitResponse {
        let no = |why: String| CommitResponse::Rejected { reason: why };
        let record = match ask {
            CommitRequest::FetchGeneration { generation } => {
                return match self.ledger.past(generation) {
                    Ok(Some((generation, state))) => {
                        CommitResponse::PastGeneration { generation, state }
                    }
                    Ok(None) => no(format!("generation {generation} is not kept here any more")),
                    Err(why) => no(why),
                };
            }
            CommitRequest::History { limit: most } => {
                return match self.ledger.records(most) {
                    Ok(records) => CommitResponse::Records { records },
                    Err(why) => no(why),
                };
            }
            CommitRequest::AppendRecord { record } => {
                let record = AuditRecord {
                    at: seconds(),
                    ..record
                };
                self.enforcer.log(&record);
                return self
                    .ledger
                    .note(&record)
                    .map_or_else(no, |()| CommitResponse::Recorded);
            }
            CommitRequest::Prepare { .. }
            | CommitRequest::Fence { .. }
            | CommitRequest::Decide { .. }
                if self.group.is_some() =>
            {
                return no(
                    "it belongs to a group, which decides its changes: use a wrenctl that knows rosters"
                        .into(),
                );
            }
            ref other => self.record(other),
        };
        let enforcer = &self.enforcer;
        match self.participant.handle(ask, |state| {
            enforcer.check(state).map_err(NotEnforceable::new)
        }) {
            Step::Respond(CommitResponse::Status {
                ingress,
                generation,
                state,
                prepared: promise,
                ..
            }) => {
                let figures = self.enforcer.figures();
                CommitResponse::Status {
                    ingress,
                    generation,
                    state,
                    prepared: promise,
                    metrics: figures,
                }
            }
            Step::Respond(say) => {
                if let (CommitResponse::Rejected { reason: why }, Some(record)) = (&say, record) {
                    let record = AuditRecord {
                        event: "refused".into(),
                        detail: why.clone(),
                        ..record
                    };
                    self.enforcer.log(&record);
                    let _ = self.ledger.note(&record);
                }
                say
            }
            Step::Persist {
                state: memory,
                response: then,
                applies: switch,
            } => {
                let what = match &then {
                    CommitResponse::Prepared => "promised",
                    CommitResponse::ChangeStatus {
                        status: CommitStatus::Committed,
                        ..
                    } => "made",
                    CommitResponse::ChangeStatus {
                        status: CommitStatus::Aborted,
                        ..
                    } => "given up",
                    _ => "fenced",
                };
                let record = record.map(|r| AuditRecord {
                    event: what.into(),
                    ..r
                });
                self.faults.pass(point, "unwritten");
                if let Err(why) = self.ledger.keep(&memory, switch, record.as_ref()) {
                    // Nothing has happened, and all goes on as before.
                    return CommitResponse::Unavailable {
                        reason: format!("{} can't keep it: {why}", self.name),
                    };
                }
                self.faults.pass(point, "written");
                self.participant.persisted(*memory);
                if switch {
                    if let Err(why) = self.enforcer.switch(&self.participant.state().state) {
                        return no(why); // the ingress ends; it will start with what is written
                    }
                    self.faults.pass(point, "switched");
                }
                if let Some(record) = record {
                    self.enforcer.log(&record);
                }
                then
            }
        }
    }

    /// A record of an ask; who and what is filled in from the promise that it is about.
    fn record(&self, ask: &CommitRequest) -> Option<AuditRecord> {
        let promised = self.participant.state().prepared.as_ref().map(|p| &p.vote);
        let (change, promise) = match ask {
            CommitRequest::Prepare { vote: promise, .. } => (&promise.change, Some(promise)),
            CommitRequest::Decide { change, .. } | CommitRequest::Fence { change, .. } => {
                (change, promised.filter(|p| p.change == *change))
            }
            _ => return None,
        };
        let (author, generation) =
            promise.map_or((String::new(), 0), |p| (p.author.clone(), p.next.number));
        Some(AuditRecord {
            at: seconds(),
            change: change.clone(),
            author,
            generation,
            ..AuditRecord::default()
        })
    }
}
