//! Plan and apply with real processes: sidecars of one application, `wrenctl`, and crashes of either at every step.

use std::collections::BTreeSet;
use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Command, Output, Stdio};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};
use wrenfork_commit::protocol::{CommitRequest, CommitResponse};
use wrenfork_commit::state::Generation;
use wrenfork_control_plane::{client, failpoints};
use wrenfork_testbed::service_fixture::{
    command, free_address, list, serve, served, until, Act, Backend, Client, Ingress, WAIT_LIMIT,
};

/// How many sidecars there are, where it does not matter.
const THREE: usize = 3;

/// The accounts of the two states that the tests go back and forth between.
const OLD: &str = "00000000000004d3";
const NEW: &str = "00000000000004d4";

fn program(name: &str) -> PathBuf {
    // The ingress stands beside `wrenctl`; a test of the whole workspace builds both.
    Path::new(env!("CARGO_BIN_EXE_wrenctl")).with_file_name(name)
}

/// An application of several sidecars, its files and its folder.
struct Site {
    folder: tempfile::TempDir,
    at: Vec<SocketAddr>,
    peers: Vec<SocketAddr>,
    ingresses: Vec<Option<Ingress>>,
    /// Whether what must survive a crash is kept.
    disk: bool,
    backend: Backend,
}

impl Site {
    fn new(count: usize, disk: bool, backend: Backend) -> Site {
        let folder = tempfile::tempdir().unwrap();
        for name in ["files", "run", "elsewhere"] {
            fs::create_dir(folder.path().join(name)).unwrap();
        }
        let (at, peers) = (
            (0..count).map(|_| free_address()).collect(),
            (0..count).map(|_| free_address()).collect(),
        );
        let ingresses = (0..count).map(|_| None).collect();
        let site = Site {
            folder,
            at,
            peers,
            ingresses,
            disk,
            backend,
        };
        let text = include_str!("../../config/tests/good/site.toml");
        fs::write(site.path("files/site.toml"), text).unwrap();
        fs::write(
            site.path("elsewhere/fleet.json"),
            list(1, true, &[site.backend.entry("s-0001", "up")]),
        )
        .unwrap();
        site.want(&[OLD]);
        site
    }

    /// All of them, started.
    fn started(count: usize) -> Site {
        let mut site = Site::new(count, true, Backend::start(serve));
        (0..count).for_each(|n| site.start(n, ""));
        site
    }

    fn path(&self, name: &str) -> PathBuf {
        self.folder.path().join(name)
    }

    fn control(&self, n: usize) -> PathBuf {
        self.path(&format!("run/{n}"))
    }

    /// Writes the application's file with these accounts.
    fn want(&self, accounts: &[&str]) {
        self.want_more(accounts, "quota = \"50/s\"\nburst = 60\n");
    }

    fn want_more(&self, accounts: &[&str], more: &str) {
        let mut text =
            "version = 1\nkind = \"application\"\nname = \"desk\"\nsite = \"bangna\"\n".to_string();
        text += "sends = [\"quote\", \"save-scenario\"]\n\n";
        for (n, at) in self.at.iter().enumerate() {
            let (peers, control) = (self.peers[n], self.control(n).display().to_string());
            text += &format!(
                "[[sidecar]]\nname = \"d{n}\"\nlisten = \"{at}\"\ndiscovery = \"127.0.0.1:1\"\n"
            );
            text += &format!("peers = \"{peers}\"\ncontrol = \"{control}\"\n");
            if self.disk {
                text += &format!(
                    "state = \"{}\"\n",
                    self.path(&format!("state-{n}")).display()
                );
            }
        }
        for id in accounts {
            text += &format!("\n[[account]]\nid = \"{id}\"\nplan = \"starter\"\n{more}");
        }
        fs::write(self.path("files/desk.toml"), text).unwrap();
    }

    fn start(&mut self, n: usize, fault: &str) {
        self.spawn(n, fault);
        let at = self.at[n];
        until("the sidecar is ready", || {
            std::net::TcpStream::connect(at)
                .is_ok_and(|s| Client(s).ask(&command(&["PING"])) == "+PONG")
        });
    }

