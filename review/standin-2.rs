//! Stand-ins for the cases 6 to 10: discovery, backends, clients, and the process of an ingress. Standard library only.
//! All sockets are on loopback addresses, and the clock is the real one.
#![allow(dead_code)]

use std::fs::File;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;

/// The three results of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const COULD_NOT_RUN: i32 = 2;

// ---- Record ----

/// The file `record.txt` of a case; each line starts with the seconds since the start.
#[derive(Clone)]
pub struct Record(Arc<(Instant, Mutex<File>)>);

impl Record {
    pub fn create() -> Record {
        let path = std::env::var("RECORD").unwrap_or_else(|_| "record.txt".into());
        let file = File::create(&path).unwrap_or_else(|e| fail(&format!("{path}: {e}")));
        Record(Arc::new((Instant::now(), Mutex::new(file))))
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let seconds = self.0 .0.elapsed().as_secs_f64();
        let mut file = self.0 .1.lock().unwrap();
        let _ = writeln!(file, "{seconds:8.4}  {}", text.as_ref());
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.line(text);
    }
}

/// Ends the case as one that could not run.
pub fn fail(reason: &str) -> ! {
    eprintln!("could not run: {reason}");
    std::process::exit(COULD_NOT_RUN)
}

/// Whether the disruption takes place; `TROUBLE=0` leaves it out.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

pub fn pause(milliseconds: u64) {
    std::thread::sleep(Duration::from_millis(milliseconds));
}

/// A loopback address that was free a moment ago.
pub fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| fail(&e.to_string()));
    listener.local_addr().unwrap()
}

// ---- RESP2 ----

/// A command as an array of bulk strings.
pub fn command(arguments: &[&[u8]]) -> Vec<u8> {
    let mut out = format!("*{}\r\n", arguments.len()).into_bytes();
    for argument in arguments {
        out.extend_from_slice(format!("${}\r\n", argument.len()).as_bytes());
        out.extend_from_slice(argument);
        out.extend_from_slice(b"\r\n");
    }
    out
}

/// A backend's answer: the value, no figures on use, no load report.
pub fn served(value: &[u8]) -> Vec<u8> {
    let mut out = format!("*3\r\n${}\r\n", value.len()).into_bytes();
    out.extend_from_slice(value);
    out.extend_from_slice(b"\r\n$-1\r\n$-1\r\n");
    out
}

/// A buffered reader of RESP2 values.
pub struct Reader {
    pub stream: TcpStream,
    /// Pause after each read of up to 64 KiB: a slow reader.
    pub pace: Duration,
    buf: Vec<u8>,
    at: usize,
}

/// An answer or command as read.
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    Bulk(Vec<u8>),
    Line(String),
    Null,
    Array(Vec<Value>),
}

impl Value {
    /// The value of a served answer: a bulk string, or an array that begins with one.
    pub fn served(&self) -> Option<&[u8]> {
        match self {
            Value::Bulk(text) => Some(text),
            Value::Array(list) => match list.first() {
                Some(Value::Bulk(text)) => Some(text),
                _ => None,
            },
            _ => None,
        }
    }

    pub fn short(&self) -> String {
        match self {
            Value::Line(line) => line.chars().take(90).collect(),
            Value::Null => "null".into(),
            other => match other.served() {
                Some(text) => format!(
                    "value of {} bytes, begins {:?}",
                    text.len(),
                    String::from_utf8_lossy(&text[..text.len().min(40)])
                ),
                None => format!("{other:?}").chars().take(90).collect(),
            },
        }
    }
}

impl Reader {
    pub fn new(stream: TcpStream) -> Reader {
        Reader {
            stream,
            pace: Duration::ZERO,
            buf: Vec::new(),
            at: 0,
        }
    }

