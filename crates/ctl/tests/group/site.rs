//! A group of real processes with relays between their control sockets, clients that ask all the time, and the judge.

use std::collections::BTreeMap;
use std::fs;
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};
use wrenfork_consensus::protocol::{GroupRequest, GroupResponse, GroupStatus};
use wrenfork_control_plane::{client, failpoints};
use wrenfork_handover::listener;
use wrenfork_testbed::judge::policy::{find_violations, Answer, Change, ReportedGeneration};
use wrenfork_testbed::links::Links;
use wrenfork_testbed::service_fixture::{
    command, free_address, list, signal, Act, Backend, Client, Ingress, WAIT_LIMIT,
};

/// The policies that tests go through: each sends quotes to a pool of its own, whose node says its name.
pub const POLICIES: usize = 4;
/// The lease of the groups here.
pub const LEASE: Duration = Duration::from_millis(900);
/// How long after a change counted as made an answer may still be on its way to a client's clock: nothing, but for the
/// clock's reading.
const BOUND: u64 = 1_000;

fn program(name: &str) -> PathBuf {
    Path::new(env!("CARGO_BIN_EXE_wrenctl")).with_file_name(name)
}

/// The version that is the program of another build, whose file [`OTHER_BUILD`] names.
pub const BEFORE: &str = "before";
/// The environment variable that names the program of another build.
pub const OTHER_BUILD: &str = "WRENFORK_BEFORE";

/// The program that a version is a copy of.
fn copied(word: &str) -> PathBuf {
    if word == BEFORE {
        let path = std::env::var_os(OTHER_BUILD);
        return path
            .unwrap_or_else(|| panic!("{OTHER_BUILD} names no program"))
            .into();
    }
    program("examples/odd")
}

/// The file of a version of the program, by what is odd with it, and its digest.
pub fn version(word: &str) -> (PathBuf, String) {
    static MADE: Mutex<BTreeMap<String, (PathBuf, String)>> = Mutex::new(BTreeMap::new());
    let mut made = MADE.lock().unwrap_or_else(|e| e.into_inner());
    let make = || {
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join("versions");
        fs::create_dir_all(&folder).unwrap();
        let name = word.replace(':', "-");
        let (path, new) = (
            folder.join(&name),
            folder.join(format!("{name}.{}", std::process::id())),
        );
        fs::write(path.with_extension("odd"), word).unwrap();
        // Without what only a debugger reads: it is read whole whenever its digest is looked at.
        let strip = Command::new("strip")
            .arg("-o")
            .arg(&new)
            .arg(copied(word))
            .status();
        if !strip.is_ok_and(|status| status.success()) {
            fs::copy(copied(word), &new).unwrap();
        }
        // Its own bytes behind the end make it a file of its own.
        let mut file = fs::OpenOptions::new().append(true).open(&new).unwrap();
        std::io::Write::write_all(&mut file, word.as_bytes()).unwrap();
        drop(file);
        let output = Command::new("sha256sum").arg(&new).output().unwrap();
        let sha256 = String::from_utf8(output.stdout).unwrap()[..64].to_string();
        fs::rename(&new, &path).unwrap();
        (path, sha256)
    };
    made.entry(word.into()).or_insert_with(make).clone()
}

/// Sends a signal to a process that was started here.
pub fn end(id: u32, name: &str) {
    let line = format!("kill -{name} {id}");
    let _ = Command::new("/bin/sh")
        .args(["-c", &line])
        .stderr(Stdio::null())
        .status();
}

/// How a group is laid out.
#[derive(Clone)]
pub struct Layout {
    pub ingresses: usize,
    pub witnesses: usize,
    pub lease: Duration,
    /// Names in `alone = "as-known"`; all others refuse.
    pub as_known: Vec<usize>,
    /// Whether members reach each other through relays.
    pub relays: bool,
    /// More lines of the roster.
    pub roster: String,
    /// A policy that is worse than the others, and how.
    pub bad: Option<(usize, Bad)>,
    /// Halls that the ingresses stand in, by turns.
    pub halls: usize,
    /// The versions of the program that keepers of the processes have, by what is odd with them; none where the ingresses
    /// are started as they are.
    pub versions: Vec<&'static str>,
    /// More lines of the keepers' files.
    pub tend: &'static str,
}