    fn spawn(&mut self, n: usize, fault: &str) {
        let (program, folder) = (
            program("wrenfork"),
            self.folder.path().display().to_string(),
        );
        let fault = if fault.is_empty() {
            String::new()
        } else {
            format!("{}={fault} ", failpoints::VARIABLE)
        };
        let line = format!(
            "{fault}exec '{}' --app {folder}/files/desk.toml --fleet {folder}/elsewhere/fleet.json --sidecar d{n}",
            program.display()
        );
        self.ingresses[n] = Some(Ingress::run("", self.at[n], &line));
    }

    /// Waits until one has died by itself, and lets it go.
    fn dead(&mut self, n: usize) {
        let mut ingress = self.ingresses[n].take().unwrap();
        assert!(!ingress.exit().success(), "it was to die");
    }

    fn wrenctl(&self, args: &[&str]) -> Command {
        let mut command = Command::new(env!("CARGO_BIN_EXE_wrenctl"));
        command
            .args(args)
            .current_dir(self.folder.path())
            .env("NO_COLOR", "1")
            .stdin(Stdio::null());
        command
    }

    fn run(&self, args: &[&str]) -> Output {
        self.wrenctl(args).output().unwrap()
    }

    /// The files planned; there must be something to do.
    fn plan(&self, out: &str) {
        let output = self.run(&["plan", "files", "--out", out, "--author", "ann"]);
        assert_eq!(output.status.code(), Some(2), "{}", told(&output));
    }

    fn status(&self, n: usize) -> (Generation, bool) {
        match client::request(&self.control(n), &CommitRequest::Status, WAIT_LIMIT) {
            Ok(CommitResponse::Status {
                generation,
                state,
                prepared: promise,
                ..
            }) => {
                assert_eq!(state.digest(), generation.digest, "half a state");
                (generation, promise.is_some())
            }
            other => panic!("{other:?}"),
        }
    }

    /// Which of the two states one enforces, by what it does and by what it says: one of them whole.
    fn enforces(&self, n: usize) -> &'static str {
        static NEXT: AtomicUsize = AtomicUsize::new(0);
        let mut client = Client::connect(self.at[n]);
        let mut knows = |account: &str| {
            let id = format!("e{}", NEXT.fetch_add(1, Ordering::Relaxed));
            let options = "c=quote,t=starter,d=900,units=1,spread=1,first=0";
            let answer = client.ask(&command(&["CALL.GET", account, &id, options]));
            // A quota that is used up is that of an account that is known.
            let known = answer.starts_with("value") || answer.starts_with("-BUSY");
            assert!(
                known || answer.contains("not this application's"),
                "{answer}"
            );
            known
        };
        match (knows(OLD), knows(NEW)) {
            (true, false) => OLD,
            (false, true) => NEW,
            both => panic!("ingress {n} enforces a mixture: {both:?}"),
        }
    }

    /// All are asked, both ways: they agree, and nothing is promised any more.
    fn agree(&self) -> &'static str {
        let does: BTreeSet<&str> = (0..self.at.len()).map(|n| self.enforces(n)).collect();
        let says: BTreeSet<(u64, String)> = (0..self.at.len())
            .map(|n| self.status(n))
            .map(|(g, promised)| {
                assert!(!promised, "a promise is left");
                (g.number, g.digest.0)
            })
            .collect();
        assert_eq!((does.len(), says.len()), (1, 1), "{does:?} {says:?}");
        does.into_iter().next().unwrap()
    }
}

fn told(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned() + &String::from_utf8_lossy(&output.stdout)
}

fn other(account: &str) -> &'static str {
    if account == OLD {
        NEW
    } else {
        OLD
    }
}

