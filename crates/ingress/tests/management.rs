//! The management address seen through its sockets, and settings that change while requests are open: the built binary
//! with stand-in backends and discovery.

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

/// A setup whose ingress listens for operators; returns it with the management address.
fn setup(backends: &[&Backend]) -> (Setup, SocketAddr) {
    let (mut setup, at) = (
        Setup::of(env!("CARGO_BIN_EXE_wrenfork"), backends),
        free_address(),
    );
    setup.more = format!(r#""management":"{at}","#);
    (setup, at)
}

fn outcome_counts(at: SocketAddr, class: &str) -> [u64; 3] {
    ["fulfilled", "throttled", "faulted"]
        .map(|end| figure(at, &format!("ingress.operations.{class}.{end}")))
}

// ---- Telemetry ----

const CLASSES: [&str; 3] = ["quote", "save", "refer"];

/// The index of an answer's outcome: 0 served, 1 rejected, 2 failed.
fn outcome_index(answer: &str) -> usize {
    if answer.starts_with("value") {
        0
    } else {
        1 + usize::from(!answer.starts_with("-BUSY"))
    }
}

/// Guards against telemetry that differs from what happened: each figure is compared with the counts of clients and
/// backends.
#[test]
fn telemetry_matches_what_clients_and_backends_counted() {
    let attempt_count = Arc::new(AtomicUsize::new(0));
    let attempt_counter = attempt_count.clone();
    let backend = Backend::start(move |args| match &args[2][..1] {
        "f" => Act::Say(b"-ERR failed\r\n".to_vec()),
        "h" => {
            attempt_counter.fetch_add(1, Ordering::SeqCst);
            Act::Later(Duration::from_millis(700), served(args))
        }
        _ => serve(args),
    });
    let (setup, at) = setup(&[&backend]);
    let ingress = setup.start();
    let mut client = ingress.client();
    let mut observed = [[0; 3]; 3]; // by class: served, rejected, failed
    for n in 0..40 {
        // The `q` requests share one customer, whose burst of 7 admits some of them; all others have a customer each.
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
        let class_index = CLASSES.iter().position(|c| *c == class).unwrap();
        observed[class_index][outcome_index(&client.ask(&asked))] += 1;
    }
    // A duplicate id is answered by the ingress and counts as failed.
    assert!(client.ask(&call("save", "b37", 900)).starts_with("-ERR"));
    observed[1][2] += 1;
    assert!(observed[0][1] > 0 && observed[2][2] > 0, "{observed:?}");
    let reported = CLASSES.map(|class| outcome_counts(at, class));
    assert_eq!(reported, observed);
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
    // Requests that wait for a concurrency slot count as open too.
    until("all requests are open", || {
        figure(at, "ingress.open_requests") == 5
    });
    // A request open in the ingress may not have been read by the backend yet.
    until("one request reaches the backend", || {
        attempt_count.load(Ordering::SeqCst) > 0
    });
    (0..5).for_each(|n| assert_eq!(client.answer(), format!("value of h{n}")));
    assert_eq!(figure(at, "ingress.open_requests"), 0);
}

/// Guards against counting a backend as in rotation while it gets no requests.
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
    until("the endpoint list is applied", || rotation() == (2, 0));
    discovery.tell(two.entry("s-1", "draining"));
    assert_eq!(rotation(), (2, 1));
    discovery.tell(two.entry("s-1", "removed"));
    assert_eq!(rotation(), (1, 0));
}

// ---- Management calls ----

