//! The operators' address: one line to a connection, one answer, and the end of it. Callers have descriptors of their own, few
//! of them: whoever has not said its line makes room for the next one, and nobody is waited for.

use mio::net::{TcpListener, TcpStream};
use mio::{Interest, Registry, Token};
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr};
use wrenfork_decision::Micros;

/// Callers at once, and so the descriptors that are kept for them besides the listener's.
pub const MOST_CALLERS: usize = 16;
/// The most bytes of a line.
const MOST_LINE: usize = 256;
/// How long a caller may take from its connecting to the end of its call.
const PATIENCE: Micros = 5_000_000;
/// Reads from a caller in a turn behind its line.
const READS_A_TURN: usize = 8;
/// Connections accepted in a turn.
const ACCEPTS_A_TURN: usize = 32;

/// What a caller wants to know.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ask {
    /// Whether a request that came now would be served.
    Ready,
    /// The figures.
    Telemetry,
}

/// A call that is to be answered.
pub struct Asked {
    key: usize,
    serial: u64,
    pub ask: Ask,
}

struct Caller {
    stream: TcpStream,
    serial: u64,
    since: Micros,
    line: Vec<u8>,
    /// Its answer, and how much of that is written; empty until it has said its line.
    out: Vec<u8>,
    written: usize,
    /// Its answer is written: what it still says is read and dropped, so that the end is no reset.
    told: bool,
}

/// What a line asks for, or why it is no call.
fn read(line: &[u8]) -> Result<Ask, String> {
    match line.trim_ascii() {
        b"readyz" => Ok(Ask::Ready),
        b"telemetry" => Ok(Ask::Telemetry),
        b"" => Err("no call: readyz or telemetry is wanted".into()),
        other => {
            let shown: String = String::from_utf8_lossy(other).chars().take(32).collect();
            Err(format!(
                "unknown call {shown:?}: readyz or telemetry is wanted"
            ))
        }
    }
}

/// The address and those who call.
pub struct Management {
    listener: TcpListener,
    callers: [Option<Caller>; MOST_CALLERS],
    serial: u64,
    tokens: fn(usize) -> Token,
    /// Calls that are whole, to be answered.
    pub asked: Vec<Asked>,
}

impl Management {
    /// Binds the address; `tokens` names the callers to the poll.
    ///
    /// # Errors
    ///
    /// Where it can't be had.
    pub fn bind(
        at: SocketAddr,
        registry: &Registry,
        token: Token,
        tokens: fn(usize) -> Token,
    ) -> Result<Management, String> {
        let bound = TcpListener::bind(at).and_then(|mut listener| {
            registry.register(&mut listener, token, Interest::READABLE)?;
            Ok(listener)
        });
        let listener = bound.map_err(|e| format!("management: cannot listen at {at}: {e}"))?;
        Ok(Management {
            listener,
            callers: Default::default(),
            serial: 0,
            tokens,
            asked: Vec::new(),
        })
    }

    /// Accepts who waits; true if there may be more.
    pub fn accept(&mut self, registry: &Registry, now: Micros) -> bool {
        for _ in 0..ACCEPTS_A_TURN {
            match self.listener.accept() {
                Ok((stream, _)) => self.add(stream, registry, now),
                Err(e) if e.kind() == ErrorKind::WouldBlock => return false,
                Err(e)
                    if matches!(
                        e.kind(),
                        ErrorKind::ConnectionAborted | ErrorKind::Interrupted
                    ) => {}
                // No descriptor in spite of the reserve: whoever waits is looked at again in the next turn.
                Err(_) => {
                    self.close_oldest();
                    return true;
                }
            }
        }
        true
    }

    fn close_oldest(&mut self) -> Option<usize> {
        // First those whose call is over, then those that have not said it; all those there are, if need be.
        let called = |c: &Caller| !c.out.is_empty() && !c.told;
        let all = self
            .callers
            .iter()
            .enumerate()
            .filter_map(|(key, c)| Some((key, c.as_ref()?)));
        let oldest = all
            .min_by_key(|(_, c)| (called(c), !c.told, c.since, c.serial))
            .map(|(key, _)| key);
        oldest.into_iter().for_each(|key| self.callers[key] = None);
        oldest
    }

