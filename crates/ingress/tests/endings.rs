//! Races at the end of a connection, a request or the process: a client that disconnects, a connection that comes up
//! late, a drain announced during a connect, an ingress told to stop. The peers hold, close and write at fixed steps,
//! so the unfavourable order happens on every run. `docs/design/0013-endings.md` lists these paths.

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

/// A setup whose connects to backends may take three seconds, longer than the kernel's first SYN retransmission
/// timeout.
fn with_slow_connects(backends: &[&Backend]) -> Setup {
    let mut setup = Setup::of(env!("CARGO_BIN_EXE_wrenfork"), backends);
    let timeout = r#""connect_timeout_us":3000000"#;
    setup.settings = setup
        .settings
        .replace(r#""connect_timeout_us":250000"#, timeout);
    assert!(setup.settings.contains(timeout));
    setup
}

/// Replaces one value in the settings of a setup.
fn replace_setting(mut setup: Setup, from: &str, to: &str) -> Setup {
    assert!(setup.settings.contains(from), "no {from} in the settings");
    setup.settings = setup.settings.replace(from, to);
    setup
}

/// The ids of the requests that a backend received completely.
fn received_ids(backend: &Backend) -> Vec<String> {
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

/// Guards against a retry that starts within the key's window but is written after it. The second attempt's connection
/// comes up a second later, when the backends of the group have forgotten the key (scenario `zone+brink` of the users'
/// bench, seed 8).
#[test]
fn a_keyed_request_is_not_written_after_its_window() {
    let (hang, jammed, discovery) = (
        Arc::new(AtomicBool::new(false)),
        Jammed::start(),
        Discovery::start(),
    );
    let may_fail = hang.clone();
    let first = Backend::start(move |_| {
        until("the first attempt may fail", || {
            may_fail.load(Ordering::SeqCst)
        });
        Act::Close
    });
    // Two attempts at most: a third one, hedged, would connect at once after the jam is cleared.
    let setup = replace_setting(
        with_slow_connects(&[&first]),
        r#""most_tries":3"#,
        r#""most_tries":2"#,
    );
    let mut setup = replace_setting(setup, r#""window_us":3000000"#, r#""window_us":900000"#);
    setup.discovery = Some(discovery.at);
    let ingress = setup.start();
    let mut client = ingress.client();
    client.send(&call("save", "k1", 2800));
    until("the first attempt reaches the backend", || {
        first.count() == 1
    });
    discovery.tell(jammed.entry("s-1", "up"));
    discovery.tell(first.entry("s-0", "draining"));
    hang.store(true, Ordering::SeqCst);
    until("the second attempt connects", || jammed.tried());
    let second = Backend::on(jammed.clear(), serve);
    // The request may have run, and no backend that knows its key can be reached in time.
    assert_eq!(client.answer(), "-ERR failed");
    assert_eq!(received_ids(&second), Vec::<String>::new());
}

// ---- Clients that disconnect ----

/// Guards against an attempt that starts after its client has disconnected while cancelling is off. An attempt that is
/// not yet written has not started, and is dropped.
#[test]
fn an_unsent_request_whose_client_disconnected_is_never_written() {
    let jammed = Jammed::start();
    let mut setup = replace_setting(
        with_slow_connects(&[]),
        r#""cancelling":true"#,
        r#""cancelling":false"#,
    );
    setup.known = vec![jammed.entry("s-0", "up")];
    let ingress = setup.start();
    let mut disconnecting_client = ingress.client();
    disconnecting_client.send(&call("refer", "gone", 5000));
    // The PING shows that the request was read. Both requests now wait for a connect, and the first one's SYN is
    // retransmitted first.
    let mut remaining_client = ingress.client();
    assert_eq!(ingress.client().ask(&command(&["PING"])), "+PONG");
    remaining_client.send(&call("refer", "stays", 5000));
    assert_eq!(ingress.client().ask(&command(&["PING"])), "+PONG");
    leave(disconnecting_client);
    assert_eq!(ingress.client().ask(&command(&["PING"])), "+PONG");
    let backend = Backend::on(jammed.clear(), serve);
    assert_eq!(remaining_client.answer(), "value of stays");
    assert_eq!(received_ids(&backend), ["stays"]);
}

/// Guards against writing to connections that came up during a stall before noticing which clients disconnected
/// meanwhile.
#[test]
fn after_a_stall_disconnects_are_noticed_before_requests_are_written() {
    let jammed = Jammed::start();
    let mut setup = with_slow_connects(&[]);
    setup.known = vec![jammed.entry("s-0", "up")];
    let ingress = setup.start();
    let mut disconnecting_client = ingress.client();
    disconnecting_client.send(&call("refer", "gone", 5000));
    assert_eq!(ingress.client().ask(&command(&["PING"])), "+PONG");
    ingress.signal("STOP");
    let listener = jammed.clear();
    let (mut connection, _) = listener.accept().unwrap(); // the kernel's SYN retransmission
    leave(disconnecting_client);
    ingress.signal("CONT");
    let mut received_bytes = Vec::new();
    connection.set_read_timeout(Some(WAIT_LIMIT)).unwrap();
    let end = connection.read_to_end(&mut received_bytes);
    assert!(end.is_ok() || end.is_err_and(|e| e.kind() == ErrorKind::ConnectionReset));
    assert_eq!(String::from_utf8_lossy(&received_bytes), "");
}

/// Guards against missing a disconnect because the connection is not being read: its pipeline of answers is full, and
/// its requests would still be sent to backends.
#[test]
fn a_disconnect_with_a_full_pipeline_is_noticed() {
    let open = Arc::new(AtomicBool::new(false));
    let may_answer = open.clone();
    let backend = Backend::start(move |args| {
        until("the backend may answer", || {
            may_answer.load(Ordering::SeqCst)
        });
        Act::Say(served(args))
    });
    let (mut setup, at) = (
        Setup::of(env!("CARGO_BIN_EXE_wrenfork"), &[&backend]),
        free_address(),
    );
    setup.more = format!(r#""management":"{at}","#);
    let ingress = setup.start();
    let mut client = ingress.client();
    // More requests than the pipeline holds: some are sent, some wait for a slot, most are rejected in turn.
    let burst: Vec<u8> = (0..400)
        .flat_map(|n| call("refer", &format!("r{n}"), 8000))
        .collect();
    client.send(&burst);
    until("the concurrency limit is reached", || backend.count() >= 4);
    let closed = Instant::now();
    leave(client);
    until("all requests of the client are withdrawn", || {
        figure(at, "ingress.open_requests") == 0
    });
    println!(
        "withdrawn {:.2?} after the close, limit 0.1 s",
        closed.elapsed()
    );
    let sent = figure(at, "ingress.relayed");
    open.store(true, Ordering::SeqCst);
    // A withdrawn request that was sent after all would reach the backend before this one.
    assert_eq!(
        ingress.client().ask(&call("refer", "last", 8000)),
        "value of last"
    );
    assert_eq!(
        figure(at, "ingress.relayed"),
        sent + 1,
        "{:?}",
        received_ids(&backend)
    );
}

/// Guards against timing a client's first command from the accept of the connection: a client that idled first would be
/// cut off while it is still sending.
#[test]
fn a_first_command_is_timed_from_its_first_byte() {
    let backend = Backend::start(serve);
    let ingress = Setup::of(env!("CARGO_BIN_EXE_wrenfork"), &[&backend]).start();
    let mut client = ingress.client();
    let mut silent = ingress.client();
    // The client idles for less than the limit on silent connections, and continues once the other connection, accepted
    // after it, was closed at that limit.
    thread::sleep(Duration::from_millis(1500));
    let asked = call("refer", "r1", 5000);
    client.send(&asked[..40]);
    assert!(silent.ended());
    client.send(&asked[40..]);
    assert_eq!(client.answer(), "value of r1");
}

/// Guards against dropping pipelined requests after the first one on a connection that was accepted beyond the
/// descriptor limit only to be rejected. Each request read gets an answer.
#[test]
fn each_pipelined_request_beyond_the_descriptor_limit_is_rejected() {
    let backend = Backend::start(serve);
    let setup = Setup {
        sockets: 64,
        ..Setup::of(env!("CARGO_BIN_EXE_wrenfork"), &[&backend])
    };
    let ingress = setup.start();
    // The maximum of client connections with 64 descriptors. Each got a protocol error and is left to read it, so none
    // of them can be evicted.
    let mut connected: Vec<Client> = (0..27).map(|_| ingress.client()).collect();
    for client in &mut connected {
        client.send(b"*1\r\n$60000000\r\n");
        let answer = client.answer();
        assert!(answer.starts_with("-ERR protocol error"), "{answer}");
    }
    let mut pipelining_client = ingress.client();
    pipelining_client.send(
        &["r1", "r2", "r3"]
            .map(|id| call("refer", id, 5000))
            .concat(),
    );
    assert_eq!(
        ["r1", "r2", "r3"].map(|_| pipelining_client.answer()),
        ["-BUSY"; 3]
    );
    assert!(pipelining_client.ended());
    assert_eq!(backend.count(), 0);
}

// ---- Connections that come up late ----

/// Guards against sending the backend a deadline computed when the connect began, which is longer than the time the
/// client has left.
#[test]
fn an_attempt_that_connects_late_sends_the_time_left_by_then() {
    let jammed = Jammed::start();
    let mut setup = with_slow_connects(&[]);
    setup.known = vec![jammed.entry("s-0", "up")];
    let ingress = setup.start();
    let (mut client, asked) = (ingress.client(), Instant::now());
    client.send(&call("refer", "r1", 5000));
    until("the attempt connects", || {
        jammed.tried() && asked.elapsed() > Duration::from_millis(300)
    });
    let held_ms = asked.elapsed().as_millis();
    let backend = Backend::on(jammed.clear(), serve);
    assert_eq!(client.answer(), "value of r1");
    let commands = backend.seen.commands.lock().unwrap();
    let sent_ms = commands[0][3]
        .split(',')
        .find_map(|o| o.strip_prefix("d="))
        .unwrap();
    println!("sent deadline {sent_ms} ms of 5000, at least {held_ms} ms after the request");
    assert!(
        sent_ms.parse::<u128>().unwrap() <= 5000 - held_ms,
        "sent deadline {sent_ms} ms, at least {held_ms} ms after the request"
    );
}

// ---- Backends that send more than the answer ----

/// Guards against a partial line that arrives while a connection is idle, or after it was idle, being read as the start
/// of the next answer.
#[test]
fn a_partial_line_after_an_answer_affects_no_other_request() {
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
            // The backend sees its connection closed, which shows that the ingress does not reuse it.
            until("the backend connection is closed", || {
                backend.seen.ended.load(Ordering::SeqCst) > n
            });
        }
        assert_eq!(backend.count(), 40);
    }
}

// ---- Drains ----

/// Guards against using a connection that comes up after its backend began to drain, and against waiting for it.
#[test]
fn an_unsent_request_is_retried_elsewhere_when_its_backend_drains() {
    let (jammed, other, discovery) = (Jammed::start(), Backend::start(serve), Discovery::start());
    let mut setup = with_slow_connects(&[]);
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
        (received_ids(&drained), received_ids(&other)),
        (vec![], vec!["r1".to_string()])
    );
}

// ---- Shutdown of the ingress ----

/// Connects a client with a small receive buffer, so that the kernel holds the rest of its answer, and waits until the
/// answer to `r1` is in flight.
fn connect_with_answer_in_flight(ingress: &Ingress, backend: &Backend) -> Client {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(4096).unwrap();
    socket.connect(&ingress.at.into()).unwrap();
    socket.set_read_timeout(Some(WAIT_LIMIT)).unwrap();
    let mut client = Client(socket.into());
    client.send(&call("refer", "r1", 5000));
    until("the answer begins to arrive", || {
        backend.count() == 1 && client.0.peek(&mut [0]).is_ok_and(|n| n == 1)
    });
    client
}

/// Sends a request once the ingress has queued its FIN after an answer that the client has not read yet. The answer
/// must arrive completely, and the request must not be forwarded.
fn send_request_crossing_close(ingress: &Ingress, client: &mut Client, answer: &str) {
    let client_address = client.0.local_addr().unwrap();
    until("the connection is being closed", || {
        connection_in_state(FIN_WAIT_1, Some(ingress.at), client_address)
    });
    client.send(&call("refer", "crosses", 5000));
    assert!(
        client.answer() == answer,
        "the answer did not arrive completely"
    );
    assert!(client.ended());
}

/// Starts a backend whose value for `r1` is longer than the client's receive buffer. Returns the backend and the value.
fn backend_with_long_value() -> (Backend, String) {
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

/// Guards against losing an answer in flight. Closing a socket with an unread request resets the connection, which
/// discards what the client has not read yet.
#[test]
fn an_answer_in_flight_survives_a_request_that_crosses_the_shutdown() {
    let (backend, value) = backend_with_long_value();
    let mut ingress = Setup::of(env!("CARGO_BIN_EXE_wrenfork"), &[&backend]).start();
    let mut client = connect_with_answer_in_flight(&ingress, &backend);
    ingress.signal("TERM");
    send_request_crossing_close(&ingress, &mut client, &value);
    assert_eq!(ingress.exit().code(), Some(0));
    assert_eq!(
        received_ids(&backend),
        ["r1"],
        "a request read after the close was forwarded"
    );
}

/// Guards against the same loss when a running ingress evicts an idle connection: with 120 descriptors, a sixth may be
/// idle.
#[test]
fn an_answer_in_flight_survives_a_request_that_crosses_an_eviction() {
    let (backend, value) = backend_with_long_value();
    let setup = Setup {
        sockets: 120,
        ..Setup::of(env!("CARGO_BIN_EXE_wrenfork"), &[&backend])
    };
    let ingress = setup.start();
    let mut client = connect_with_answer_in_flight(&ingress, &backend);
    let connect_and_ask = |n: usize| {
        let mut client = ingress.client();
        assert_eq!(
            client.ask(&call("refer", &format!("s{n}"), 900)),
            format!("value of s{n}")
        );
        client
    };
    let others: Vec<Client> = (0..24).map(connect_and_ask).collect();
    send_request_crossing_close(&ingress, &mut client, &value);
    let mut last = ingress.client();
    assert_eq!(last.ask(&call("refer", "last", 900)), "value of last");
    assert!(
        !received_ids(&backend).contains(&"crosses".to_string()),
        "a request read after the close was forwarded"
    );
    drop(others);
}

/// Guards against exiting with requests that were read and not answered. Requests after a full pipeline are handled as
/// answers leave it, which here happens at the last moment.
#[test]
fn requests_read_after_a_full_pipeline_are_answered_before_the_exit() {
    let backend = Backend::start(|_| Act::Silent);
    let mut ingress = Setup::of(env!("CARGO_BIN_EXE_wrenfork"), &[&backend]).start();
    let mut client = ingress.client();
    // The pipeline holds 256 requests; the first ones stay with the backend until the shutdown timeout.
    let burst: Vec<u8> = (0..400)
        .flat_map(|n| call("refer", &format!("r{n}"), 8000))
        .collect();
    client.send(&burst);
    until("some requests reach the backend", || backend.count() > 0);
    ingress.signal("TERM");
    for n in 0..400 {
        let answer = client.answer();
        assert!(
            answer.starts_with("-BUSY") || answer.starts_with("-ERR"),
            "request {n}: unexpected answer {answer:?}"
        );
    }
    assert!(client.ended());
    assert_eq!(ingress.exit().code(), Some(0));
}

/// Guards against a half-close that delays the exit: the ingress waits one second for a client that never closes.
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