/// What is wrong with a policy's node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Bad {
    /// It answers with errors.
    Fails,
    /// It takes 30 ms more.
    Slow,
}

impl Layout {
    pub fn of(ingresses: usize, witnesses: usize) -> Layout {
        Layout {
            ingresses,
            witnesses,
            lease: LEASE,
            as_known: Vec::new(),
            relays: true,
            roster: String::new(),
            bad: None,
            halls: 1,
            versions: Vec::new(),
            tend: "",
        }
    }
}

pub struct Group {
    pub folder: tempfile::TempDir,
    pub layout: Layout,
    pub at: Vec<SocketAddr>,
    peers: Vec<SocketAddr>,
    pub ingresses: Vec<Option<Ingress>>,
    pub witnesses: Vec<Option<Child>>,
    pub links: Links,
    _backends: Vec<Backend>,
    /// The policy that the files want.
    pub wants: usize,
    /// The version of the program that they want.
    pub wants_version: usize,
    start: Instant,
    pub changes: Vec<Change>,
}

/// What a request came to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Got {
    /// Served under a policy.
    Policy(String),
    /// Turned away with a time to come back.
    Busy,
    /// Anything else.
    Other(String),
}

fn got(answer: &str) -> Got {
    if let Some(policy) = answer.strip_prefix("policy ") {
        Got::Policy(policy.split(' ').next().unwrap_or("").to_string())
    } else if answer.starts_with("-BUSY ") {
        Got::Busy
    } else {
        Got::Other(answer.to_string())
    }
}

pub fn probe(id: u64) -> Vec<u8> {
    let options = "c=quote,t=starter,d=900,units=1,spread=1,first=0";
    command(&["CALL.GET", "00000000000004d3", &format!("p{id}"), options])
}

impl Group {
    /// A group with its files, of which nothing runs yet. Its links are those of its members and of `applier`s.
    pub fn new(layout: Layout) -> Group {
        let folder = tempfile::tempdir().unwrap();
        for name in ["files", "run", "elsewhere"] {
            fs::create_dir(folder.path().join(name)).unwrap();
        }
        let count = layout.ingresses + layout.witnesses;
        let names: Vec<String> = (0..count).map(|n| short(&layout, n)).collect();
        let run = |n: usize| folder.path().join("run").join(n.to_string());
        let members: Vec<(&str, PathBuf)> =
            (0..count).map(|n| (names[n].as_str(), run(n))).collect();
        let members_ask = names.iter().map(String::as_str).filter(|_| layout.relays);
        let askers: Vec<&str> = members_ask.chain(["ann", "bob"]).collect();
        let links = Links::open(&folder.path().join("l"), &askers, &members).unwrap();
        let backends: Vec<Backend> = (0..POLICIES)
            .map(|k| {
                let bad = layout.bad.filter(|b| b.0 == k).map(|b| b.1);
                Backend::start(move |args| {
                    match bad {
                        Some(Bad::Fails) => return Act::Say(b"-ERR broken\r\n".to_vec()),
                        Some(Bad::Slow) => thread::sleep(Duration::from_millis(30)),
                        None => {}
                    }
                    let value = format!("policy p{k} {}", args[2]);
                    Act::Say(
                        format!(
                            "*3\r\n${}\r\n{value}\r\n$-1\r\n$9\r\nutil=0.01\r\n",
                            value.len()
                        )
                        .into_bytes(),
                    )
                })
            })
            .collect();
        let entries: Vec<String> = backends
            .iter()
            .enumerate()
            .map(|(k, b)| b.entry(&format!("s-000{k}"), "up"))
            .collect();
        fs::write(
            folder.path().join("elsewhere/fleet.json"),
            list(1, true, &entries),
        )
        .unwrap();
        let mut group = Group {
            at: (0..layout.ingresses).map(|_| free_address()).collect(),
            peers: (0..layout.ingresses).map(|_| free_address()).collect(),
            ingresses: (0..layout.ingresses).map(|_| None).collect(),
            witnesses: (0..layout.witnesses).map(|_| None).collect(),
            layout,
            folder,
            links,
            _backends: backends,
            wants: 0,
            wants_version: 0,
            start: Instant::now(),
            changes: Vec::new(),
        };
        // Room for all that clients here ask: what is turned away is turned away for want of a lease.
        let site = include_str!("../../../config/tests/good/site.toml")
            .replace(
                "[\"hall-a\", \"hall-b\"]",
                "[\"hall-a\", \"hall-b\", \"hall-c\", \"hall-d\"]",
            )
            .replace("per-weight = \"20/s\"", "per-weight = \"100000/s\"")
            .replace(
                "quota = \"96/min\"\nburst = 7\n",
                "quota = \"10000/s\"\nburst = 10000\n",
            );
        for place in ["files", "ann", "bob", "alone"] {
            fs::create_dir_all(group.path(place)).unwrap();
            fs::write(group.path(place).join("site.toml"), &site).unwrap();
        }
        group.want(0);
        group.changes.push(Change {
            generation: 1,
            policy: "p0".into(),
            made: Some(0),
            given_up: false,
        });
        group
    }

