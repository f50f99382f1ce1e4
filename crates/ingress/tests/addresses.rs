//! A node with several addresses, seen through the built sidecar: connects to the addresses race, and each request is
//! written to one connection only.

use std::collections::BTreeMap;
use std::fs;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::Path;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;
use wrenfork_testbed::service_fixture::{
    command, entry, free_address, list, serve, until, Act, Backend, Client, Ingress,
};

const ACCOUNT: &str = "00000000000004d3";
/// Number of accounts that the tests spread their requests over. A load-shedding level rejects a fixed subset of
/// accounts for ten seconds, picked by a hash of account and time, so a test with one account would depend on the time
/// of day.
const ACCOUNT_COUNT: u64 = 20;

/// The id of account `number` modulo [`ACCOUNT_COUNT`]; number 0 is [`ACCOUNT`].
fn account(number: u64) -> String {
    format!("{:016x}", 0x4d3 + number % ACCOUNT_COUNT)
}

/// Copies bytes until either side closes, then calls `on_close`.
fn copy_until_closed(mut from: impl Read, mut to: impl Write, on_close: impl FnOnce()) {
    let mut buf = [0; 4096];
    while let Ok(n @ 1..) = from.read(&mut buf) {
        if to.write_all(&buf[..n]).is_err() {
            break;
        }
    }
    on_close();
}

/// Proxies a connection to the backend at `to`, which gives the backend a second address.
fn proxy(stream: UnixStream, to: SocketAddr) {
    let Ok(upstream) = TcpStream::connect(to) else {
        return;
    };
    let (inner, outer) = (upstream.try_clone().unwrap(), stream.try_clone().unwrap());
    let (ends, end) = (upstream.try_clone().unwrap(), stream.try_clone().unwrap());
    thread::spawn(move || {
        copy_until_closed(outer, inner, move || drop(ends.shutdown(Shutdown::Both)))
    });
    thread::spawn(move || {
        copy_until_closed(upstream, stream, move || drop(end.shutdown(Shutdown::Both)))
    });
}

fn start_unix_proxy(path: &Path, to: SocketAddr) -> Arc<AtomicUsize> {
    let (listener, connection_count) = (
        UnixListener::bind(path).unwrap(),
        Arc::new(AtomicUsize::new(0)),
    );
    let count = connection_count.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            count.fetch_add(1, Ordering::SeqCst);
            proxy(stream, to);
        }
    });
    connection_count
}

/// Starts a listener that accepts connections, reads what arrives and never answers. Returns its address and the bytes
/// received.
fn start_silent_listener() -> (SocketAddr, Arc<Mutex<Vec<u8>>>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (at, received_bytes) = (
        listener.local_addr().unwrap(),
        Arc::new(Mutex::new(Vec::new())),
    );
    let all = received_bytes.clone();
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let all = all.clone();
            thread::spawn(move || {
                let mut buf = [0; 4096];
                while let Ok(n @ 1..) = stream.read(&mut buf) {
                    all.lock().unwrap().extend_from_slice(&buf[..n]);
                }
            });
        }
    });
    (at, received_bytes)
}

struct Site {
    folder: tempfile::TempDir,
    at: SocketAddr,
    ingress: Option<Ingress>,
}

impl Site {
    /// Starts a sidecar whose only node has these addresses, with a connect timeout of 250 ms.
    fn new(addresses: &[String]) -> Site {
        Site::with(addresses, "250ms")
    }

