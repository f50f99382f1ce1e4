//! Answers too long to be kept whole, by the ingress's sockets: they pass on as they come, with both ends slow, broken or gone.

use std::io::{ErrorKind, Read};
use std::net::TcpStream;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;
use wrenfork_testbed::service_fixture::{
    call, command, serve, served, until, Act, Backend, Client, Ingress, Setup,
};

const LONGEST: usize = 4 << 20;

fn setup(backends: &[&Backend]) -> Setup {
    Setup::of(env!("CARGO_BIN_EXE_wrenfork"), backends)
}

/// A value that is its request's own, of so many bytes.
fn value(id: &str, length: usize) -> String {
    id.bytes().cycle().take(length).map(char::from).collect()
}

fn long(args: &[String], length: usize) -> Vec<u8> {
    format!(
        "*3\r\n${length}\r\n{}\r\n$-1\r\n$9\r\nutil=0.25\r\n",
        value(&args[2], length)
    )
    .into_bytes()
}

/// The most memory that a process has had resident, in KiB.
fn peak(ingress: &Ingress) -> usize {
    let status = std::fs::read_to_string(format!("/proc/{}/status", ingress.child.id())).unwrap();
    let line = status
        .lines()
        .find_map(|l| l.strip_prefix("VmHWM:"))
        .unwrap();
    line.trim().trim_end_matches(" kB").parse().unwrap()
}

/// Reads on until the end of what comes, or so many bytes; how many came, and whether the connection has ended.
fn read_some(stream: &mut TcpStream, most: usize) -> (usize, bool) {
    let (mut had, mut chunk) = (0, vec![0; 64 * 1024]);
    while had < most {
        let room = chunk.len().min(most - had);
        match stream.read(&mut chunk[..room]) {
            Ok(0) => return (had, true),
            Ok(n) => had += n,
            Err(e) if e.kind() == ErrorKind::ConnectionReset => return (had, true),
            Err(e) => panic!("{e}"),
        }
    }
    (had, false)
}

/// Guards against values that are kept whole: 32 of 4 MiB at once, to readers that take nothing for a while, in 24 MiB.
#[test]
fn many_of_the_longest_answers_stream_through_a_small_memory() {
    let backend = Backend::start(|args| Act::Say(long(args, LONGEST)));
    let others = [(); 3].map(|()| Backend::start(|args| Act::Say(long(args, LONGEST))));
    let small = Backend::start(serve);
    let mut setup = setup(&[&backend, &others[0], &others[1], &others[2]]);
    setup.memory_mb = 24;
    let ingress = setup.start();
    let mut clients: Vec<Client> = (0..32).map(|_| ingress.client()).collect();
    for (n, client) in clients.iter_mut().enumerate() {
        client.send(&call("refer", &format!("r{n}"), 7000));
        // One after the other begins, and nobody reads: those that have begun keep no place from the next.
        until("it has begun", || {
            client.0.peek(&mut [0]).is_ok_and(|n| n > 0)
        });
    }
    for (n, client) in clients.iter_mut().enumerate() {
        assert!(
            client.answer() == value(&format!("r{n}"), LONGEST),
            "r{n} is not what its backend gave"
        );
    }
    let peak = peak(&ingress);
    assert!(peak < 24 * 1024, "{peak} KiB resident");
    assert_eq!(small.count(), 0);
}

/// Guards against a slow reader, or a value behind others, that keeps anybody else from being served or changes the order.
#[test]
fn a_slow_reader_delays_no_other_client_and_answers_stay_in_order() {
    let backend = Backend::start(|args| match &args[2][..1] {
        "l" => Act::Say(long(args, 1 << 20)),
        "s" => Act::Later(Duration::from_millis(400), served(args)),
        _ => serve(args),
    });
    let ingress = setup(&[&backend]).start();
    let (mut slow, mut line) = (ingress.client(), ingress.client());
    slow.send(&call("refer", "l0", 2000));
    until("it has begun", || {
        slow.0.peek(&mut [0]).is_ok_and(|n| n > 0)
    });
    line.send(
        &["s1", "l2", "q3", "l4", "q5"]
            .map(|id| call("refer", id, 2500))
            .concat(),
    );
    // Five at once are more than one backend has places for: whoever asks while one waits may be refused by lot.
    until("all are with the backend", || backend.count() == 6);
    for n in 0..20 {
        assert_eq!(
            ingress.client().ask(&call("refer", &format!("q1{n}"), 900)),
            format!("value of q1{n}")
        );
    }
    assert_eq!(line.answer(), "value of s1");
    assert!(line.answer() == value("l2", 1 << 20));
    assert_eq!(line.answer(), "value of q3");
    assert!(line.answer() == value("l4", 1 << 20));
    assert_eq!(line.answer(), "value of q5");
    thread::sleep(Duration::from_millis(2500)); // past its deadline, which was for the first byte
    assert!(slow.answer() == value("l0", 1 << 20));
    assert_eq!(slow.ask(&call("refer", "q9", 900)), "value of q9");
}