    fn add(&mut self, mut stream: TcpStream, registry: &Registry, now: Micros) {
        let free = self.callers.iter().position(Option::is_none);
        let Some(key) = free.or_else(|| self.close_oldest()) else {
            return;
        };
        let interests = Interest::READABLE | Interest::WRITABLE;
        if registry
            .register(&mut stream, (self.tokens)(key), interests)
            .is_err()
        {
            return;
        }
        self.serial += 1;
        let (serial, line, out) = (self.serial, Vec::new(), Vec::new());
        self.callers[key] = Some(Caller {
            stream,
            serial,
            since: now,
            line,
            out,
            written: 0,
            told: false,
        });
        // What it said with its connecting is heard at once: however many come behind it, it has its answer.
        self.ready(key);
    }

    /// Does what a caller is ready for.
    pub fn ready(&mut self, key: usize) {
        let Some(c) = self.callers.get_mut(key).and_then(Option::as_mut) else {
            return;
        };
        let mut chunk = [0; MOST_LINE];
        let mut left = READS_A_TURN;
        let gone = loop {
            if left == 0 {
                break false; // whatever it still says, it has its answer
            }
            match c.stream.read(&mut chunk) {
                // The end of its sending is the end of its line, if it has begun one.
                Ok(0) if c.out.is_empty() && !c.line.is_empty() => {
                    match read(&std::mem::take(&mut c.line)) {
                        Ok(ask) => {
                            self.asked.push(Asked {
                                key,
                                serial: c.serial,
                                ask,
                            });
                            break false;
                        }
                        Err(why) => c.out = format!("-ERR {why}\r\n").into_bytes(),
                    }
                }
                Ok(0) => break c.out.is_empty() || c.told,
                Ok(_) if !c.out.is_empty() => left -= 1,
                Ok(n) => {
                    c.line.extend_from_slice(&chunk[..n]);
                    let end = c.line.iter().position(|b| *b == b'\n');
                    match end {
                        Some(end) if end <= MOST_LINE => match read(&c.line[..end]) {
                            Ok(ask) => {
                                self.asked.push(Asked {
                                    key,
                                    serial: c.serial,
                                    ask,
                                });
                                break false;
                            }
                            Err(why) => c.out = format!("-ERR {why}\r\n").into_bytes(),
                        },
                        None if c.line.len() <= MOST_LINE => continue,
                        _ => {
                            c.out = format!("-ERR a line has {MOST_LINE} bytes at most\r\n")
                                .into_bytes()
                        }
                    }
                    c.line = Vec::new();
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => break false,
                Err(_) => break true,
            }
        };
        if gone {
            self.callers[key] = None;
        } else {
            self.write(key);
        }
    }

    /// Answers a call: a line that begins with `+OK` or `-ERR`, and what comes behind it.
    pub fn answer(&mut self, asked: &Asked, text: String) {
        let caller = self.callers.get_mut(asked.key).and_then(Option::as_mut);
        if let Some(c) = caller.filter(|c| c.serial == asked.serial && c.out.is_empty()) {
            c.out = text.into_bytes();
            self.write(asked.key);
            self.ready(asked.key);
        }
    }

    fn write(&mut self, key: usize) {
        let Some(c) = self.callers.get_mut(key).and_then(Option::as_mut) else {
            return;
        };
        while c.written < c.out.len() {
            match c.stream.write(&c.out[c.written..]) {
                Ok(n) => c.written += n,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Err(_) => return self.callers[key] = None,
            }
        }
        if !c.out.is_empty() && !std::mem::replace(&mut c.told, true) {
            let _ = c.stream.shutdown(Shutdown::Write);
        }
    }

    /// Ends the calls that take too long.
    pub fn sweep(&mut self, now: Micros) {
        for caller in &mut self.callers {
            if caller.as_ref().is_some_and(|c| now > c.since + PATIENCE) {
                *caller = None;
            }
        }
    }
}

/// Listens where operators call, if anywhere.
pub fn open(
    at: Option<SocketAddr>,
    registry: &Registry,
    token: Token,
    tokens: fn(usize) -> Token,
) -> Result<Option<Management>, String> {
    let opened = at
        .map(|at| Management::bind(at, registry, token, tokens))
        .transpose()?;
    if let Some(at) = at {
        tracing::info!("management at {at}");
    }
    Ok(opened)
}

#[cfg(test)]
mod tests {
    use super::{read, Ask};

    #[test]
    fn a_line_is_a_call_or_told_why_not() {
        assert_eq!(read(b"readyz\r"), Ok(Ask::Ready));
        assert_eq!(read(b" telemetry "), Ok(Ask::Telemetry));
        for bad in [
            &b""[..],
            b"ready",
            b"READYZ",
            b"\xff\xfe",
            b"telemetry now",
            &[b'x'; 200],
        ] {
            assert!(
                read(bad).is_err_and(|why| why.contains("readyz or telemetry") && why.len() < 400)
            );
        }
    }
}