#[test]
fn a_change_is_seen_then_made_everywhere_and_not_made_twice() {
    let site = Site::started(THREE);
    let nothing = site.run(&["plan", "files"]);
    assert_eq!(nothing.status.code(), Some(0), "{}", told(&nothing));
    site.want(&[NEW]);
    let output = site.run(&["plan", "files", "--out", "change.plan", "--author", "ann"]);
    let text = told(&output);
    for part in [
        "+ account 00000000000004d4 = starter~50~60",
        "- account 00000000000004d3",
        "desk/d0, desk/d1, desk/d2",
        "danger: account 00000000000004d3: the account is removed",
        "generation 2, 2 differences at 3 ingresses",
    ] {
        assert!(text.contains(part), "{part} is not in:\n{text}");
    }
    assert!(
        (0..THREE).all(|n| site.enforces(n) == OLD),
        "a plan changes nothing"
    );
    let unasked = site.run(&["apply", "change.plan"]);
    assert!(
        unasked.status.code() == Some(1) && told(&unasked).contains("--yes"),
        "{}",
        told(&unasked)
    );
    let made = site.run(&["apply", "change.plan", "--yes"]);
    assert_eq!(made.status.code(), Some(0), "{}", told(&made));
    assert_eq!(site.agree(), NEW);
    let again = site.run(&["apply", "change.plan", "--yes"]);
    assert_eq!(again.status.code(), Some(1));
    assert!(
        told(&again).contains("applied here already"),
        "{}",
        told(&again)
    );
    assert_eq!(
        site.run(&["plan", "files"]).status.code(),
        Some(0),
        "nothing is left to do"
    );
    // What was done is known at each, and what was before can be had back.
    let history = told(&site.run(&["history", "files"]));
    for part in ["planned", "promised", "made", "ann", "desk/d2"] {
        assert!(history.contains(part), "{part} is not in:\n{history}");
    }
    let back = site.run(&["rollback", "1", "files", "--yes", "--author", "bob"]);
    assert_eq!(back.status.code(), Some(0), "{}", told(&back));
    assert_eq!(
        (site.agree(), site.status(0).0.number),
        (OLD, 3),
        "a rollback is a change like any other"
    );
}

/// Guards against plans that were not made from what is, and against those that nobody may trust any more.
#[test]
fn a_plan_that_does_not_fit_is_refused_and_changes_nothing() {
    let mut site = Site::started(2);
    site.want(&[NEW]);
    site.plan("one.plan");
    site.plan("two.plan");
    assert_eq!(
        site.run(&["apply", "one.plan", "--yes"]).status.code(),
        Some(0)
    );
    let refused = |site: &Site, args: &[&str], why: &str| {
        let output = site.run(args);
        assert_eq!(output.status.code(), Some(1), "{}", told(&output));
        assert!(
            told(&output).contains(why),
            "{why} is not in:\n{}",
            told(&output)
        );
    };
    // The same change made from the same state, by another plan: all have moved.
    refused(
        &site,
        &["apply", "two.plan", "--yes"],
        "applied here already",
    );
    site.want(&[OLD]);
    site.plan("three.plan");
    let text = fs::read_to_string(site.path("three.plan")).unwrap();
    fs::write(site.path("altered.plan"), text.replacen("ann", "bob", 1)).unwrap();
    refused(&site, &["apply", "altered.plan", "--yes"], "was modified");
    fs::write(site.path("half.plan"), &text[..text.len() / 2]).unwrap();
    refused(&site, &["apply", "half.plan", "--yes"], "not a valid plan");
    let output = site.run(&["plan", "files", "--out", "old.plan", "--good-for", "0s"]);
    assert_eq!(output.status.code(), Some(2), "{}", told(&output));
    thread::sleep(Duration::from_millis(1_100));
    refused(&site, &["apply", "old.plan", "--yes"], "was valid for 0 s");
    // One that is gone is missed, unless it is left out by its name.
    site.ingresses[1].as_ref().unwrap().signal("KILL");
    site.dead(1);
    refused(
        &site,
        &["apply", "three.plan", "--yes"],
        "--leave-out desk/d1",
    );
    refused(&site, &["plan", "files"], "--leave-out desk/d1");
    refused(
        &site,
        &["plan", "files", "--leave-out", "desk/d7"],
        "no ingress desk/d7",
    );
    assert_eq!(site.enforces(0), NEW, "nothing has changed");
    let made = site.run(&["apply", "three.plan", "--yes", "--leave-out", "desk/d1"]);
    assert_eq!(made.status.code(), Some(0), "{}", told(&made));
    assert_eq!(site.enforces(0), OLD);
    // It comes back with what it had, whatever the files say, and is planned for.
    site.start(1, "");
    assert_eq!((site.enforces(1), site.enforces(0)), (NEW, OLD));
    site.plan("rest.plan");
    assert_eq!(
        site.run(&["apply", "rest.plan", "--yes"]).status.code(),
        Some(0)
    );
    assert_eq!(site.agree(), OLD);
    // Files that are refused are no plan.
    site.want_more(&[OLD], "quota = \"50\"\n");
    refused(&site, &["plan", "files"], "C106");
}