#[test]
fn an_invalid_line_is_refused_and_a_valid_one_needs_no_end_of_input() {
    let backend = Backend::start(serve);
    let (setup, at) = setup(&[&backend]);
    let mut ingress = setup.start();
    assert_eq!(ask(at, "readyz\n"), "+OK ready\r\n");
    assert_eq!(ask(at, "readyz\r\nand more\n"), "+OK ready\r\n");
    for invalid_line in [
        "\n",
        "ready\n",
        "*1\r\n$4\r\nPING\r\n",
        &format!("{}\n", "x".repeat(300)),
        &"y".repeat(4000),
    ] {
        assert!(ask(at, invalid_line).starts_with("-ERR "), "{invalid_line}");
    }
    // The line arrives in pieces.
    let mut stream = TcpStream::connect(at).unwrap();
    for piece in ["rea", "dy", "z\n"] {
        stream.write_all(piece.as_bytes()).unwrap();
        thread::sleep(Duration::from_millis(20));
    }
    let mut text = String::new();
    stream.read_to_string(&mut text).unwrap();
    assert_eq!(text, "+OK ready\r\n");
    // After SIGTERM the ingress is no longer ready, but still answers.
    let mut client = ingress.client();
    ingress.signal("TERM");
    until("the ingress reports that it is stopping", || {
        ask(at, "readyz\n").starts_with("-ERR stopping")
    });
    assert_eq!(client.ask(&call("quote", "q1", 900)), "value of q1");
    drop(client);
    assert_eq!(ingress.exit().code(), Some(0));
}