    /// All of it, started, formed and serving.
    pub fn started(layout: Layout) -> Group {
        let mut group = Group::new(layout);
        group.spawn_all();
        (0..group.at.len()).for_each(|n| group.ready(n));
        group
    }

    pub fn spawn_all(&mut self) {
        (0..self.count()).for_each(|n| self.spawn(n, ""));
    }

    pub fn count(&self) -> usize {
        self.layout.ingresses + self.layout.witnesses
    }

    pub fn path(&self, name: &str) -> PathBuf {
        self.folder.path().join(name)
    }

    pub fn short(&self, n: usize) -> String {
        short(&self.layout, n)
    }

    pub fn control(&self, n: usize) -> PathBuf {
        self.path("run").join(n.to_string())
    }

    pub fn state(&self, n: usize) -> PathBuf {
        self.path(&format!("state-{n}"))
    }

    /// Writes the files with a policy: for members as they reach each other, for appliers by links of their own, and without
    /// a roster.
    pub fn want(&mut self, policy: usize) {
        self.wants = policy;
        for place in ["files", "ann", "bob", "alone"] {
            fs::write(self.path(place).join("desk.toml"), self.text(place, policy)).unwrap();
        }
        for n in self.layout.as_known.clone() {
            let text = self
                .text("files", policy)
                .replace("alone = \"refuse\"", "alone = \"as-known\"");
            fs::create_dir_all(self.path(&format!("files-{n}"))).unwrap();
            fs::copy(
                self.path("files/site.toml"),
                self.path(&format!("files-{n}/site.toml")),
            )
            .unwrap();
            fs::write(self.path(&format!("files-{n}/desk.toml")), text).unwrap();
        }
    }

    fn text(&self, place: &str, policy: usize) -> String {
        let mut text =
            "version = 1\nkind = \"application\"\nname = \"desk\"\nsite = \"bangna\"\n".to_string();
        text += "sends = [\"quote\", \"save-scenario\"]\n";
        if !self.layout.versions.is_empty() {
            let (path, sha256) = version(self.layout.versions[self.wants_version]);
            let name = path.file_name().unwrap().display();
            text += &format!("\n[program]\nname = \"{name}\"\nsha256 = \"{sha256}\"\n");
        }
        if place != "alone" {
            let ms = self.layout.lease.as_millis();
            text += &format!(
                "\n[roster]\nlease = \"{ms}ms\"\nalone = \"refuse\"\n{}",
                self.layout.roster
            );
        }
        for n in 0..self.count() {
            if place == "alone" && n >= self.at.len() {
                break;
            }
            let (name, links) = (self.short(n), self.links.folder(&self.short(n)));
            let control = match place {
                "ann" | "bob" => self.links.folder(place).join(&name),
                _ => self.control(n),
            };
            let kind = if n < self.at.len() {
                "sidecar"
            } else {
                "witness"
            };
            text += &format!(
                "\n[[{kind}]]\nname = \"{name}\"\ncontrol = \"{}\"\n",
                control.display()
            );
            text += &format!("state = \"{}\"\n", self.state(n).display());
            if place != "alone" && self.layout.relays {
                text += &format!("links = \"{}\"\n", links.display());
            }
            if n < self.at.len() {
                let (at, peers) = (self.at[n], self.peers[n]);
                let hall = ["hall-a", "hall-b", "hall-c", "hall-d"][n % self.layout.halls];
                text += &format!("hall = \"{hall}\"\nlisten = \"{at}\"\ndiscovery = \"127.0.0.1:1\"\npeers = \"{peers}\"\n");
            }
        }
        text += "\n[[account]]\nid = \"00000000000004d3\"\nplan = \"starter\"\nquota = \"9000/s\"\nburst = 9000\n";
        for k in 0..POLICIES {
            text += &format!("\n[[pool]]\nname = \"p{k}\"\nnodes = [\"s-000{k}\"]\n");
        }
        text + &format!("\n[[route]]\nclass = \"quote\"\npool = \"p{policy}\"\n")
    }

