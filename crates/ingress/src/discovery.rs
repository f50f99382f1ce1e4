//! Discovery: the list of backends, and the watch that keeps it fresh over HTTP/1.1. While discovery is silent or
//! broken the list stays as it was, and the watch is begun anew with growing pauses.

use crate::backoff::{Backoff, Failure};
use mio::net::TcpStream;
use mio::{Interest, Registry, Token};
use serde_json::Value;
use std::io::{self, Read, Write};
use std::net::SocketAddr;
use wrenfork_decision::{BackendId, Endpoint, EndpointState, Micros};
use wrenfork_happy_eyeballs::Address;

/// How long one call waits for news. Short, since the silence of a call can only be told once this is over.
const WAIT: Micros = 2_000_000;
/// How much longer than that an answer may take until the connection counts as dead, and how long a connection may take to come
/// up. A watch that falls silent is noticed after both, and opened anew after a pause of up to 1.5 s: 4.5 s in the worst case,
/// where a change counts as told after six.
const PATIENCE: Micros = 1_000_000;
/// The pause after an answer with no news that came at once: a watch goes on if called within 200 ms.
const NO_NEWS: Micros = 50_000;
/// An answer that came faster than this did not wait.
const AT_ONCE: Micros = 20_000;
/// The most bytes of an answer's head, and of its body.
const MOST_HEAD: usize = 16 * 1024;
const MOST_BODY: usize = 4 << 20;
/// The most headers of an answer.
const MOST_HEADERS: usize = 64;

/// The names that places and machines have in the settings.
pub struct Sites {
    pub zones: Vec<String>,
    pub kinds: Vec<String>,
}

/// A line of the list, with the addresses that the backend has for this ingress.
pub struct Entry {
    pub listed: Endpoint,
    pub places: Vec<Address>,
    /// What pools go by: its name, hall and model as discovery has them.
    pub named: [String; 3],
}

/// A list as discovery tells it.
pub struct Roster {
    pub index: u64,
    /// The whole list, not only what changed.
    pub whole: bool,
    pub entries: Vec<Entry>,
}

/// A backend's name as an id that is the same at every ingress: peers speak of backends by it (FNV-1a).
fn backend_id(name: &str) -> BackendId {
    BackendId(name.bytes().fold(0xcbf2_9ce4_8422_2325, |h, b| {
        (h ^ u64::from(b)).wrapping_mul(0x100_0000_01b3)
    }))
}

impl Roster {
    /// Reads a list in discovery's form.
    pub fn read(json: &Value, sites: &Sites) -> Result<Roster, String> {
        let index = json
            .get("index")
            .and_then(Value::as_u64)
            .ok_or("index is missing or no whole number")?;
        let whole = json
            .get("snapshot")
            .and_then(Value::as_bool)
            .ok_or("snapshot is missing or no flag")?;
        let list = json
            .get("endpoints")
            .and_then(Value::as_array)
            .ok_or("endpoints is missing or no list")?;
        let entries = list
            .iter()
            .map(|e| Entry::read(e, sites))
            .collect::<Result<_, _>>()?;
        Ok(Roster {
            index,
            whole,
            entries,
        })
    }
}