/// Guards against half a change after a crash of an ingress, at each step that it takes.
#[test]
fn an_ingress_that_dies_at_any_step_leaves_whole_generations() {
    let mut site = Site::started(THREE);
    let mut made = 0;
    for point in failpoints::INGRESS_POINTS
        .iter()
        .filter(|p| !p.starts_with("fence"))
    {
        let was = site.agree();
        drop(site.ingresses[1].take());
        site.start(1, point);
        site.want(&[other(was)]);
        site.plan("change.plan");
        let output = site.run(&["apply", "change.plan", "--yes", "--patience", "300ms"]);
        let code = output.status.code();
        site.dead(1);
        let others: BTreeSet<&str> = [0, 2].map(|n| site.enforces(n)).into();
        assert_eq!(others.len(), 1, "{point}: {}", told(&output));
        site.start(1, "");
        site.enforces(1);
        let ended = site.run(&["apply", "--resume", "files", "--patience", "10s"]);
        assert_eq!(ended.status.code(), Some(0), "{point}: {}", told(&ended));
        let now = site.agree();
        assert_eq!(
            others.first(),
            Some(&now),
            "{point}: the others had decided"
        );
        // What dies before its promise is out has made the change nowhere; from the decision on it is made everywhere.
        let decided = point.starts_with("decide") || *point == "prepare.answered";
        assert_eq!(now != was, decided, "{point}: {}", told(&output));
        assert!(
            code == Some(3) || (code == Some(0) && point.ends_with("answered")),
            "{point}: {code:?}"
        );
        made += usize::from(decided);
    }
    assert!(made >= 6);
}

/// Guards against half a change after a crash of the one who applies it, at each ask and each answer.
#[test]
fn an_applier_that_dies_at_any_step_leaves_whole_generations() {
    let site = Site::started(THREE);
    let mut points = vec![
        "apply.begun".to_string(),
        "apply.decided:1".into(),
        "apply.decided:2".into(),
    ];
    points
        .extend((1..=6).flat_map(|n| [format!("apply.asking:{n}"), format!("apply.answered:{n}")]));
    let (mut made, mut given_up) = (0, 0);
    for point in points {
        let was = site.agree();
        site.want(&[other(was)]);
        site.plan("change.plan");
        let output = site
            .wrenctl(&["apply", "change.plan", "--yes", "--patience", "5s"])
            .env(failpoints::VARIABLE, &point)
            .output()
            .unwrap();
        assert_eq!(
            output.status.code(),
            None,
            "{point}: it was to die: {}",
            told(&output)
        );
        let now: BTreeSet<&str> = (0..THREE).map(|n| site.enforces(n)).collect();
        // While it is open, nobody else changes anything there.
        let promised = (0..THREE).filter(|n| site.status(*n).1).count();
        if promised > 0 {
            let output = site.run(&["plan", "files"]);
            assert!(
                output.status.code() == Some(1) && told(&output).contains("--resume"),
                "{}",
                told(&output)
            );
        }
        let ended = site.run(&["apply", "--resume", "change.plan", "--patience", "10s"]);
        assert_eq!(ended.status.code(), Some(0), "{point}: {}", told(&ended));
        let then = site.agree();
        // Made at one, made at all.
        assert!(now.len() == 1 || then != was, "{point}");
        assert!(!now.contains(other(was)) || then != was, "{point}");
        *(if then == was {
            &mut given_up
        } else {
            &mut made
        }) += 1;
    }
    assert!(
        made >= 3 && given_up >= 3,
        "{made} made, {given_up} given up"
    );
}

