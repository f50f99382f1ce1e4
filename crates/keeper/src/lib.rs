//! The control side of an ingress, on threads of its own: a Unix socket that its owner alone may use ([`socket`]), what must
//! not be forgotten ([`ledger`]), and the [`Keeper`] that takes one ask after the other to the participant of
//! `wrenfork-control`. None of it is on the loop that serves requests: reading a change of some megabytes, hashing it and
//! waiting for the disk would hold requests up. The loop is met through [`Enforcer`] alone.
//!
//! What an ask wants remembered is on the disk before it is carried out, and carried out before it is answered.

pub mod client;
pub mod fault;
pub mod ledger;
pub mod socket;

use fault::Faults;
use ledger::Ledger;
use socket::Socket;
use std::io::{BufRead, BufReader, Read, Write};
use std::os::unix::net::{UnixListener, UnixStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use wrenfork_control::figures::Figures;
use wrenfork_control::participant::{Participant, Step};
use wrenfork_control::protocol::{self, Ask, Record, Say, Stand};
use wrenfork_control::state::State;

/// Connections that are served at once; others are told to come again.
const MOST_CONNECTIONS: usize = 8;
/// How long a connection may say nothing, or read nothing.
const PATIENCE: Duration = Duration::from_secs(10);
/// Threads here parse and hash; none goes deep.
const STACK: usize = 512 << 10;

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
    fn figures(&self) -> Figures;

    /// A line for the log.
    fn log(&self, record: &Record);
}

struct Inner<E> {
    name: String,
    participant: Participant,
    ledger: Ledger,
    enforcer: E,
    faults: Faults,
    /// The most bytes of a message.
    most: usize,
}

/// The control side of an ingress.
pub struct Keeper<E> {
    inner: Arc<Mutex<Inner<E>>>,
    socket: Socket,
}

fn seconds() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_secs())
}

impl<E: Enforcer> Keeper<E> {
    /// Serves the socket from now on, for an ingress of that name; `most` bounds a message in bytes.
    ///
    /// # Errors
    ///
    /// Where a thread can't be started.
    pub fn start(
        name: &str,
        (listener, socket): (UnixListener, Socket),
        ledger: Ledger,
        enforcer: E,
        most: usize,
    ) -> Result<Keeper<E>, String> {
        let participant = Participant::new(name, ledger.memory().clone());
        let inner = Inner { name: name.into(), participant, ledger, enforcer, faults: Faults::told(), most };
        let inner = Arc::new(Mutex::new(inner));
        let serving = inner.clone();
        let accept = move || {
            let_others_first();
            let open = Arc::new(AtomicUsize::new(0));
            for stream in listener.incoming().flatten() {
                let (inner, count) = (serving.clone(), open.clone());
                if count.fetch_add(1, Ordering::SeqCst) >= MOST_CONNECTIONS {
                    count.fetch_sub(1, Ordering::SeqCst);
                    let why = "too many control connections: try again".to_string();
                    let _ = (&stream).write_all(protocol::line(&Say::No { why }).as_bytes());
                    continue;
                }
                let serve = move || {
                    let_others_first();
                    // A connection that breaks is its peer's to mend.
                    let _ = Self::serve(&inner, &stream);
                    count.fetch_sub(1, Ordering::SeqCst);
                };
                let thread = std::thread::Builder::new().name("control".into()).stack_size(STACK);
                if thread.spawn(serve).is_err() {
                    open.fetch_sub(1, Ordering::SeqCst);
                }
            }
        };
        let thread = std::thread::Builder::new().name("control".into()).stack_size(STACK);
        thread.spawn(accept).map_err(|e| format!("control: no thread: {e}"))?;
        Ok(Keeper { inner, socket })
    }

