//! Request bodies too long to be read without a memory grant.

use super::support::{long_answer, peak_rss_kib, setup, value, MAX_VALUE_BYTES};
use std::io::Write;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};
use wrenfork_testbed::service_fixture::{
    call, command, serve, served, until, Act, Backend, Client, Ingress,
};

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

/// A request of class `refer` with a body of `length` bytes, whose client waits for `wait_ms`.
fn post_with_wait(id: &str, length: usize, wait_ms: u32) -> Vec<u8> {
    let deadline = format!(",d={wait_ms},");
    let bytes = post("refer", id, &value(id, length));
    let head_end = bytes.len() - length - 2;
    let head = String::from_utf8_lossy(&bytes[..head_end]).into_owned();
    let head = head.replace(",d=5000,", &deadline);
    [head.as_bytes(), &bytes[head_end..]].concat()
}

/// Starts clients that have written half of a body of maximum length and go on a little at a time, until `stop` is set.
fn start_slow_writers(ingress: &Ingress, count: usize, stop: &Arc<AtomicBool>) {
    for n in 0..count {
        let (mut client, stop) = (ingress.client(), stop.clone());
        let bytes = post_with_wait(&format!("w{n}"), MAX_VALUE_BYTES, 5000);
        client
            .0
            .set_write_timeout(Some(Duration::from_millis(100)))
            .unwrap();
        thread::spawn(move || {
            let half = bytes.len() / 2;
            // A body that has no memory yet is not read, so not all of it can be written.
            let _ = client.0.write(&bytes[..half]);
            for piece in bytes[half..].chunks(1024) {
                if stop.load(Ordering::SeqCst) {
                    return;
                }
                let _ = client.0.write(piece);
                thread::sleep(Duration::from_millis(50));
            }
        });
    }
}

/// Guards against short bodies that wait behind long ones, which arrive slowly, until their clients have given up: memory was granted in
/// the order of arrival alone.
#[test]
fn a_body_with_memory_does_not_wait_behind_one_without() {
    let backend = Backend::start(serve);
    let mut setup = setup(&[&backend]);
    setup.memory_mb = 24;
    let ingress = setup.start();
    let stop = Arc::new(AtomicBool::new(false));
    start_slow_writers(&ingress, 3, &stop);
    thread::sleep(Duration::from_millis(300));
    for n in 0..5 {
        let id = format!("b{n}");
        let start = Instant::now();
        let answer = ingress.client().ask(&post_with_wait(&id, 100 * 1024, 3000));
        assert_eq!(answer, format!("value of {id}"));
        assert!(start.elapsed() < Duration::from_secs(3));
    }
    stop.store(true, Ordering::SeqCst);
}

/// Guards against a request without any answer, because its body waits for memory for longer than its client waits. The connection
/// stays usable.
#[test]
fn a_body_that_gets_no_memory_is_rejected_in_its_clients_time() {
    let backend = Backend::start(serve);
    let mut setup = setup(&[&backend]);
    setup.memory_mb = 24;
    let ingress = setup.start();
    let stop = Arc::new(AtomicBool::new(false));
    start_slow_writers(&ingress, 1, &stop);
    thread::sleep(Duration::from_millis(300));
    let mut client = ingress.client();
    let mut writer = Client(client.0.try_clone().unwrap());
    let start = Instant::now();
    let body = post_with_wait("b0", MAX_VALUE_BYTES, 2000);
    let writing = thread::spawn(move || {
        writer.send(&body);
        writer.send(&call("refer", "next", 2000));
    });
    assert_eq!(client.answer(), "-BUSY");
    let elapsed = start.elapsed();
    assert!(
        elapsed < Duration::from_secs(2),
        "rejected after {elapsed:?}"
    );
    writing.join().unwrap();
    assert_eq!(client.answer(), "value of next");
    stop.store(true, Ordering::SeqCst);
}

/// Guards against an answer that is lost because the rest of a rejected body does not come: the connection was closed with an
/// earlier request still open on it.
#[test]
fn an_answer_before_a_rejected_body_arrives_although_the_body_stops() {
    let backend = Backend::start(|args| match &args[2][..1] {
        "a" => Act::Later(Duration::from_secs(5), served(args)),
        _ => serve(args),
    });
    let mut setup = setup(&[&backend]);
    setup.memory_mb = 24;
    let ingress = setup.start();
    let stop = Arc::new(AtomicBool::new(false));
    start_slow_writers(&ingress, 1, &stop);
    thread::sleep(Duration::from_millis(300));
    let mut client = ingress.client();
    client.send(&call("refer", "a1", 7000));
    let body = post_with_wait("b0", MAX_VALUE_BYTES, 1000);
    client.send(&body[..100_000]);
    assert_eq!(client.answer(), "value of a1");
    assert_eq!(client.answer(), "-BUSY");
    assert!(client.ended());
    stop.store(true, Ordering::SeqCst);
}

/// Guards against a request without any answer, because the process exits while its body waits for memory.
#[test]
fn a_body_that_waits_for_memory_is_answered_before_the_exit() {
    let backend = Backend::start(serve);
    let mut setup = setup(&[&backend]);
    setup.memory_mb = 17; // a quarter of it is for one body of maximum length and a little more
    let mut ingress = setup.start();
    let stop = Arc::new(AtomicBool::new(false));
    start_slow_writers(&ingress, 1, &stop);
    thread::sleep(Duration::from_millis(300));
    let mut client = ingress.client();
    client.send(&post_with_wait("b0", 300_000, 7000));
    thread::sleep(Duration::from_millis(100));
    ingress.signal("TERM");
    assert_eq!(client.answer(), "-BUSY");
    assert_eq!(ingress.exit().code(), Some(0));
    stop.store(true, Ordering::SeqCst);
}