/// Both at once, and the recovery's own crash.
#[test]
fn an_ingress_and_the_applier_that_die_together_leave_whole_generations() {
    let mut site = Site::started(THREE);
    for (ingress, applier) in [
        ("prepare.written", "apply.answered:2"),
        ("prepare.answered", "apply.answered:3"),
        ("decide.written", "apply.answered:5"),
        ("decide.switched", "apply.decided:2"),
        ("decide.heard", "apply.answered:5"),
    ] {
        let was = site.agree();
        drop(site.ingresses[1].take());
        site.start(1, ingress);
        site.want(&[other(was)]);
        site.plan("change.plan");
        let _ = site
            .wrenctl(&["apply", "change.plan", "--yes", "--patience", "300ms"])
            .env(failpoints::VARIABLE, applier)
            .output()
            .unwrap();
        // It may live on where the applier died first.
        site.ingresses[1].as_ref().unwrap().signal("KILL");
        site.dead(1);
        site.start(1, "fence.written");
        assert!((0..THREE).all(|n| [OLD, NEW].contains(&site.enforces(n))));
        let _ = site.run(&["apply", "--resume", "files", "--patience", "300ms"]);
        site.ingresses[1].as_ref().unwrap().signal("KILL");
        site.dead(1);
        site.start(1, "");
        let ended = site.run(&["apply", "--resume", "files", "--patience", "10s"]);
        assert_eq!(
            ended.status.code(),
            Some(0),
            "{ingress} {applier}: {}",
            told(&ended)
        );
        site.agree();
    }
}

/// Two who apply at once, the same plan and different ones: one change at the most is made, and it is made everywhere.
#[test]
fn two_who_apply_at_once_make_one_change_at_the_most() {
    let site = Site::started(THREE);
    let mut made = 0;
    for round in 0..8 {
        let was = site.agree();
        site.want(&[other(was)]);
        site.plan("one.plan");
        if round % 2 == 0 {
            // Another plan from the same state, with another quota.
            site.want_more(&[other(was)], "quota = \"40/s\"\nburst = 60\n");
        }
        let output = site.run(&["plan", "files", "--out", "two.plan", "--author", "bob"]);
        assert_eq!(output.status.code(), Some(2), "{}", told(&output));
        let both: Vec<_> = ["one.plan", "two.plan"]
            .iter()
            .map(|p| {
                site.wrenctl(&["apply", p, "--yes", "--patience", "5s"])
                    .stderr(Stdio::piped())
                    .spawn()
                    .unwrap()
            })
            .collect();
        let codes: Vec<Option<i32>> = both
            .into_iter()
            .map(|c| c.wait_with_output().unwrap().status.code())
            .collect();
        let ended = site.run(&["apply", "--resume", "files", "--patience", "10s"]);
        assert_eq!(ended.status.code(), Some(0), "{}", told(&ended));
        site.agree();
        let zeros = codes.iter().filter(|c| **c == Some(0)).count();
        assert!(zeros <= 1, "{codes:?}");
        made += zeros;
    }
    assert!(made > 0, "of eight pairs not one was made");
}

/// Guards against an ingress that is frozen or cut off through the switch and then serves under what was.
#[test]
fn a_frozen_ingress_is_told_once_it_goes_on() {
    let site = Site::started(THREE);
    site.want(&[NEW]);
    site.plan("change.plan");
    let mut apply = site.wrenctl(&["apply", "change.plan", "--yes", "--patience", "1s"]);
    // Stopped in the middle: all have promised, and one can't be told.
    apply.env(failpoints::VARIABLE, "apply.decided:1");
    assert_eq!(apply.output().unwrap().status.code(), None);
    site.ingresses[2].as_ref().unwrap().signal("STOP");
    let output = site.run(&["apply", "--resume", "change.plan", "--patience", "100ms"]);
    site.ingresses[2].as_ref().unwrap().signal("CONT");
    assert_eq!(output.status.code(), Some(3), "{}", told(&output));
    assert!(told(&output).contains("desk/d2"), "{}", told(&output));
    let ended = site.run(&["apply", "--resume", "change.plan", "--patience", "10s"]);
    assert_eq!(ended.status.code(), Some(0), "{}", told(&ended));
    site.agree();
}

