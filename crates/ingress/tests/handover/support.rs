//! The platform, processes of the ingress and clients that load them.

use std::collections::{HashMap, HashSet};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};
use wrenfork_testbed::service_fixture::{
    call, free_address, until, Act, Backend, Client, Setup, WAIT_LIMIT,
};

/// Stands in for the platform: holds the clients' listening socket, the folder that all processes share, and the
/// configuration.
pub struct Platform {
    pub listener: TcpListener,
    pub at: SocketAddr,
    pub folder: tempfile::TempDir,
    pub setup: Setup,
}

/// A running ingress with its management address.
pub struct Process {
    pub child: Child,
    management: SocketAddr,
}

impl Platform {
    pub fn new(backends: &[&Backend]) -> Platform {
        let listener = TcpListener::bind((free_address().ip(), 0)).unwrap();
        let at = listener.local_addr().unwrap();
        let setup = Setup::of(env!("CARGO_BIN_EXE_wrenfork"), backends);
        Platform {
            listener,
            at,
            folder: tempfile::tempdir().unwrap(),
            setup,
        }
    }

    pub fn channel(&self) -> PathBuf {
        self.folder
            .path()
            .join(format!("wrenfork-{}.next", self.at))
    }

    /// Starts a process. The shell redirection `redirect` sets up descriptor 3; `3<&0` passes the listening socket.
    pub fn run(&self, redirect: &str) -> Process {
        let (file, management) = (self.folder.path().join("config.json"), free_address());
        std::fs::write(&file, self.setup.config(self.at)).unwrap();
        let mut command = Command::new("/bin/sh");
        command.args([
            "-c",
            &format!("exec {redirect} </dev/null; exec '{}'", self.setup.program),
        ]);
        command
            .env("LB_CONFIG", &file)
            .env("LB_MANAGEMENT", management.to_string());
        command
            .env("LB_PASSED_SOCKET", "3")
            .env("TMPDIR", self.folder.path());
        command.env_remove("LB_LISTEN").env_remove("LB_DISCOVERY");
        command.stdin(Stdio::from(OwnedFd::from(
            self.listener.try_clone().unwrap(),
        )));
        Process {
            child: command.stderr(Stdio::piped()).spawn().unwrap(),
            management,
        }
    }

    /// Starts a process with the listening socket and waits until it is ready.
    pub fn start(&self) -> Process {
        let process = self.run("3<&0");
        until("readyz is OK", || process.ask("readyz").starts_with("+OK"));
        process
    }
}

impl Process {
    pub fn ask(&self, call: &str) -> String {
        let mut text = String::new();
        if let Ok(mut stream) = TcpStream::connect(self.management) {
            stream.set_read_timeout(Some(WAIT_LIMIT)).unwrap();
            let _ = stream.write_all(format!("{call}\n").as_bytes());
            let _ = stream.read_to_string(&mut text);
        }
        text
    }

    pub fn figure(&self, name: &str) -> u64 {
        let text = self.ask("telemetry");
        let line = text
            .lines()
            .find_map(|l| l.strip_prefix(name)?.strip_prefix('='));
        line.unwrap_or_else(|| panic!("telemetry has no {name}: {text}"))
            .parse()
            .unwrap()
    }

    pub fn signal(&self, name: &str) {
        let line = format!("kill -{name} {}", self.child.id());
        assert!(Command::new("/bin/sh")
            .args(["-c", &line])
            .status()
            .unwrap()
            .success());
    }

    /// Waits for the process to exit with code 0 and returns its log.
    pub fn ended(&mut self) -> String {
        let mut status = None;
        until("the process ends", || {
            status = self.child.try_wait().unwrap();
            status.is_some()
        });
        assert_eq!(status.unwrap().code(), Some(0));
        let mut text = String::new();
        self.child
            .stderr
            .take()
            .unwrap()
            .read_to_string(&mut text)
            .unwrap();
        text
    }
}

/// Samples the combined memory and descriptor use of two processes and keeps the peak.
pub struct Sampler {
    pub second: Arc<AtomicU32>,
    pub stop: Arc<AtomicBool>,
    sampler: thread::JoinHandle<(usize, usize)>,
}