impl Entry {
    fn read(json: &Value, sites: &Sites) -> Result<Entry, String> {
        let text = |key: &str| json.get(key).and_then(Value::as_str);
        let name = text("name").ok_or("endpoints has an entry without a name")?;
        let bad = |key: &str| format!("endpoints: {key} of {name} is missing or bad");
        let availability = match text("status").ok_or_else(|| bad("status"))? {
            "up" => EndpointState::Ready,
            "removed" => EndpointState::Removed,
            _ => EndpointState::Draining, // a word of the future can hardly mean that it wants work
        };
        let mut places = match text("address").map(str::parse::<Address>) {
            Some(Ok(place)) => vec![place],
            None if availability == EndpointState::Removed => Vec::new(),
            _ => return Err(bad("address")),
        };
        // The others that it has; a form of the future is no reason to do without those that are understood.
        let more = json
            .get("addresses")
            .and_then(Value::as_array)
            .into_iter()
            .flatten();
        places.extend(more.filter_map(|a| a.as_str()?.parse().ok()));
        let place = |list: &[String], key: &str| {
            text(key)
                .and_then(|t| list.iter().position(|n| n == t))
                .unwrap_or(usize::MAX)
        };
        let since = json
            .get("since_ms")
            .map_or(Some(0), Value::as_u64)
            .ok_or_else(|| bad("since_ms"))?;
        let group = json.get("group").and_then(Value::as_u64).unwrap_or(0);
        let listed = Endpoint {
            backend: backend_id(name),
            zone: u8::try_from(place(&sites.zones, "zone")).unwrap_or(u8::MAX),
            cell: u16::try_from(group).map_err(|_| bad("group"))?,
            machine_kind: u16::try_from(place(&sites.kinds, "type")).unwrap_or(u16::MAX),
            state: availability,
            weight: json.get("weight").and_then(Value::as_f64).unwrap_or(1.0),
            // The host's clock counts from the same moment as Unix time: only the unit is another.
            started_at: since.saturating_mul(1000),
            pools: 0,
        };
        let named =
            [name, text("zone").unwrap_or(""), text("type").unwrap_or("")].map(String::from);
        Ok(Entry {
            listed,
            places,
            named,
        })
    }
}

/// What a connection to discovery came to.
enum Answer {
    /// Not whole yet.
    Partial,
    /// A list, and whether the connection can be used again.
    Whole(Roster, bool),
    /// Not to be used.
    Bad(Failure, String),
}

/// The watch.
pub struct Watch {
    address: SocketAddr,
    sites: Sites,
    token: Token,
    stream: Option<TcpStream>,
    /// The version of the list held; none asks for the whole list.
    index: Option<u64>,
    /// What is still to be written of a call, and when it was made; none while no call is out.
    out: Vec<u8>,
    called: Option<Micros>,
    buf: Vec<u8>,
    backoff: Backoff,
    /// When [`Watch::wake`] has something to do.
    pub wake_at: Micros,
    /// Discovery failed, and nothing good has come since.
    broken: bool,
}

impl Watch {
    /// A watch for what is newer than the list held. The seed spreads its calls beside those of others.
    pub fn new(address: SocketAddr, sites: Sites, index: u64, token: Token, seed: u64) -> Self {
        Watch {
            address,
            sites,
            token,
            stream: None,
            index: Some(index),
            out: Vec::new(),
            called: None,
            buf: Vec::new(),
            backoff: Backoff::new(seed),
            wake_at: 0,
            broken: false,
        }
    }

    /// The version of the list that is held; none where the whole list is to come.
    pub fn index(&self) -> Option<u64> {
        self.index
    }

    /// Where it asks.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Goes on at another address: it is asked for its whole list at once, whatever the old one still owed and
    /// however long a failure was to be waited out.
    pub fn move_to(&mut self, address: SocketAddr, now: Micros) {
        (self.stream, self.called, self.index) = (None, None, None);
        self.buf.clear();
        (self.address, self.wake_at) = (address, now);
        self.backoff.reset();
    }

    /// Goes on from another process's list, where that one asked.
    pub fn resume(&mut self, (address, index): (SocketAddr, Option<u64>)) {
        (self.address, self.index) = (address, index);
    }

    /// Asks for the whole list with the next call.
    pub fn fetch_whole(&mut self) {
        self.index = None;
    }

    /// Gives the connection up; the next one comes after a pause. True if all had been well before.
    fn fail(&mut self, now: Micros, failure: Failure, why: &str) -> bool {
        (self.stream, self.called) = (None, None);
        self.buf.clear();
        self.wake_at = now + self.backoff.pause(failure);
        let first = !std::mem::replace(&mut self.broken, true);
        if first {
            tracing::warn!("discovery: {why}; serving on with the list as it is");
        }
        first
    }