/// Guards against a change that ends or fails what is under way, or that holds on to what it took away.
#[test]
fn what_is_open_ends_under_the_generation_in_which_it_came() {
    let slow = Backend::start(|args| Act::Later(Duration::from_millis(700), served(args)));
    let mut site = Site::new(1, true, slow);
    site.start(0, "");
    let mut client = Client::connect(site.at[0]);
    let options = "c=quote,t=starter,d=5000,units=1,spread=1,first=0";
    client.send(&command(&["CALL.GET", OLD, "open", options]));
    until("it is at the backend", || site.backend.count() == 1);
    site.want(&[NEW]);
    site.plan("change.plan");
    assert_eq!(
        site.run(&["apply", "change.plan", "--yes"]).status.code(),
        Some(0)
    );
    assert_eq!(
        client.answer(),
        "value of open",
        "its account went while it was under way"
    );
    let answer = client.ask(&command(&["CALL.GET", OLD, "after", options]));
    assert!(answer.contains("not this application's"), "{answer}");
}

/// Full load through a change of quota: no answer is lost or is an error, and the quotas hold over the change.
#[test]
fn a_quota_that_changes_under_load_is_kept_before_and_after_and_nothing_fails() {
    let mut site = Site::new(2, true, Backend::start(serve));
    site.want_more(&[OLD], "quota = \"20/s\"\nburst = 20\n");
    (0..2).for_each(|n| site.start(n, ""));
    let (stop, asked) = (AtomicBool::new(false), AtomicUsize::new(0));
    let start = Instant::now();
    let (served, switched, took) = thread::scope(|scope| {
        let clients: Vec<_> = (0..4)
            .map(|c| {
                let (at, stop, asked) = (site.at[c % 2], &stop, &asked);
                scope.spawn(move || {
                    let (mut client, mut served) = (Client::connect(at), 0);
                    while !stop.load(Ordering::Relaxed) {
                        let id = format!("l{}", asked.fetch_add(1, Ordering::Relaxed));
                        let options = "c=quote,t=starter,d=900,units=1,spread=2,first=0";
                        let answer = client.ask(&command(&["CALL.GET", OLD, &id, options]));
                        assert!(
                            answer.starts_with("value") || answer.starts_with("-BUSY"),
                            "{answer}"
                        );
                        served += usize::from(answer.starts_with("value"));
                        thread::sleep(Duration::from_millis(5));
                    }
                    served
                })
            })
            .collect();
        thread::sleep(Duration::from_secs(2));
        site.want_more(&[OLD], "quota = \"60/s\"\nburst = 20\n");
        site.plan("change.plan");
        let made = site.run(&["apply", "change.plan", "--yes"]);
        assert_eq!(made.status.code(), Some(0), "{}", told(&made));
        let switched = start.elapsed();
        thread::sleep(Duration::from_secs(2));
        stop.store(true, Ordering::Relaxed);
        let served: usize = clients.into_iter().map(|c| c.join().unwrap()).sum();
        (
            served,
            switched.as_secs_f64(),
            start.elapsed().as_secs_f64(),
        )
    });
    // A raised quota does not refill: the burst counts once. A tenth and two requests are what two ingresses may be off.
    let most = 20.0 + 20.0 * switched + 60.0 * (took - switched);
    assert!(served as f64 <= most * 1.1 + 2.0, "{served} of {most:.0}");
    assert!(
        served as f64 >= most * 0.6,
        "{served} of {most:.0}: the new quota is not given"
    );
    assert_eq!(site.backend.count(), served, "each once");
}

/// Without a folder, one that restarts takes what the others enforce, not what the files want.
#[test]
fn without_a_disk_one_that_restarts_takes_what_the_others_enforce() {
    let mut site = Site::new(2, false, Backend::start(serve));
    (0..2).for_each(|n| site.start(n, ""));
    site.want(&[NEW]);
    site.plan("change.plan");
    assert_eq!(
        site.run(&["apply", "change.plan", "--yes"]).status.code(),
        Some(0)
    );
    site.want(&[OLD]); // wanted, and not applied
    drop(site.ingresses[1].take());
    site.start(1, "");
    assert_eq!(site.agree(), NEW);
}