    fn fill(&mut self) -> io::Result<()> {
        if self.at > 1 << 20 {
            self.buf.drain(..self.at);
            self.at = 0;
        }
        let mut chunk = [0; 64 * 1024];
        loop {
            match self.stream.read(&mut chunk) {
                Ok(0) => return Err(ErrorKind::UnexpectedEof.into()),
                Ok(n) => {
                    self.buf.extend_from_slice(&chunk[..n]);
                    std::thread::sleep(self.pace);
                    return Ok(());
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buf[self.at..].windows(2).position(|w| w == b"\r\n") {
                let line = String::from_utf8_lossy(&self.buf[self.at..self.at + end]).into_owned();
                self.at += end + 2;
                return Ok(line);
            }
            self.fill()?;
        }
    }

    /// Reads one value.
    pub fn value(&mut self) -> io::Result<Value> {
        let line = self.line()?;
        let number = || {
            line[1..]
                .parse::<i64>()
                .map_err(|_| io::Error::from(ErrorKind::InvalidData))
        };
        match line.as_bytes().first() {
            Some(b'$') => {
                let length = number()?;
                if length < 0 {
                    return Ok(Value::Null);
                }
                let length = length as usize;
                while self.buf.len() - self.at < length + 2 {
                    self.fill()?;
                }
                let text = self.buf[self.at..self.at + length].to_vec();
                self.at += length + 2;
                Ok(Value::Bulk(text))
            }
            Some(b'*') => {
                let count = number()?;
                if count < 0 {
                    return Ok(Value::Null);
                }
                (0..count)
                    .map(|_| self.value())
                    .collect::<io::Result<_>>()
                    .map(Value::Array)
            }
            Some(_) => Ok(Value::Line(line)),
            None => Err(ErrorKind::InvalidData.into()),
        }
    }
}

// ---- Backends ----

/// A request as a backend has read it.
#[derive(Clone, Debug)]
pub struct Request {
    pub verb: String,
    pub id: String,
    pub options: String,
    pub body: Vec<u8>,
}

impl Request {
    pub fn option(&self, name: &str) -> Option<&str> {
        let mut pairs = self
            .options
            .split(',')
            .filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
    }
}

/// Starts a backend; `serve` handles one request on its connection and says whether the connection stays open.
pub fn backend(
    serve: impl Fn(&Request, &mut TcpStream) -> bool + Send + Sync + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| fail(&e.to_string()));
    let address = listener.local_addr().unwrap();
    let serve = Arc::new(serve);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            std::thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let mut out = stream.try_clone().unwrap();
                let mut reader = Reader::new(stream);
                while let Ok(Value::Array(arguments)) = reader.value() {
                    let text = |n: usize| match arguments.get(n) {
                        Some(Value::Bulk(text)) => text.clone(),
                        _ => Vec::new(),
                    };
                    let word = |n: usize| String::from_utf8_lossy(&text(n)).into_owned();
                    let verb = word(0).to_ascii_uppercase();
                    if !verb.starts_with("CALL.") {
                        let answer: &[u8] = match verb.as_str() {
                            "PING" => b"+PONG\r\n",
                            "INFO" => b"-NOPERM\r\n",
                            "CLIENT" | "SELECT" => b"+OK\r\n",
                            _ => b"-ERR unknown\r\n",
                        };
                        if out.write_all(answer).is_err() {
                            return;
                        }
                        continue;
                    }
                    let request = Request {
                        verb,
                        id: word(2),
                        options: word(3),
                        body: text(4),
                    };
                    if !serve(&request, &mut out) {
                        return;
                    }
                }
            });
        }
    });
    address
}

// ---- Discovery ----

/// One endpoint of discovery's list.
#[derive(Clone)]
pub struct Endpoint {
    pub name: String,
    pub address: SocketAddr,
    pub group: u32,
}

pub fn endpoints(prefix: &str, addresses: &[SocketAddr]) -> Vec<Endpoint> {
    let named = addresses.iter().enumerate();
    named
        .map(|(n, address)| Endpoint {
            name: format!("{prefix}{n:02}"),
            address: *address,
            group: 1 + n as u32 / 2,
        })
        .collect()
}

pub fn list(index: u64, endpoints: &[Endpoint]) -> String {
    let rows: Vec<String> = endpoints
        .iter()
        .map(|e| {
            format!(
                "{{\"name\":\"{}\",\"address\":\"{}\",\"zone\":\"hall-a\",\"type\":\"std-3c\",\"group\":{},\"status\":\"up\",\"weight\":1.0,\"since_ms\":0}}",
                e.name, e.address, e.group
            )
        })
        .collect();
    format!(
        "{{\"index\":{index},\"snapshot\":true,\"endpoints\":[{}]}}",
        rows.join(",")
    )
}

/// Starts a discovery whose list never changes: a call without `since` gets it at once, a watch gets an empty change after its
/// wait.
pub fn discovery(endpoints: Vec<Endpoint>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| fail(&e.to_string()));
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let whole = list(1, &endpoints);
            std::thread::spawn(move || serve_lists(stream, &whole));
        }
    });
    address
}

