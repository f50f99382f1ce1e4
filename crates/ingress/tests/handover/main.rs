//! A new version under load: processes of one ingress after each other on one listening socket that the test holds, as a
//! platform would. A connection that a client keeps must never end, and each request has one answer and one effect.

mod support;

use std::collections::HashSet;
use std::io::{Read, Write};
use std::os::unix::net::UnixStream;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};
use support::{attempts_by_id, half_way_until, long_value, longest_pause, Load, Platform, Sampler};
use wrenfork_testbed::service_fixture::{
    call, call_of, command, free_address, serve, served, until, Act, Backend, Client, Discovery,
    Jammed,
};

/// Guards against connections that are closed or left unread, answers that go missing and effects that come twice, over two
/// upgrades on end under load, with the limits half of them would break.
#[test]
fn under_load_every_request_has_one_answer_on_the_connection_it_came_on() {
    let slow = |args: &[String]| Act::Later(Duration::from_millis(15), served(args));
    let backends = [(); 3].map(|()| Backend::start(slow));
    let platform = Platform::new(&backends.each_ref());
    let mut first = platform.start();
    let (stop, asked) = (
        Arc::new(AtomicBool::new(false)),
        Arc::new(AtomicUsize::new(0)),
    );
    let served_ids = Arc::new(Mutex::new(HashSet::new()));
    let answered_at: Arc<Mutex<Vec<Instant>>> = Arc::default();
    let load = Load {
        at: platform.at,
        stop: stop.clone(),
        asked: asked.clone(),
        served_ids: served_ids.clone(),
        answered_at: answered_at.clone(),
    };
    let client = |number| {
        let load = load.clone();
        thread::spawn(move || load.run(number))
    };
    let clients: Vec<_> = (0..12).map(client).collect();
    until("there is load", || asked.load(Ordering::SeqCst) > 200);
    let seen = Sampler::start(first.child.id());
    let mut second = platform.run("3<&0");
    seen.second.store(second.child.id(), Ordering::SeqCst);
    until("it says yes", || second.ask("readyz").starts_with("+OK"));
    assert!(first.ended().contains("handed over"));
    let (memory, descriptors) = seen.stop();
    let before = asked.load(Ordering::SeqCst);
    until("it serves", || asked.load(Ordering::SeqCst) > before + 200);
    // It takes the place of the one before at its next look, up to half a second later.
    until("the second can be found", || {
        UnixStream::connect(platform.channel()).is_ok()
    });
    let third = platform.start();
    assert!(second.ended().contains("handed over"));
    let before = asked.load(Ordering::SeqCst);
    until("it serves", || asked.load(Ordering::SeqCst) > before + 200);
    stop.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|c| c.join().unwrap());
    // For the page of measurements (--nocapture); whoever counts on a time fails on a busy machine.
    let pause = longest_pause(&answered_at.lock().unwrap());
    println!(
        "both processes: {memory} KiB resident, {descriptors} descriptors; longest pause {pause:?}"
    );
    assert!(descriptors < 1024 && memory < 192 * 1024);
    // What backends have had: each unsafe request once, and each that was served.
    let had = attempts_by_id(&backends);
    assert!(had.values().all(|n| *n == 1), "an effect came twice");
    let served_ids = served_ids.lock().unwrap();
    assert!(served_ids.iter().all(|id| had.contains_key(id)) && served_ids.len() > 300);
    assert_eq!(third.figure("ingress.open_requests"), 0);
}

/// Guards against what was under way at the moment of the change: requests out, halves of commands, answers unread, quotas.
#[test]
fn requests_in_flight_continue_in_the_next_process() {
    let held = Arc::new(AtomicUsize::new(0));
    let holding = held.clone();
    let backend = Backend::start(move |args| match &args[2][..1] {
        "h" => {
            holding.fetch_add(1, Ordering::SeqCst);
            Act::Later(Duration::from_millis(600), served(args))
        }
        _ => serve(args),
    });
    let platform = Platform::new(&[&backend]);
    let mut first = platform.start();
    let client = || Client::connect(platform.at);
    // A customer that has used up its store.
    let (mut spent, mut served_before) = (client(), 0);
    for n in 0..9 {
        served_before += usize::from(
            spent
                .ask(&call_of(99, "quote", &format!("q{n}"), 900))
                .starts_with("value"),
        );
    }
    assert!(served_before < 9);
    let (mut out, mut half, mut behind) = (client(), client(), client());
    out.send(&call("refer", "h1", 2500));
    behind.send(&[call("refer", "h2", 2500), call("quote", "q20", 900)].concat());
    let command = call("refer", "r1", 2500);
    half.send(&command[..40]);
    until("two are with the backend", || {
        held.load(Ordering::SeqCst) == 2
    });
    let second = platform.start();
    first.ended();
    assert!(backend.seen.commands.lock().unwrap().len() < 20 && held.load(Ordering::SeqCst) == 2);
    half.send(&command[40..]);
    assert_eq!(out.answer(), "value of h1");
    assert_eq!(
        [behind.answer(), behind.answer()],
        ["value of h2", "value of q20"]
    );
    assert_eq!(half.answer(), "value of r1");
    assert_eq!(held.load(Ordering::SeqCst), 2, "nothing is sent again");
    // Its quota is no new one, and an id that is known stays known.
    assert!(spent
        .ask(&call_of(99, "quote", "q10", 900))
        .starts_with("-BUSY"));
    assert!(client()
        .ask(&call("refer", "h1", 900))
        .starts_with("-ERR the id is not new"));
    assert_eq!(
        backend.seen.ended.load(Ordering::SeqCst),
        0,
        "connections to backends pass on as well"
    );
    assert_eq!(second.figure("ingress.open_requests"), 0);
}