    /// Starts a member; a fault is one of the control side's points.
    pub fn spawn(&mut self, n: usize, fault: &str) {
        self.spawn_by(n, fault, "files");
    }

    pub fn spawn_by(&mut self, n: usize, fault: &str, files: &str) {
        let folder = self.folder.path().display().to_string();
        let files = if self.layout.as_known.contains(&n) {
            format!("files-{n}")
        } else {
            files.to_string()
        };
        let fault = if fault.is_empty() {
            String::new()
        } else {
            format!("{}={fault} ", failpoints::VARIABLE)
        };
        if n < self.at.len() && !self.layout.versions.is_empty() {
            assert!(fault.is_empty());
            let line = format!(
                "TMPDIR={folder} exec '{}' tend {folder}/tend-{n}.toml >/dev/null 2>>{folder}/log-{n}",
                env!("CARGO_BIN_EXE_wrenctl"),
            );
            fs::write(self.path(&format!("tend-{n}.toml")), self.tend(n)).unwrap();
            self.ingresses[n] = Some(Ingress::run("", self.at[n], &line));
        } else if n < self.at.len() {
            let line = format!(
                "{fault}exec '{}' --app {folder}/{files}/desk.toml --fleet {folder}/elsewhere/fleet.json --sidecar {} 2>>{folder}/log-{n}",
                program("wrenfork").display(),
                self.short(n)
            );
            self.ingresses[n] = Some(Ingress::run("", self.at[n], &line));
        } else {
            let log = fs::OpenOptions::new()
                .create(true)
                .append(true)
                .open(self.path(&format!("log-{n}")))
                .unwrap();
            let mut command = self.wrenctl(&[
                "witness",
                &format!("{files}/desk.toml"),
                "--name",
                &self.short(n),
            ]);
            if let Some((name, value)) = fault.trim().split_once('=') {
                command.env(name, value);
            }
            self.witnesses[n - self.at.len()] = Some(command.stderr(log).spawn().unwrap());
        }
    }

    /// Waits until an ingress lets requests in.
    pub fn ready(&self, n: usize) {
        let at = self.at[n];
        let serves =
            || TcpStream::connect(at).is_ok_and(|s| Client(s).ask(&command(&["PING"])) == "+PONG");
        self.wait(&format!("{} serves", self.short(n)), serves);
    }

    /// Waits until an ingress turns requests away, with a time to come back.
    pub fn shut(&self, n: usize) {
        self.wait(&format!("{} turns requests away", self.short(n)), || {
            self.ask(n) == Got::Busy
        });
    }

    /// Waits for something; with the members' logs where it does not come.
    pub fn wait(&self, what: &str, mut ready: impl FnMut() -> bool) {
        let start = Instant::now();
        while !ready() {
            assert!(
                start.elapsed() < WAIT_LIMIT,
                "waited in vain: {what}\n{}",
                self.logs()
            );
            thread::sleep(Duration::from_millis(5));
        }
    }