/// Guards against a deadline, or a second copy, that ends an answer which comes slowly but comes.
#[test]
fn a_streamed_answer_ends_early_only_when_it_stalls() {
    let backend = Backend::start(|args| {
        let bytes = long(args, 300_000);
        Act::Parts(
            if args[2] == "q1" { 100_000 } else { 20 },
            Duration::from_millis(1400),
            bytes,
        )
    });
    let other = Backend::start(|args| Act::Say(long(args, 300_000)));
    let ingress = setup(&[&backend]).start();
    // 900 ms, and a repeatable class: neither its end nor a second copy comes in between.
    assert!(ingress.client().ask(&call("quote", "q1", 900)) == value("q1", 300_000));
    assert!(ingress.client().ask(&call("quote", "q2", 900)) == value("q2", 300_000));
    assert_eq!((backend.count(), other.count()), (2, 0));
}

/// Guards against half a value that seems whole, and a second try of what the client has begun to read.
#[test]
fn an_answer_that_breaks_in_the_middle_closes_the_clients_connection() {
    let (cut, id) = (Arc::new(AtomicUsize::new(0)), Arc::new(Mutex::new(0)));
    let at = cut.clone();
    let backend = Backend::start(move |args| {
        let mut bytes = long(args, 200_000);
        let at = at.load(Ordering::SeqCst);
        match at {
            1 => {
                let end = bytes.len() - 22; // the end of the value is another
                bytes[end] = b'x';
            }
            2 => bytes.extend_from_slice(&[b'z'; 10]),
            _ => bytes.truncate(at),
        }
        let whole = bytes.len();
        Act::Parts(whole, Duration::ZERO, bytes)
    });
    let ingress = setup(&[&backend]).start();
    for at in [150_000, 199_990, 200_012, 200_020, 1] {
        cut.store(at, Ordering::SeqCst);
        let mut client = ingress.client();
        let name = {
            let mut id = id.lock().unwrap();
            *id += 1;
            format!("b{id}")
        };
        let before = backend.count();
        client.send(&call("quote", &name, 5000));
        until("the backend has it", || backend.count() == before + 1);
        if at > 1 {
            until("it has begun", || {
                client.0.peek(&mut [0]).is_ok_and(|n| n > 0)
            });
            backend.seen.hang_up.store(true, Ordering::SeqCst);
        }
        let (had, ended) = read_some(&mut client.0, LONGEST);
        backend.seen.hang_up.store(false, Ordering::SeqCst);
        assert!(
            ended && had < "$200000\r\n".len() + 200_002,
            "cut at {at}: {had} bytes, ended: {ended}"
        );
        assert_eq!(backend.count(), before + 1, "it was sent again");
    }
    // What comes behind a whole one spoils nothing but its connection.
    cut.store(2, Ordering::SeqCst);
    assert!(ingress.client().ask(&call("quote", "b9", 5000)) == value("b9", 200_000));
    // Beyond the bound nothing is passed on.
    let huge = Backend::start(|args| Act::Say(long(args, LONGEST + 1)));
    let ingress = setup(&[&huge]).start();
    assert_eq!(
        ingress.client().ask(&call("refer", "r1", 2000)),
        "-ERR failed"
    );
}

/// A backend whose answers to `l…` stop in the middle, until it hangs up, and to `w…` pause there.
fn breaking() -> Backend {
    Backend::start(|args| match &args[2][..1] {
        "l" => Act::Parts(
            150_000,
            Duration::ZERO,
            long(args, 200_000)[..150_000].to_vec(),
        ),
        "w" => Act::Parts(100_000, Duration::from_millis(300), long(args, 200_000)),
        _ => serve(args),
    })
}

