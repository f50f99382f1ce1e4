//! The memory limit of the process, with hundreds of clients that each hold a little.

use std::io::{BufReader, Read, Write};
use std::net::Shutdown;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};
use wrenfork_testbed::service_fixture::{
    command, read_value, until, Act, Backend, Client, Ingress, Setup,
};

/// Memory limit of the ingress in MB.
const MEMORY_MB: usize = 32;
/// Usual limit on the descriptors of the ingress.
const SOCKETS: usize = 1024;
/// Length of a body or value that is not streamed.
const SHORT_BYTES: usize = 60 * 1024;
/// Length of a streamed answer.
const LONG_BYTES: usize = 1 << 20;
/// Number of backends: enough that none is overloaded.
const BACKENDS: usize = 40;

/// An ingress under test, with the peak of its private memory.
struct Watched {
    ingress: Ingress,
    peak_kib: Arc<AtomicUsize>,
    stop: Arc<AtomicBool>,
}

/// The private memory of a process in KiB; the pages of its program file are not counted.
fn private_kib(id: u32) -> usize {
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix("RssAnon:"));
    let kib = line.and_then(|line| line.trim().trim_end_matches(" kB").parse().ok());
    kib.unwrap_or(0)
}

impl Watched {
    fn start(backends: &[Backend], memory_mb: usize) -> Watched {
        Watched::start_with_sockets(backends, memory_mb, SOCKETS)
    }

    fn start_with_sockets(backends: &[Backend], memory_mb: usize, sockets: usize) -> Watched {
        let backends: Vec<&Backend> = backends.iter().collect();
        let mut setup = Setup::of(env!("CARGO_BIN_EXE_wrenfork"), &backends);
        setup.memory_mb = memory_mb;
        setup.sockets = sockets;
        let ingress = setup.start();
        let peak_kib = Arc::new(AtomicUsize::new(0));
        let stop = Arc::new(AtomicBool::new(false));
        let (peak, stopped, id) = (Arc::clone(&peak_kib), stop.clone(), ingress.child.id());
        thread::spawn(move || {
            while !stopped.load(Ordering::SeqCst) {
                peak.fetch_max(private_kib(id), Ordering::SeqCst);
                thread::sleep(Duration::from_millis(5));
            }
        });
        Watched {
            ingress,
            peak_kib,
            stop,
        }
    }

    /// Checks that the process is alive and never held more than `memory_mb` of private memory.
    fn check(mut self, memory_mb: usize) {
        self.stop.store(true, Ordering::SeqCst);
        let peak_kib = self.peak_kib.load(Ordering::SeqCst);
        assert!(self.ingress.child.try_wait().unwrap().is_none());
        if peak_kib >= memory_mb * 1024 {
            let _ = self.ingress.child.kill(); // the log ends with the process
            let log = self.ingress.log();
            panic!("a peak of {peak_kib} KiB of private memory:\n{log}");
        }
    }
}

fn backends(act: impl Fn(&[String]) -> Act + Clone + Send + Sync + 'static) -> Vec<Backend> {
    (0..BACKENDS).map(|_| Backend::start(act.clone())).collect()
}

/// A value of `length` bytes made from the request's id.
fn value(id: &str, length: usize) -> String {
    id.bytes().cycle().take(length).map(char::from).collect()
}

/// A complete answer whose value has `length` bytes.
fn answer(args: &[String], length: usize) -> Vec<u8> {
    format!(
        "*3\r\n${length}\r\n{}\r\n$-1\r\n$-1\r\n",
        value(&args[2], length)
    )
    .into_bytes()
}

/// A request of a customer of its own, with a body of `length` bytes and `fields` more options.
fn request(customer: usize, id: &str, length: usize, fields: usize) -> Vec<u8> {
    request_with_wait(customer, id, length, fields, 7900)
}

/// Like [`request`], from a client that waits for `wait_ms`.
fn request_with_wait(
    customer: usize,
    id: &str,
    length: usize,
    fields: usize,
    wait_ms: u32,
) -> Vec<u8> {
    let options = format!(
        "c=refer,t=starter,d={wait_ms},units=1,spread=1,first=0{}",
        ",x=1".repeat(fields)
    );
    let customer = format!("{customer:016x}");
    command(&["CALL.POST", &customer, id, &options, &"b".repeat(length)])
}

/// Runs `client` for each of `count` clients in parallel, and returns the results.
fn in_parallel<T: Send>(count: usize, client: impl Fn(usize) -> T + Sync) -> Vec<T> {
    thread::scope(|scope| {
        let client = &client;
        let clients: Vec<_> = (0..count).map(|n| scope.spawn(move || client(n))).collect();
        clients
            .into_iter()
            .map(|client| client.join().unwrap())
            .collect()
    })
}

