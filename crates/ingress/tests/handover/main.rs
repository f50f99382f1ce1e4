//! Upgrades under load: successive processes of one ingress share a listening socket that the test holds, as a platform
//! would. A client's connection must never be closed, and each request has one answer and at most one effect.

mod support;

use std::collections::HashSet;
use std::io::{Read, Write};
use std::os::unix::net::UnixStream;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};
use support::{
    attempts_by_id, backend_pausing_half_way, long_value, longest_pause, Load, Platform, Sampler,
};
use wrenfork_testbed::service_fixture::{
    call, call_of, command, free_address, leave, serve, served, until, Act, Backend, Client,
    Discovery, Jammed,
};

/// Guards against connections that are closed or not read, missing answers and duplicate effects during two consecutive
/// upgrades under load, and against exceeding the limits on descriptors and memory.
#[test]
fn requests_under_load_are_answered_once_on_their_connection_across_handovers() {
    let slow = |args: &[String]| Act::Later(Duration::from_millis(15), served(args));
    let backends = [(); 3].map(|()| Backend::start(slow));
    let platform = Platform::new(&backends.each_ref());
    let mut first = platform.start();
    let (stop, answered) = (
        Arc::new(AtomicBool::new(false)),
        Arc::new(AtomicUsize::new(0)),
    );
    let served_ids = Arc::new(Mutex::new(HashSet::new()));
    let answered_at: Arc<Mutex<Vec<Instant>>> = Arc::default();
    let load = Load {
        at: platform.at,
        stop: stop.clone(),
        answered: answered.clone(),
        served_ids: served_ids.clone(),
        answered_at: answered_at.clone(),
    };
    let client = |number| {
        let load = load.clone();
        thread::spawn(move || load.run(number))
    };
    let clients: Vec<_> = (0..12).map(client).collect();
    until("requests are answered", || {
        answered.load(Ordering::SeqCst) > 200
    });
    let sampler = Sampler::start(first.child.id());
    let mut second = platform.run("3<&0");
    sampler.second.store(second.child.id(), Ordering::SeqCst);
    until("readyz is OK", || second.ask("readyz").starts_with("+OK"));
    assert!(first.ended().contains("handed over"));
    let (memory, descriptors) = sampler.stop();
    let before = answered.load(Ordering::SeqCst);
    until("more are answered", || {
        answered.load(Ordering::SeqCst) > before + 200
    });
    // The second process binds the handover channel at its next check, up to half a second later.
    until("the second process binds the handover channel", || {
        UnixStream::connect(platform.channel()).is_ok()
    });
    let third = platform.start();
    assert!(second.ended().contains("handed over"));
    let before = answered.load(Ordering::SeqCst);
    until("more are answered", || {
        answered.load(Ordering::SeqCst) > before + 200
    });
    stop.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|c| c.join().unwrap());
    // Printed with --nocapture only: an asserted time would fail on a busy machine.
    let pause = longest_pause(&answered_at.lock().unwrap());
    println!(
        "both processes: {memory} KiB resident, {descriptors} descriptors; longest pause {pause:?}"
    );
    assert!(descriptors < 1024 && memory < 192 * 1024);
    // Each request reached the backends once at most, and each served one exactly once.
    let attempts = attempts_by_id(&backends);
    assert!(
        attempts.values().all(|n| *n == 1),
        "a request reached the backends more than once"
    );
    let served_ids = served_ids.lock().unwrap();
    assert!(served_ids.iter().all(|id| attempts.contains_key(id)) && served_ids.len() > 300);
    assert_eq!(third.figure("ingress.open_requests"), 0);
}

