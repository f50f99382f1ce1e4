//! The instants at which something ends: a client that leaves, a connection that comes up late, a drain that is told while a
//! connect is under way, an ingress that is told to stop. The peers here hold, close and write at a given step, so that the bad
//! order happens every time. `docs/design/0013-endings.md` lists these paths.

use std::io::{ErrorKind, Read};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};
use wrenfork_testbed::service_fixture::operators::figure;
use wrenfork_testbed::service_fixture::{
    call, command, connection_in_state, free_address, leave, serve, served, until, Act, Backend,
    Client, Discovery, Ingress, Jammed, Setup, FIN_WAIT_1, WAIT_LIMIT,
};

/// A setup whose connections to backends may take three seconds to come up: longer than the kernel takes to try again.
fn patient(backends: &[&Backend]) -> Setup {
    let mut setup = Setup::of(env!("CARGO_BIN_EXE_wrenfork"), backends);
    let patient = r#""connect_timeout_us":3000000"#;
    setup.settings = setup
        .settings
        .replace(r#""connect_timeout_us":250000"#, patient);
    assert!(setup.settings.contains(patient));
    setup
}

/// The same with another value of a setting.
fn with(mut setup: Setup, was: &str, is: &str) -> Setup {
    assert!(setup.settings.contains(was), "{was}");
    setup.settings = setup.settings.replace(was, is);
    setup
}

/// The ids that a backend was given whole.
fn ids(backend: &Backend) -> Vec<String> {
    backend
        .seen
        .commands
        .lock()
        .unwrap()
        .iter()
        .map(|c| c[2].clone())
        .collect()
}

// ---- Keyed requests ----

/// Guards against a repeat that begins in time and is written too late: the second attempt's connection comes up a second later,
/// when the backends of the group have forgotten the key (`zone+brink` of the users' bench, seed 8: sent again outside its window).
#[test]
fn a_keyed_request_is_not_written_once_its_window_is_over() {
    let (hang, jammed, discovery) = (
        Arc::new(AtomicBool::new(false)),
        Jammed::start(),
        Discovery::start(),
    );
    let told = hang.clone();
    let first = Backend::start(move |_| {
        until("the first attempt may break", || {
            told.load(Ordering::SeqCst)
        });
        Act::Close
    });
    // Two tries: a third one, a copy, would find the line cleared and come up in time.
    let setup = with(patient(&[&first]), r#""most_tries":3"#, r#""most_tries":2"#);
    let mut setup = with(setup, r#""window_us":3000000"#, r#""window_us":900000"#);
    setup.discovery = Some(discovery.at);
    let ingress = setup.start();
    let mut client = ingress.client();
    client.send(&call("save", "k1", 2800));
    until("the first attempt is out", || first.count() == 1);
    discovery.tell(jammed.entry("s-1", "up"));
    discovery.tell(first.entry("s-0", "draining"));
    hang.store(true, Ordering::SeqCst);
    until("the second attempt is on its way", || jammed.tried());
    let second = Backend::on(jammed.clear(), serve);
    // It may have run, and nobody who knows its key can be reached in time.
    assert_eq!(client.answer(), "-ERR failed");
    assert_eq!(ids(&second), Vec::<String>::new());
}

// ---- Clients that leave ----

/// Guards against an attempt that begins after its client has left, where attempts are not called off: one that is not written
/// has not begun, and is dropped.
#[test]
fn an_unsent_request_whose_client_disconnected_is_never_written() {
    let jammed = Jammed::start();
    let mut setup = with(
        patient(&[]),
        r#""cancelling":true"#,
        r#""cancelling":false"#,
    );
    setup.known = vec![jammed.entry("s-0", "up")];
    let ingress = setup.start();
    let mut gone = ingress.client();
    gone.send(&call("refer", "gone", 5000));
    // Read behind it: by now both are on their way to the backend, the first one's next try before the second one's.
    let mut stays = ingress.client();
    assert_eq!(ingress.client().ask(&command(&["PING"])), "+PONG");
    stays.send(&call("refer", "stays", 5000));
    assert_eq!(ingress.client().ask(&command(&["PING"])), "+PONG");
    leave(gone);
    assert_eq!(ingress.client().ask(&command(&["PING"])), "+PONG");
    let backend = Backend::on(jammed.clear(), serve);
    assert_eq!(stays.answer(), "value of stays");
    assert_eq!(ids(&backend), ["stays"]);
}

/// Guards against a turn that writes what came up while the ingress stood still before it sees who has left meanwhile.
#[test]
fn after_a_stall_disconnected_clients_are_seen_before_anything_is_sent() {
    let jammed = Jammed::start();
    let mut setup = patient(&[]);
    setup.known = vec![jammed.entry("s-0", "up")];
    let ingress = setup.start();
    let mut gone = ingress.client();
    gone.send(&call("refer", "gone", 5000));
    assert_eq!(ingress.client().ask(&command(&["PING"])), "+PONG");
    ingress.signal("STOP");
    let listener = jammed.clear();
    let (mut connection, _) = listener.accept().unwrap(); // the kernel's next try
    leave(gone);
    ingress.signal("CONT");
    let mut came = Vec::new();
    connection.set_read_timeout(Some(WAIT_LIMIT)).unwrap();
    let end = connection.read_to_end(&mut came);
    assert!(end.is_ok() || end.is_err_and(|e| e.kind() == ErrorKind::ConnectionReset));
    assert_eq!(String::from_utf8_lossy(&came), "");
}

/// Guards against an end that is not seen since the connection is not read: its line of answers is full, and what it asked for
/// goes on being sent for nobody.
#[test]
fn a_client_that_disconnects_behind_a_full_pipeline_is_noticed() {
    let open = Arc::new(AtomicBool::new(false));
    let told = open.clone();
    let backend = Backend::start(move |args| {
        until("answers may go", || told.load(Ordering::SeqCst));
        Act::Say(served(args))
    });
    let (mut setup, at) = (
        Setup::of(env!("CARGO_BIN_EXE_wrenfork"), &[&backend]),
        free_address(),
    );
    setup.more = format!(r#""management":"{at}","#);
    let ingress = setup.start();
    let mut client = ingress.client();
    // More than a line holds: some are out, some wait for a place, most are refused behind these.
    let many: Vec<u8> = (0..400)
        .flat_map(|n| call("refer", &format!("r{n}"), 8000))
        .collect();
    client.send(&many);
    until("the places are taken", || backend.count() >= 4);
    let closed = Instant::now();
    leave(client);
    until("all that it asked for is withdrawn", || {
        figure(at, "ingress.open_requests") == 0
    });
    println!(
        "withdrawn {:.2?} after the close, of 0.1 s",
        closed.elapsed()
    );
    let sent = figure(at, "ingress.relayed");
    open.store(true, Ordering::SeqCst);
    // What is sent in the places that come free would come before this.
    assert_eq!(
        ingress.client().ask(&call("refer", "last", 8000)),
        "value of last"
    );
    assert_eq!(
        figure(at, "ingress.relayed"),
        sent + 1,
        "{:?}",
        ids(&backend)
    );
}

/// Guards against a first command that is broken off half way because its connection had rested before it: its client is still
/// sending, and what it asked for would be lost with the rest.
#[test]
fn a_first_command_is_timed_from_its_first_byte() {
    let backend = Backend::start(serve);
    let ingress = Setup::of(env!("CARGO_BIN_EXE_wrenfork"), &[&backend]).start();
    let mut client = ingress.client();
    let mut silent = ingress.client();
    // It rests for less than a connection may that says nothing, and goes on once the other one, accepted behind it, has been
    // closed for that.
    thread::sleep(Duration::from_millis(1500));
    let asked = call("refer", "r1", 5000);
    client.send(&asked[..40]);
    assert!(silent.ended());
    client.send(&asked[40..]);
    assert_eq!(client.answer(), "value of r1");
}

/// Guards against requests that are dropped behind the first one where a connection was taken in beyond the descriptors, only to be
/// told so: what is read has an answer, also what was asked in the same moment.
#[test]
fn beyond_the_descriptors_a_whole_pipeline_is_rejected() {
    let backend = Backend::start(serve);
    let setup = Setup {
        sockets: 64,
        ..Setup::of(env!("CARGO_BIN_EXE_wrenfork"), &[&backend])
    };
    let ingress = setup.start();
    // As many as clients may have of 64 descriptors, each told of a bad command, and left to read that: none makes room meanwhile.
    let mut full: Vec<Client> = (0..27).map(|_| ingress.client()).collect();
    for client in &mut full {
        client.send(b"*1\r\n$60000000\r\n");
        let answer = client.answer();
        assert!(answer.starts_with("-ERR protocol error"), "{answer}");
    }
    let mut line = ingress.client();
    line.send(
        &["r1", "r2", "r3"]
            .map(|id| call("refer", id, 5000))
            .concat(),
    );
    assert_eq!(["r1", "r2", "r3"].map(|_| line.answer()), ["-BUSY"; 3]);
    assert!(line.ended());
    assert_eq!(backend.count(), 0);
}

// ---- Connections that come up late ----

/// Guards against a command that tells its backend more time than its client has left: it was made out when the connect began.
#[test]
fn an_attempt_that_connects_late_sends_the_time_left_by_then() {
    let jammed = Jammed::start();
    let mut setup = patient(&[]);
    setup.known = vec![jammed.entry("s-0", "up")];
    let ingress = setup.start();
    let (mut client, asked) = (ingress.client(), Instant::now());
    client.send(&call("refer", "r1", 5000));
    until("it is on its way", || {
        jammed.tried() && asked.elapsed() > Duration::from_millis(300)
    });
    let held = asked.elapsed().as_millis();
    let backend = Backend::on(jammed.clear(), serve);
    assert_eq!(client.answer(), "value of r1");
    let commands = backend.seen.commands.lock().unwrap();
    let told = commands[0][3]
        .split(',')
        .find_map(|o| o.strip_prefix("d="))
        .unwrap();
    println!("told {told} ms of 5000, {held} ms after it was asked for or later");
    assert!(
        told.parse::<u128>().unwrap() <= 5000 - held,
        "{told} ms, {held} ms after it was asked for"
    );
}

// ---- Backends that say more than they were asked ----

/// Guards against half a line that comes while a connection rests, or after it has rested: read as the head of the next answer,
/// it would spoil that one.
#[test]
fn a_partial_line_behind_an_answer_spoils_no_other_request() {
    for pause in [Duration::from_micros(300), Duration::from_millis(5)] {
        let backend = Backend::start(move |args| {
            let whole = served(args);
            Act::Parts(
                whole.len(),
                pause,
                [&whole[..], b"*3\r\n$9\r\nval"].concat(),
            )
        });
        let ingress = Setup::of(env!("CARGO_BIN_EXE_wrenfork"), &[&backend]).start();
        let mut client = ingress.client();
        for n in 0..40 {
            assert_eq!(
                client.ask(&call("refer", &format!("h{n}"), 2000)),
                format!("value of h{n}")
            );
            // Seen by the backend's end of the connection: it was closed, and not used again.
            until("the connection is given up", || {
                backend.seen.ended.load(Ordering::SeqCst) > n
            });
        }
        assert_eq!(backend.count(), 40);
    }
}

// ---- Drains ----

/// Guards against a connection that comes up after its backend was told to drain, and against waiting for it.
#[test]
fn an_unsent_request_is_retried_elsewhere_when_its_backend_drains() {
    let (jammed, other, discovery) = (Jammed::start(), Backend::start(serve), Discovery::start());
    let mut setup = patient(&[]);
    setup.known = vec![jammed.entry("s-0", "up")];
    setup.discovery = Some(discovery.at);
    let ingress = setup.start();
    let mut client = ingress.client();
    client.send(&call("refer", "r1", 5000));
    assert_eq!(ingress.client().ask(&command(&["PING"])), "+PONG");
    discovery.tell(other.entry("s-1", "up"));
    discovery.tell(jammed.entry("s-0", "draining"));
    let drained = Backend::on(jammed.clear(), serve);
    assert_eq!(client.answer(), "value of r1");
    assert_eq!(
        (ids(&drained), ids(&other)),
        (vec![], vec!["r1".to_string()])
    );
}

// ---- The end of the ingress ----

/// A client that takes in little at a time, so that the kernel holds the rest of its answer, with the answer to `r1` on its way.
fn with_an_answer_on_its_way(ingress: &Ingress, backend: &Backend) -> Client {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(4096).unwrap();
    socket.connect(&ingress.at.into()).unwrap();
    socket.set_read_timeout(Some(WAIT_LIMIT)).unwrap();
    let mut client = Client(socket.into());
    client.send(&call("refer", "r1", 5000));
    until("it is answered", || {
        backend.count() == 1 && client.0.peek(&mut [0]).is_ok_and(|n| n == 1)
    });
    client
}

/// Sends a request once the end of its connection stands behind an answer that is not taken in yet: that one has to come whole,
/// and the request, never read, must not be sent on.
fn a_request_that_crosses(ingress: &Ingress, client: &mut Client, answer: &str) {
    let ours = client.0.local_addr().unwrap();
    until("the connection is being closed", || {
        connection_in_state(FIN_WAIT_1, Some(ingress.at), ours)
    });
    client.send(&call("refer", "crosses", 5000));
    assert!(client.answer() == answer, "the answer did not come whole");
    assert!(client.ended());
}

/// A backend whose value for `r1` is longer than a client's kernel takes in here, and the value.
fn with_a_long_value() -> (Backend, String) {
    let value = "v".repeat(60_000);
    let answer = format!("*3\r\n$60000\r\n{value}\r\n$-1\r\n$-1\r\n").into_bytes();
    let act = move |args: &[String]| {
        if args[2] == "r1" {
            Act::Say(answer.clone())
        } else {
            serve(args)
        }
    };
    (Backend::start(act), value)
}

/// Guards against an answer that is lost on its way: closed over a request that crosses the close, the connection would be reset,
/// and what its client has not taken in yet be gone.
#[test]
fn an_answer_in_flight_survives_a_request_that_crosses_the_shutdown() {
    let (backend, value) = with_a_long_value();
    let mut ingress = Setup::of(env!("CARGO_BIN_EXE_wrenfork"), &[&backend]).start();
    let mut client = with_an_answer_on_its_way(&ingress, &backend);
    ingress.signal("TERM");
    a_request_that_crosses(&ingress, &mut client, &value);
    assert_eq!(ingress.exit().code(), Some(0));
    assert_eq!(ids(&backend), ["r1"], "read behind the end, it was sent on");
}

/// Guards against the same where an ingress that goes on serving ends an idle connection: of 120 descriptors a sixth may be idle.
#[test]
fn an_answer_in_flight_survives_a_request_that_crosses_an_eviction() {
    let (backend, value) = with_a_long_value();
    let setup = Setup {
        sockets: 120,
        ..Setup::of(env!("CARGO_BIN_EXE_wrenfork"), &[&backend])
    };
    let ingress = setup.start();
    let mut client = with_an_answer_on_its_way(&ingress, &backend);
    let stay = |n: usize| {
        let mut client = ingress.client();
        assert_eq!(
            client.ask(&call("refer", &format!("s{n}"), 900)),
            format!("value of s{n}")
        );
        client
    };
    let others: Vec<Client> = (0..24).map(stay).collect();
    a_request_that_crosses(&ingress, &mut client, &value);
    let mut last = ingress.client();
    assert_eq!(last.ask(&call("refer", "last", 900)), "value of last");
    assert!(
        !ids(&backend).contains(&"crosses".to_string()),
        "read behind the end, it was sent on"
    );
    drop(others);
}

/// Guards against an exit over what has been read and not answered: requests behind a full line of answers are taken up as the
/// line is answered, and that is at the last moment here.
#[test]
fn requests_read_behind_a_full_pipeline_are_answered_before_the_exit() {
    let backend = Backend::start(|_| Act::Silent);
    let mut ingress = Setup::of(env!("CARGO_BIN_EXE_wrenfork"), &[&backend]).start();
    let mut client = ingress.client();
    // A line holds 256; the first ones stay with the backend until the time to stop is over.
    let many: Vec<u8> = (0..400)
        .flat_map(|n| call("refer", &format!("r{n}"), 8000))
        .collect();
    client.send(&many);
    until("some are with the backend", || backend.count() > 0);
    ingress.signal("TERM");
    for n in 0..400 {
        let answer = client.answer();
        assert!(
            answer.starts_with("-BUSY") || answer.starts_with("-ERR"),
            "{n}: '{answer}'"
        );
    }
    assert!(client.ended());
    assert_eq!(ingress.exit().code(), Some(0));
}

/// Guards against a half-close that keeps the ingress from its end: a client that never closes is left after a second.
#[test]
fn clients_that_never_close_do_not_delay_the_exit() {
    let backend = Backend::start(serve);
    let mut ingress = Setup::of(env!("CARGO_BIN_EXE_wrenfork"), &[&backend]).start();
    let mut clients: Vec<Client> = (0..20).map(|_| ingress.client()).collect();
    for (n, client) in clients.iter_mut().enumerate() {
        assert_eq!(
            client.ask(&call("refer", &format!("r{n}"), 900)),
            format!("value of r{n}")
        );
    }
    ingress.signal("TERM");
    for client in &mut clients {
        assert!(client.ended());
    }
    assert_eq!(ingress.exit().code(), Some(0));
    drop(clients);
}