/// Guards against memory that no limit counted: the copy of a body that each attempt made, and the buffers that each idle
/// connection to a backend kept.
#[test]
fn requests_and_answers_of_60_kib_keep_the_memory_limit() {
    let backends =
        backends(|args| Act::Later(Duration::from_millis(200), answer(args, SHORT_BYTES)));
    let watched = Watched::start(&backends, MEMORY_MB);
    let served = in_parallel(110, |n| {
        let mut client = watched.ingress.client();
        let ids = (0..12).map(|round| format!("r{n}-{round}"));
        ids.filter(|id| client.ask(&request(n, id, SHORT_BYTES, 0)) == value(id, SHORT_BYTES))
            .count()
    });
    let served: usize = served.into_iter().sum();
    assert!(served > 900, "{served} of 1320 requests were served");
    watched.check(MEMORY_MB);
}

/// Guards against memory that grows with the number of clients that read a long answer slowly.
#[test]
fn clients_that_read_long_answers_slowly_keep_the_memory_limit() {
    let backends = backends(|args| Act::Say(answer(args, LONG_BYTES)));
    let watched = Watched::start(&backends, MEMORY_MB);
    let complete = in_parallel(240, |n| {
        let mut client = watched.ingress.client();
        let id = format!("r{n}");
        client.send(&request(n, &id, 10, 0));
        // A slow start, after which the rest is read at once.
        let (mut first, mut chunk) = (Vec::new(), [0; 512]);
        for _ in 0..20 {
            let Ok(bytes) = client.0.read(&mut chunk) else {
                return false;
            };
            first.extend_from_slice(&chunk[..bytes]);
            thread::sleep(Duration::from_millis(100));
        }
        if first.starts_with(b"-") {
            return false;
        }
        let mut rest = first.chain(&client.0);
        read_value(&mut rest).is_some_and(|answer| answer.concat() == value(&id, LONG_BYTES))
    });
    let complete = complete.into_iter().filter(|complete| *complete).count();
    assert_eq!(complete, 240, "answers that arrived completely");
    watched.check(MEMORY_MB);
}

/// Guards against memory that grows with the number of clients that stop in the middle of a request, and against other clients
/// that are not served meanwhile.
#[test]
fn clients_that_stop_in_a_request_keep_the_memory_limit() {
    let backends = backends(|args| Act::Say(answer(args, 10)));
    let watched = Watched::start(&backends, MEMORY_MB);
    let stopped: Vec<Client> = (0..300)
        .map(|n| {
            let mut client = watched.ingress.client();
            let body = if n % 2 == 0 { SHORT_BYTES } else { 200 * 1024 };
            let bytes = request(n, &format!("s{n}"), body, 0);
            client.0.set_nonblocking(true).unwrap();
            // What doesn't fit into the kernel's buffers is not written either.
            let _ = client.0.write(&bytes[..bytes.len() / 10 * 9]);
            client
        })
        .collect();
    let answers = in_parallel(20, |n| {
        let mut client = watched.ingress.client();
        client.ask(&request(1000 + n, &format!("r{n}"), 10, 0))
    });
    for (n, answer) in answers.iter().enumerate() {
        assert_eq!(*answer, value(&format!("r{n}"), 10));
    }
    drop(stopped);
    watched.check(MEMORY_MB);
}

/// Guards against memory that grows with commands of very many short options.
#[test]
fn commands_with_very_many_options_keep_the_memory_limit() {
    let backends = backends(|args| Act::Later(Duration::from_millis(50), answer(args, 10)));
    let watched = Watched::start(&backends, MEMORY_MB);
    let answers = in_parallel(300, |n| {
        let mut client = watched.ingress.client();
        client.ask(&request(n, &format!("r{n}"), 10, 15_000))
    });
    assert!(answers.iter().all(|answer| !answer.is_empty()));
    watched.check(MEMORY_MB);
}

/// Guards against closing the connection of a client that reads slowly, with answers due on it, because these are read from
/// backends faster than by the client.
#[test]
fn answers_to_slow_clients_wait_at_their_backends() {
    const REQUESTS: usize = 128;
    let backends = backends(|args| Act::Say(answer(args, SHORT_BYTES)));
    let watched = Watched::start(&backends, MEMORY_MB);
    let answered = in_parallel(8, |n| {
        let mut client = watched.ingress.client();
        let calls = (0..REQUESTS).map(|r| request(100 * n + r, &format!("r{n}-{r}"), 10, 0));
        client.send(&calls.collect::<Vec<_>>().concat());
        let answers = (0..REQUESTS).map(|_| {
            thread::sleep(Duration::from_millis(20));
            client.answer()
        });
        answers.take_while(|answer| !answer.is_empty()).count()
    });
    assert_eq!(answered, [REQUESTS; 8], "answers by client");
    watched.check(MEMORY_MB);
}