/// Guards against operator connections that send nothing, or an endless line, delaying other operators or clients.
#[test]
fn idle_operator_connections_block_neither_operators_nor_clients() {
    let backend = Backend::start(serve);
    let (mut setup, at) = setup(&[&backend]);
    setup.sockets = 64;
    let ingress = setup.start();
    let mut silent: Vec<TcpStream> = Vec::new();
    for n in 0..60 {
        let mut stream = TcpStream::connect(at).unwrap();
        if n % 2 == 1 {
            let _ = stream.write_all(b"telem"); // half a line; the connection may already be evicted
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
    // Operators are answered also with no descriptor left for clients.
    let connected: Vec<Client> = (0..60).map(|_| ingress.client()).collect();
    assert_eq!(ask(at, "readyz\n"), "+OK ready\r\n");
    drop((silent, connected));
}

/// Guards against leaving an operator unanswered who half-closes the connection after the line, as many tools do.
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
fn an_ingress_without_endpoints_is_not_ready() {
    let (setup, at) = setup(&[]);
    let _ingress = setup.start();
    assert!(ask(at, "readyz\n").starts_with("-ERR no backend"));
}

// ---- Settings that change ----

/// Applies a platform's change of settings: `quote` is replaced by the unsafe class `report`, `save` becomes safe to
/// repeat, and one attempt is allowed.
fn with_changed_classes(settings: &str) -> String {
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

/// Guards against applying new rules to open requests, and against mixing up the counters of classes whose position
/// changed.
#[test]
fn classes_change_and_open_requests_keep_their_settings() {
    let attempt_count = Arc::new(AtomicUsize::new(0));
    let attempt_counter = attempt_count.clone();
    // The first attempt at a request whose id begins with `h` is delayed and then fails; the second one is served.
    let backend = Backend::start(move |args| {
        if args[2].starts_with('h') && attempt_counter.fetch_add(1, Ordering::SeqCst) == 0 {
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
    until("the attempt reaches the backend", || {
        attempt_count.load(Ordering::SeqCst) == 1
    });
    setup.settings = with_changed_classes(&setup.settings);
    ingress.configure(&setup.config(ingress.at));
    ingress.signal("HUP");
    until("the file is applied", || {
        figure(at, "ingress.cfg_accepted") == 1
    });
    // The open request is still repeatable and may have three attempts.
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
        "a class that became safe to repeat must refuse CALL.POST"
    );
    assert_eq!(
        (outcome_counts(at, "quote"), outcome_counts(at, "report")),
        ([2, 0, 0], [1, 0, 0]),
        "the counts must follow the class name"
    );
    // One attempt is allowed, so a failed request is not retried.
    attempt_count.store(0, Ordering::SeqCst);
    assert!(!client.ask(&get("save", "h2")).starts_with("value"));
    assert_eq!(attempt_count.load(Ordering::SeqCst), 1);
    assert_eq!(other.count(), 0);
}

/// Faults in a file: a part of a valid file, its replacement, and the text that the log must contain.
const INVALID_FILES: [(&str, &str, &str); 17] = [
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

/// Guards against a mistake in the file that stops the service: nothing of an invalid file is applied, it is counted
/// once, and the log names the faulty key.
#[test]
fn an_invalid_file_changes_nothing() {
    let (one, two) = (Backend::start(serve), Backend::start(serve));
    let (mut setup, at) = setup(&[&one]);
    let unused_discovery = Discovery::start();
    unused_discovery.change(two.entry("s-7", "up"));
    let mut ingress = setup.start();
    let good = setup.config(ingress.at);
    setup.discovery = Some(unused_discovery.at); // reached only if an invalid file is applied
    let complete = setup.config(ingress.at);
    let mut invalid: Vec<(String, &str)> = INVALID_FILES
        .map(|(from, to, why)| (complete.replace(from, to), why))
        .to_vec();
    invalid.extend([
        (String::new(), "cut off"),
        ("[]".into(), "settings is missing"),
        ("nonsense".into(), "no JSON"),
    ]);
    invalid
        .extend((1..8).map(|part| (complete[..complete.len() * part / 8].to_string(), "cut off")));
    let mut client = ingress.client();
    for (n, (file, _)) in invalid.iter().enumerate() {
        assert_ne!(*file, complete, "replacement {n} does not change the file");
        ingress.configure(file);
        ingress.signal("HUP");
        until("the file is counted as invalid", || {
            figure(at, "ingress.cfg_invalid") == n as u64 + 1
        });
        assert_eq!(
            client.ask(&call("quote", &format!("q{n}"), 900)),
            format!("value of q{n}")
        );
    }
    ingress.configure(&good);
    ingress.signal("HUP");
    until("the valid file is applied", || {
        figure(at, "ingress.cfg_accepted") == 1
    });
    assert_eq!(figure(at, "ingress.cfg_invalid"), invalid.len() as u64);
    assert_eq!(
        (two.count(), unused_discovery.calls.load(Ordering::SeqCst)),
        (0, 0)
    );
    ingress.signal("TERM");
    drop(client);
    assert_eq!(ingress.exit().code(), Some(0));
    assert_each_fault_is_logged(&ingress.log(), &invalid);
}

/// Asserts that the log has a line for each refused file that names its fault.
fn assert_each_fault_is_logged(log: &str, invalid: &[(String, &str)]) {
    let lines: Vec<&str> = log
        .lines()
        .filter(|l| l.contains("reload: ") && l.contains("WARN"))
        .collect();
    assert_eq!(
        lines.len(),
        invalid.len(),
        "the log must have one line for each invalid file: {log}"
    );
    for ((_, why), line) in invalid.iter().zip(lines) {
        assert!(
            line.contains(why),
            "the log line does not contain {why:?}: {line}"
        );
    }
}

/// Guards against management calls that wait for a busy event loop: calls are made between thousands of requests.
#[test]
fn operators_are_answered_under_load() {
    let backend = Backend::start(serve);
    let (setup, at) = setup(&[&backend]);
    let ingress = setup.start();
    let load_thread = thread::spawn({
        let mut client = ingress.client();
        move || {
            for burst in 0..40 {
                let burst_requests: Vec<u8> = (0..100)
                    .flat_map(|n| call("quote", &format!("b{burst}-{n}"), 900))
                    .collect();
                client.send(&burst_requests);
                (0..100).for_each(|_| drop(client.answer()));
            }
        }
    });
    let (mut call_count, mut slowest) = (0, Duration::ZERO);
    while !load_thread.is_finished() || call_count < 20 {
        let start = Instant::now();
        assert!(ask(at, "telemetry\n").ends_with("\n.\n"));
        slowest = slowest.max(start.elapsed());
        call_count += 1;
    }
    load_thread.join().unwrap();
    let counted: u64 = outcome_counts(at, "quote").iter().sum();
    assert_eq!(
        counted, 4000,
        "each request must be counted once; the slowest call took {slowest:?}"
    );
}