    /// Makes the next call, or notices that the last one stays unanswered; true if discovery just failed.
    pub fn wake(&mut self, now: Micros, registry: &Registry) -> bool {
        if now < self.wake_at {
            return false;
        }
        if self.called.is_some() {
            return self.fail(now, Failure::Broken, "no answer in time");
        }
        if self.stream.is_none() {
            let connected = TcpStream::connect(self.address).and_then(|mut stream| {
                registry.register(
                    &mut stream,
                    self.token,
                    Interest::READABLE | Interest::WRITABLE,
                )?;
                Ok(stream)
            });
            match connected {
                Ok(stream) => self.stream = Some(stream),
                Err(e) => return self.fail(now, Failure::Broken, &format!("cannot connect: {e}")),
            }
        }
        let since = self.index.map_or(String::new(), |i| {
            format!("?since={i}&timeout_ms={}", WAIT / 1000)
        });
        self.out = format!(
            "GET /v1/endpoints{since} HTTP/1.1\r\nHost: {}\r\n\r\n",
            self.address
        )
        .into_bytes();
        self.called = Some(now);
        self.wake_at = now + PATIENCE;
        self.write(now)
    }

    fn write(&mut self, now: Micros) -> bool {
        let Some(stream) = &mut self.stream else {
            return false;
        };
        while !self.out.is_empty() {
            match stream.write(&self.out) {
                Ok(n) => {
                    self.out.drain(..n);
                    // A call for the whole list waits for no news, but one that is given up sooner than the service answers is
                    // answered never.
                    self.wake_at = now + PATIENCE + WAIT;
                }
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                // Not connected yet, or no room: the socket will show as writable.
                Err(e)
                    if matches!(
                        e.kind(),
                        io::ErrorKind::WouldBlock | io::ErrorKind::NotConnected
                    ) =>
                {
                    break
                }
                Err(e) => return self.fail(now, Failure::Broken, &format!("cannot ask: {e}")),
            }
        }
        false
    }

    /// Takes in what the socket has. Gives lists as they come; true if discovery just failed.
    pub fn ready(
        &mut self,
        now: Micros,
        registry: &Registry,
        take: &mut impl FnMut(Roster),
    ) -> bool {
        if self.write(now) {
            return true;
        }
        let mut chunk = [0; 16 * 1024];
        // An answer that ends with its connection can only be judged with the end known. A reset is no end, but what came whole
        // before it has been told.
        let mut reset = None;
        let ended = loop {
            let Some(stream) = &mut self.stream else {
                return false;
            };
            match stream.read(&mut chunk) {
                Ok(0) => break true,
                Ok(n) => self.buf.extend_from_slice(&chunk[..n]),
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e)
                    if matches!(
                        e.kind(),
                        io::ErrorKind::WouldBlock | io::ErrorKind::NotConnected
                    ) =>
                {
                    break false
                }
                Err(e) => {
                    reset = Some(e.to_string());
                    break false;
                }
            }
            if self.buf.len() > MOST_HEAD + MOST_BODY {
                return self.fail(now, Failure::Broken, "an answer is too long");
            }
        };
        let Some(called) = self.called else {
            // Between two calls nothing is due but the end of the connection; the next call has one of its own.
            self.stream = None;
            self.buf.clear();
            return false;
        };
        match read_answer(&self.buf, ended, &self.sites) {
            Answer::Partial if ended => self.fail(now, Failure::Broken, "the connection ended"),
            Answer::Partial => reset.is_some_and(|why| self.fail(now, Failure::Broken, &why)),
            Answer::Bad(failure, why) => self.fail(now, failure, &why),
            Answer::Whole(roster, reusable) => {
                if std::mem::take(&mut self.broken) {
                    tracing::info!("discovery: back");
                }
                (self.index, self.called) = (Some(roster.index), None);
                self.backoff.reset();
                self.buf.clear();
                if ended || reset.is_some() || !reusable {
                    self.stream = None;
                }
                // One that answers at once with nothing must not be asked without end.
                let idle = roster.entries.is_empty() && now < called + AT_ONCE;
                self.wake_at = if idle { now + NO_NEWS } else { now };
                take(roster);
                self.wake(now, registry)
            }
        }
    }
}

