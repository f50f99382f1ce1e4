//! Answers too long to be buffered, seen through the ingress's sockets: they are streamed while either end is slow,
//! broken or gone.

use std::io::{ErrorKind, Read};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};
use wrenfork_testbed::service_fixture::{
    call, command, read_value, serve, served, until, Act, Backend, Client, Ingress, Setup,
};

/// Longest value that the ingress forwards.
const MAX_VALUE_BYTES: usize = 4 << 20;

fn setup(backends: &[&Backend]) -> Setup {
    Setup::of(env!("CARGO_BIN_EXE_wrenfork"), backends)
}

/// A value of `length` bytes made from the request's id.
fn value(id: &str, length: usize) -> String {
    id.bytes().cycle().take(length).map(char::from).collect()
}

fn long_answer(args: &[String], length: usize) -> Vec<u8> {
    format!(
        "*3\r\n${length}\r\n{}\r\n$-1\r\n$9\r\nutil=0.25\r\n",
        value(&args[2], length)
    )
    .into_bytes()
}

/// The peak resident memory of the process in KiB.
fn peak_rss_kib(ingress: &Ingress) -> usize {
    let status = std::fs::read_to_string(format!("/proc/{}/status", ingress.child.id())).unwrap();
    let line = status
        .lines()
        .find_map(|l| l.strip_prefix("VmHWM:"))
        .unwrap();
    line.trim().trim_end_matches(" kB").parse().unwrap()
}

/// Reads until the end of the stream or `max_bytes`. Returns the bytes read and whether the connection has ended.
fn read_some(stream: &mut TcpStream, max_bytes: usize) -> (usize, bool) {
    let (mut read_bytes, mut chunk) = (0, vec![0; 64 * 1024]);
    while read_bytes < max_bytes {
        let room = chunk.len().min(max_bytes - read_bytes);
        match stream.read(&mut chunk[..room]) {
            Ok(0) => return (read_bytes, true),
            Ok(n) => read_bytes += n,
            Err(e) if e.kind() == ErrorKind::ConnectionReset => return (read_bytes, true),
            Err(e) => panic!("{e}"),
        }
    }
    (read_bytes, false)
}

/// Guards against buffering whole values: 32 of 4 MiB at once, to clients that do not read for a while, with a memory
/// limit of 24 MiB.
#[test]
fn many_answers_of_maximum_length_stream_within_a_small_memory_limit() {
    let backend = Backend::start(|args| Act::Say(long_answer(args, MAX_VALUE_BYTES)));
    let others =
        [(); 3].map(|()| Backend::start(|args| Act::Say(long_answer(args, MAX_VALUE_BYTES))));
    let small = Backend::start(serve);
    let mut setup = setup(&[&backend, &others[0], &others[1], &others[2]]);
    setup.memory_mb = 24;
    let ingress = setup.start();
    let mut clients: Vec<Client> = (0..32).map(|_| ingress.client()).collect();
    for (n, client) in clients.iter_mut().enumerate() {
        client.send(&call("refer", &format!("r{n}"), 7000));
        // The answers begin one after the other and no client reads: the streams that have begun do not hold up
        // the next one.
        until("the answer begins to arrive", || {
            client.0.peek(&mut [0]).is_ok_and(|n| n > 0)
        });
    }
    for (n, client) in clients.iter_mut().enumerate() {
        assert!(
            client.answer() == value(&format!("r{n}"), MAX_VALUE_BYTES),
            "the value of r{n} differs from the backend's"
        );
    }
    let peak_kib = peak_rss_kib(&ingress);
    assert!(peak_kib < 24 * 1024, "peak of {peak_kib} KiB resident");
    assert_eq!(small.count(), 0);
}

