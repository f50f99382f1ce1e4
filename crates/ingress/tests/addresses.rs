//! A node with several addresses, as the built sidecar meets it: connects race, requests never do.

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
/// Accounts of which a load-shedding level cuts the same ones for ten seconds, by a hash of account and time: a test whose
/// requests all come from one would turn on the time of day.
const ACCOUNTS: u64 = 20;

/// The account with this number, the first of them [`ACCOUNT`].
fn account(number: u64) -> String {
    format!("{:016x}", 0x4d3 + number % ACCOUNTS)
}

/// Copies until either end closes.
fn copy(mut from: impl Read, mut to: impl Write, end: impl FnOnce()) {
    let mut buf = [0; 4096];
    while let Ok(n @ 1..) = from.read(&mut buf) {
        if to.write_all(&buf[..n]).is_err() {
            break;
        }
    }
    end();
}

/// Another address of a backend.
fn pass(stream: UnixStream, to: SocketAddr) {
    let Ok(back) = TcpStream::connect(to) else {
        return;
    };
    let (inner, outer) = (back.try_clone().unwrap(), stream.try_clone().unwrap());
    let (ends, end) = (back.try_clone().unwrap(), stream.try_clone().unwrap());
    thread::spawn(move || copy(outer, inner, move || drop(ends.shutdown(Shutdown::Both))));
    thread::spawn(move || copy(back, stream, move || drop(end.shutdown(Shutdown::Both))));
}

fn unix_door(path: &Path, to: SocketAddr) -> Arc<AtomicUsize> {
    let (listener, came) = (
        UnixListener::bind(path).unwrap(),
        Arc::new(AtomicUsize::new(0)),
    );
    let count = came.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            count.fetch_add(1, Ordering::SeqCst);
            pass(stream, to);
        }
    });
    came
}

/// An address that accepts connections, takes what comes and never says a word; the requests that came.
fn silent_door() -> (SocketAddr, Arc<Mutex<Vec<u8>>>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (at, heard) = (
        listener.local_addr().unwrap(),
        Arc::new(Mutex::new(Vec::new())),
    );
    let all = heard.clone();
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
    (at, heard)
}

struct Site {
    folder: tempfile::TempDir,
    at: SocketAddr,
    ingress: Option<Ingress>,
}

impl Site {
    /// A sidecar whose only node has these addresses.
    fn new(addresses: &[String]) -> Site {
        Site::with(addresses, "250ms")
    }

    /// The same, where a connect may take so long.
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
        let more_accounts: String = (1..ACCOUNTS)
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
        let shown = folder.path().display();
        let line = format!(
            "exec '{}' --app '{shown}/app.toml' --fleet '{shown}/fleet.json'",
            env!("CARGO_BIN_EXE_wrenfork")
        );
        let ingress = Ingress::run("", at, &line);
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

/// How often each request came to a node.
fn counts(backend: &Backend) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for args in backend
        .seen
        .commands
        .lock()
        .unwrap()
        .iter()
        .filter(|args| args.len() > 2)
    {
        *counts.entry(args[2].clone()).or_default() += 1;
    }
    counts
}

/// Guards against a node that is lost with one of its addresses, and a request that comes twice because connects race.
#[test]
fn a_dead_address_costs_nothing_and_each_request_comes_once() {
    let backend = Backend::start(serve);
    let folder = tempfile::tempdir().unwrap();
    let (path, gone) = (folder.path().join("node"), folder.path().join("nobody"));
    let came = unix_door(&path, backend.at);
    let dead = free_address();
    let unix = |p: &Path| format!("unix:{}", p.display());
    let site = Site::new(&[
        dead.to_string(),
        unix(&gone),
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
        came.load(Ordering::SeqCst) > 0,
        "a socket on this machine comes first"
    );
    // Its file is gone, and whoever listened there: new connections go over the network.
    fs::remove_file(&path).unwrap();
    let before = backend.count();
    for n in 50..60 {
        let id = format!("a{n}");
        assert_eq!(client.ask(&referral(&id, 5_000)), format!("value of {id}"));
    }
    assert_eq!(backend.count() - before, 10);
    assert!(
        counts(&backend).values().all(|n| *n == 1),
        "{:?}",
        counts(&backend)
    );
    drop(site.folder);
}

/// Guards against a wait for an address that takes no connection and refuses none: the next one is tried meanwhile, and the
/// request goes to the one that is up first, once.
#[test]
fn an_address_that_does_not_connect_is_overtaken_by_the_next() {
    use socket2::{Domain, Socket, Type};
    let backend = Backend::start(serve);
    // Its queue is full, and nobody takes anything out of it: whoever connects hears nothing.
    let full = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    full.bind(&"127.0.0.1:0".parse::<SocketAddr>().unwrap().into())
        .unwrap();
    full.listen(0).unwrap();
    let at = full.local_addr().unwrap().as_socket().unwrap();
    let held: Vec<TcpStream> = (0..8)
        .map_while(|_| TcpStream::connect_timeout(&at, Duration::from_millis(100)).ok())
        .collect();
    assert!(held.len() < 8, "the queue has no end");
    // One connect after the other would take five seconds, and no request here waits for so long.
    let site = Site::with(&[at.to_string(), backend.at.to_string()], "5s");
    let mut client = site.client();
    for n in 0..10 {
        let id = format!("b{n}");
        assert_eq!(client.ask(&referral(&id, 3_000)), format!("value of {id}"));
    }
    assert!(
        counts(&backend).values().all(|n| *n == 1),
        "{:?}",
        counts(&backend)
    );
}

/// Guards against a request that may have reached a node over one address and is sent again over another.
#[test]
fn a_request_taken_by_a_silent_address_is_retried_over_another_only_if_idempotent() {
    let backend = Backend::start(serve);
    let (silent, heard) = silent_door();
    let site = Site::new(&[silent.to_string(), backend.at.to_string()]);
    let mut client = site.client();
    let answer = client.ask(&referral("once", 700));
    assert!(answer.starts_with("-ERR"), "{answer}");
    let heard_of = |id: &str| {
        String::from_utf8_lossy(&heard.lock().unwrap())
            .matches(id)
            .count()
    };
    assert_eq!(
        (heard_of("once"), counts(&backend).get("once").copied()),
        (1, None),
        "it came once, over one address"
    );
    // The address that was silent comes last from now on.
    for n in 0..20 {
        let id = format!("c{n}");
        assert_eq!(client.ask(&quote(&id)), format!("value of {id}"));
    }
    assert_eq!(counts(&backend).len(), 20);
}

/// A count at the node: of many referrals whose answers are cut off over either address, none comes twice.
#[test]
fn no_referral_comes_twice_over_addresses_that_break() {
    let backend = Backend::start(|args| {
        // By its id: answered, cut off without a word, or refused.
        match args[2].bytes().map(usize::from).sum::<usize>() % 3 {
            0 => Act::Close,
            1 => serve(args),
            _ => Act::Say(b"-BUSY\r\n".to_vec()),
        }
    });
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("node");
    unix_door(&path, backend.at);
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
    let counts = counts(&backend);
    let refused = |id: &str| id.bytes().map(usize::from).sum::<usize>() % 3 == 2;
    assert!(counts.len() > 100, "{} came at all", counts.len());
    let twice: Vec<_> = counts
        .iter()
        .filter(|(id, n)| **n > 1 && !refused(id))
        .collect();
    assert!(twice.is_empty(), "{twice:?}");
    let mut ingress = site.ingress.take().unwrap();
    ingress.signal("TERM");
    assert!(ingress.exit().success());
}
