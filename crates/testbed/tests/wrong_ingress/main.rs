//! A simple ingress that breaks one rule on purpose, to test the judge. It uses a thread for each client and a new
//! backend connection for each attempt. The environment variable `WRONG` selects the fault; without it the ingress keeps
//! all rules. It writes the ids of the requests with which it broke a rule to standard error.

use serde_json::Value;
use std::collections::HashMap;
use std::io::{BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};
use wrenfork_testbed::service_fixture::{command, read_value};

struct Ingress {
    wrong: String,
    backends: Vec<(String, bool)>,
    next: AtomicUsize,
    /// Ceiling units left for each account, and the time of that level.
    ceilings: Mutex<HashMap<String, (Instant, f64)>>,
    /// Name, ceiling rate and ceiling burst of the plan with a ceiling.
    ceiling: (String, f64, f64),
    done: AtomicUsize,
}

fn option<'a>(options: &'a str, name: &str) -> &'a str {
    options
        .split(',')
        .find_map(|o| o.strip_prefix(name))
        .unwrap_or("")
}

impl Ingress {
    /// Whether to apply the fault to this request (every tenth); logs the id if so.
    fn misbehaves(&self, wrong: &str, id: &str) -> bool {
        let misbehaves = self.wrong == wrong && self.done.fetch_add(1, Ordering::SeqCst) % 10 == 5;
        if misbehaves {
            eprintln!("wrong: {id}");
        }
        misbehaves
    }

    fn backend(&self, id: &str) -> String {
        let cold = self.backends.iter().find(|b| b.1);
        if let (Some(cold), "cold") = (cold, self.wrong.as_str()) {
            eprintln!("wrong: {id}");
            return cold.0.clone();
        }
        let warm: Vec<&String> = self
            .backends
            .iter()
            .filter(|b| !b.1)
            .map(|b| &b.0)
            .collect();
        warm[self.next.fetch_add(1, Ordering::SeqCst) % warm.len()].clone()
    }

    /// Takes a request's units from its account's ceiling; false if too few are left.
    fn take_units(&self, account: &str, options: &str) -> bool {
        let (plan, rate, burst) = &self.ceiling;
        if option(options, "t=") != plan {
            return true;
        }
        let units: f64 = option(options, "units=").parse().unwrap_or(1.0);
        let mut ceilings = self.ceilings.lock().unwrap();
        let now = Instant::now();
        let (at, left) = ceilings.entry(account.to_string()).or_insert((now, *burst));
        *left = (*left + rate * at.elapsed().as_secs_f64()).min(*burst);
        *at = now;
        // The fault `ceiling` keeps counting, to log which requests exceed the ceiling.
        let enough = *left >= units;
        if enough || self.wrong == "ceiling" {
            *left -= units;
        }
        enough
    }

    fn attempt(&self, to: &str, call: &[u8], wait: Duration) -> Option<Vec<String>> {
        let mut stream = TcpStream::connect(to).ok()?;
        stream.set_read_timeout(Some(wait)).ok()?;
        stream.write_all(call).ok()?;
        read_value(&mut BufReader::new(stream))
    }

    /// Sends a second attempt while the first is still outstanding.
    fn attempt_twice(
        &self,
        to: &str,
        id: &str,
        call: &[u8],
        wait: Duration,
    ) -> Option<Vec<String>> {
        let mut first = TcpStream::connect(to).ok()?;
        first
            .set_read_timeout(Some(Duration::from_millis(100)))
            .ok()?;
        first.write_all(call).ok()?;
        let answer = read_value(&mut BufReader::new(first.try_clone().ok()?));
        if answer.is_some() {
            return answer;
        }
        eprintln!("wrong: {id}");
        let answer = self.attempt(&self.backend(id), call, wait.mul_f64(0.2));
        thread::sleep(Duration::from_millis(80));
        drop(first);
        answer
    }

