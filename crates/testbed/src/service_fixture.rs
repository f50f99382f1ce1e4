//! Test fixtures for one ingress process: clients, backends and discovery on loopback sockets. Each test uses its own
//! loopback address, so that parallel tests don't compete for ports.
#![allow(missing_docs)]

use crate::rig::address;
use socket2::{Domain, Socket, Type};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Upper limit on waiting for an expected event.
pub const WAIT_LIMIT: Duration = Duration::from_secs(20);

/// Polls `ready` until it returns true; panics with `condition` after [`WAIT_LIMIT`].
pub fn until(condition: &str, mut ready: impl FnMut() -> bool) {
    let start = Instant::now();
    while !ready() {
        assert!(
            start.elapsed() < WAIT_LIMIT,
            "timed out after {WAIT_LIMIT:?} waiting for: {condition}"
        );
        thread::sleep(Duration::from_millis(5));
    }
}

/// A free port on a loopback address that only this test uses.
pub fn free_address() -> SocketAddr {
    address::free(address::own()).unwrap()
}

// ---- RESP2 encoding and decoding for the stand-ins ----

/// Encodes a command as a RESP2 array of bulk strings.
pub fn command(parts: &[&str]) -> Vec<u8> {
    let mut out = format!("*{}\r\n", parts.len());
    parts
        .iter()
        .for_each(|p| out += &format!("${}\r\n{p}\r\n", p.len()));
    out.into_bytes()
}

/// Reads one RESP2 value and flattens it to its strings; `None` if the connection ends first.
pub fn read_value(stream: &mut impl Read) -> Option<Vec<String>> {
    let mut line = Vec::new();
    while !line.ends_with(b"\r\n") {
        let mut byte = [0];
        stream.read_exact(&mut byte).ok()?;
        line.push(byte[0]);
    }
    let text = String::from_utf8_lossy(&line[..line.len() - 2]).into_owned();
    match (&text[..1], text[1..].parse::<i64>()) {
        ("*", Ok(n)) => (0..n)
            .map(|_| read_value(stream))
            .collect::<Option<Vec<_>>>()
            .map(|v| v.concat()),
        ("$", Ok(n)) if n >= 0 => {
            let mut body = vec![0; n as usize + 2];
            stream.read_exact(&mut body).ok()?;
            Some(vec![
                String::from_utf8_lossy(&body[..n as usize]).into_owned()
            ])
        }
        _ => Some(vec![text]),
    }
}

/// A client connection to the ingress, with [`WAIT_LIMIT`] as its read timeout.
pub struct Client(pub TcpStream);

impl Client {
    pub fn connect(to: SocketAddr) -> Client {
        let stream = TcpStream::connect(to).unwrap();
        stream.set_read_timeout(Some(WAIT_LIMIT)).unwrap();
        stream.set_nodelay(true).unwrap();
        Client(stream)
    }

    pub fn send(&mut self, bytes: &[u8]) {
        self.0.write_all(bytes).unwrap();
    }

    /// Reads the next answer as text; empty if the connection ended.
    pub fn answer(&mut self) -> String {
        read_value(&mut self.0).map_or(String::new(), |v| v.concat())
    }

    pub fn ask(&mut self, bytes: &[u8]) -> String {
        self.send(bytes);
        self.answer()
    }

    /// Whether the peer ends the connection without sending anything first.
    pub fn ended(&mut self) -> bool {
        match self.0.read(&mut [0; 64]) {
            Ok(n) => n == 0,
            Err(e) => matches!(e.kind(), ErrorKind::ConnectionReset | ErrorKind::BrokenPipe),
        }
    }
}

/// Encodes a request for a customer number that no earlier call in this process used.
pub fn call(class: &str, id: &str, wait_ms: u32) -> Vec<u8> {
    static NEXT: AtomicUsize = AtomicUsize::new(1);
    call_of(NEXT.fetch_add(1, Ordering::Relaxed), class, id, wait_ms)
}

/// Encodes a request of a given customer; the class decides between `CALL.GET` and `CALL.POST`.
pub fn call_of(customer: usize, class: &str, id: &str, wait_ms: u32) -> Vec<u8> {
    let customer = format!("{customer:016x}");
    let options =
        |key: &str| format!("c={class},t=starter,d={wait_ms}{key},units=1,spread=1,first=0");
    match class {
        "quote" => command(&["CALL.GET", &customer, id, &options("")]),
        "save" => command(&["CALL.POST", &customer, id, &options(",k=00ff"), "BODY"]),
        _ => command(&["CALL.POST", &customer, id, &options(""), "BODY"]),
    }
}