/// Guards against an answer that breaks in the middle and takes with it what others on its connection are owed.
#[test]
fn an_answer_that_breaks_in_the_middle_loses_no_other_answer() {
    let backend = breaking();
    let ingress = setup(&[&backend]).start();
    let mut client = ingress.client();
    client.send(
        &["q1", "l2", "q3"]
            .map(|id| call("refer", id, 5000))
            .concat(),
    );
    until("all are with the backend", || backend.count() == 3);
    backend.seen.hang_up.store(true, Ordering::SeqCst);
    assert_eq!(
        ["q1", "l2", "q3"].map(|_| client.answer()),
        ["value of q1", "-ERR failed", "value of q3"]
    );
    backend.seen.hang_up.store(false, Ordering::SeqCst);
    // A sound one among others comes whole, and one that would be late has failed in time.
    client.send(
        &["q4", "w5", "q6"]
            .map(|id| call("refer", id, 5000))
            .concat(),
    );
    assert_eq!(client.answer(), "value of q4");
    assert!(client.answer() == value("w5", 200_000));
    assert_eq!(client.answer(), "value of q6");
    client.send(&["q7", "l8", "q9"].map(|id| call("refer", id, 900)).concat());
    assert_eq!(
        ["q7", "l8", "q9"].map(|_| client.answer()),
        ["value of q7", "-ERR failed", "value of q9"]
    );
}

/// Guards against a request that is read behind an answer which passes on as it comes: if that breaks, its connection ends, and
/// whatever came of the request would be lost. Unread, it is one that its client sends again.
#[test]
fn nothing_is_read_behind_a_streamed_answer() {
    let backend = breaking();
    let ingress = setup(&[&backend]).start();
    let begun = |client: &Client| client.0.peek(&mut [0]).is_ok_and(|n| n > 0);
    let mut client = ingress.client();
    client.send(&call("refer", "w1", 5000));
    until("it has begun", || begun(&client));
    client.send(&call("refer", "q2", 5000));
    assert!(client.answer() == value("w1", 200_000));
    assert_eq!(client.answer(), "value of q2");
    client.send(&call("refer", "l3", 5000));
    until("it has begun", || begun(&client));
    client.send(&call("refer", "q4", 5000));
    (0..2).for_each(|_| assert_eq!(ingress.client().ask(&command(&["PING"])), "+PONG"));
    backend.seen.hang_up.store(true, Ordering::SeqCst);
    let (had, ended) = read_some(&mut client.0, LONGEST);
    assert!(ended && had < 200_000, "{had}");
    assert_eq!(backend.count(), 3, "what came behind it was sent on");
}

/// Guards against a backend that goes on for a client that has left, and against one that stands still for ever.
#[test]
fn streaming_ends_when_the_client_disconnects_or_the_backend_stalls() {
    let backend = Backend::start(|args| {
        if args[2] == "still" {
            return Act::Parts(100_000, Duration::from_secs(60), long(args, 200_000));
        }
        Act::Say(long(args, LONGEST))
    });
    let ingress = setup(&[&backend]).start();
    let mut client = ingress.client();
    client.send(&call("refer", "l1", 2000));
    until("it has begun", || {
        client.0.peek(&mut [0]).is_ok_and(|n| n > 0)
    });
    drop(client);
    until("the backend's connection ends", || {
        backend.seen.ended.load(Ordering::SeqCst) == 1
    });
    let mut client = ingress.client();
    client.send(&call("refer", "still", 2000));
    let (had, ended) = read_some(&mut client.0, LONGEST);
    assert!(ended && (50_000..200_000).contains(&had), "{had}");
}

/// Guards against a place in the answer where a cut of the bytes is taken for something else.
#[test]
fn an_answer_may_be_cut_anywhere() {
    let backend = Backend::start(|args| {
        let bytes = long(args, 500_000);
        let at = args[2][1..].parse::<usize>().unwrap();
        Act::Parts(at, Duration::from_millis(20), bytes)
    });
    let ingress = setup(&[&backend]).start();
    let mut client = ingress.client();
    for at in [
        1, 3, 5, 11, 12, 13, 14, 70_000, 500_010, 500_012, 500_013, 500_014, 500_020, 500_030,
    ] {
        let id = format!("p{at}");
        assert!(
            client.ask(&call("refer", &id, 3000)) == value(&id, 500_000),
            "cut at {at}"
        );
    }
}

// ---- Bodies ----

fn post(class: &str, id: &str, body: &str) -> Vec<u8> {
    static NEXT: AtomicUsize = AtomicUsize::new(50_000);
    let customer = format!("{:016x}", NEXT.fetch_add(1, Ordering::SeqCst));
    let options = format!("c={class},t=starter,d=5000,k=00ff,units=1,spread=1,first=0");
    command(&["CALL.POST", &customer, id, &options, body])
}

/// What a backend was given as the body of a request.
fn body_at(backend: &Backend, id: &str) -> Option<String> {
    let seen = backend.seen.commands.lock().unwrap();
    seen.iter().find(|c| c[2] == id).map(|c| c[4].clone())
}