/// Guards against a slow reader, or a long value in a pipeline, that delays other clients or changes the order of
/// answers.
#[test]
fn a_slow_reader_delays_no_other_client_and_answers_stay_in_order() {
    let backend = Backend::start(|args| match &args[2][..1] {
        "l" => Act::Say(long_answer(args, 1 << 20)),
        "s" => Act::Later(Duration::from_millis(400), served(args)),
        _ => serve(args),
    });
    let ingress = setup(&[&backend]).start();
    let (mut slow, mut line) = (ingress.client(), ingress.client());
    slow.send(&call("refer", "l0", 2000));
    until("the answer begins to arrive", || {
        slow.0.peek(&mut [0]).is_ok_and(|n| n > 0)
    });
    line.send(
        &["s1", "l2", "q3", "l4", "q5"]
            .map(|id| call("refer", id, 2500))
            .concat(),
    );
    // Five at once exceed the backend's concurrency limit: a request sent while one waits may be rejected by load
    // shedding.
    until("all requests reach the backend", || backend.count() == 6);
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
    thread::sleep(Duration::from_millis(2500)); // past the deadline, which applies to the first byte only
    assert!(slow.answer() == value("l0", 1 << 20));
    assert_eq!(slow.ask(&call("refer", "q9", 900)), "value of q9");
}

/// Guards against a deadline or a hedged request that ends an answer which arrives slowly but steadily.
#[test]
fn a_streamed_answer_ends_early_only_when_it_stalls() {
    let backend = Backend::start(|args| {
        let bytes = long_answer(args, 300_000);
        Act::Parts(
            if args[2] == "q1" { 100_000 } else { 20 },
            Duration::from_millis(1400),
            bytes,
        )
    });
    let other = Backend::start(|args| Act::Say(long_answer(args, 300_000)));
    let ingress = setup(&[&backend]).start();
    // 900 ms in a repeatable class: neither the deadline nor a hedged request ends the stream.
    assert!(ingress.client().ask(&call("quote", "q1", 900)) == value("q1", 300_000));
    assert!(ingress.client().ask(&call("quote", "q2", 900)) == value("q2", 300_000));
    assert_eq!((backend.count(), other.count()), (2, 0));
}