// ---- Backends ----

/// How a backend responds to a command.
pub enum Act {
    /// Sends the answer at once.
    Say(Vec<u8>),
    /// Sends the answer after a pause.
    Later(Duration, Vec<u8>),
    /// Sends this many bytes, pauses, then sends the rest.
    Parts(usize, Duration, Vec<u8>),
    /// Sends the answer in pieces of this many bytes, with a pause after each.
    Pieces(usize, Duration, Vec<u8>),
    /// Sends this many bytes, and the rest once the flag is set.
    Until(usize, Arc<AtomicBool>, Vec<u8>),
    /// Sends nothing and keeps the connection open.
    Silent,
    /// Closes the connection.
    Close,
}

/// The answer of a healthy backend: the request id as the value.
pub fn serve(args: &[String]) -> Act {
    Act::Say(served(args))
}

pub fn served(args: &[String]) -> Vec<u8> {
    let value = format!("value of {}", args[2]);
    format!(
        "*3\r\n${}\r\n{value}\r\n$-1\r\n$9\r\nutil=0.25\r\n",
        value.len()
    )
    .into_bytes()
}

#[derive(Default)]
pub struct Seen {
    pub commands: Mutex<Vec<Vec<String>>>,
    pub opened: AtomicUsize,
    pub ended: AtomicUsize,
    /// Closes all idle connections.
    pub hang_up: AtomicBool,
    /// Closes a connection when a request arrives after it was idle for this many milliseconds; 0 means never.
    pub stale_ms: AtomicU64,
}

pub struct Backend {
    pub at: SocketAddr,
    pub seen: Arc<Seen>,
}

impl Backend {
    pub fn start(act: impl Fn(&[String]) -> Act + Send + Sync + 'static) -> Backend {
        Backend::on(TcpListener::bind("127.0.0.1:0").unwrap(), act)
    }

    /// Serves all connections to a listener.
    pub fn on(
        listener: TcpListener,
        act: impl Fn(&[String]) -> Act + Send + Sync + 'static,
    ) -> Backend {
        let (at, seen, act) = (
            listener.local_addr().unwrap(),
            Arc::new(Seen::default()),
            Arc::new(act),
        );
        let shared = seen.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (seen, act) = (shared.clone(), act.clone());
                seen.opened.fetch_add(1, Ordering::SeqCst);
                thread::spawn(move || {
                    Self::serve_connection(stream, &seen, &*act);
                    seen.ended.fetch_add(1, Ordering::SeqCst);
                });
            }
        });
        Backend { at, seen }
    }

    fn serve_connection(mut stream: TcpStream, seen: &Seen, act: &dyn Fn(&[String]) -> Act) {
        let _ = stream.set_nodelay(true);
        let mut answered: Option<Instant> = None;
        while Self::wait_for_request(&stream, seen) {
            let stale = Duration::from_millis(seen.stale_ms.load(Ordering::SeqCst));
            if !stale.is_zero() && answered.is_some_and(|at| at.elapsed() > stale) {
                return;
            }
            let Some(args) = read_value(&mut stream) else {
                return;
            };
            seen.commands.lock().unwrap().push(args.clone());
            if Self::perform(&mut stream, act(&args)).is_err() {
                return;
            }
            answered = Some(Instant::now());
        }
    }

    /// Waits until part of a request has arrived; returns false if the connection has ended or is to be closed.
    fn wait_for_request(stream: &TcpStream, seen: &Seen) -> bool {
        stream
            .set_read_timeout(Some(Duration::from_millis(10)))
            .unwrap();
        loop {
            match stream.peek(&mut [0]) {
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                    if seen.hang_up.load(Ordering::SeqCst) {
                        return false;
                    }
                }
                Ok(n) if n > 0 => break,
                _ => return false,
            }
        }
        stream.set_read_timeout(None).unwrap();
        true
    }

    /// Sends what a backend does with a request. The connection is to be closed after an error.
    fn perform(stream: &mut TcpStream, act: Act) -> io::Result<()> {
        match act {
            Act::Say(bytes) => stream.write_all(&bytes),
            Act::Later(pause, bytes) => {
                thread::sleep(pause);
                stream.write_all(&bytes)
            }
            Act::Parts(at, pause, bytes) => {
                stream.write_all(&bytes[..at])?;
                thread::sleep(pause);
                stream.write_all(&bytes[at..])
            }
            Act::Pieces(length, pause, bytes) => bytes.chunks(length).try_for_each(|piece| {
                stream.write_all(piece)?;
                thread::sleep(pause);
                Ok(())
            }),
            Act::Until(at, release, bytes) => {
                stream.write_all(&bytes[..at])?;
                until("permission to send the rest of the answer", || {
                    release.load(Ordering::SeqCst)
                });
                stream.write_all(&bytes[at..])
            }
            Act::Silent => Ok(()),
            Act::Close => Err(ErrorKind::ConnectionAborted.into()),
        }
    }

    pub fn count(&self) -> usize {
        self.seen.commands.lock().unwrap().len()
    }

    pub fn entry(&self, name: &str, status: &str) -> String {
        entry(name, self.at, status)
    }
}