fn serve_lists(mut stream: TcpStream, whole: &str) {
    let mut buf = Vec::new();
    let mut chunk = [0; 4096];
    loop {
        while let Some(end) = buf.windows(4).position(|w| w == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buf[..end]).into_owned();
            buf.drain(..end + 4);
            let path = head.split(' ').nth(1).unwrap_or("").to_string();
            let query = |name: &str| {
                let mut pairs = path
                    .split(['?', '&'])
                    .filter_map(|pair| pair.split_once('='));
                pairs
                    .find(|(key, _)| *key == name)
                    .and_then(|(_, value)| value.parse::<u64>().ok())
            };
            let body = if query("since").is_some_and(|since| since >= 1) {
                pause(query("timeout_ms").unwrap_or(0).min(60_000));
                "{\"index\":1,\"snapshot\":false,\"endpoints\":[]}"
            } else {
                whole
            };
            let answer = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
        match stream.read(&mut chunk) {
            Ok(n) if n > 0 => buf.extend_from_slice(&chunk[..n]),
            _ => return,
        }
    }
}

// ---- The ingress ----

/// What differs between the configurations of the cases.
pub struct Settings {
    pub memory_mb: u32,
    pub sockets: u32,
    /// The units a second of the one plan, and its burst.
    pub rate: f64,
    pub burst: f64,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            memory_mb: 96,
            sockets: 512,
            rate: 1000.0,
            burst: 2000.0,
        }
    }
}

/// The platform's file for one ingress with the three classes of the first deployment.
pub fn configuration(
    listen: SocketAddr,
    discovery: SocketAddr,
    known: &[Endpoint],
    settings: &Settings,
) -> String {
    let class = |name: &str,
                 effect: &str,
                 group: &str,
                 objective: u64,
                 give_up: u64,
                 worth: f64| {
        format!(
            "{{\"effect\":\"{effect}\",\"give_up_us\":{give_up},\"group\":\"{group}\",\"late_worth\":0.0,\"name\":\"{name}\",\
             \"objective_us\":{objective},\"stream\":false,\"window_us\":3000000,\"worth\":{worth:.1}}}"
        )
    };
    let classes = [
        class("quote", "repeatable", "all", 400_000, 1_000_000, 2.0),
        class("save-scenario", "by_key", "cell", 1_200_000, 3_000_000, 2.0),
        class("lender-referral", "once", "all", 2_000_000, 8_000_000, 3.0),
    ];
    format!(
        "{{\"name\":\"n1\",\"listen\":\"{listen}\",\"discovery\":\"{discovery}\",\"seed\":\"8c1f30d27a5be964\",\
         \"limits\":{{\"cores\":1.0,\"memory_mb\":{},\"sockets\":{}}},\"known\":{},\"settings\":{{\
         \"contracts\":[{{\"name\":\"business\",\"quota_rate\":{:.1},\"burst\":{:.1},\"beyond_costs\":1.0,\"over_worth\":0.0,\
         \"worth_factor\":1.1,\"max_out\":0,\"never_over_rate\":0.0,\"ceiling_burst\":0.0,\"ceiling_slack\":0.0}}],\
         \"family_info\":{{\"has_counter\":false,\"meter_period_us\":0,\"most_units\":4.0,\"peer_in_per_s\":40.0,\"post_paid\":false}},\
         \"grades\":[{}],\
         \"limits\":{{\"cancelling\":true,\"connect_timeout_us\":250000,\"keepalive_us\":15000000,\"max_open\":20000,\
         \"max_retry_after_us\":2000000,\"may_probe\":false,\"most_tries\":3,\"peers\":false,\"retry_after\":true,\"second_copies\":true}},\
         \"membership_mode\":\"push\",\"n_instances\":1,\"reporting\":{{\"how\":\"answers\",\"fields\":[\"load_share\"]}},\
         \"rules\":{{\"answer_slack_us\":16000,\"cold_from\":0.28,\"cold_us\":16000000,\"drain_grace_us\":1000000,\"fall_us\":1000000,\
         \"must_ask_in_us\":10000000,\"overload_factor\":4.0}},\
         \"skus\":[\"std-3c\"],\"slot_no\":0,\"tick_us\":4000,\"weights\":\"nominal\",\"zone\":0,\"zones\":[\"hall-a\",\"hall-b\"]}}}}",
        settings.memory_mb,
        settings.sockets,
        list(1, known),
        settings.rate,
        settings.burst,
        classes.join(",")
    )
}

/// A folder of this run, which is removed at the end by `run.sh`.
pub fn folder() -> PathBuf {
    PathBuf::from(std::env::var("FOLDER").unwrap_or_else(|_| fail("FOLDER is not set")))
}