/// Guards against memory that grows with the number of requests that one client sends at full speed, under ever new ids and customers
/// and with long waits, and against other clients that are not served meanwhile.
#[test]
fn a_flood_of_short_requests_keeps_the_memory_limit() {
    const SECONDS: u64 = 4;
    let backends = backends(|args| Act::Say(answer(args, 10)));
    let watched = Watched::start(&backends, MEMORY_MB);
    let flood = watched.ingress.client();
    let (mut writer, reader) = (flood.0.try_clone().unwrap(), flood.0.try_clone().unwrap());
    let start = Instant::now();
    let writing = thread::spawn(move || {
        let mut sent = 0;
        while start.elapsed() < Duration::from_secs(SECONDS) {
            let requests = (sent..sent + 100).map(|n| {
                let customer = format!("{:016x}", 100_000 + n);
                let options = "c=refer,t=starter,d=60000,units=1,spread=1,first=0";
                command(&["CALL.POST", &customer, &format!("f{n}"), options, "b"])
            });
            if writer
                .write_all(&requests.collect::<Vec<_>>().concat())
                .is_err()
            {
                break;
            }
            sent += 100;
        }
        sent
    });
    let answered = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&answered);
    thread::spawn(move || {
        let mut reader = BufReader::new(reader);
        while read_value(&mut reader).is_some() {
            count.fetch_add(1, Ordering::SeqCst);
        }
    });
    let mut client = watched.ingress.client();
    let (mut asked, mut slowest) = (0, Duration::ZERO);
    while start.elapsed() < Duration::from_secs(SECONDS) {
        let (id, begun) = (format!("q{asked}"), Instant::now());
        let answer = client.ask(&request(asked, &id, 10, 0));
        assert!(!answer.is_empty(), "no answer to {id}");
        slowest = slowest.max(begun.elapsed());
        asked += 1;
        thread::sleep(Duration::from_millis(20));
    }
    let sent = writing.join().unwrap();
    until("each request of the flood is answered", || {
        answered.load(Ordering::SeqCst) >= sent
    });
    let _ = flood.0.shutdown(Shutdown::Both);
    println!(
        "{sent} requests, {} KiB, slowest answer {slowest:?}",
        watched.peak_kib.load(Ordering::SeqCst)
    );
    assert!(
        slowest < Duration::from_secs(1),
        "an answer after {slowest:?}"
    );
    watched.check(MEMORY_MB);
}

/// Guards against requests that are read and never answered because memory is short: they wait in input buffers behind full
/// pipelines, and the longest buffer is given up.
#[test]
fn requests_in_input_buffers_are_answered_when_memory_is_short() {
    const CLIENTS: usize = 600;
    const REQUESTS: usize = 500;
    /// Longer than the test takes on a busy machine.
    const WAIT_MS: u32 = 60_000;
    /// Enough that none of the clients is evicted while it is idle.
    const MANY_SOCKETS: usize = 4096;
    let release = Arc::new(AtomicBool::new(false));
    let released = Arc::clone(&release);
    let backends = backends(move |args| {
        while !released.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(5));
        }
        Act::Say(answer(args, 10))
    });
    let watched = Watched::start_with_sockets(&backends, MEMORY_MB, MANY_SOCKETS);
    let start_client = |n| {
        let mut client = watched.ingress.client();
        client.send(&request_with_wait(n, &format!("a{n}"), 1, 0, WAIT_MS));
        client
    };
    let mut clients: Vec<Client> = (0..CLIENTS).map(start_client).collect();
    for (n, client) in clients.iter_mut().enumerate() {
        let behind: Vec<u8> = (1..REQUESTS)
            .flat_map(|m| request_with_wait(n, &format!("b{n}-{m}"), 1, 0, WAIT_MS))
            .collect();
        // A connection that has ended shows in the count of answers.
        let _ = client.0.write_all(&behind);
    }
    release.store(true, Ordering::SeqCst);
    let answered = in_parallel(CLIENTS, |n| {
        let mut stream = BufReader::new(clients[n].0.try_clone().unwrap());
        (0..REQUESTS)
            .take_while(|_| read_value(&mut stream).is_some())
            .count()
    });
    let unanswered: usize = answered.iter().map(|count| REQUESTS - count).sum();
    let mut watched = watched;
    if unanswered > 0 {
        drop(clients);
        watched.ingress.signal("TERM");
        panic!(
            "{unanswered} requests got no answer:\n{}",
            watched.ingress.log()
        );
    }
    watched.check(MEMORY_MB);
}