/// JSON of an endpoint list entry in zone `hall-a`.
pub fn entry(name: &str, at: SocketAddr, status: &str) -> String {
    format!(
        r#"{{"name":"{name}","address":"{at}","zone":"hall-a","type":"std-3c","group":1,"status":"{status}","weight":1.0,"since_ms":0}}"#
    )
}

/// JSON of an endpoint list: a snapshot, or the changes up to `index`.
pub fn list(index: u64, snapshot: bool, entries: &[String]) -> String {
    format!(
        r#"{{"index":{index},"snapshot":{snapshot},"endpoints":[{}]}}"#,
        entries.join(",")
    )
}

/// TCP connection states as `/proc/net/tcp` numbers them.
pub const SYN_SENT: &str = "02";
pub const FIN_WAIT_1: &str = "04";

/// Whether a TCP connection from `from` (any address if `None`) to `to` is in the given state.
pub fn connection_in_state(state: &str, from: Option<SocketAddr>, to: SocketAddr) -> bool {
    let hex = |at: SocketAddr| {
        let SocketAddr::V4(at) = at else {
            panic!("{at} is not an IPv4 address")
        };
        format!(
            "{:08X}:{:04X}",
            u32::from_le_bytes(at.ip().octets()),
            at.port()
        )
    };
    let (from, to) = (from.map(hex), hex(to));
    std::fs::read_to_string("/proc/net/tcp")
        .unwrap()
        .lines()
        .any(|line| {
            let fields: Vec<&str> = line.split_whitespace().collect();
            let [_, local, remote, current, ..] = fields[..] else {
                return false;
            };
            from.as_ref().is_none_or(|from| from == local) && remote == to && current == state
        })
}

/// A listener with a full accept queue: new connections stay unestablished until [`Jammed::clear`]. The kernel drops
/// their SYN packets, and the connecting side retransmits a second later.
pub struct Jammed {
    pub at: SocketAddr,
    listener: TcpListener,
    queued: Vec<Socket>,
}

impl Jammed {
    pub fn start() -> Jammed {
        let socket = || Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        let listener = socket();
        listener.bind(&free_address().into()).unwrap();
        listener.listen(0).unwrap();
        let at = listener.local_addr().unwrap();
        let mut queued = Vec::new();
        loop {
            let candidate = socket();
            candidate.set_nonblocking(true).unwrap();
            let _ = candidate.connect(&at);
            let start = Instant::now();
            while candidate.peer_addr().is_err() && start.elapsed() < Duration::from_millis(50) {
                thread::sleep(Duration::from_millis(1));
            }
            if candidate.peer_addr().is_err() {
                break; // the accept queue is full
            }
            queued.push(candidate);
        }
        Jammed {
            at: at.as_socket().unwrap(),
            listener: listener.into(),
            queued,
        }
    }

    pub fn entry(&self, name: &str, status: &str) -> String {
        entry(name, self.at, status)
    }

    /// Empties the accept queue; connections are established from now on.
    pub fn clear(self) -> TcpListener {
        self.queued.into_iter().for_each(|client| {
            drop(client);
            drop(self.listener.accept().unwrap());
        });
        self.listener
    }

    /// Whether a connection attempt is in progress.
    pub fn tried(&self) -> bool {
        connection_in_state(SYN_SENT, None, self.at)
    }
}

// ---- Discovery ----

#[derive(Default)]
struct Changes {
    /// Entries in the order of their changes; the index of an entry is its position plus 2.
    entries: Vec<String>,
    /// The `since` index of the latest call.
    since: u64,
}