impl Sampler {
    pub fn start(first: u32) -> Sampler {
        let (second, stop) = (
            Arc::new(AtomicU32::new(0)),
            Arc::new(AtomicBool::new(false)),
        );
        let (other, end) = (second.clone(), stop.clone());
        let sampler = thread::spawn(move || {
            let mut peak = (0, 0);
            while !end.load(Ordering::SeqCst) {
                let now = [first, other.load(Ordering::SeqCst)].map(|id| {
                    let status =
                        std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
                    let line = status
                        .lines()
                        .find_map(|l| l.strip_prefix("VmRSS:"))
                        .unwrap_or("0 kB");
                    let descriptors =
                        std::fs::read_dir(format!("/proc/{id}/fd")).map_or(0, Iterator::count);
                    (
                        line.trim()
                            .trim_end_matches(" kB")
                            .parse::<usize>()
                            .unwrap(),
                        descriptors,
                    )
                });
                peak = (
                    peak.0.max(now[0].0 + now[1].0),
                    peak.1.max(now[0].1 + now[1].1),
                );
            }
            peak
        });
        Sampler {
            second,
            stop,
            sampler,
        }
    }

    /// Stops sampling. Returns the peak resident memory in KiB and the peak number of descriptors.
    pub fn stop(self) -> (usize, usize) {
        self.stop.store(true, Ordering::SeqCst);
        self.sampler.join().unwrap()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Clients that send requests continuously, and the answers they recorded.
#[derive(Clone)]
pub struct Load {
    pub at: SocketAddr,
    pub stop: Arc<AtomicBool>,
    pub answered: Arc<AtomicUsize>,
    pub served_ids: Arc<Mutex<HashSet<String>>>,
    pub answered_at: Arc<Mutex<Vec<Instant>>>,
}

impl Load {
    /// Sends two requests at a time, in a loop, as client `number`.
    pub fn run(&self, number: usize) {
        let mut client = Client::connect(self.at);
        for n in 0.. {
            if self.stop.load(Ordering::SeqCst) {
                return;
            }
            if number % 4 == 3 {
                client = Client::connect(self.at); // every fourth client reconnects for each pair
            }
            let ids = [0, 1].map(|i| format!("c{number}-{n}-{i}"));
            client.send(&ids.clone().map(|id| call("refer", &id, 2500)).concat());
            for id in ids {
                self.record_answer(&client.answer(), id);
            }
        }
    }

    fn record_answer(&self, answer: &str, id: String) {
        self.answered.fetch_add(1, Ordering::SeqCst);
        self.answered_at.lock().unwrap().push(Instant::now());
        if answer == format!("value of {id}") {
            self.served_ids.lock().unwrap().insert(id);
        } else {
            assert!(answer.starts_with("-BUSY"), "{id}: {answer:?}");
        }
    }
}

/// The longest time between two consecutive answers.
pub fn longest_pause(answered_at: &[Instant]) -> Duration {
    let pauses = answered_at.windows(2);
    pauses
        .map(|w| w[1].saturating_duration_since(w[0]))
        .max()
        .unwrap()
}

/// The number of attempts that the backends received for each request id.
pub fn attempts_by_id(backends: &[Backend]) -> HashMap<String, usize> {
    let mut attempts = HashMap::new();
    for backend in backends {
        for command in backend.seen.commands.lock().unwrap().iter() {
            *attempts.entry(command[2].clone()).or_default() += 1;
        }
    }
    attempts
}

/// The value for a request: its id repeated to 3 MiB.
pub fn long_value(id: &str) -> String {
    id.bytes().cycle().take(3 << 20).map(char::from).collect()
}

/// A backend that sends half of a long answer, and the rest once `resume` is set.
pub fn backend_pausing_half_way(resume: Arc<AtomicBool>) -> Backend {
    Backend::start(move |args| {
        let text = long_value(&args[2]);
        let bytes = format!("*3\r\n${}\r\n{text}\r\n$-1\r\n$-1\r\n", text.len()).into_bytes();
        Act::Until(bytes.len() / 2, resume.clone(), bytes)
    })
}