    pub fn signal(&self, n: usize, name: &str) {
        let id = match n.checked_sub(self.at.len()) {
            None => self.ingresses[n].as_ref().unwrap().child.id(),
            Some(w) => self.witnesses[w].as_ref().unwrap().id(),
        };
        signal(id, name);
    }

    /// Kills a member, and waits for its end.
    pub fn kill(&mut self, n: usize) {
        self.signal(n, "KILL");
        self.gone(n);
    }

    /// Waits until a member that died by itself has ended.
    pub fn gone(&mut self, n: usize) {
        match n.checked_sub(self.at.len()) {
            None => drop(self.ingresses[n].take().unwrap().exit()),
            Some(w) => drop(self.witnesses[w].take().unwrap().wait().unwrap()),
        }
    }

    /// One request, on a connection of its own.
    pub fn ask(&self, n: usize) -> Got {
        static NEXT: AtomicU64 = AtomicU64::new(0);
        got(&Client::connect(self.at[n]).ask(&probe(NEXT.fetch_add(1, Ordering::Relaxed))))
    }

    pub fn stand(&self, n: usize) -> Option<GroupStatus> {
        match client::request(&self.control(n), &GroupRequest::Status, WAIT_LIMIT) {
            Ok(GroupResponse::Status(stand)) => Some(*stand),
            _ => None,
        }
    }

    pub fn wrenctl(&self, args: &[&str]) -> Command {
        let mut command = Command::new(env!("CARGO_BIN_EXE_wrenctl"));
        command
            .args(args)
            .current_dir(self.folder.path())
            .env("NO_COLOR", "1")
            .stdin(Stdio::null());
        command.stdout(Stdio::piped()).stderr(Stdio::piped());
        command
    }

    pub fn run(&self, args: &[&str]) -> Output {
        self.wrenctl(args).output().unwrap()
    }

    pub fn now(&self) -> u64 {
        self.start.elapsed().as_micros() as u64
    }

    /// Plans a policy as one of the appliers.
    pub fn plan(&mut self, who: &str, policy: usize) -> Output {
        self.want(policy);
        self.run(&[
            "plan",
            who,
            "--out",
            &format!("{who}.plan"),
            "--author",
            who,
        ])
    }

    /// Plans and applies a policy, as one of the appliers; what `apply` said.
    pub fn apply(&mut self, who: &str, policy: usize, args: &[&str]) -> Output {
        let planned = self.plan(who, policy);
        assert_eq!(planned.status.code(), Some(2), "{}", told(&planned));
        let plan = format!("{who}.plan");
        let line: Vec<&str> = ["apply", plan.as_str(), "--yes"]
            .iter()
            .chain(args)
            .copied()
            .collect();
        let output = self.run(&line);
        self.note(policy, &output);
        output
    }

    /// Writes down for the judge what became of an apply.
    pub fn note(&mut self, policy: usize, output: &Output) {
        let generation = self
            .changes
            .iter()
            .filter(|c| !c.given_up)
            .map(|c| c.generation)
            .max()
            .unwrap_or(0)
            + 1;
        let made = (output.status.code() == Some(0)).then(|| self.now());
        let given_up = output.status.code() == Some(1);
        self.changes.push(Change {
            generation,
            policy: format!("p{policy}"),
            made,
            given_up,
        });
    }

    /// Has a change made, with nothing to be said against it.
    pub fn made(&mut self, policy: usize) -> Output {
        let output = self.apply("ann", policy, &[]);
        assert_eq!(
            output.status.code(),
            Some(0),
            "{}\n{}",
            told(&output),
            self.logs()
        );
        output
    }