/// A discovery stand-in that answers watch calls from a list starting at index 1, and can fail on request.
pub struct Discovery {
    pub at: SocketAddr,
    changes: Arc<Mutex<Changes>>,
    silent: Arc<AtomicBool>,
    /// Closes open and new connections.
    down: Arc<AtomicBool>,
    /// Answers every call with 503 at once.
    overbooked: Arc<AtomicBool>,
    /// Connections numbered below this stay open but get no more answers.
    muted: Arc<AtomicUsize>,
    opened: Arc<AtomicUsize>,
    pub calls: Arc<AtomicUsize>,
}

impl Discovery {
    pub fn start() -> Discovery {
        Discovery::on(TcpListener::bind("127.0.0.1:0").unwrap())
    }

    /// Serves all connections to a listener.
    pub fn on(listener: TcpListener) -> Discovery {
        let d = Discovery {
            at: listener.local_addr().unwrap(),
            changes: Arc::default(),
            silent: Arc::default(),
            down: Arc::default(),
            overbooked: Arc::default(),
            muted: Arc::default(),
            opened: Arc::default(),
            calls: Arc::default(),
        };
        let (changes, silent, down, calls) = (
            d.changes.clone(),
            d.silent.clone(),
            d.down.clone(),
            d.calls.clone(),
        );
        let (overbooked, muted, opened) = (d.overbooked.clone(), d.muted.clone(), d.opened.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (changes, silent, down, calls) =
                    (changes.clone(), silent.clone(), down.clone(), calls.clone());
                let (overbooked, muted) = (overbooked.clone(), muted.clone());
                let number = opened.fetch_add(1, Ordering::SeqCst);
                thread::spawn(move || {
                    let mute = || number < muted.load(Ordering::SeqCst);
                    Self::serve_connection(
                        stream,
                        &changes,
                        [&silent, &down, &overbooked],
                        &mute,
                        &calls,
                    );
                });
            }
        });
        d
    }

    fn serve_connection(
        mut stream: TcpStream,
        changes: &Mutex<Changes>,
        [silent, down, overbooked]: [&AtomicBool; 3],
        mute: &dyn Fn() -> bool,
        calls: &AtomicUsize,
    ) {
        let mut head = Vec::new();
        loop {
            let mut chunk = [0; 1024];
            while !head.ends_with(b"\r\n\r\n") {
                match stream.read(&mut chunk) {
                    Ok(n) if n > 0 && !down.load(Ordering::SeqCst) => {
                        head.extend_from_slice(&chunk[..n])
                    }
                    _ => return,
                }
            }
            let text = String::from_utf8(std::mem::take(&mut head)).unwrap();
            let number = |name: &str| {
                let rest = text.split(name).nth(1).unwrap_or("0");
                rest.chars()
                    .take_while(char::is_ascii_digit)
                    .collect::<String>()
                    .parse::<u64>()
                    .unwrap()
            };
            let whole = text.starts_with("GET /v1/endpoints ");
            assert!(
                whole || text.starts_with("GET /v1/endpoints?since="),
                "{text}"
            );
            let (since, end) = (
                number("since="),
                Instant::now() + Duration::from_millis(number("timeout_ms=")),
            );
            calls.fetch_add(1, Ordering::SeqCst);
            changes.lock().unwrap().since = since;
            if overbooked.load(Ordering::SeqCst) {
                let answer = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
                if stream.write_all(answer).is_err() {
                    return;
                }
                continue;
            }
            let body = loop {
                if down.load(Ordering::SeqCst) {
                    return;
                }
                let changes = changes.lock().unwrap();
                let newest = changes.entries.len() as u64 + 1;
                if !silent.load(Ordering::SeqCst) && !mute() {
                    if whole {
                        break list(newest, true, &changes.entries);
                    } else if newest > since {
                        break list(newest, false, &changes.entries[since as usize - 1..]);
                    } else if Instant::now() > end {
                        break list(since, false, &[]);
                    }
                }
                drop(changes);
                thread::sleep(Duration::from_millis(5));
            };
            let answer = format!(
                "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Changes an entry and waits until the ingress has received the change and asks for later ones.
    pub fn tell(&self, entry: String) {
        let index = self.change(entry);
        until("the ingress to ask for changes after this one", || {
            self.heard(index)
        });
    }

    /// Changes an entry without waiting for the ingress; returns the new index.
    pub fn change(&self, entry: String) -> u64 {
        let mut changes = self.changes.lock().unwrap();
        changes.entries.push(entry);
        changes.entries.len() as u64 + 1
    }

    /// Stops answering on connections that are open now, without closing them; new connections are served.
    pub fn mute(&self) {
        self.muted
            .store(self.opened.load(Ordering::SeqCst), Ordering::SeqCst);
    }

    /// Whether the latest call of the ingress asked for changes after `index`.
    pub fn heard(&self, index: u64) -> bool {
        self.changes.lock().unwrap().since == index
    }

    pub fn silence(&self, on: bool) {
        self.silent.store(on, Ordering::SeqCst);
    }

    pub fn down(&self, on: bool) {
        self.down.store(on, Ordering::SeqCst);
    }

    pub fn overbooked(&self, on: bool) {
        self.overbooked.store(on, Ordering::SeqCst);
    }
}

// ---- The ingress ----

/// Settings of a small site; tests replace parts of the text (`PEERS` must be replaced).
pub const SETTINGS: &str = r#"{
 "n_instances":1,"slot_no":0,"zone":0,"tick_us":4000,"zones":["hall-a","hall-b"],"skus":["std-3c","small-2c"],
 "grades":[
  {"name":"quote","effect":"repeatable","group":"all","window_us":5000000,"objective_us":400000,
   "give_up_us":1000000,"worth":2.0,"late_worth":0.0,"stream":false},
  {"name":"save","effect":"by_key","group":"cell","window_us":3000000,"objective_us":1200000,
   "give_up_us":3000000,"worth":2.0,"late_worth":0.2,"stream":false},
  {"name":"refer","effect":"once","group":"all","window_us":5000000,"objective_us":2000000,
   "give_up_us":8000000,"worth":3.0,"late_worth":0.0,"stream":false}],
 "contracts":[
  {"name":"starter","quota_rate":1.5,"burst":7.0,"max_out":0,"never_over_rate":0.0,"ceiling_burst":0.0,
   "ceiling_slack":0.0,"worth_factor":1.0,"over_worth":0.0,"beyond_costs":1.0}],
 "limits":{"most_tries":3,"second_copies":true,"cancelling":true,"may_probe":true,"peers":PEERS,
  "retry_after":true,"max_retry_after_us":2000000,"max_open":20000,"connect_timeout_us":250000,
  "keepalive_us":15000000},
 "family_info":{"peer_in_per_s":40.0,"has_counter":false,"meter_period_us":0,"post_paid":false},
 "rules":{"answer_slack_us":16000,"drain_grace_us":1000000,"cold_from":0.28,"cold_us":16000000,
  "overload_factor":4.0,"fall_us":1000000,"must_ask_in_us":10000000},
 "membership_mode":"push","weights":"nominal","reporting":{"how":"answers","fields":["load_share"]}}"#;

pub struct Setup {
    /// Path of the ingress program.
    pub program: String,
    pub known: Vec<String>,
    pub discovery: Option<SocketAddr>,
    pub sockets: usize,
    pub memory_mb: usize,
    /// File descriptor limit set by `ulimit -n`; `None` leaves the inherited limit.
    pub ulimit: Option<usize>,
    pub settings: String,
    /// Additional configuration keys, as JSON text inserted before `known`.
    pub more: String,
}

impl Setup {
    /// A setup for `program` whose known endpoints are `backends`, without discovery.
    pub fn of(program: &str, backends: &[&Backend]) -> Setup {
        let known = backends
            .iter()
            .enumerate()
            .map(|(n, b)| b.entry(&format!("s-{n}"), "up"))
            .collect();
        let settings = SETTINGS.replace("PEERS", "false");
        Setup {
            program: program.to_string(),
            known,
            discovery: None,
            sockets: 1024,
            memory_mb: 192,
            ulimit: None,
            settings,
            more: String::new(),
        }
    }

    pub fn config(&self, at: SocketAddr) -> String {
        let discovery = self
            .discovery
            .unwrap_or_else(|| "127.0.0.1:1".parse().unwrap());
        format!(
            r#"{{"name":"n0","listen":"{at}","discovery":"{discovery}","seed":"8c1f30d27a5be964",
 "limits":{{"cores":1.0,"memory_mb":{},"sockets":{}}},{}
 "known":{},"settings":{}}}"#,
            self.memory_mb,
            self.sockets,
            self.more,
            list(1, true, &self.known),
            self.settings
        )
    }

    pub fn start(&self) -> Ingress {
        let limit = self
            .ulimit
            .map_or(String::new(), |n| format!("ulimit -n {n}; "));
        self.start_with(&format!("{limit}exec '{}'", self.program))
    }

    /// Starts an ingress with a shell command and waits until it answers PING.
    pub fn start_with(&self, program: &str) -> Ingress {
        let at = free_address();
        let ingress = Ingress::run(&self.config(at), at, program);
        until("the ingress to answer PING", || {
            TcpStream::connect(at)
                .is_ok_and(|stream| Client(stream).ask(&command(&["PING"])) == "+PONG")
        });
        ingress
    }
}