/// The process of an ingress; it is killed when the value is dropped.
pub struct Ingress {
    pub child: Child,
    pub listen: SocketAddr,
}

impl Ingress {
    /// Starts the `run` command of the deploy file with `arguments` appended, and waits until it answers `PING`.
    pub fn start(listen: SocketAddr, config: &Path, arguments: &str, record: &Record) -> Ingress {
        let run = std::env::var("RUN_COMMAND").unwrap_or_else(|_| fail("RUN_COMMAND is not set"));
        let line = format!("{run} {arguments}");
        record.line(format!("start: {line}"));
        let log = File::create(folder().join("ingress.log")).unwrap();
        let child = Command::new("/bin/sh")
            .args(["-c", line.trim()])
            .env("LB_CONFIG", config)
            .env("TMPDIR", folder())
            .env_remove("LB_LISTEN")
            .env_remove("LB_DISCOVERY")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .unwrap_or_else(|e| fail(&e.to_string()));
        // `run.sh` ends this process if the case itself can't.
        let _ = std::fs::write(folder().join("pid"), child.id().to_string());
        let mut ingress = Ingress { child, listen };
        for _ in 0..300 {
            if ingress.answers_ping() {
                record.line("the ingress answers PING");
                return ingress;
            }
            if ingress.child.try_wait().ok().flatten().is_some() {
                break;
            }
            pause(50);
        }
        let log = std::fs::read_to_string(folder().join("ingress.log")).unwrap_or_default();
        drop(ingress);
        fail(&format!("the ingress was not ready: {log}"))
    }

    fn answers_ping(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect(self.listen) else {
            return false;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
        let mut answer = [0; 7];
        stream.write_all(&command(&[b"PING"])).is_ok()
            && stream.read_exact(&mut answer).is_ok()
            && &answer == b"+PONG\r\n"
    }

    pub fn signal(&self, signal: i32) {
        unsafe {
            kill(self.child.id() as i32, signal);
        }
    }

    /// How the process ended, if it has.
    pub fn ended(&mut self) -> Option<String> {
        let status = self.child.try_wait().ok().flatten()?;
        Some(status.to_string())
    }

    /// A figure of the process in KiB, such as `VmRSS` or `VmHWM`.
    pub fn memory_kib(&self, name: &str) -> u64 {
        let text = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()))
            .unwrap_or_default();
        let line = text
            .lines()
            .find_map(|line| line.strip_prefix(name)?.strip_prefix(':'));
        line.and_then(|line| line.split_whitespace().next()?.parse().ok())
            .unwrap_or(0)
    }

    pub fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.listen).unwrap_or_else(|e| fail(&e.to_string()));
        let _ = stream.set_nodelay(true);
        stream
    }

    /// The ingress's own log lines, for the record.
    pub fn log_to(&self, record: &Record) {
        let log = std::fs::read_to_string(folder().join("ingress.log")).unwrap_or_default();
        log.lines()
            .for_each(|line| record.line(format!("ingress: {line}")));
    }
}

impl Drop for Ingress {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(folder().join("pid"));
    }
}

/// Writes the configuration and starts an ingress with it.
pub fn start_ingress(backends: &[Endpoint], settings: &Settings, record: &Record) -> Ingress {
    let listen = free_address();
    let discovery = discovery(backends.to_vec());
    let config = folder().join("config.json");
    std::fs::write(
        &config,
        configuration(listen, discovery, backends, settings),
    )
    .unwrap_or_else(|e| fail(&e.to_string()));
    Ingress::start(listen, &config, "", record)
}

/// A request of a client.
pub fn call(verb: &str, id: &str, options: &str, body: Option<&[u8]>) -> Vec<u8> {
    let customer = b"00000000000004d2";
    let mut arguments: Vec<&[u8]> =
        vec![verb.as_bytes(), customer, id.as_bytes(), options.as_bytes()];
    arguments.extend(body);
    command(&arguments)
}

pub fn options(class: &str, wait_ms: u64) -> String {
    format!("c={class},t=business,d={wait_ms},units=1,spread=1,first=0")
}

/// Makes the close of a stream send a reset (`SO_LINGER` with 0), as a process that dies does.
pub fn set_linger_zero(stream: &TcpStream) {
    use std::os::fd::AsRawFd;
    extern "C" {
        fn setsockopt(fd: i32, level: i32, name: i32, value: *const [i32; 2], length: u32) -> i32;
    }
    const SOL_SOCKET: i32 = 1;
    const SO_LINGER: i32 = 13;
    unsafe {
        setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_LINGER, &[1, 0], 8);
    }
}