/// What an older program does not know is refused by its key, and so are a message of another version and garbage.
#[test]
fn what_an_ingress_does_not_know_it_refuses_and_serves_on() {
    let site = Site::started(1);
    let at = site.control(0);
    let Ok(CommitResponse::Status {
        generation, state, ..
    }) = client::request(&at, &CommitRequest::Status, WAIT_LIMIT)
    else {
        panic!()
    };
    let mut state = wrenfork_commit::state::State::clone(&state);
    state.0.insert("contracts.0.colour".into(), "red".into());
    let next = Generation {
        number: generation.number + 1,
        digest: state.digest(),
    };
    let promise = wrenfork_commit::protocol::PreparedVote {
        change: wrenfork_commit::state::Digest("c".into()),
        base: generation,
        next,
        author: "ann".into(),
        members: vec!["desk/d0".into()],
    };
    let said = client::request(
        &at,
        &CommitRequest::Prepare {
            vote: promise,
            ballot: 1,
            state: state.into(),
        },
        WAIT_LIMIT,
    )
    .unwrap();
    assert!(
        matches!(&said, CommitResponse::Rejected { reason: why } if why.contains("contracts.0.colour")),
        "{said:?}"
    );
    for line in ["{\"v\":9,\"ask\":\"status\"}\n", "garbage\n", "\n"] {
        use std::io::{Read, Write};
        let mut stream = std::os::unix::net::UnixStream::connect(&at).unwrap();
        stream.write_all(line.as_bytes()).unwrap();
        stream.shutdown(std::net::Shutdown::Write).unwrap();
        let mut answer = String::new();
        stream.read_to_string(&mut answer).unwrap();
        assert!(answer.contains("\"say\":\"no\""), "{line}: {answer}");
    }
    assert_eq!(site.enforces(0), OLD);
}

/// One folder is one process's, and a socket a living one's: the second is refused, and the first goes on.
#[test]
fn a_second_process_on_the_same_folder_or_socket_is_refused() {
    let mut site = Site::started(2);
    let text = fs::read_to_string(site.path("files/desk.toml")).unwrap();
    drop(site.ingresses[1].take());
    let (own, others) = (site.path("state-1"), site.path("state-0"));
    let shared = text.replace(&own.display().to_string(), &others.display().to_string());
    // The check would refuse the file, so it is told by the command line.
    assert!(shared != text);
    let line = format!(
        "exec '{}' --app {}/files/desk.toml --sidecar d1 --state {}",
        program("wrenfork").display(),
        site.folder.path().display(),
        others.display()
    );
    let mut second = Ingress::run("", site.at[1], &line);
    assert_eq!(second.exit().code(), Some(1));
    let log = second.log();
    assert!(log.contains("another process has the folder"), "{log}");
    let line = format!(
        "{} --control {}",
        line.replace("state-0", "state-9"),
        site.control(0).display()
    );
    let mut second = Ingress::run("", site.at[1], &line);
    assert_eq!(second.exit().code(), Some(1));
    let log = second.log();
    assert!(log.contains("another process listens there"), "{log}");
    site.start(1, "");
    assert_eq!(site.agree(), OLD);
}

/// A disk that takes nothing more refuses the change: nothing has changed anywhere, all serve on, and once it has room again
/// the same change is made without a restart and kept.
#[test]
fn a_full_disk_refuses_the_change_and_serves_on() {
    use rustix::process::{prlimit, Pid, Resource, Rlimit};
    let mut site = Site::started(2);
    let id = Pid::from_raw(site.ingresses[1].as_ref().unwrap().child.id() as i32);
    // A file that may not grow fails in its writes just as one on a full disk does.
    let room = |most| {
        prlimit(
            id,
            Resource::Fsize,
            Rlimit {
                current: most,
                maximum: None,
            },
        )
        .unwrap()
    };
    room(Some(0));
    site.want(&[NEW]);
    site.plan("change.plan");
    let output = site.run(&["apply", "change.plan", "--yes", "--patience", "1s"]);
    let said = told(&output);
    assert_eq!(output.status.code(), Some(3), "{said}");
    assert!(
        said.contains("desk/d1 can't store the change: the disk"),
        "{said}"
    );
    assert!(said.contains("nothing has changed"), "{said}");
    assert_eq!(site.agree(), OLD);
    assert!(!site.status(0).1 && !site.status(1).1, "a promise is left");
    room(None);
    site.plan("change.plan");
    let output = site.run(&["apply", "change.plan", "--yes"]);
    assert_eq!(output.status.code(), Some(0), "{}", told(&output));
    assert_eq!(site.agree(), NEW);
    for n in 0..2 {
        drop(site.ingresses[n].take());
        site.start(n, "");
    }
    assert_eq!(site.agree(), NEW, "what was made outlives a crash");
}