    /// Starts a sidecar whose only node has these addresses, with the given connect timeout.
    fn with(addresses: &[String], connect: &str) -> Site {
        let (folder, at) = (tempfile::tempdir().unwrap(), free_address());
        let good = |name: &str| {
            fs::read_to_string(
                Path::new(env!("CARGO_MANIFEST_DIR"))
                    .join("../config/tests/good")
                    .join(name),
            )
            .unwrap()
        };
        let app = good("with-site-no-routes.toml").replace("127.0.0.1:7600", &at.to_string());
        let app = app
            .replace(
                "plan = \"starter\"",
                "plan = \"starter\"\nquota = \"90/s\"\nburst = 600",
            )
            .replace(
                "\"quote\", \"save-scenario\"",
                "\"quote\", \"save-scenario\", \"lender-referral\"",
            );
        let more_accounts: String = (1..ACCOUNT_COUNT)
            .map(|number| {
                let id = account(number);
                format!("\n[[account]]\nid = \"{id}\"\nplan = \"starter\"\nquota = \"90/s\"\nburst = 600\n")
            })
            .collect();
        let app = app + &more_accounts;
        let write = |name: &str, text: &str| fs::write(folder.path().join(name), text).unwrap();
        let limits = format!("[limits]\nconnect = \"{connect}\"");
        write("site.toml", &good("site.toml").replace("[limits]", &limits));
        write("app.toml", &app);
        let more: Vec<String> = addresses[1..].iter().map(|a| format!("\"{a}\"")).collect();
        let entry = entry("s-0001", "127.0.0.1:1".parse().unwrap(), "up").replace(
            "\"127.0.0.1:1\"",
            &format!("\"{}\",\"addresses\":[{}]", addresses[0], more.join(",")),
        );
        write("fleet.json", &list(1, true, &[entry]));
        let folder_path = folder.path().display();
        let command_line = format!(
            "exec '{}' --app '{folder_path}/app.toml' --fleet '{folder_path}/fleet.json'",
            env!("CARGO_BIN_EXE_wrenfork")
        );
        let ingress = Ingress::run("", at, &command_line);
        until("the sidecar is ready", || {
            TcpStream::connect(at)
                .is_ok_and(|stream| Client(stream).ask(&command(&["PING"])) == "+PONG")
        });
        Site {
            folder,
            at,
            ingress: Some(ingress),
        }
    }

    fn client(&self) -> Client {
        Client::connect(self.at)
    }
}

fn quote(id: &str) -> Vec<u8> {
    command(&[
        "CALL.GET",
        ACCOUNT,
        id,
        "c=quote,t=starter,d=900,units=1,spread=1,first=0",
    ])
}

fn referral(id: &str, wait_ms: u32) -> Vec<u8> {
    referral_of(ACCOUNT, id, wait_ms)
}

fn referral_of(account: &str, id: &str, wait_ms: u32) -> Vec<u8> {
    let options = format!("c=lender-referral,t=starter,d={wait_ms},units=1,spread=1,first=0");
    command(&["CALL.POST", account, id, &options, "BODY"])
}

/// Counts the attempts that a backend received, by request id.
fn attempts_by_id(backend: &Backend) -> BTreeMap<String, usize> {
    let mut attempts_by_id = BTreeMap::new();
    for args in backend
        .seen
        .commands
        .lock()
        .unwrap()
        .iter()
        .filter(|args| args.len() > 2)
    {
        *attempts_by_id.entry(args[2].clone()).or_default() += 1;
    }
    attempts_by_id
}

/// Guards against losing a node because one of its addresses fails, and against sending a request twice because
/// connects race.
#[test]
fn unreachable_addresses_fail_no_request_and_duplicate_none() {
    let backend = Backend::start(serve);
    let folder = tempfile::tempdir().unwrap();
    let (path, missing_path) = (folder.path().join("node"), folder.path().join("missing"));
    let connection_count = start_unix_proxy(&path, backend.at);
    let closed_address = free_address();
    let unix = |p: &Path| format!("unix:{}", p.display());
    let site = Site::new(&[
        closed_address.to_string(),
        unix(&missing_path),
        "[::1]:9".into(),
        unix(&path),
        backend.at.to_string(),
    ]);
    let mut client = site.client();
    for n in 0..50 {
        let id = format!("a{n}");
        assert_eq!(client.ask(&referral(&id, 5_000)), format!("value of {id}"));
    }
    assert!(
        connection_count.load(Ordering::SeqCst) > 0,
        "the Unix socket must be tried before the TCP address"
    );
    // The socket file and its listener are gone, so new connections go over TCP.
    fs::remove_file(&path).unwrap();
    let before = backend.count();
    for n in 50..60 {
        let id = format!("a{n}");
        assert_eq!(client.ask(&referral(&id, 5_000)), format!("value of {id}"));
    }
    assert_eq!(backend.count() - before, 10);
    assert!(
        attempts_by_id(&backend).values().all(|n| *n == 1),
        "{:?}",
        attempts_by_id(&backend)
    );
    drop(site.folder);
}