/// Guards against a key's window that ends with the process that knew it: a repeat whose connection is still coming up passes on,
/// and is not written by the next process a second later, when its key is forgotten. What may begin anew is begun anew.
#[test]
fn requests_unsent_at_a_handover_begin_anew_or_not_at_all() {
    for (class, answer) in [("save", "-ERR failed"), ("refer", "value of u1")] {
        let (hang, jammed) = (Arc::new(AtomicBool::new(false)), Jammed::start());
        let told = hang.clone();
        let taken = Backend::start(move |_| {
            until("the first attempt may break", || {
                told.load(Ordering::SeqCst)
            });
            Act::Close
        });
        let mut platform = Platform::new(&[&taken]);
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
            until("the first attempt is out", || taken.count() == 1);
            discovery.tell(jammed.entry("s-1", "up"));
            discovery.tell(taken.entry("s-0", "draining"));
            hang.store(true, Ordering::SeqCst);
        }
        until("an attempt is on its way", || jammed.tried());
        let _second = platform.start();
        first.ended();
        let late = Backend::on(jammed.clear(), serve);
        assert_eq!(client.answer(), answer, "{class}");
        assert_eq!(late.count(), usize::from(class == "refer"), "{class}");
    }
}

/// Guards against a long answer that ends with the process that had begun to pass it on.
#[test]
fn a_streamed_answer_continues_in_the_next_process() {
    let go = Arc::new(AtomicBool::new(false));
    let backends = [(); 4].map(|()| half_way_until(go.clone()));
    let platform = Platform::new(&backends.each_ref());
    let count = || backends.iter().map(Backend::count).sum::<usize>();
    let mut first = platform.start();
    // Two that pass on as they come, and two lines of two, which are read whole first; all stand in the middle.
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
        until("all of them are with a backend", || {
            count() == before + ids(n).len()
        });
        until("it has begun", || {
            n >= 2 || client.0.peek(&mut [0]).is_ok_and(|n| n > 0)
        });
    }
    // And a long body of which half has come.
    let (mut sender, body) = (Client::connect(platform.at), "y".repeat(1 << 20));
    let options = "c=refer,t=starter,d=8000,units=1,spread=1,first=0";
    let asked = command(&["CALL.POST", "00000000000fffff", "n0", options, &body]);
    sender.send(&asked[..600_000]);
    let second = platform.start();
    first.ended();
    go.store(true, Ordering::SeqCst);
    sender.send(&asked[600_000..]);
    assert!(sender.answer() == long_value("n0"));
    let whole = |b: &Backend| {
        b.seen
            .commands
            .lock()
            .unwrap()
            .iter()
            .any(|c| c[2] == "n0" && c[4] == body)
    };
    assert!(backends.iter().any(whole));
    for (n, client) in clients.iter_mut().enumerate() {
        for id in ids(n) {
            assert!(
                client.answer() == long_value(&id),
                "{id} is not what its backend gave"
            );
        }
    }
    assert_eq!(
        second.figure("ingress.operations.refer.fulfilled"),
        7,
        "all of them ended here"
    );
    assert_eq!(count(), 7, "none was sent again");
}