/// Guards against bodies that fill the memory: a dozen of 4 MiB at once, in pieces, where there is room for one or two.
#[test]
fn long_bodies_wait_for_memory_and_arrive_complete() {
    let backend = Backend::start(serve);
    let mut setup = setup(&[&backend]);
    setup.memory_mb = 24;
    let ingress = setup.start();
    let clients: Vec<_> = (0..12)
        .map(|n| {
            let mut client = ingress.client();
            thread::spawn(move || {
                let id = format!("b{n}");
                let asked = post("refer", &id, &value(&id, LONGEST - n));
                // The head in pieces, and the body at once or in halves; a small one waits behind it.
                let cut = 3 + n * 7;
                client.send(&asked[..cut]);
                client.send(&asked[cut..asked.len() / 2]);
                thread::sleep(Duration::from_millis(10 * (n as u64 % 3)));
                client.send(&asked[asked.len() / 2..]);
                client.send(&call("refer", &format!("s{n}"), 5000));
                [client.answer(), client.answer()]
            })
        })
        .collect();
    for (n, client) in clients.into_iter().enumerate() {
        assert_eq!(
            client.join().unwrap(),
            [format!("value of b{n}"), format!("value of s{n}")]
        );
        let id = format!("b{n}");
        assert!(
            body_at(&backend, &id) == Some(value(&id, LONGEST - n)),
            "{id} came otherwise"
        );
    }
    let peak = peak(&ingress);
    assert!(peak < 24 * 1024, "{peak} KiB resident");
}

/// Guards against a body that is repeated in part, or not at all where its class allows it; lengths round the border.
#[test]
fn a_long_body_is_retried_completely() {
    // It turns two away, no more: where it turned all away the ladder would cut customers by a lot drawn with the time.
    let turned = AtomicUsize::new(0);
    let bad = Backend::start(move |args| match turned.fetch_add(1, Ordering::SeqCst) {
        0 | 1 => Act::Say(b"-BUSY\r\n".to_vec()),
        _ => serve(args),
    });
    let good = Backend::start(serve);
    let ingress = setup(&[&bad, &good]).start();
    let mut client = ingress.client();
    for (n, length) in [
        65_535, 65_536, 65_537, 66_000, 70_000, 73_728, 73_729, 200_000, LONGEST,
    ]
    .into_iter()
    .enumerate()
    {
        let id = format!("v{n}");
        assert_eq!(
            client.ask(&post("save", &id, &value(&id, length))),
            format!("value of {id}"),
            "{length} bytes"
        );
        let had = body_at(&good, &id).or_else(|| body_at(&bad, &id));
        assert!(
            had == Some(value(&id, length)),
            "{length} bytes came otherwise"
        );
    }
    // Until one has been turned away, and so repeated, whichever backends were chosen above.
    for n in 0.. {
        if bad.count() > 0 {
            break;
        }
        assert!(n < 200, "200 requests passed it by");
        let id = format!("w{n}");
        assert_eq!(
            client.ask(&post("save", &id, &value(&id, 70_000))),
            format!("value of {id}")
        );
    }
}

/// Guards against a body that nobody has room for, or that never comes, and holds up the others for ever.
#[test]
fn a_body_too_long_or_too_late_is_refused() {
    let backend = Backend::start(serve);
    let mut small = setup(&[&backend]);
    small.memory_mb = 16; // a quarter of it is less than the longest and its head
    let ingress = small.start();
    let mut client = ingress.client();
    let head = |length: usize| {
        let whole = post("refer", "x1", &"x".repeat(70_000));
        let at = whole.windows(8).position(|w| w == b"$70000\r\n").unwrap();
        [&whole[..at], format!("${length}\r\n").as_bytes()].concat()
    };
    client.send(&head(LONGEST + 1));
    assert!(client.answer().contains("over the limit"));
    let mut client = ingress.client();
    client.send(&head(LONGEST));
    assert!(client.answer().contains("longer than there is memory for"));
    // One that stops half way keeps its grant for as long as a head may take; the next one is served then.
    let (mut stopped, mut next) = (ingress.client(), ingress.client());
    stopped.send(&head(3 << 20));
    thread::sleep(Duration::from_millis(50));
    next.send(&post("refer", "n1", &value("n1", 3 << 20)));
    assert_eq!(next.answer(), "value of n1");
    assert!(stopped.answer().contains("did not come in time"));
    assert_eq!(backend.count(), 1);
    // What is turned down is read to its end, and what comes behind it is served.
    let mut client = ingress.client();
    client.send(
        &[
            post("nothing", "x2", &value("x2", 100_000)),
            call("refer", "r2", 900),
        ]
        .concat(),
    );
    assert!(client.answer().contains("the class is unknown"));
    assert_eq!(client.answer(), "value of r2");
}