/// Guards against losing state at the handover: requests in flight, partial commands, unread answers, used quota.
#[test]
fn requests_in_flight_continue_in_the_next_process() {
    let held_count = Arc::new(AtomicUsize::new(0));
    let held_counter = held_count.clone();
    let backend = Backend::start(move |args| match &args[2][..1] {
        "h" => {
            held_counter.fetch_add(1, Ordering::SeqCst);
            Act::Later(Duration::from_millis(600), served(args))
        }
        _ => serve(args),
    });
    let platform = Platform::new(&[&backend]);
    let mut first = platform.start();
    let client = || Client::connect(platform.at);
    // A customer that has used up its quota tokens.
    let (mut over_quota, mut served_before) = (client(), 0);
    for n in 0..9 {
        served_before += usize::from(
            over_quota
                .ask(&call_of(99, "quote", &format!("q{n}"), 900))
                .starts_with("value"),
        );
    }
    assert!(served_before < 9);
    let (mut in_flight, mut partial, mut pipelined) = (client(), client(), client());
    in_flight.send(&call("refer", "h1", 2500));
    pipelined.send(&[call("refer", "h2", 2500), call("quote", "q20", 900)].concat());
    let command = call("refer", "r1", 2500);
    partial.send(&command[..40]);
    until("two requests reach the backend", || {
        held_count.load(Ordering::SeqCst) == 2
    });
    let second = platform.start();
    first.ended();
    assert!(
        backend.seen.commands.lock().unwrap().len() < 20 && held_count.load(Ordering::SeqCst) == 2
    );
    partial.send(&command[40..]);
    assert_eq!(in_flight.answer(), "value of h1");
    assert_eq!(
        [pipelined.answer(), pipelined.answer()],
        ["value of h2", "value of q20"]
    );
    assert_eq!(partial.answer(), "value of r1");
    assert_eq!(
        held_count.load(Ordering::SeqCst),
        2,
        "a request in flight was sent again"
    );
    // The used quota and the known ids carry over.
    assert!(over_quota
        .ask(&call_of(99, "quote", "q10", 900))
        .starts_with("-BUSY"));
    assert!(client()
        .ask(&call("refer", "h1", 900))
        .starts_with("-ERR the id is not new"));
    assert_eq!(
        backend.seen.ended.load(Ordering::SeqCst),
        0,
        "connections to backends must be handed over too"
    );
    assert_eq!(second.figure("ingress.open_requests"), 0);
}