    /// What the keeper of an ingress's process is told.
    fn tend(&self, n: usize) -> String {
        let folder = self.folder.path().display();
        let mut text = format!(
            "version = 1\nkind = \"tend\"\nlisten = \"{}\"\ncontrol = \"{}\"\nstate = \"{folder}/tend-{n}\"\n\
             arguments = [\"--app\", \"{folder}/files/desk.toml\", \"--fleet\", \"{folder}/elsewhere/fleet.json\", \
             \"--sidecar\", \"{}\"]\nlog = \"{folder}/log-{n}\"\npause = \"50ms\"\npatience = \"3s\"\nprove = \"1s\"\n{}",
            self.at[n],
            self.control(n).display(),
            self.short(n),
            self.layout.tend,
        );
        for word in &self.layout.versions {
            let (path, sha256) = version(word);
            let name = path.file_name().unwrap().display();
            text += &format!(
                "\n[[program]]\nname = \"{name}\"\npath = \"{}\"\nsha256 = \"{sha256}\"\n",
                path.display()
            );
        }
        text
    }

    /// The process of an ingress that is kept.
    pub fn process(&self, n: usize) -> Option<u32> {
        let path = self.path(&format!("wrenfork-{}.next", self.at[n]));
        listener::borrow(&path)
            .ok()
            .flatten()
            .map(|lent| lent.process_id)
    }

    /// What an ingress runs, as it says itself.
    pub fn runs(&self, n: usize) -> Option<String> {
        Some(
            self.stand(n)?
                .running_program?
                .split('@')
                .next()
                .unwrap_or_default()
                .to_string(),
        )
    }

    pub fn logs(&self) -> String {
        let mut all = String::new();
        for n in 0..self.count() {
            let text = fs::read_to_string(self.path(&format!("log-{n}"))).unwrap_or_default();
            let last: Vec<&str> = text.lines().rev().take(12).collect();
            all += &format!(
                "--- {}\n{}\n",
                self.short(n),
                last.into_iter().rev().collect::<Vec<_>>().join("\n")
            );
        }
        all
    }

    /// Waits until all members that run say the same and have a lease, and nothing is pending; which policy it is.
    pub fn agreed(&self) -> String {
        let mut last = String::new();
        let running = |n: &usize| match n.checked_sub(self.at.len()) {
            None => self.ingresses[*n].is_some(),
            Some(w) => self.witnesses[w].is_some(),
        };
        let start = Instant::now();
        loop {
            let stands: Vec<Option<GroupStatus>> = (0..self.count())
                .filter(running)
                .map(|n| self.stand(n))
                .collect();
            let digests: Vec<_> = stands
                .iter()
                .flatten()
                .map(|s| (s.version, s.digest.clone()))
                .collect();
            let pending = stands.iter().flatten().any(|s| s.pending.is_some());
            if digests.len() == stands.len() && digests.windows(2).all(|w| w[0] == w[1]) && !pending
            {
                let serving: Vec<Got> = (0..self.at.len())
                    .filter(running)
                    .map(|n| self.ask(n))
                    .collect();
                if let [Got::Policy(policy), rest @ ..] = &serving[..] {
                    if rest.iter().all(|g| *g == serving[0]) {
                        return policy.clone();
                    }
                }
                last = format!("{serving:?}");
            } else {
                last = format!("{digests:?} pending: {pending}, {last}");
            }
            assert!(
                start.elapsed() < WAIT_LIMIT,
                "no agreement: {last}\n{}",
                self.logs()
            );
            thread::sleep(Duration::from_millis(20));
        }
    }

    /// Clients that ask every ingress all the time, until they are told to stop.
    pub fn load(&self) -> Load {
        let stop = Arc::new(AtomicBool::new(false));
        let answers = Arc::new(Mutex::new(Vec::new()));
        let threads = self.at.iter().enumerate().map(|(n, at)| {
            let (stop, answers, at, start) = (stop.clone(), answers.clone(), *at, self.start);
            let name = self.short(n);
            thread::spawn(move || ask_on(&name, at, start, &stop, &answers))
        });
        Load {
            threads: threads.collect(),
            stop,
            answers,
        }
    }