/// The body of an answer, and whether the connection goes on; none if it is not whole.
type Body = Option<(Vec<u8>, bool)>;

fn body(buf: &[u8], ended: bool) -> Result<Body, (Failure, String)> {
    let broken = |why: String| (Failure::Broken, why);
    let mut headers = [httparse::EMPTY_HEADER; MOST_HEADERS];
    let mut head = httparse::Response::new(&mut headers);
    let start = match head
        .parse(buf)
        .map_err(|e| broken(format!("an answer is no HTTP: {e}")))?
    {
        httparse::Status::Complete(start) => start,
        httparse::Status::Partial if buf.len() > MOST_HEAD => {
            return Err(broken("an answer's head is too long".into()))
        }
        httparse::Status::Partial => return Ok(None),
    };
    if head.code != Some(200) {
        return Err((
            Failure::TurnedAway,
            format!("it answers with status {}", head.code.unwrap_or(0)),
        ));
    }
    let header = |name: &str| {
        let found = head
            .headers
            .iter()
            .find(|h| h.name.eq_ignore_ascii_case(name));
        found.map(|h| String::from_utf8_lossy(h.value).trim().to_ascii_lowercase())
    };
    let goes_on = head.version == Some(1) && header("connection").is_none_or(|c| c != "close");
    let rest = &buf[start..];
    if header("transfer-encoding").is_some_and(|t| t.contains("chunked")) {
        return Ok(chunks(rest).map_err(broken)?.map(|body| (body, goes_on)));
    }
    match header("content-length") {
        Some(text) => {
            let n = text.parse::<usize>().ok().filter(|n| *n <= MOST_BODY);
            let n = n.ok_or_else(|| broken(format!("an answer's length is {text}")))?;
            Ok(rest
                .get(..n)
                .map(|body| (body.to_vec(), goes_on && rest.len() == n)))
        }
        None => Ok(ended.then(|| (rest.to_vec(), false))),
    }
}

/// A body in chunks; none if it is not whole.
fn chunks(mut rest: &[u8]) -> Result<Option<Vec<u8>>, String> {
    let mut body = Vec::new();
    loop {
        let (start, size) = match httparse::parse_chunk_size(rest) {
            Ok(httparse::Status::Complete((start, size))) => (start, size),
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(_) => return Err("an answer's chunk is no chunk".into()),
        };
        let size = usize::try_from(size)
            .ok()
            .filter(|n| *n <= MOST_BODY)
            .ok_or("an answer is too long")?;
        let Some(chunk) = rest.get(start..start + size + 2) else {
            return Ok(None);
        };
        if size == 0 {
            return Ok(Some(body));
        }
        body.extend_from_slice(&chunk[..size]);
        rest = &rest[start + size + 2..];
    }
}

fn read_answer(buf: &[u8], ended: bool, sites: &Sites) -> Answer {
    let (body, goes_on) = match body(buf, ended) {
        Ok(None) => return Answer::Partial,
        Ok(Some(found)) => found,
        Err((failure, why)) => return Answer::Bad(failure, why),
    };
    let json = serde_json::from_slice(&body).map_err(|e| format!("an answer is no JSON: {e}"));
    match json.and_then(|json: Value| Roster::read(&json, sites)) {
        Ok(roster) => Answer::Whole(roster, goes_on),
        Err(why) => Answer::Bad(Failure::Broken, why),
    }
}

#[cfg(test)]
mod tests;