pub struct Ingress {
    pub at: SocketAddr,
    pub child: Child,
    file: PathBuf,
}

impl Ingress {
    pub fn run(config: &str, at: SocketAddr, program: &str) -> Ingress {
        let file = std::env::temp_dir().join(format!("wrenfork-{}-{at}.json", std::process::id()));
        std::fs::write(&file, config).unwrap();
        let mut command = Command::new("/bin/sh");
        command.args(["-c", program]).env("LB_CONFIG", &file);
        for name in ["LB_NAME", "LB_LISTEN", "LB_DISCOVERY"] {
            command.env_remove(name);
        }
        let child = command
            .stdin(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        Ingress { at, child, file }
    }

    pub fn client(&self) -> Client {
        Client::connect(self.at)
    }

    /// Replaces the configuration file atomically.
    pub fn configure(&self, config: &str) {
        let new = self.file.with_extension("new");
        std::fs::write(&new, config).unwrap();
        std::fs::rename(&new, &self.file).unwrap();
    }

    pub fn signal(&self, name: &str) {
        signal(self.child.id(), name);
    }

    pub fn exit(&mut self) -> ExitStatus {
        let mut status = None;
        until("the ingress process to exit", || {
            status = self.child.try_wait().unwrap();
            status.is_some()
        });
        status.unwrap()
    }

    /// Standard error of the process; blocks until the process has exited.
    pub fn log(&mut self) -> String {
        let mut text = String::new();
        self.child
            .stderr
            .take()
            .unwrap()
            .read_to_string(&mut text)
            .unwrap();
        text
    }

    /// CPU time used so far (user and system), in hundredths of a second.
    pub fn cpu(&self) -> u64 {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).unwrap();
        let fields: Vec<&str> = stat
            .rsplit(')')
            .next()
            .unwrap()
            .split_whitespace()
            .collect();
        fields[11].parse::<u64>().unwrap() + fields[12].parse::<u64>().unwrap()
    }
}