    fn serve(&self, args: &[String]) -> Vec<u8> {
        let (id, options) = (&args[2], &args[3]);
        let wait = Duration::from_millis(option(options, "d=").parse().unwrap_or(100));
        if !self.take_units(&args[1], options) {
            if self.wrong != "ceiling" {
                return b"-BUSY 100\r\n".to_vec();
            }
            eprintln!("wrong: {id}");
        }
        let parts: Vec<&str> = args.iter().map(String::as_str).collect();
        let call = command(&parts);
        if self.misbehaves("after", id) {
            let to = self.backend(id);
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(250));
                if let Ok(mut stream) = TcpStream::connect(to) {
                    let _ = stream.write_all(&call);
                    thread::sleep(Duration::from_millis(300));
                }
            });
            return b"-BUSY\r\n".to_vec();
        }
        if self.misbehaves("late", id) {
            // Later than the judge tolerates (16 ms plus 50 ms for sockets), on any machine.
            thread::sleep(wait + Duration::from_millis(120));
            return b"-ERR failed\r\n".to_vec();
        }
        let to = self.backend(id);
        let answer = match self.wrong.as_str() {
            "copies" => self.attempt_twice(&to, id, &call, wait),
            _ => self.attempt(&to, &call, wait.mul_f64(0.8)),
        };
        match answer {
            Some(value) if value[0].starts_with("-BUSY") => b"-BUSY\r\n".to_vec(),
            Some(value) if !value[0].starts_with('-') => {
                let value = if self.misbehaves("foreign", id) {
                    "value of another"
                } else {
                    &value[0]
                };
                let text = format!("${}\r\n{value}\r\n", value.len()).into_bytes();
                if self.misbehaves("twice", id) {
                    return [text.clone(), text].concat();
                }
                text
            }
            // Reset or no answer: the request may have run.
            _ if option(options, "c=") == "lender-referral" && self.wrong == "resend" => {
                eprintln!("wrong: {id}");
                self.attempt(&self.backend(id), &call, wait.mul_f64(0.1));
                b"-ERR failed\r\n".to_vec()
            }
            _ if option(options, "c=") == "lender-referral" && self.wrong == "refuse" => {
                eprintln!("wrong: {id}");
                b"-BUSY\r\n".to_vec()
            }
            _ => b"-ERR failed\r\n".to_vec(),
        }
    }

    fn serve_connection(&self, stream: TcpStream) {
        let Ok(mut out) = stream.try_clone() else {
            return;
        };
        let mut input = BufReader::new(stream);
        while let Some(args) = read_value(&mut input) {
            let answer = match args.first().map(String::as_str) {
                Some("PING") => b"+PONG\r\n".to_vec(),
                Some(_) if args.len() >= 4 => {
                    if self.misbehaves("lose", &args[2]) {
                        continue;
                    }
                    self.serve(&args)
                }
                _ => return,
            };
            if out.write_all(&answer).is_err() {
                return;
            }
        }
    }
}

/// Polls discovery and ignores the content.
fn poll_discovery(discovery: &str) {
    let Ok(mut stream) = TcpStream::connect(discovery) else {
        return;
    };
    let mut index = 0;
    loop {
        let call =
            format!("GET /v1/endpoints?since={index}&timeout_ms=200 HTTP/1.1\r\nHost: d\r\n\r\n");
        if stream.write_all(call.as_bytes()).is_err() {
            return;
        }
        let mut buf = [0; 16 * 1024];
        let Ok(n) = stream.read(&mut buf) else { return };
        let text = String::from_utf8_lossy(&buf[..n]).into_owned();
        let found = text
            .split("\"index\":")
            .nth(1)
            .map(|t| t.chars().take_while(char::is_ascii_digit));
        index = found
            .and_then(|d| d.collect::<String>().parse().ok())
            .unwrap_or(index);
    }
}

fn main() {
    let mut text = String::new();
    let path = std::env::var("LB_CONFIG").expect("LB_CONFIG is not set");
    std::fs::File::open(path)
        .and_then(|mut f| f.read_to_string(&mut text))
        .expect("configuration file is not readable");
    let config: Value = serde_json::from_str(&text).expect("configuration is not JSON");
    let list = config["known"]["endpoints"]
        .as_array()
        .expect("known.endpoints is not a list")
        .iter();
    let backends = list.map(|e| {
        (
            e["address"].as_str().unwrap().to_string(),
            e["since_ms"] != 0,
        )
    });
    let plan = config["settings"]["contracts"]
        .as_array()
        .unwrap()
        .iter()
        .find(|p| p["never_over_rate"] != 0.0);
    let ceiling = plan.map_or((String::new(), 0.0, 0.0), |p| {
        let number = |key: &str| p[key].as_f64().unwrap();
        (
            p["name"].as_str().unwrap().to_string(),
            number("never_over_rate"),
            number("ceiling_burst"),
        )
    });
    let ingress = Ingress {
        wrong: std::env::var("WRONG").unwrap_or_default(),
        backends: backends.collect(),
        next: AtomicUsize::new(0),
        ceilings: Mutex::default(),
        ceiling,
        done: AtomicUsize::new(0),
    };
    let ingress: &'static Ingress = Box::leak(Box::new(ingress));
    if ingress.wrong == "drain" {
        let discovery = config["discovery"].as_str().unwrap().to_string();
        thread::spawn(move || poll_discovery(&discovery));
    }
    let listener = TcpListener::bind(config["listen"].as_str().unwrap())
        .expect("cannot bind the listen address");
    for stream in listener.incoming().flatten() {
        thread::spawn(move || ingress.serve_connection(stream));
    }
}