/// Guards against waiting for an address that neither accepts nor refuses a connection. The next address is tried
/// meanwhile, and the request is written once, to whichever connects first.
#[test]
fn the_next_address_is_tried_while_one_does_not_connect() {
    use socket2::{Domain, Socket, Type};
    let backend = Backend::start(serve);
    // The listen queue is full and nothing is accepted, so further connects get no reply.
    let full = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    full.bind(&"127.0.0.1:0".parse::<SocketAddr>().unwrap().into())
        .unwrap();
    full.listen(0).unwrap();
    let at = full.local_addr().unwrap().as_socket().unwrap();
    let held: Vec<TcpStream> = (0..8)
        .map_while(|_| TcpStream::connect_timeout(&at, Duration::from_millis(100)).ok())
        .collect();
    assert!(
        held.len() < 8,
        "all connects succeeded, the listen queue is not full"
    );
    // Connecting to the addresses one after the other would take five seconds, longer than any request here may wait.
    let site = Site::with(&[at.to_string(), backend.at.to_string()], "5s");
    let mut client = site.client();
    for n in 0..10 {
        let id = format!("b{n}");
        assert_eq!(client.ask(&referral(&id, 3_000)), format!("value of {id}"));
    }
    assert!(
        attempts_by_id(&backend).values().all(|n| *n == 1),
        "{:?}",
        attempts_by_id(&backend)
    );
}

/// Guards against a request that may have reached a node over one address being sent again over another.
#[test]
fn a_request_read_by_a_silent_address_is_retried_over_another_only_if_idempotent() {
    let backend = Backend::start(serve);
    let (silent, received_bytes) = start_silent_listener();
    let site = Site::new(&[silent.to_string(), backend.at.to_string()]);
    let mut client = site.client();
    let answer = client.ask(&referral("once", 700));
    assert!(answer.starts_with("-ERR"), "{answer}");
    let received_count = |id: &str| {
        String::from_utf8_lossy(&received_bytes.lock().unwrap())
            .matches(id)
            .count()
    };
    assert_eq!(
        (
            received_count("once"),
            attempts_by_id(&backend).get("once").copied()
        ),
        (1, None),
        "the request must arrive once, over the silent address only"
    );
    // The silent address is tried last from now on.
    for n in 0..20 {
        let id = format!("c{n}");
        assert_eq!(client.ask(&quote(&id)), format!("value of {id}"));
    }
    assert_eq!(attempts_by_id(&backend).len(), 20);
}

/// Checks, as counted by the node, that no referral arrives twice when answers are cut off over both addresses.
#[test]
fn no_referral_is_sent_twice_over_breaking_connections() {
    let backend = Backend::start(|args| {
        // The id decides whether the request is cut off without an answer, answered or refused.
        match args[2].bytes().map(usize::from).sum::<usize>() % 3 {
            0 => Act::Close,
            1 => serve(args),
            _ => Act::Say(b"-BUSY\r\n".to_vec()),
        }
    });
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("node");
    start_unix_proxy(&path, backend.at);
    let mut site = Site::new(&[format!("unix:{}", path.display()), backend.at.to_string()]);
    let clients: Vec<_> = (0..4)
        .map(|c| {
            let mut client = site.client();
            thread::spawn(move || {
                for n in 0..50 {
                    let request = referral_of(&account(c * 50 + n), &format!("d{c}-{n}"), 400);
                    let answer = client.ask(&request);
                    assert!(
                        answer.starts_with("value") || answer.starts_with('-'),
                        "{answer}"
                    );
                }
            })
        })
        .collect();
    clients.into_iter().for_each(|c| c.join().unwrap());
    let attempts_by_id = attempts_by_id(&backend);
    let refused = |id: &str| id.bytes().map(usize::from).sum::<usize>() % 3 == 2;
    assert!(
        attempts_by_id.len() > 100,
        "only {} referrals reached the backend",
        attempts_by_id.len()
    );
    let repeated: Vec<_> = attempts_by_id
        .iter()
        .filter(|(id, n)| **n > 1 && !refused(id))
        .collect();
    assert!(repeated.is_empty(), "sent more than once: {repeated:?}");
    let mut ingress = site.ingress.take().unwrap();
    ingress.signal("TERM");
    assert!(ingress.exit().success());
}
