//! Backends whose address is taken by another process.

use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};
use wrenfork_testbed::service_fixture::{
    call, command, entry, serve, until, Act, Backend, Discovery, Jammed, Setup,
};

fn setup(known: Vec<String>, discovery: &Discovery) -> Setup {
    let mut setup = Setup::of(env!("CARGO_BIN_EXE_wrenfork"), &[]);
    setup.settings = setup.settings.replace(
        r#""connect_timeout_us":250000"#,
        r#""connect_timeout_us":3000000"#,
    );
    setup.known = known;
    setup.discovery = Some(discovery.at);
    setup
}

/// The entry of an endpoint whose process started at `since_ms`.
fn entry_since(name: &str, backend: &Backend, since_ms: u64) -> String {
    let entry = entry(name, backend.at, "up");
    let (before, _) = entry.split_once("\"since_ms\":").unwrap();
    format!("{before}\"since_ms\":{since_ms}}}")
}

fn received_ids(backend: &Backend) -> Vec<String> {
    let commands = backend.seen.commands.lock().unwrap();
    commands.iter().map(|command| command[2].clone()).collect()
}

/// Guards against a request that is written to whatever process has come up at the address that its backend has left while the
/// connect was under way.
#[test]
fn a_request_is_not_written_to_an_address_that_its_backend_has_left() {
    let (jammed, moved, discovery) = (Jammed::start(), Backend::start(serve), Discovery::start());
    let ingress = setup(vec![jammed.entry("s-0", "up")], &discovery).start();
    let mut client = ingress.client();
    client.send(&call("refer", "r1", 5000));
    until("the attempt connects", || jammed.tried());
    discovery.tell(moved.entry("s-0", "up"));
    let other = Backend::on(jammed.clear(), serve);
    assert_eq!(client.answer(), "value of r1");
    assert_eq!(received_ids(&other), Vec::<String>::new());
    assert_eq!(received_ids(&moved), ["r1"]);
}

/// Guards against a request that is written to the process of another name at the address of one that is gone.
#[test]
fn a_request_is_not_written_to_a_new_process_of_another_name() {
    let (jammed, discovery) = (Jammed::start(), Discovery::start());
    let third = Backend::start(serve);
    let ingress = setup(vec![jammed.entry("s-0", "up")], &discovery).start();
    let mut client = ingress.client();
    client.send(&call("refer", "r1", 5000));
    until("the attempt connects", || jammed.tried());
    discovery.tell(third.entry("s-1", "up"));
    let gone = jammed.entry("s-0", "removed");
    discovery.tell(gone);
    let other = Backend::on(jammed.clear(), serve);
    assert_eq!(client.answer(), "value of r1");
    assert_eq!(received_ids(&other), Vec::<String>::new());
    assert_eq!(received_ids(&third), ["r1"]);
}

/// Guards against a request that is written to an idle connection of the process that ran at an address before: it vanished
/// without closing the connection, and the request could only fail.
#[test]
fn connections_to_a_process_that_was_replaced_are_not_reused() {
    let (backend, discovery) = (Backend::start(serve), Discovery::start());
    let mut setup = setup(vec![entry_since("s-0", &backend, 1_000)], &discovery);
    setup.known = vec![entry_since("s-0", &backend, 1_000)];
    let ingress = setup.start();
    assert_eq!(
        ingress.client().ask(&call("refer", "r1", 2000)),
        "value of r1"
    );
    assert_eq!(backend.seen.ended.load(Ordering::SeqCst), 0);
    let told = Instant::now();
    discovery.tell(entry_since("s-0", &backend, 2_000));
    until("the idle connection is closed", || {
        backend.seen.ended.load(Ordering::SeqCst) == 1
    });
    // Sooner than for having been idle.
    assert!(told.elapsed() < Duration::from_secs(3));
    assert_eq!(
        ingress.client().ask(&call("refer", "r2", 2000)),
        "value of r2"
    );
    // A process whose start becomes "long ago" is the same.
    thread::sleep(Duration::from_millis(20));
    discovery.tell(entry_since("s-0", &backend, 0));
    thread::sleep(Duration::from_millis(100));
    assert_eq!(
        ingress.client().ask(&call("refer", "r3", 2000)),
        "value of r3"
    );
    assert_eq!(backend.seen.opened.load(Ordering::SeqCst), 2);
    assert_eq!(ingress.client().ask(&command(&["PING"])), "+PONG");
}

/// Guards against a keyed request that runs twice: its repeat was bound to the cell of the backend, and before the connect came up
/// a process of another cell had taken the address and the name.
#[test]
fn a_repeat_is_not_written_to_a_process_of_another_cell() {
    let in_cell = |entry: String, cell: u16| {
        let (before, after) = entry.split_once("\"group\":").unwrap();
        let after = after.trim_start_matches(|c: char| c.is_ascii_digit());
        format!("{before}\"group\":{cell}{after}")
    };
    let (jammed, discovery) = (Jammed::start(), Discovery::start());
    let first = Backend::start(|_| {
        thread::sleep(Duration::from_millis(100));
        Act::Close
    });
    let mut setup = setup(vec![first.entry("s-0", "up")], &discovery);
    setup.settings = setup
        .settings
        .replace(r#""most_tries":3"#, r#""most_tries":2"#);
    let ingress = setup.start();
    let mut client = ingress.client();
    client.send(&call("save", "s1", 2800));
    until("the first attempt arrives", || first.count() == 1);
    discovery.tell(jammed.entry("s-1", "up"));
    discovery.tell(first.entry("s-0", "removed"));
    until("the repeat connects", || jammed.tried());
    discovery.tell(in_cell(jammed.entry("s-1", "up"), 7));
    let other = Backend::on(jammed.clear(), serve);
    assert_eq!(client.answer(), "-ERR failed");
    assert_eq!(received_ids(&other), Vec::<String>::new());
}
