//! Long answers with other answers due behind them, while memory is short.

use super::support::{long_answer, peak_rss_kib, setup, value, MAX_VALUE_BYTES};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};
use wrenfork_testbed::service_fixture::{
    call, serve, served, until, Act, Backend, Client, Ingress,
};

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
    // The deadline, and time for a busy machine to run this test.
    let elapsed = start.elapsed();
    assert!(elapsed < Duration::from_millis(2000), "{elapsed:?}");
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