/// A canary that loses more is taken back, and the others never see the change.
#[test]
fn a_canary_that_loses_more_is_taken_back() {
    let mut site = Site::new(2, true, Backend::start(serve));
    site.want(&[OLD]);
    (0..2).for_each(|n| site.start(n, ""));
    let stop = AtomicBool::new(false);
    let output = thread::scope(|scope| {
        for n in 0..2 {
            let (at, stop) = (site.at[n], &stop);
            scope.spawn(move || {
                let mut client = Client::connect(at);
                for id in 0.. {
                    if stop.load(Ordering::Relaxed) {
                        return;
                    }
                    let options = "c=quote,t=starter,d=900,units=1,spread=2,first=0";
                    client.ask(&command(&["CALL.GET", OLD, &format!("c{n}x{id}"), options]));
                    thread::sleep(Duration::from_millis(50));
                }
            });
        }
        site.want_more(&[OLD], "quota = \"1/s\"\nburst = 3\n");
        site.plan("change.plan");
        let output = site.run(&[
            "apply",
            "change.plan",
            "--yes",
            "--canary",
            "1",
            "--watch",
            "2s",
        ]);
        stop.store(true, Ordering::Relaxed);
        output
    });
    assert_eq!(output.status.code(), Some(1), "{}", told(&output));
    assert!(
        told(&output).contains("taking it back"),
        "{}",
        told(&output)
    );
    // A change and its undoing at the first, nothing at the second; both enforce the same.
    assert_eq!((site.status(0).0.number, site.status(1).0.number), (3, 1));
    assert_eq!(site.status(0).0.digest, site.status(1).0.digest);
}

/// A route is changed like all else: from one answer to the next requests go to the other pool.
#[test]
fn a_route_that_changes_sends_requests_to_other_nodes() {
    let (other, mut site) = (
        Backend::start(serve),
        Site::new(1, true, Backend::start(serve)),
    );
    let nodes = [
        site.backend.entry("s-0001", "up"),
        other.entry("s-0002", "up"),
    ];
    fs::write(site.path("elsewhere/fleet.json"), list(1, true, &nodes)).unwrap();
    let pools = |pool: &str| {
        format!(
            "quota = \"9/s\"\nburst = 60\n\n[[pool]]\nname = \"one\"\nnodes = [\"s-0001\"]\n\n[[pool]]\nname = \"two\"\n\
             nodes = [\"s-0002\"]\n\n[[route]]\nclass = \"quote\"\npool = \"{pool}\"\n\n[[route]]\n\
             class = \"save-scenario\"\npool = \"{}\"\n",
            if pool == "one" { "two" } else { "one" }
        )
    };
    site.want_more(&[OLD], &pools("one"));
    site.start(0, "");
    let mut client = Client::connect(site.at[0]);
    let mut ask = |n: usize| {
        let options = "c=quote,t=starter,d=900,units=1,spread=1,first=0";
        assert!(client
            .ask(&command(&["CALL.GET", OLD, &format!("r{n}"), options]))
            .starts_with("value"));
    };
    (0..5).for_each(&mut ask);
    assert_eq!((site.backend.count(), other.count()), (5, 0));
    // What the other pool has left is drained: its only node takes no work, and whoever plans is told.
    site.want_more(
        &[OLD],
        &pools("two").replace("[\"s-0002\"]", "[\"s-0009\"]"),
    );
    let output = site.run(&["plan", "files"]);
    assert!(
        told(&output).contains("route quote pool: it loses its last healthy node"),
        "{}",
        told(&output)
    );
    assert!(
        told(&output).contains("danger: route quote pool"),
        "{}",
        told(&output)
    );
    site.want_more(&[OLD], &pools("two"));
    let output = site.run(&["plan", "files", "--out", "change.plan"]);
    assert!(
        told(&output).contains("~ route quote pool: one to two"),
        "{}",
        told(&output)
    );
    assert_eq!(
        site.run(&["apply", "change.plan", "--yes"]).status.code(),
        Some(0)
    );
    (5..10).for_each(&mut ask);
    assert_eq!((site.backend.count(), other.count()), (5, 5));
}