    /// What the judge says of all answers, and of what members say that they enforce.
    pub fn judged(&self, answers: &[(Answer, Got)]) {
        let answers: Vec<Answer> = answers.iter().map(|a| a.0.clone()).collect();
        assert!(!answers.is_empty());
        let said: Vec<ReportedGeneration> = (0..self.count())
            .filter_map(|n| self.stand(n))
            .filter(|s| s.version > 0)
            .map(|s| ReportedGeneration {
                member: s.name,
                generation: s.version,
                enforces: s.digest.0,
            })
            .collect();
        let wrong = find_violations(&self.changes, BOUND, &answers, &said);
        assert!(
            wrong.is_empty(),
            "{} wrong, first {:?}\n{:?}\n{}",
            wrong.len(),
            &wrong[..wrong.len().min(5)],
            self.changes,
            self.logs()
        );
    }
}

impl Drop for Group {
    fn drop(&mut self) {
        if !self.layout.versions.is_empty() {
            for n in 0..self.at.len() {
                // Whoever keeps a process goes first, so that it starts no other one; then all that it ever started.
                drop(self.ingresses[n].take());
                let log = fs::read_to_string(self.path(&format!("log-{n}"))).unwrap_or_default();
                let own = self.path("files/desk.toml").display().to_string();
                let started = log.split(" as process ").skip(1);
                for id in
                    started.filter_map(|rest| rest.split_whitespace().next()?.parse::<u32>().ok())
                {
                    let line =
                        fs::read_to_string(format!("/proc/{id}/cmdline")).unwrap_or_default();
                    if line.contains(&own) {
                        end(id, "KILL");
                    }
                }
            }
        }
        for witness in self.witnesses.iter_mut().flatten() {
            let _ = witness.kill();
            let _ = witness.wait();
        }
    }
}

fn short(layout: &Layout, n: usize) -> String {
    match n.checked_sub(layout.ingresses) {
        None => format!("d{n}"),
        Some(w) => format!("w{w}"),
    }
}

/// Waits for a process to end and returns its output. One that does not end, because it hangs or is stopped, is killed: its exit
/// code is then missing.
pub fn output_of(mut child: Child) -> Output {
    let start = Instant::now();
    while child.try_wait().unwrap().is_none() && start.elapsed() < 3 * WAIT_LIMIT {
        thread::sleep(Duration::from_millis(5));
    }
    let _ = child.kill(); // has no effect if it has ended
    child.wait_with_output().unwrap()
}

pub fn told(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned() + &String::from_utf8_lossy(&output.stdout)
}

pub type Answers = Arc<Mutex<Vec<(Answer, Got)>>>;

/// Clients at work.
pub struct Load {
    threads: Vec<JoinHandle<()>>,
    stop: Arc<AtomicBool>,
    answers: Answers,
}

impl Load {
    /// Ends it; all answers that came.
    pub fn stop(self) -> Vec<(Answer, Got)> {
        self.stop.store(true, Ordering::Release);
        self.threads.into_iter().for_each(|t| t.join().unwrap());
        let all = std::mem::take(&mut *self.answers.lock().unwrap());
        all
    }
}

/// Asks one ingress, one request after the other, whatever becomes of the connection.
fn ask_on(name: &str, at: SocketAddr, start: Instant, stop: &AtomicBool, answers: &Answers) {
    static NEXT: AtomicU64 = AtomicU64::new(1 << 40);
    let mut client = None;
    while !stop.load(Ordering::Acquire) {
        thread::sleep(Duration::from_millis(4));
        if client.is_none() {
            let Ok(stream) = TcpStream::connect_timeout(&at, Duration::from_secs(1)) else {
                continue;
            };
            stream
                .set_read_timeout(Some(Duration::from_secs(5)))
                .unwrap();
            client = Some(Client(stream));
        }
        let Some(c) = &mut client else { continue };
        let sent = start.elapsed().as_micros() as u64;
        use std::io::Write;
        let answer = match c.0.write_all(&probe(NEXT.fetch_add(1, Ordering::Relaxed))) {
            Ok(()) => c.answer(),
            Err(_) => String::new(),
        };
        if answer.is_empty() {
            client = None;
            continue;
        }
        let got = got(&answer);
        let policy = if let Got::Policy(p) = &got {
            Some(p.clone())
        } else {
            None
        };
        answers.lock().unwrap().push((
            Answer {
                ingress: name.into(),
                sent,
                policy,
            },
            got,
        ));
    }
}