    fn serve(inner: &Mutex<Inner<E>>, stream: &UnixStream) -> std::io::Result<()> {
        stream.set_read_timeout(Some(PATIENCE))?;
        stream.set_write_timeout(Some(PATIENCE))?;
        let most = inner.lock().unwrap_or_else(PoisonError::into_inner).most;
        let mut reader = BufReader::new(stream);
        loop {
            let mut line = String::new();
            let came = (&mut reader).take(most as u64 + 1).read_line(&mut line)?;
            if came == 0 {
                return Ok(());
            }
            if came > most {
                let why = format!(
                    "the message is longer than {most} bytes, which is what this ingress's memory allows"
                );
                return (&*stream).write_all(protocol::line(&Say::No { why }).as_bytes());
            }
            if !line.ends_with('\n') {
                return Ok(()); // cut off: nobody waits for an answer
            }
            let ask = protocol::read::<Ask>(&line);
            drop(line);
            let (say, faults, point) = {
                let mut inner = inner.lock().unwrap_or_else(PoisonError::into_inner);
                let point = point_of(&ask);
                inner.faults.pass(point, "heard");
                let say = match ask {
                    Ok(ask) => inner.take(ask, point),
                    Err(why) => Say::No { why },
                };
                inner.faults.pass(point, "unanswered");
                (say, inner.faults.clone(), point)
            };
            (&*stream).write_all(protocol::line(&say).as_bytes())?;
            faults.pass(point, "answered");
        }
    }

    /// Ends: what comes from now on is refused, the store is closed, and the socket is gone if it is still this one's.
    pub fn close(self) {
        let mut inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        inner.ledger.close();
        self.socket.remove();
    }
}

/// On one core, requests come first: this thread takes what the loop leaves. Where that is refused it goes on as it is.
fn let_others_first() {
    let _ = rustix::process::setpriority_process(Some(rustix::thread::gettid()), 10);
}

/// The name of an ask among the fault points.
fn point_of(ask: &Result<Ask, String>) -> &'static str {
    match ask {
        Ok(Ask::Prepare { .. }) => "prepare",
        Ok(Ask::Fence { .. }) => "fence",
        Ok(Ask::Decide { .. }) => "decide",
        _ => "other",
    }
}

impl<E: Enforcer> Inner<E> {
    fn take(&mut self, ask: Ask, point: &'static str) -> Say {
        let no = |why: String| Say::No { why };
        let record = match ask {
            Ask::Recall { generation } => {
                return match self.ledger.past(generation) {
                    Ok(Some((generation, state))) => Say::Was { generation, state },
                    Ok(None) => no(format!("generation {generation} is not kept here any more")),
                    Err(why) => no(why),
                };
            }
            Ask::History { most } => {
                return match self.ledger.records(most) {
                    Ok(records) => Say::Records { records },
                    Err(why) => no(why),
                };
            }
            Ask::Note { record } => {
                let record = Record { at: seconds(), ..record };
                self.enforcer.log(&record);
                return self.ledger.note(&record).map_or_else(no, |()| Say::Noted);
            }
            ref other => self.record(other),
        };
        let enforcer = &self.enforcer;
        match self.participant.take(ask, |state| enforcer.check(state)) {
            Step::Say(Say::Status { ingress, generation, state, promise, .. }) => {
                let figures = self.enforcer.figures();
                Say::Status { ingress, generation, state, promise, figures }
            }
            Step::Say(say) => {
                if let (Say::No { why }, Some(record)) = (&say, record) {
                    let record = Record { what: "refused".into(), why: why.clone(), ..record };
                    self.enforcer.log(&record);
                    let _ = self.ledger.note(&record);
                }
                say
            }
            Step::Write { memory, then, switch } => {
                let what = match &then {
                    Say::Yes => "promised",
                    Say::Stands { stand: Stand::Made, .. } => "made",
                    Say::Stands { stand: Stand::Dropped, .. } => "given up",
                    _ => "fenced",
                };
                let record = record.map(|r| Record { what: what.into(), ..r });
                self.faults.pass(point, "unwritten");
                if let Err(why) = self.ledger.keep(&memory, switch, record.as_ref()) {
                    // Nothing has happened, and all goes on as before.
                    return Say::Unable { why: format!("{} can't keep it: {why}", self.name) };
                }
                self.faults.pass(point, "written");
                self.participant.written(*memory);
                if switch {
                    if let Err(why) = self.enforcer.switch(&self.participant.memory().state) {
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
    fn record(&self, ask: &Ask) -> Option<Record> {
        let promised = self.participant.memory().promise.as_ref().map(|p| &p.0);
        let (change, promise) = match ask {
            Ask::Prepare { promise, .. } => (&promise.change, Some(promise)),
            Ask::Decide { change, .. } | Ask::Fence { change, .. } => {
                (change, promised.filter(|p| p.change == *change))
            }
            _ => return None,
        };
        let (author, generation) = promise.map_or((String::new(), 0), |p| (p.author.clone(), p.next.number));
        Some(Record { at: seconds(), change: change.clone(), author, generation, ..Record::default() })
    }
}