/// Guards against a drain that was told to the old process and not to the new, whose configuration holds an older list.
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
    // Two classes change places in the file; those that are enforced keep theirs.
    let settings = platform.setup.settings.clone();
    platform.setup.settings = settings.replace(r#""name":"quote""#, r#""name":"report""#);
    let file = platform.folder.path().join("config.json");
    std::fs::write(&file, platform.setup.config(platform.at)).unwrap();
    first.signal("HUP");
    until("the file is taken", || {
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
        "counts begin with the process"
    );
}

/// Guards against whoever asks and does not go on: the old process must serve as if nothing had been.
#[test]
fn a_successor_that_fails_changes_nothing() {
    let backend = Backend::start(serve);
    let platform = Platform::new(&[&backend]);
    let mut process = platform.start();
    let mut client = Client::connect(platform.at);
    let hello = |layout: u32| [&b"wrenhnd1"[..], &layout.to_be_bytes()].concat();
    let good = hello(4);
    for (n, (says, reads)) in [
        (&b""[..], 0),
        (b"wren", 0),
        (b"GET / HTTP/1.1\r\n\r\n", 1),
        (&hello(9_999), 1),
        (&good, 0),     // it dies with the state on its way
        (&good, 10),    // or in the middle of it
        (&good, 9_999), // or has it all and says nothing
    ]
    .into_iter()
    .enumerate()
    {
        let mut channel = UnixStream::connect(platform.channel()).unwrap();
        channel.write_all(says).unwrap();
        channel
            .set_read_timeout(Some(Duration::from_millis(100)))
            .unwrap();
        let mut had = vec![0; reads];
        let _ = channel.read(&mut had);
        if n % 2 == 0 {
            drop(channel); // one vanishes, the next is silent until it is given up
        } else {
            let _ = channel.read_to_end(&mut Vec::new());
        }
        assert_eq!(
            client.ask(&call("refer", &format!("r{n}"), 2900)),
            format!("value of r{n}")
        );
    }
    // One that takes the state and turns it down.
    let mut channel = UnixStream::connect(platform.channel()).unwrap();
    channel.write_all(&good).unwrap();
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

/// Guards against a start that waits for an old process that is frozen or dead; the one after it finds the way again.
#[test]
fn beside_a_frozen_or_dead_process_the_successor_begins_anew() {
    let backend = Backend::start(serve);
    let platform = Platform::new(&[&backend]);
    let mut frozen = platform.start();
    frozen.signal("STOP");
    let mut second = platform.start();
    // New connections may be taken by either, once the old one goes on; until then by the new one.
    let mut client = Client::connect(platform.at);
    assert_eq!(client.ask(&call("refer", "r1", 2900)), "value of r1");
    frozen.signal("CONT");
    frozen.signal("TERM");
    assert!(!frozen.ended().contains("handed over"));
    assert_eq!(client.ask(&call("refer", "r2", 2900)), "value of r2");
    // With the old one gone the second takes its place, and hands over as any other.
    until("the second can be found", || {
        UnixStream::connect(platform.channel()).is_ok()
    });
    let mut third = platform.start();
    assert_eq!(client.ask(&call("refer", "r3", 2900)), "value of r3");
    assert!(second.ended().contains("handed over"));
    // A crash leaves the file of its channel behind.
    third.child.kill().unwrap();
    third.child.wait().unwrap();
    assert!(platform.channel().exists());
    let _fourth = platform.start();
    assert_eq!(
        Client::connect(platform.at).ask(&call("refer", "r4", 2900)),
        "value of r4"
    );
}

/// Guards against signals in the midst: told to stop, a process is no way for the next one, which begins anew.
#[test]
fn a_process_that_shuts_down_hands_nothing_over_and_answers_all() {
    let backend = Backend::start(|args| Act::Later(Duration::from_millis(300), served(args)));
    let platform = Platform::new(&[&backend]);
    let mut first = platform.start();
    let mut client = Client::connect(platform.at);
    client.send(&call("refer", "r1", 2500));
    until("it is with the backend", || backend.count() == 1);
    first.signal("HUP");
    first.signal("TERM");
    until("it stops", || {
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

/// Guards against a descriptor that is taken for what it is not.
#[test]
fn an_invalid_descriptor_is_logged_and_the_address_bound() {
    let backend = Backend::start(serve);
    for (redirect, why) in [
        ("3</dev/null", "descriptor 3"),
        ("3<&-", "descriptor 3"),
        ("3<&0", "not at"), // a listener of another address
    ] {
        let mut platform = Platform::new(&[&backend]);
        let own = free_address();
        platform.at = own;
        let mut process = platform.run(redirect);
        until("it says yes", || process.ask("readyz").starts_with("+OK"));
        let asked = Client::connect(own).ask(&call("refer", "r1", 2500));
        assert_eq!(asked, "value of r1");
        process.signal("TERM");
        let log = process.ended();
        assert!(
            log.contains("LB_PASSED_SOCKET") && log.contains(why),
            "{redirect}: {log}"
        );
    }
}