/// Guards against a truncated value that looks complete, and against a retry after the client has received part of the
/// answer.
#[test]
fn an_answer_that_breaks_half_way_closes_the_client_connection() {
    let (cut, id) = (Arc::new(AtomicUsize::new(0)), Arc::new(Mutex::new(0)));
    let at = cut.clone();
    let backend = Backend::start(move |args| {
        let mut bytes = long_answer(args, 200_000);
        let at = at.load(Ordering::SeqCst);
        match at {
            1 => {
                let end = bytes.len() - 22; // the value's terminator is wrong
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
        until("the request reaches the backend", || {
            backend.count() == before + 1
        });
        if at > 1 {
            until("the answer begins to arrive", || {
                client.0.peek(&mut [0]).is_ok_and(|n| n > 0)
            });
            backend.seen.hang_up.store(true, Ordering::SeqCst);
        }
        let (read_bytes, ended) = read_some(&mut client.0, MAX_VALUE_BYTES);
        backend.seen.hang_up.store(false, Ordering::SeqCst);
        assert!(
            ended && read_bytes < "$200000\r\n".len() + 200_002,
            "cut at {at}: {read_bytes} bytes read, connection ended: {ended}"
        );
        assert_eq!(
            backend.count(),
            before + 1,
            "a request whose answer had begun was sent again"
        );
    }
    // Extra bytes after a complete answer end the backend connection and affect nothing else.
    cut.store(2, Ordering::SeqCst);
    assert!(ingress.client().ask(&call("quote", "b9", 5000)) == value("b9", 200_000));
    // A value over the length limit is not forwarded.
    let huge = Backend::start(|args| Act::Say(long_answer(args, MAX_VALUE_BYTES + 1)));
    let ingress = setup(&[&huge]).start();
    assert_eq!(
        ingress.client().ask(&call("refer", "r1", 2000)),
        "-ERR failed"
    );
}

/// A backend whose answers to `l…` stop half way until it hangs up, and whose answers to `w…` pause half way.
fn backend_that_breaks() -> Backend {
    Backend::start(|args| match &args[2][..1] {
        "l" => Act::Parts(
            150_000,
            Duration::ZERO,
            long_answer(args, 200_000)[..150_000].to_vec(),
        ),
        "w" => Act::Parts(
            100_000,
            Duration::from_millis(300),
            long_answer(args, 200_000),
        ),
        _ => serve(args),
    })
}

/// Guards against an answer that breaks half way and takes the other answers on its client connection with it.
#[test]
fn an_answer_that_breaks_half_way_loses_no_other_answer() {
    let backend = backend_that_breaks();
    let ingress = setup(&[&backend]).start();
    let mut client = ingress.client();
    client.send(
        &["q1", "l2", "q3"]
            .map(|id| call("refer", id, 5000))
            .concat(),
    );
    until("all requests reach the backend", || backend.count() == 3);
    backend.seen.hang_up.store(true, Ordering::SeqCst);
    assert_eq!(
        ["q1", "l2", "q3"].map(|_| client.answer()),
        ["value of q1", "-ERR failed", "value of q3"]
    );
    backend.seen.hang_up.store(false, Ordering::SeqCst);
    // A complete long answer in a pipeline arrives whole, and one that would be late fails in time.
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

/// Guards against a long answer that breaks half way and takes the answers behind it with it, where the memory limit leaves no
/// room to buffer it first.
#[test]
fn an_answer_too_long_to_buffer_that_breaks_loses_no_other_answer() {
    let (asked, resume) = (
        Arc::new(AtomicUsize::new(0)),
        Arc::new(AtomicBool::new(false)),
    );
    let (count, may_answer) = (asked.clone(), resume.clone());
    let backend = Backend::start(move |args| {
        count.fetch_add(1, Ordering::SeqCst);
        match &args[2][..1] {
            "s" => Act::Until(0, may_answer.clone(), served(args)),
            "m" => {
                let half = long_answer(args, MAX_VALUE_BYTES)[..MAX_VALUE_BYTES / 2].to_vec();
                Act::Parts(half.len(), Duration::ZERO, half)
            }
            _ => serve(args),
        }
    });
    let mut setup = setup(&[&backend]);
    setup.memory_mb = 24;
    let ingress = setup.start();
    let mut client = ingress.client();
    let ids = ["s0", "m1", "q2"];
    client.send(&ids.map(|id| call("refer", id, 5000)).concat());
    until("all requests reach the backend", || {
        asked.load(Ordering::SeqCst) == ids.len()
    });
    resume.store(true, Ordering::SeqCst);
    assert_eq!(client.answer(), "value of s0");
    backend.seen.hang_up.store(true, Ordering::SeqCst);
    assert_eq!(
        [client.answer(), client.answer()],
        ["-ERR failed", "value of q2"]
    );
}

/// Clients that have each sent `s…`, `m…` and `q…` on one connection to an ingress with memory for one of the long answers.
struct Pipelines {
    ingress: Ingress,
    backends: [Backend; 4],
    clients: Vec<Client>,
    /// Lets the short answers before the long ones arrive.
    release: Arc<AtomicBool>,
}

impl Pipelines {
    /// Starts `count` clients that wait for `wait_ms`; the long answers stop after `sent_bytes`.
    fn start(count: usize, wait_ms: u32, sent_bytes: usize) -> Pipelines {
        let release = Arc::new(AtomicBool::new(false));
        let may_answer = release.clone();
        let answer = move |args: &[String]| match &args[2][..1] {
            "s" => Act::Until(0, may_answer.clone(), served(args)),
            "m" => {
                let mut bytes = long_answer(args, MAX_VALUE_BYTES);
                bytes.truncate(sent_bytes);
                Act::Parts(bytes.len(), Duration::ZERO, bytes)
            }
            _ => serve(args),
        };
        let backends = [(); 4].map(|()| Backend::start(answer.clone()));
        let mut setup = setup(&backends.each_ref());
        setup.memory_mb = 24;
        let ingress = setup.start();
        let mut clients: Vec<Client> = (0..count).map(|_| ingress.client()).collect();
        for (n, client) in clients.iter_mut().enumerate() {
            let ids = ["s", "m", "q"].map(|kind| format!("{kind}{n}"));
            client.send(&ids.map(|id| call("refer", &id, wait_ms)).concat());
        }
        Pipelines {
            ingress,
            backends,
            clients,
            release,
        }
    }

    /// Lets the short answers arrive, and reads the answers of all clients in parallel.
    fn answers(&mut self) -> Vec<[String; 3]> {
        self.release.store(true, Ordering::SeqCst);
        thread::scope(|scope| {
            let read = |client: &mut Client| [(); 3].map(|()| client.answer());
            let clients = self.clients.iter_mut();
            let readers: Vec<_> = clients
                .map(|client| scope.spawn(move || read(client)))
                .collect();
            readers
                .into_iter()
                .map(|reader| reader.join().unwrap())
                .collect()
        })
    }

    fn hang_up(&self) {
        for backend in &self.backends {
            backend.seen.hang_up.store(true, Ordering::SeqCst);
        }
    }
}

/// Guards against an answer that breaks half way and takes the answers behind it with it, while the memory is taken by another
/// answer.
#[test]
fn an_answer_that_waits_for_memory_and_breaks_loses_no_other_answer() {
    let mut pipelines = Pipelines::start(2, 5000, MAX_VALUE_BYTES / 2);
    until("all requests reach the backend", || {
        pipelines.backends.iter().map(Backend::count).sum::<usize>() == 6
    });
    pipelines.release.store(true, Ordering::SeqCst);
    for client in &mut pipelines.clients {
        assert!(client.answer().starts_with("value of s"));
    }
    pipelines.hang_up();
    for (n, client) in pipelines.clients.iter_mut().enumerate() {
        assert_eq!(
            [client.answer(), client.answer()],
            ["-ERR failed".to_string(), format!("value of q{n}")]
        );
    }
}

/// Guards against an answer that waits for memory beyond its deadline, or for ever.
#[test]
fn an_answer_that_waits_for_memory_fails_alone_at_its_deadline() {
    let mut pipelines = Pipelines::start(2, 1500, MAX_VALUE_BYTES / 2);
    let start = Instant::now();
    for (n, answers) in pipelines.answers().iter().enumerate() {
        assert_eq!(
            *answers,
            [
                format!("value of s{n}"),
                "-ERR failed".to_string(),
                format!("value of q{n}")
            ]
        );
    }
    let elapsed = start.elapsed();
    assert!(elapsed < Duration::from_millis(1600), "{elapsed:?}");
}

/// Guards against long answers that wait for each other's memory, and against more memory than the limit.
#[test]
fn answers_that_wait_for_memory_arrive_one_after_the_other() {
    let mut pipelines = Pipelines::start(4, 7000, usize::MAX);
    for (n, answers) in pipelines.answers().iter().enumerate() {
        let [short, long, next] = answers;
        assert_eq!(*short, format!("value of s{n}"));
        assert!(
            *long == value(&format!("m{n}"), MAX_VALUE_BYTES),
            "the value of m{n} differs from the backend's: {} bytes, {:?}",
            long.len(),
            &long[..long.len().min(20)]
        );
        assert_eq!(*next, format!("value of q{n}"));
    }
    let peak_kib = peak_rss_kib(&pipelines.ingress);
    assert!(peak_kib < 24 * 1024, "peak of {peak_kib} KiB resident");
}

/// Guards against reading a request while an answer is streamed before it. If the stream breaks, the connection is
/// closed and the result of the request would be lost; if it was not read, the client can safely send it again.
#[test]
fn no_request_is_read_while_an_answer_is_streamed() {
    let backend = backend_that_breaks();
    let ingress = setup(&[&backend]).start();
    let begun = |client: &Client| client.0.peek(&mut [0]).is_ok_and(|n| n > 0);
    let mut client = ingress.client();
    client.send(&call("refer", "w1", 5000));
    until("the answer begins to arrive", || begun(&client));
    client.send(&call("refer", "q2", 5000));
    assert!(client.answer() == value("w1", 200_000));
    assert_eq!(client.answer(), "value of q2");
    client.send(&call("refer", "l3", 5000));
    until("the answer begins to arrive", || begun(&client));
    client.send(&call("refer", "q4", 5000));
    (0..2).for_each(|_| assert_eq!(ingress.client().ask(&command(&["PING"])), "+PONG"));
    backend.seen.hang_up.store(true, Ordering::SeqCst);
    let (read_bytes, ended) = read_some(&mut client.0, MAX_VALUE_BYTES);
    assert!(
        ended && read_bytes < 200_000,
        "{read_bytes} bytes read, connection ended: {ended}"
    );
    assert_eq!(
        backend.count(),
        3,
        "a request after a broken stream was forwarded"
    );
}

/// Guards against a backend that keeps sending after the client disconnected, and against one that stalls for ever.
#[test]
fn streaming_ends_when_the_client_disconnects_or_the_backend_stalls() {
    let backend = Backend::start(|args| {
        if args[2] == "still" {
            return Act::Parts(100_000, Duration::from_secs(60), long_answer(args, 200_000));
        }
        Act::Say(long_answer(args, MAX_VALUE_BYTES))
    });
    let ingress = setup(&[&backend]).start();
    let mut client = ingress.client();
    client.send(&call("refer", "l1", 2000));
    until("the answer begins to arrive", || {
        client.0.peek(&mut [0]).is_ok_and(|n| n > 0)
    });
    drop(client);
    until("the backend's connection ends", || {
        backend.seen.ended.load(Ordering::SeqCst) == 1
    });
    let mut client = ingress.client();
    client.send(&call("refer", "still", 2000));
    let (read_bytes, ended) = read_some(&mut client.0, MAX_VALUE_BYTES);
    assert!(
        ended && (50_000..200_000).contains(&read_bytes),
        "{read_bytes} bytes read, connection ended: {ended}"
    );
}

/// Guards against misreading an answer that is split at an unusual byte.
#[test]
fn an_answer_may_be_split_at_any_byte() {
    let backend = Backend::start(|args| {
        let bytes = long_answer(args, 500_000);
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

// ---- Graceful shutdown ----

/// A backend that never answers `h…`, gives `l…` a value of 128 KiB and `m…` one of the maximum length.
fn backend_with_hung_requests() -> Backend {
    Backend::start(|args| match &args[2][..1] {
        "h" => Act::Silent,
        "l" => Act::Say(long_answer(args, 128 * 1024)),
        "m" => Act::Say(long_answer(args, MAX_VALUE_BYTES)),
        _ => serve(args),
    })
}

/// Sends requests on one connection, sends SIGTERM once all have reached the backend, and returns their answers.
fn answers_at_shutdown(memory_mb: usize, ids: &[&str]) -> Vec<String> {
    let backend = backend_with_hung_requests();
    let mut setup = setup(&[&backend]);
    setup.memory_mb = memory_mb;
    let mut ingress = setup.start();
    let mut client = ingress.client();
    let calls: Vec<_> = ids.iter().map(|id| call("refer", id, 7900)).collect();
    client.send(&calls.concat());
    until("all requests reach the backend", || {
        backend.count() == ids.len()
    });
    ingress.signal("TERM");
    let answers = ids.iter().map(|_| client.answer()).collect();
    assert_eq!(ingress.exit().code(), Some(0));
    answers
}

/// Guards against a shutdown that closes a client's connection, without a byte for the requests behind one that got no
/// answer, although their long answers have arrived.
#[test]
fn answers_that_wait_behind_a_hung_request_are_sent_at_the_end_of_a_shutdown() {
    let answers = answers_at_shutdown(192, &["h1", "l2", "q3", "l4"]);
    let length = 128 * 1024;
    let expected = [
        "-ERR failed",
        &value("l2", length),
        "value of q3",
        &value("l4", length),
    ];
    for (n, (answer, expected)) in answers.iter().zip(expected).enumerate() {
        let start: String = answer.chars().take(20).collect();
        assert!(
            answer == expected,
            "answer {n}: {start:?}, {} bytes",
            answer.len()
        );
    }
}

/// Guards against closing the connection, and losing the answers behind, for a streamed answer that can't be completed but of
/// which nothing was forwarded: the memory limit leaves no room to buffer it.
#[test]
fn a_long_answer_not_begun_at_the_end_of_a_shutdown_fails_alone() {
    // The order in which open requests were failed was random, and half of the orders hid the fault.
    let runs = [(); 5].map(|()| thread::spawn(|| answers_at_shutdown(24, &["h1", "m2", "q3"])));
    for run in runs {
        let answers = run.join().unwrap();
        assert_eq!(answers, ["-ERR failed", "-ERR failed", "value of q3"]);
    }
}

/// Guards against a shutdown that cuts off a client which is reading its answers, before SIGKILL is due: the process left
/// 2 s after it had stopped accepting, however much was still to be read.
#[test]
fn a_shutdown_waits_for_a_client_that_goes_on_reading() {
    /// Bytes that the client reads per millisecond until `FULL_SPEED_AFTER`.
    const PACE: usize = 4_500;
    const FULL_SPEED_AFTER: Duration = Duration::from_millis(2800);
    let backend = Backend::start(|args| match &args[2][..1] {
        "s" => Act::Later(Duration::from_millis(300), served(args)),
        _ => Act::Say(long_answer(args, MAX_VALUE_BYTES)),
    });
    let mut ingress = setup(&[&backend]).start();
    let mut client = ingress.client();
    // The memory limit has room to buffer the long answers behind the first one, which comes late.
    let ids = ["s0", "l1", "l2", "l3", "l4"];
    client.send(&ids.map(|id| call("refer", id, 7900)).concat());
    until("the first answer arrives", || {
        client.0.peek(&mut [0]).is_ok_and(|n| n > 0)
    });
    ingress.signal("TERM");
    let start = Instant::now();
    let (mut received, mut chunk) = (Vec::new(), vec![0; 64 * 1024]);
    loop {
        let elapsed = start.elapsed();
        if elapsed < FULL_SPEED_AFTER && received.len() > elapsed.as_millis() as usize * PACE {
            thread::sleep(Duration::from_millis(1));
            continue;
        }
        match client.0.read(&mut chunk) {
            Ok(n) if n > 0 => received.extend_from_slice(&chunk[..n]),
            _ => break,
        }
    }
    let mut unread = &received[..];
    assert_eq!(read_value(&mut unread).unwrap(), ["value of s0"]);
    for id in &ids[1..] {
        let answer = read_value(&mut unread).map(|answer| answer.concat());
        assert!(
            answer == Some(value(id, MAX_VALUE_BYTES)),
            "{id}, of {} bytes received in {:?}, the backend saw {}, exit {}:\n{}",
            received.len(),
            start.elapsed(),
            backend.count(),
            ingress.exit(),
            ingress.log()
        );
    }
    assert_eq!(ingress.exit().code(), Some(0));
}

// ---- Bodies ----

fn post(class: &str, id: &str, body: &str) -> Vec<u8> {
    static NEXT: AtomicUsize = AtomicUsize::new(50_000);
    let customer = format!("{:016x}", NEXT.fetch_add(1, Ordering::SeqCst));
    let options = format!("c={class},t=starter,d=5000,k=00ff,units=1,spread=1,first=0");
    command(&["CALL.POST", &customer, id, &options, body])
}

/// The body of the request that a backend received under this id.
fn body_at(backend: &Backend, id: &str) -> Option<String> {
    let seen = backend.seen.commands.lock().unwrap();
    seen.iter().find(|c| c[2] == id).map(|c| c[4].clone())
}

/// Guards against bodies that exhaust the memory: a dozen of 4 MiB at once, in pieces, with room for one or two.
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
                let asked = post("refer", &id, &value(&id, MAX_VALUE_BYTES - n));
                // The head arrives in pieces, the body in two halves; a small request follows on the connection.
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
            body_at(&backend, &id) == Some(value(&id, MAX_VALUE_BYTES - n)),
            "the body of {id} at the backend differs from the value sent"
        );
    }
    let peak_kib = peak_rss_kib(&ingress);
    assert!(peak_kib < 24 * 1024, "peak of {peak_kib} KiB resident");
}

/// Guards against a retry with an incomplete body, or no retry where the class allows one. The lengths are around the
/// buffer limits.
#[test]
fn a_long_body_is_retried_in_full() {
    // The backend rejects two requests only: if it rejected all, load shedding would reject customers by a hash that
    // depends on the time.
    let rejections = AtomicUsize::new(0);
    let bad = Backend::start(
        move |args| match rejections.fetch_add(1, Ordering::SeqCst) {
            0 | 1 => Act::Say(b"-BUSY\r\n".to_vec()),
            _ => serve(args),
        },
    );
    let good = Backend::start(serve);
    let ingress = setup(&[&bad, &good]).start();
    let mut client = ingress.client();
    for (n, length) in [
        65_535,
        65_536,
        65_537,
        66_000,
        70_000,
        73_728,
        73_729,
        200_000,
        MAX_VALUE_BYTES,
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
        let received = body_at(&good, &id).or_else(|| body_at(&bad, &id));
        assert!(
            received == Some(value(&id, length)),
            "a body of {length} bytes at the backend differs from the value sent"
        );
    }
    // Repeats until the first backend has rejected a request, so that a retry happens whichever backends were picked
    // above.
    for n in 0.. {
        if bad.count() > 0 {
            break;
        }
        assert!(
            n < 200,
            "none of 200 requests was sent to the rejecting backend"
        );
        let id = format!("w{n}");
        assert_eq!(
            client.ask(&post("save", &id, &value(&id, 70_000))),
            format!("value of {id}")
        );
    }
}

/// Guards against a panic when a backend ends a connection, or sends a second answer, while the connection is idle after a
/// command with a long body: the process ended, and every request that it had admitted was lost.
#[test]
fn a_connection_that_carried_a_long_body_may_end_while_idle() {
    let backend = Backend::start(|args| match &args[2][..1] {
        "t" => {
            let answer = served(args);
            let twice = [&answer[..], &answer[..]].concat();
            Act::Parts(answer.len(), Duration::from_millis(20), twice)
        }
        "l" => Act::Say(long_answer(args, 200_000)),
        _ => serve(args),
    });
    let mut ingress = setup(&[&backend]).start();
    let mut client = ingress.client();
    for (id, expected) in [
        ("b1", "value of b1".to_string()),
        ("l2", value("l2", 200_000)),
        ("t3", "value of t3".to_string()),
    ] {
        assert!(client.ask(&post("refer", id, &value(id, 100_000))) == expected);
        // Within the deadline of the request, when its connection still counted as one with a command to write.
        backend.seen.hang_up.store(true, Ordering::SeqCst);
        until("the backend ends its connection", || {
            backend.seen.ended.load(Ordering::SeqCst) == backend.seen.opened.load(Ordering::SeqCst)
        });
        backend.seen.hang_up.store(false, Ordering::SeqCst);
        let next = format!("n{id}");
        assert_eq!(
            client.ask(&call("refer", &next, 2000)),
            format!("value of {next}"),
            "after {id}; the process: {:?}",
            ingress.child.try_wait()
        );
    }
    ingress.signal("TERM");
    drop(client);
    assert_eq!(ingress.exit().code(), Some(0));
}

/// Guards against a body that exceeds the memory, or that never completes, blocking other requests for ever.
#[test]
fn a_body_too_long_or_too_late_is_refused() {
    let backend = Backend::start(serve);
    let mut small = setup(&[&backend]);
    small.memory_mb = 16; // a quarter of it is less than the longest body and its head
    let ingress = small.start();
    let mut client = ingress.client();
    let head = |length: usize| {
        let whole = post("refer", "x1", &"x".repeat(70_000));
        let at = whole.windows(8).position(|w| w == b"$70000\r\n").unwrap();
        [&whole[..at], format!("${length}\r\n").as_bytes()].concat()
    };
    client.send(&head(MAX_VALUE_BYTES + 1));
    assert!(client.answer().contains("over the limit"));
    let mut client = ingress.client();
    client.send(&head(MAX_VALUE_BYTES));
    assert!(client.answer().contains("longer than there is memory for"));
    // A body that stops half way keeps its memory grant for as long as a head may take; then the next request is
    // served.
    let (mut stopped, mut next) = (ingress.client(), ingress.client());
    stopped.send(&head(3 << 20));
    thread::sleep(Duration::from_millis(50));
    next.send(&post("refer", "n1", &value("n1", 3 << 20)));
    assert_eq!(next.answer(), "value of n1");
    assert!(stopped.answer().contains("did not come in time"));
    assert_eq!(backend.count(), 1);
    // The body of a refused request is read to its end, and the request after it is served.
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