/// Guards against a key's window that is lost with the old process: a retry whose connection is still coming up is
/// handed over, and the new process must not write it a second later, when its key is forgotten. A request that cannot
/// have run is started again.
#[test]
fn requests_unsent_at_a_handover_are_restarted_or_failed() {
    for (class, answer) in [("save", "-ERR failed"), ("refer", "value of u1")] {
        let (hang, jammed) = (Arc::new(AtomicBool::new(false)), Jammed::start());
        let may_fail = hang.clone();
        let draining = Backend::start(move |_| {
            until("the first attempt may fail", || {
                may_fail.load(Ordering::SeqCst)
            });
            Act::Close
        });
        let mut platform = Platform::new(&[&draining]);
        let settings = &mut platform.setup.settings;
        *settings = settings.replace(
            r#""connect_timeout_us":250000"#,
            r#""connect_timeout_us":3000000"#,
        );
        *settings = settings.replace(r#""window_us":3000000"#, r#""window_us":900000"#);
        *settings = settings.replace(r#""most_tries":3"#, r#""most_tries":2"#);
        let discovery = Discovery::start();
        platform.setup.discovery = Some(discovery.at);
        if class == "refer" {
            platform.setup.known = vec![jammed.entry("s-1", "up")];
        }
        let mut first = platform.start();
        let mut client = Client::connect(platform.at);
        client.send(&call(class, "u1", 2800));
        if class == "save" {
            until("the first attempt reaches the backend", || {
                draining.count() == 1
            });
            discovery.tell(jammed.entry("s-1", "up"));
            discovery.tell(draining.entry("s-0", "draining"));
            hang.store(true, Ordering::SeqCst);
        }
        until("an attempt connects", || jammed.tried());
        let _second = platform.start();
        first.ended();
        let jammed_backend = Backend::on(jammed.clear(), serve);
        assert_eq!(client.answer(), answer, "{class}");
        assert_eq!(
            jammed_backend.count(),
            usize::from(class == "refer"),
            "{class}"
        );
    }
}

/// Guards against breaking a long answer that the old process had begun to stream.
#[test]
fn a_streamed_answer_continues_in_the_next_process() {
    let resume = Arc::new(AtomicBool::new(false));
    let backends = [(); 4].map(|()| backend_pausing_half_way(resume.clone()));
    let platform = Platform::new(&backends.each_ref());
    let count = || backends.iter().map(Backend::count).sum::<usize>();
    let mut first = platform.start();
    // Two requests alone on their connections, whose answers are streamed, and two pipelines of two, whose answers are
    // buffered first. All are half way.
    let mut clients = [(); 4].map(|()| Client::connect(platform.at));
    let ids = |n: usize| {
        if n < 2 {
            vec![format!("p{n}")]
        } else {
            vec![format!("l{n}"), format!("m{n}")]
        }
    };
    for (n, client) in clients.iter_mut().enumerate() {
        let before = count();
        let calls = ids(n).into_iter().flat_map(|id| call("refer", &id, 8000));
        client.send(&calls.collect::<Vec<u8>>());
        until("the requests reach a backend", || {
            count() == before + ids(n).len()
        });
        until("the answer begins to arrive", || {
            n >= 2 || client.0.peek(&mut [0]).is_ok_and(|n| n > 0)
        });
    }
    // One more client has sent half of a long body.
    let (mut sender, body) = (Client::connect(platform.at), "y".repeat(1 << 20));
    let options = "c=refer,t=starter,d=8000,units=1,spread=1,first=0";
    let post = command(&["CALL.POST", "00000000000fffff", "n0", options, &body]);
    sender.send(&post[..600_000]);
    let second = platform.start();
    first.ended();
    resume.store(true, Ordering::SeqCst);
    sender.send(&post[600_000..]);
    assert!(sender.answer() == long_value("n0"));
    let has_whole_body = |b: &Backend| {
        b.seen
            .commands
            .lock()
            .unwrap()
            .iter()
            .any(|c| c[2] == "n0" && c[4] == body)
    };
    assert!(backends.iter().any(has_whole_body));
    for (n, client) in clients.iter_mut().enumerate() {
        for id in ids(n) {
            assert!(
                client.answer() == long_value(&id),
                "the value of {id} differs from the backend's"
            );
        }
    }
    assert_eq!(
        second.figure("ingress.operations.refer.fulfilled"),
        7,
        "the new process must count all requests as fulfilled"
    );
    assert_eq!(count(), 7, "a request was sent again");
}

/// Guards against losing a drain that only the old process knows: the new process's configuration holds an older list.
#[test]
fn drains_and_changed_settings_survive_a_handover() {
    let (one, two, discovery) = (
        Backend::start(serve),
        Backend::start(serve),
        Discovery::start(),
    );
    let mut platform = Platform::new(&[&one, &two]);
    platform.setup.discovery = Some(discovery.at);
    let mut first = platform.start();
    discovery.tell(two.entry("s-1", "draining"));
    discovery.silence(true);
    // A class in the file is replaced by another one. The enforced settings keep their positions.
    let settings = platform.setup.settings.clone();
    platform.setup.settings = settings.replace(r#""name":"quote""#, r#""name":"report""#);
    let file = platform.folder.path().join("config.json");
    std::fs::write(&file, platform.setup.config(platform.at)).unwrap();
    first.signal("HUP");
    until("the file is applied", || {
        first.figure("ingress.cfg_accepted") == 1
    });
    let second = platform.start();
    first.ended();
    let mut client = Client::connect(platform.at);
    for n in 0..10 {
        assert_eq!(
            client.ask(&call("refer", &format!("r{n}"), 900)),
            format!("value of r{n}")
        );
    }
    assert!(client
        .ask(&call("quote", "q1", 900))
        .starts_with("-ERR the class is unknown"));
    assert_eq!((one.count(), two.count()), (10, 0));
    assert_eq!(
        (
            second.figure("ingress.registry_entries"),
            second.figure("ingress.out_of_rotation")
        ),
        (2, 1)
    );
    assert_eq!(
        second.figure("ingress.operations.refer.fulfilled"),
        10,
        "counts must start at zero in the new process"
    );
}

/// Guards against a failed handover that affects the old process: it must serve on unchanged.
#[test]
fn a_successor_that_fails_changes_nothing() {
    let backend = Backend::start(serve);
    let platform = Platform::new(&[&backend]);
    let mut process = platform.start();
    let mut client = Client::connect(platform.at);
    let successor_hello = |layout: u32| [&b"wrenhnd1"[..], &layout.to_be_bytes()].concat();
    let valid_hello = successor_hello(4);
    for (n, (sent, read_length)) in [
        (&b""[..], 0),
        (b"wren", 0),
        (b"GET / HTTP/1.1\r\n\r\n", 1),
        (&successor_hello(9_999), 1),
        (&valid_hello, 0),     // disconnects before reading the state
        (&valid_hello, 10),    // disconnects part way through the state
        (&valid_hello, 9_999), // reads the whole state and sends no verdict
    ]
    .into_iter()
    .enumerate()
    {
        let mut channel = UnixStream::connect(platform.channel()).unwrap();
        channel.write_all(sent).unwrap();
        channel
            .set_read_timeout(Some(Duration::from_millis(100)))
            .unwrap();
        let mut buf = vec![0; read_length];
        let _ = channel.read(&mut buf);
        if n % 2 == 0 {
            drop(channel); // every second one stays silent until it is closed
        } else {
            let _ = channel.read_to_end(&mut Vec::new());
        }
        assert_eq!(
            client.ask(&call("refer", &format!("r{n}"), 2900)),
            format!("value of r{n}")
        );
    }
    // A successor that reads the state and rejects it.
    let mut channel = UnixStream::connect(platform.channel()).unwrap();
    channel.write_all(&valid_hello).unwrap();
    channel.read_exact(&mut [0; 200]).unwrap();
    channel.write_all(b"Nno use for it").unwrap();
    assert_eq!(client.ask(&call("refer", "last", 2900)), "value of last");
    drop(channel);
    let next = platform.start();
    assert_eq!(client.ask(&call("refer", "next", 2900)), "value of next");
    let log = process.ended();
    assert!(
        log.contains("no use for it") && log.contains("layout 9999"),
        "{log}"
    );
    drop(next);
}

/// Guards against a start that waits for a frozen or dead process. The process started after it is handed over to as
/// usual.
#[test]
fn a_successor_of_a_frozen_or_dead_process_starts_without_state() {
    let backend = Backend::start(serve);
    let platform = Platform::new(&[&backend]);
    let mut frozen = platform.start();
    frozen.signal("STOP");
    let mut second = platform.start();
    // Once the old process continues, either process may accept a new connection; until then only the new one does.
    let mut client = Client::connect(platform.at);
    assert_eq!(client.ask(&call("refer", "r1", 2900)), "value of r1");
    frozen.signal("CONT");
    frozen.signal("TERM");
    assert!(!frozen.ended().contains("handed over"));
    assert_eq!(client.ask(&call("refer", "r2", 2900)), "value of r2");
    // After the old process has exited, the second one binds the channel and hands over as usual.
    until("the second process binds the handover channel", || {
        UnixStream::connect(platform.channel()).is_ok()
    });
    let mut third = platform.start();
    assert_eq!(client.ask(&call("refer", "r3", 2900)), "value of r3");
    assert!(second.ended().contains("handed over"));
    // A crash leaves the channel's socket file behind.
    third.child.kill().unwrap();
    third.child.wait().unwrap();
    assert!(platform.channel().exists());
    let _fourth = platform.start();
    assert_eq!(
        Client::connect(platform.at).ask(&call("refer", "r4", 2900)),
        "value of r4"
    );
}

/// Guards against a handover from a process that was told to stop: its successor starts without state.
#[test]
fn a_process_that_shuts_down_hands_nothing_over_and_answers_its_requests() {
    let backend = Backend::start(|args| Act::Later(Duration::from_millis(300), served(args)));
    let platform = Platform::new(&[&backend]);
    let mut first = platform.start();
    let mut client = Client::connect(platform.at);
    client.send(&call("refer", "r1", 2500));
    until("the request reaches the backend", || backend.count() == 1);
    first.signal("HUP");
    first.signal("TERM");
    until("the process reports that it is stopping", || {
        first.ask("readyz").starts_with("-ERR stopping")
    });
    let _second = platform.start();
    assert_eq!(client.answer(), "value of r1");
    drop(client);
    assert!(first.ended().contains("told to stop"));
    assert_eq!(
        Client::connect(platform.at).ask(&call("refer", "r2", 2500)),
        "value of r2"
    );
}

/// Guards against using a passed descriptor that is not the expected listener.
#[test]
fn an_invalid_descriptor_is_logged_and_the_address_bound() {
    let backend = Backend::start(serve);
    for (redirect, reason) in [
        ("3</dev/null", "descriptor 3"),
        ("3<&-", "descriptor 3"),
        ("3<&0", "not at"), // a listener on another address
    ] {
        let mut platform = Platform::new(&[&backend]);
        let own = free_address();
        platform.at = own;
        let mut process = platform.run(redirect);
        until("readyz is OK", || process.ask("readyz").starts_with("+OK"));
        let answer = Client::connect(own).ask(&call("refer", "r1", 2500));
        assert_eq!(answer, "value of r1");
        process.signal("TERM");
        let log = process.ended();
        assert!(
            log.contains("LB_PASSED_SOCKET") && log.contains(reason),
            "{redirect}: {log}"
        );
    }
}

/// Guards against a connection that is idle after a command with a long body and counts as one with a command to write: the
/// next process closed each of them and had to connect again.
#[test]
fn a_connection_that_carried_a_long_body_is_reused_in_the_next_process() {
    let backend = Backend::start(serve);
    let platform = Platform::new(&[&backend]);
    let mut first = platform.start();
    let mut client = Client::connect(platform.at);
    let body = "b".repeat(100_000);
    let options = "c=refer,t=starter,d=5000,units=1,spread=1,first=0";
    let post = command(&["CALL.POST", "00000000000000b1", "b1", options, &body]);
    assert_eq!(client.ask(&post), "value of b1");
    let second = platform.start();
    assert!(first.ended().contains("handed over"));
    assert_eq!(client.ask(&call("refer", "n1", 2000)), "value of n1");
    assert_eq!(
        backend.seen.opened.load(Ordering::SeqCst),
        1,
        "the connection was not reused"
    );
    assert_eq!(second.figure("ingress.open_requests"), 0);
}

/// Guards against losing an answer that has arrived and waits behind a hung request on its connection, when the process is
/// replaced and its successor is then told to end.
#[test]
fn an_answer_behind_a_hung_request_survives_a_handover_and_a_shutdown() {
    let backend = Backend::start(|args| {
        if args[2] == "h1" {
            return Act::Silent;
        }
        let value = long_value(&args[2]);
        let answer = format!("*3\r\n${}\r\n{value}\r\n$-1\r\n$-1\r\n", value.len());
        Act::Say(answer.into_bytes())
    });
    let platform = Platform::new(&[&backend]);
    let mut first = platform.start();
    let mut client = Client::connect(platform.at);
    client.send(&[call("refer", "h1", 7900), call("refer", "l2", 7900)].concat());
    until("both requests reach the backend", || backend.count() == 2);
    let mut second = platform.start();
    assert!(first.ended().contains("handed over"));
    second.signal("TERM");
    assert_eq!(client.answer(), "-ERR failed");
    assert!(client.answer() == long_value("l2"));
    assert!(second.ended().contains("stopped"));
}

/// Guards against answers that shift: the process withholds the errors of a client with too many invalid commands, and a request
/// of this client reaches its successor.
#[test]
fn errors_withheld_before_a_handover_are_answered() {
    let backend = Backend::start(|args| match &args[2][..1] {
        "a" => Act::Later(Duration::from_millis(1500), served(args)),
        _ => serve(args),
    });
    let platform = Platform::new(&[&backend]);
    let mut first = platform.start();
    let mut client = Client::connect(platform.at);
    let invalid = command(&["GET", "x"]).repeat(12);
    client.send(&[call("refer", "a1", 5000), invalid].concat());
    until("the request reaches the backend", || backend.count() == 1);
    let _second = platform.start();
    assert!(first.ended().contains("handed over"));
    client.send(&call("refer", "r2", 5000));
    assert_eq!(client.answer(), "value of a1");
    for n in 0..12 {
        let answer = client.answer();
        assert!(answer.starts_with("-ERR"), "{n}: {answer:?}");
    }
    assert_eq!(client.answer(), "value of r2");
}

/// Guards against the rest of a rejected body being taken for commands by the next process, which does not know how much of it is
/// left.
#[test]
fn the_rest_of_a_rejected_body_is_not_parsed_by_the_next_process() {
    let backend = Backend::start(serve);
    let mut platform = Platform::new(&[&backend]);
    platform.setup.memory_mb = 24;
    let mut first = platform.start();
    let post = |id: &str, wait_ms: u32| {
        let options = format!("c=refer,t=starter,d={wait_ms},units=1,spread=1,first=0");
        let body = "b".repeat(4 << 20);
        command(&["CALL.POST", "00000000000000b1", id, &options, &body])
    };
    let (mut holder, mut client) = (Client::connect(platform.at), Client::connect(platform.at));
    holder.send(&post("h1", 5000)[..100_000]);
    thread::sleep(Duration::from_millis(100));
    let body = post("b1", 800);
    client.send(&body[..100_000]);
    assert_eq!(client.answer(), "-BUSY");
    let _second = platform.start();
    assert!(first.ended().contains("handed over"));
    client.send(&body[100_000..101_000]);
    assert!(
        client.ended(),
        "the connection did not end after its answer"
    );
}

/// Guards against an id that runs again at the next process, after its client has left the process before.
#[test]
fn an_id_whose_client_left_does_not_run_again_at_the_next_process() {
    for leaves_before in [true, false] {
        let backend = Backend::start(|args| Act::Later(Duration::from_millis(300), served(args)));
        let platform = Platform::new(&[&backend]);
        let mut first = platform.start();
        let mut client = Client::connect(platform.at);
        client.send(&call("refer", "x1", 5000));
        until("the request reaches the backend", || backend.count() == 1);
        let client = if leaves_before {
            leave(client);
            None
        } else {
            Some(client)
        };
        let _second = platform.start();
        assert!(first.ended().contains("handed over"));
        if let Some(client) = client {
            leave(client);
        }
        let answer = Client::connect(platform.at).ask(&call("refer", "x1", 5000));
        assert!(answer.starts_with("-ERR"), "{leaves_before}: {answer}");
        assert_eq!(backend.count(), 1, "{leaves_before}");
    }
}
