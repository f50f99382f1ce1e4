//! The operators' address by its sockets, and settings that change while requests are open: the built binary between stand-ins.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};
use wrenfork_testbed::service_fixture::operators::{ask, figure};
use wrenfork_testbed::service_fixture::{
    call, call_of, command, free_address, serve, served, until, Act, Backend, Client, Discovery,
    Setup,
};

/// A setup whose ingress listens for operators.
fn setup(backends: &[&Backend]) -> (Setup, SocketAddr) {
    let (mut setup, at) = (
        Setup::of(env!("CARGO_BIN_EXE_wrenfork"), backends),
        free_address(),
    );
    setup.more = format!(r#""management":"{at}","#);
    (setup, at)
}

fn ended(at: SocketAddr, class: &str) -> [u64; 3] {
    ["fulfilled", "throttled", "faulted"]
        .map(|end| figure(at, &format!("ingress.operations.{class}.{end}")))
}

// ---- Figures ----

const CLASSES: [&str; 3] = ["quote", "save", "refer"];

/// How an answer counts: as served, rejected or failed.
fn end_of(answer: &str) -> usize {
    if answer.starts_with("value") {
        0
    } else {
        1 + usize::from(!answer.starts_with("-BUSY"))
    }
}

/// Guards against figures that are guessed beside what happened: each is held against what clients and backends counted.
#[test]
fn telemetry_matches_what_clients_and_backends_counted() {
    let held = Arc::new(AtomicUsize::new(0));
    let holding = held.clone();
    let backend = Backend::start(move |args| match &args[2][..1] {
        "f" => Act::Say(b"-ERR failed\r\n".to_vec()),
        "h" => {
            holding.fetch_add(1, Ordering::SeqCst);
            Act::Later(Duration::from_millis(700), served(args))
        }
        _ => serve(args),
    });
    let (setup, at) = setup(&[&backend]);
    let ingress = setup.start();
    let mut client = ingress.client();
    let mut saw = [[0; 3]; 3]; // by class: served, refused, failed
    for n in 0..40 {
        // A burst of 7 lets some of one customer's through; the others have a customer each.
        let (class, kind) = [
            ("quote", "a"),
            ("save", "b"),
            ("refer", "f"),
            ("quote", "q"),
        ][n % 4];
        let id = format!("{kind}{n}");
        let asked = if kind == "q" {
            call_of(99, class, &id, 900)
        } else {
            call(class, &id, 900)
        };
        let place = CLASSES.iter().position(|c| *c == class).unwrap();
        saw[place][end_of(&client.ask(&asked))] += 1;
    }
    // An id that is not new is answered here, and counts as failed.
    assert!(client.ask(&call("save", "b37", 900)).starts_with("-ERR"));
    saw[1][2] += 1;
    assert!(saw[0][1] > 0 && saw[2][2] > 0, "{saw:?}");
    let had = CLASSES.map(|class| ended(at, class));
    assert_eq!(had, saw);
    assert_eq!(figure(at, "ingress.relayed"), backend.count() as u64);
    assert_eq!(
        (
            figure(at, "ingress.registry_entries"),
            figure(at, "ingress.open_requests")
        ),
        (1, 0)
    );
    for n in 0..5 {
        client.send(&call("refer", &format!("h{n}"), 2900));
    }
    // Some wait for a place, which is open as well.
    until("all are open", || figure(at, "ingress.open_requests") == 5);
    // Open here is not yet heard there: the backend reads in its own time.
    until("one is with the backend", || {
        held.load(Ordering::SeqCst) > 0
    });
    (0..5).for_each(|n| assert_eq!(client.answer(), format!("value of h{n}")));
    assert_eq!(figure(at, "ingress.open_requests"), 0);
}

/// Guards against a backend that counts as used while nothing is sent to it.
#[test]
fn a_draining_backend_is_listed_and_out_of_rotation() {
    let (one, two, discovery) = (
        Backend::start(serve),
        Backend::start(serve),
        Discovery::start(),
    );
    let (mut setup, at) = setup(&[&one, &two]);
    setup.discovery = Some(discovery.at);
    let _ingress = setup.start();
    let rotation = || {
        (
            figure(at, "ingress.registry_entries"),
            figure(at, "ingress.out_of_rotation"),
        )
    };
    until("the list holds", || rotation() == (2, 0));
    discovery.tell(two.entry("s-1", "draining"));
    assert_eq!(rotation(), (2, 1));
    discovery.tell(two.entry("s-1", "removed"));
    assert_eq!(rotation(), (1, 0));
}

// ---- Calls ----

#[test]
fn an_invalid_line_is_refused_and_a_good_one_needs_no_end_of_input() {
    let backend = Backend::start(serve);
    let (setup, at) = setup(&[&backend]);
    let mut ingress = setup.start();
    assert_eq!(ask(at, "readyz\n"), "+OK ready\r\n");
    assert_eq!(ask(at, "readyz\r\nand more\n"), "+OK ready\r\n");
    for bad in [
        "\n",
        "ready\n",
        "*1\r\n$4\r\nPING\r\n",
        &format!("{}\n", "x".repeat(300)),
        &"y".repeat(4000),
    ] {
        assert!(ask(at, bad).starts_with("-ERR "), "{bad}");
    }
    // In pieces.
    let mut stream = TcpStream::connect(at).unwrap();
    for piece in ["rea", "dy", "z\n"] {
        stream.write_all(piece.as_bytes()).unwrap();
        thread::sleep(Duration::from_millis(20));
    }
    let mut text = String::new();
    stream.read_to_string(&mut text).unwrap();
    assert_eq!(text, "+OK ready\r\n");
    // Told to stop, it is ready no more; while it still answers.
    let mut client = ingress.client();
    ingress.signal("TERM");
    until("it says that it stops", || {
        ask(at, "readyz\n").starts_with("-ERR stopping")
    });
    assert_eq!(client.ask(&call("quote", "q1", 900)), "value of q1");
    drop(client);
    assert_eq!(ingress.exit().code(), Some(0));
}

/// Guards against callers that say nothing, or go on and on, for whom another call or a client has to wait.
#[test]
fn endless_connections_of_operators_keep_out_neither_operators_nor_clients() {
    let backend = Backend::start(serve);
    let (mut setup, at) = setup(&[&backend]);
    setup.sockets = 64;
    let ingress = setup.start();
    let mut silent: Vec<TcpStream> = Vec::new();
    for n in 0..60 {
        let mut stream = TcpStream::connect(at).unwrap();
        if n % 2 == 1 {
            let _ = stream.write_all(b"telem"); // half a line; it may have been made to go already
        }
        silent.push(stream);
        if n % 10 == 9 {
            assert_eq!(ask(at, "readyz\n"), "+OK ready\r\n");
            assert!(ask(at, "telemetry\n").ends_with(".\n"));
            assert_eq!(
                ingress.client().ask(&call("quote", &format!("q{n}"), 900)),
                format!("value of q{n}")
            );
        }
    }
    // And with no descriptor left for clients.
    let held: Vec<Client> = (0..60).map(|_| ingress.client()).collect();
    assert_eq!(ask(at, "readyz\n"), "+OK ready\r\n");
    drop((silent, held));
}

/// Guards against a caller that ends its sending behind its line, as many tools do, and has no answer for it.
#[test]
fn an_operator_that_half_closed_gets_its_answer() {
    let backend = Backend::start(serve);
    let (setup, at) = setup(&[&backend]);
    let _ingress = setup.start();
    for line in ["readyz\n", "readyz"] {
        let mut stream = TcpStream::connect(at).unwrap();
        stream.write_all(line.as_bytes()).unwrap();
        stream.shutdown(Shutdown::Write).unwrap();
        let mut text = String::new();
        stream.read_to_string(&mut text).unwrap();
        assert_eq!(text, "+OK ready\r\n", "{line:?}");
    }
}

#[test]
fn without_endpoints_it_is_not_ready() {
    let (setup, at) = setup(&[]);
    let _ingress = setup.start();
    assert!(ask(at, "readyz\n").starts_with("-ERR no backend"));
}

// ---- Settings that change ----

/// What a platform's retuning does: quote goes, report comes and is unsafe, save is safe to repeat now, one attempt is left.
fn retuned(settings: &str) -> String {
    settings
        .replace(
            r#""name":"quote","effect":"repeatable""#,
            r#""name":"report","effect":"once""#,
        )
        .replace(
            r#""name":"save","effect":"by_key""#,
            r#""name":"save","effect":"repeatable""#,
        )
        .replace(r#""most_tries":3"#, r#""most_tries":1"#)
}

/// Guards against requests that change their rules while they are open, and against classes that mix with others' places.
#[test]
fn classes_change_and_open_requests_keep_their_settings() {
    let held = Arc::new(AtomicUsize::new(0));
    let holding = held.clone();
    // The first attempt at what begins with an h is held, then fails; a second one is served.
    let backend = Backend::start(move |args| {
        if args[2].starts_with('h') && holding.fetch_add(1, Ordering::SeqCst) == 0 {
            return Act::Later(Duration::from_millis(250), b"-ERR failed\r\n".to_vec());
        }
        serve(args)
    });
    let other = Backend::start(serve);
    let (mut setup, at) = setup(&[&backend]);
    let ingress = setup.start();
    let mut client = ingress.client();
    assert_eq!(client.ask(&call("quote", "q1", 900)), "value of q1");
    client.send(&call("quote", "h1", 900));
    until("it is held", || held.load(Ordering::SeqCst) == 1);
    setup.settings = retuned(&setup.settings);
    ingress.configure(&setup.config(ingress.at));
    ingress.signal("HUP");
    until("the file is taken", || {
        figure(at, "ingress.cfg_accepted") == 1
    });
    // Open, it is still repeatable and may have three attempts.
    assert_eq!(client.answer(), "value of h1");
    assert!(client
        .ask(&call("quote", "q2", 900))
        .starts_with("-ERR the class is unknown"));
    let post = |class: &str, id: &str| {
        let options = format!("c={class},t=starter,d=900,units=1,spread=1,first=0");
        command(&["CALL.POST", "00000000000004d3", id, &options, "BODY"])
    };
    let get = |class: &str, id: &str| {
        let options = format!("c={class},t=starter,d=900,units=1,spread=1,first=0");
        command(&["CALL.GET", "00000000000004d4", id, &options])
    };
    assert_eq!(client.ask(&post("report", "r1")), "value of r1");
    assert_eq!(client.ask(&get("save", "s1")), "value of s1");
    assert!(
        client.ask(&post("save", "s2")).starts_with("-ERR"),
        "it is safe to repeat now"
    );
    assert_eq!(
        (ended(at, "quote"), ended(at, "report")),
        ([2, 0, 0], [1, 0, 0]),
        "counts go with the name"
    );
    // One attempt: what fails is not sent again.
    held.store(0, Ordering::SeqCst);
    assert!(!client.ask(&get("save", "h2")).starts_with("value"));
    assert_eq!(held.load(Ordering::SeqCst), 1);
    assert_eq!(other.count(), 0);
}

/// What is wrong in a file: a part of a good one, what stands there instead, and what the log has to name.
const BROKEN: [(&str, &str, &str); 17] = [
    (
        r#""give_up_us":1000000"#,
        r#""give_up_us":0"#,
        "grades.0.give_up_us",
    ),
    (
        r#""give_up_us":1000000"#,
        r#""give_up_us":-5"#,
        "grades.0.give_up_us",
    ),
    (
        r#""give_up_us":1000000"#,
        r#""give_up_us":"soon""#,
        "grades.0.give_up_us",
    ),
    (
        r#""give_up_us":1000000"#,
        r#""give_up_us":1e300"#,
        "grades.0.give_up_us",
    ),
    (
        r#""give_up_us":1000000"#,
        r#""give_up_us":null"#,
        "grades.0.give_up_us",
    ),
    (r#""give_up_us":1000000,"#, "", "grades.0.give_up_us"),
    (
        r#""most_tries":3"#,
        r#""most_tries":0"#,
        "limits.most_tries",
    ),
    (
        r#""most_tries":3"#,
        r#""most_tries":-1"#,
        "limits.most_tries",
    ),
    (
        r#""most_tries":3"#,
        r#""most_tries":2.5"#,
        "limits.most_tries",
    ),
    (
        r#""most_tries":3"#,
        r#""most_tries":4294967295"#,
        "limits.most_tries",
    ),
    (r#""most_tries":3,"#, "", "limits.most_tries"),
    (
        r#""effect":"once""#,
        r#""effect":"sometimes""#,
        "grades.2.effect",
    ),
    (r#""name":"save""#, r#""name":"quote""#, "quote"),
    (r#""name":"quote","#, "", "grades.0.name"),
    (r#""settings":"#, r#""setting":"#, "settings is missing"),
    (r#""grades":["#, r#""grades":[7,"#, "grades"),
    (r#""known":"#, r#""known_":"#, "known is missing"),
];

/// Guards against a slip that stops the service: of a broken file nothing is taken, it counts once, and the log names its place.
#[test]
fn a_broken_file_changes_nothing() {
    let (one, two) = (Backend::start(serve), Backend::start(serve));
    let (mut setup, at) = setup(&[&one]);
    let trap = Discovery::start();
    trap.change(two.entry("s-7", "up"));
    let mut ingress = setup.start();
    let good = setup.config(ingress.at);
    setup.discovery = Some(trap.at); // what would be taken of a broken file
    let told = setup.config(ingress.at);
    let mut broken: Vec<(String, &str)> = BROKEN
        .map(|(from, to, why)| (told.replace(from, to), why))
        .to_vec();
    broken.extend([
        (String::new(), "cut off"),
        ("[]".into(), "settings is missing"),
        ("nonsense".into(), "no JSON"),
    ]);
    broken.extend((1..8).map(|part| (told[..told.len() * part / 8].to_string(), "cut off")));
    let mut client = ingress.client();
    for (n, (file, _)) in broken.iter().enumerate() {
        assert_ne!(*file, told, "file {n} is not broken");
        ingress.configure(file);
        ingress.signal("HUP");
        until("the file has its verdict", || {
            figure(at, "ingress.cfg_invalid") == n as u64 + 1
        });
        assert_eq!(
            client.ask(&call("quote", &format!("q{n}"), 900)),
            format!("value of q{n}")
        );
    }
    ingress.configure(&good);
    ingress.signal("HUP");
    until("a good one is taken", || {
        figure(at, "ingress.cfg_accepted") == 1
    });
    assert_eq!(figure(at, "ingress.cfg_invalid"), broken.len() as u64);
    assert_eq!((two.count(), trap.calls.load(Ordering::SeqCst)), (0, 0));
    ingress.signal("TERM");
    drop(client);
    assert_eq!(ingress.exit().code(), Some(0));
    assert_each_is_named(&ingress.log(), &broken);
}

/// Whether the log has a line for each refused file, with what is wrong in it.
fn assert_each_is_named(log: &str, broken: &[(String, &str)]) {
    let lines: Vec<&str> = log
        .lines()
        .filter(|l| l.contains("reload: ") && l.contains("WARN"))
        .collect();
    assert_eq!(lines.len(), broken.len(), "a line for each: {log}");
    for ((_, why), line) in broken.iter().zip(lines) {
        assert!(line.contains(why), "{why} is not named: {line}");
    }
}

/// Guards against an answer that waits for a turn that is busy: thousands of requests at once, and calls among them.
#[test]
fn operators_are_answered_under_load() {
    let backend = Backend::start(serve);
    let (setup, at) = setup(&[&backend]);
    let ingress = setup.start();
    let flood = thread::spawn({
        let mut client = ingress.client();
        move || {
            for burst in 0..40 {
                let many: Vec<u8> = (0..100)
                    .flat_map(|n| call("quote", &format!("b{burst}-{n}"), 900))
                    .collect();
                client.send(&many);
                (0..100).for_each(|_| drop(client.answer()));
            }
        }
    });
    let (mut calls, mut slowest) = (0, Duration::ZERO);
    while !flood.is_finished() || calls < 20 {
        let start = Instant::now();
        assert!(ask(at, "telemetry\n").ends_with("\n.\n"));
        slowest = slowest.max(start.elapsed());
        calls += 1;
    }
    flood.join().unwrap();
    let all: u64 = ended(at, "quote").iter().sum();
    assert_eq!(
        all, 4000,
        "each has one end; the slowest call took {slowest:?}"
    );
}