impl Drop for Ingress {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.file);
    }
}

/// Queries to the management address of an ingress.
pub mod operators {
    use super::{Read, SocketAddr, TcpStream, Write, WAIT_LIMIT};

    /// Sends a line and reads the answer until the connection ends.
    pub fn ask(at: SocketAddr, line: &str) -> String {
        let mut stream = TcpStream::connect(at).unwrap();
        stream.set_read_timeout(Some(WAIT_LIMIT)).unwrap();
        stream.write_all(line.as_bytes()).unwrap();
        let mut text = String::new();
        stream.read_to_string(&mut text).unwrap();
        text
    }

    /// The value of a telemetry line; panics if the answer is truncated or lacks `name`.
    pub fn figure(at: SocketAddr, name: &str) -> u64 {
        let text = ask(at, "telemetry\n");
        assert!(
            text.starts_with("+OK\n") && text.ends_with("\n.\n"),
            "{text}"
        );
        let line = text
            .lines()
            .find_map(|l| l.strip_prefix(name)?.strip_prefix('='));
        line.unwrap_or_else(|| panic!("telemetry has no {name}: {text}"))
            .parse()
            .unwrap()
    }
}

/// Whether all threads of a process are stopped.
pub fn stopped(id: u32) -> bool {
    std::fs::read_dir(format!("/proc/{id}/task"))
        .unwrap()
        .flatten()
        .all(|task| {
            std::fs::read_to_string(task.path().join("stat"))
                .is_ok_and(|stat| stat.contains(") T "))
        })
}

/// Sends a signal to a process. For STOP, waits until all threads have stopped: a thread on another core runs on for a
/// moment after the signal and could read data sent in that time.
pub fn signal(id: u32, name: &str) {
    let line = format!("kill -{name} {id}");
    assert!(Command::new("/bin/sh")
        .args(["-c", &line])
        .status()
        .unwrap()
        .success());
    if name == "STOP" {
        until("all threads of the process to stop", || stopped(id));
    }
}

/// Shuts down both directions of a client connection.
pub fn leave(client: Client) {
    let _ = client.0.shutdown(Shutdown::Both);
}
