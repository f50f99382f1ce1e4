//! The sidecar: the built ingress started from an application's files.

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Command;
use wrenfork_testbed::service_fixture::{
    command, free_address, list, read_value, serve, served, until, Act, Backend, Client, Discovery,
    Ingress,
};

fn read_good_file(name: &str) -> String {
    fs::read_to_string(
        Path::new(env!("CARGO_MANIFEST_DIR"))
            .join("../config/tests/good")
            .join(name),
    )
    .unwrap()
}

/// A folder with an application's file, its site file and the endpoint list.
struct Folder(tempfile::TempDir);

impl Folder {
    fn new(app: &str, backends: &[&Backend]) -> Folder {
        let folder = Folder(tempfile::tempdir().unwrap());
        folder.write("site.toml", &read_good_file("site.toml"));
        folder.write("app.toml", app);
        let nodes: Vec<String> = backends
            .iter()
            .enumerate()
            .map(|(n, b)| b.entry(&format!("s-000{n}"), "up"))
            .collect();
        folder.write("fleet.json", &list(1, true, &nodes));
        folder
    }

    fn write(&self, name: &str, text: &str) -> PathBuf {
        let path = self.0.path().join(name);
        fs::write(&path, text).unwrap();
        path
    }

    fn command(&self, extra_args: &str) -> String {
        let (program, folder) = (env!("CARGO_BIN_EXE_wrenfork"), self.0.path().display());
        format!(
            "exec '{program}' --app '{folder}/app.toml' --fleet '{folder}/fleet.json' {extra_args}"
        )
    }

    fn start(&self, at: SocketAddr, extra_args: &str) -> Ingress {
        self.start_until(at, extra_args, "+PONG")
    }

    /// Starts the sidecar and waits until its answer to a PING begins with `answer`.
    fn start_until(&self, at: SocketAddr, extra_args: &str, answer: &str) -> Ingress {
        let ingress = Ingress::run("", at, &self.command(extra_args));
        until("the sidecar is ready", || {
            std::net::TcpStream::connect(at)
                .is_ok_and(|stream| Client(stream).ask(&command(&["PING"])).starts_with(answer))
        });
        ingress
    }
}

/// The application file without routes, listening at `at`.
fn app(at: SocketAddr) -> String {
    read_good_file("with-site-no-routes.toml").replace("127.0.0.1:7600", &at.to_string())
}

/// Guards against a request that claims another plan, or a larger share of the quota.
#[test]
fn claimed_plan_and_spread_are_ignored() {
    let (at, backend) = (free_address(), Backend::start(serve));
    let folder = Folder::new(&app(at), &[&backend]);
    let ingress = folder.start(at, "");
    let mut client = ingress.client();
    let claim = "c=quote,t=enterprise,d=900,units=1,spread=40,first=7,new=x";
    assert_eq!(
        client.ask(&command(&["CALL.GET", "00000000000004d3", "q1", claim])),
        "value of q1"
    );
    let seen = backend.seen.commands.lock().unwrap().clone();
    assert!(
        seen[0][3].ends_with(",units=1,new=x,t=starter,spread=1,first=0"),
        "{}",
        seen[0][3]
    );
}

/// The starter plan admits a burst of 7, whatever plan the request claims.
#[test]
fn the_quota_is_that_of_the_accounts_own_plan() {
    let (at, backend) = (free_address(), Backend::start(serve));
    let folder = Folder::new(&app(at), &[&backend]);
    let ingress = folder.start(at, "");
    let mut client = ingress.client();
    let ask = |client: &mut Client, n: usize| {
        let claim = "c=quote,t=business,d=900,units=1,spread=1,first=0";
        client.ask(&command(&[
            "CALL.GET",
            "00000000000004d3",
            &format!("q{n}"),
            claim,
        ]))
    };
    let answers: Vec<String> = (0..20).map(|n| ask(&mut client, n)).collect();
    let served = answers.iter().filter(|a| a.starts_with("value")).count();
    // The claimed plan would have admitted a burst of 16. A stalled machine lets the quota refill, so a few more than 7
    // are possible.
    assert!((7..14).contains(&served), "{served} of 20: {answers:?}");
    assert!(
        answers.last().is_some_and(|a| a.starts_with("-BUSY")),
        "{answers:?}"
    );
}

#[test]
fn foreign_accounts_and_classes_not_allowed_are_refused() {
    let (at, backend) = (free_address(), Backend::start(serve));
    let folder = Folder::new(&app(at), &[&backend]);
    let ingress = folder.start(at, "");
    let mut client = ingress.client();
    let ask = |client: &mut Client, verb: &str, account: &str, class: &str| {
        let options = format!("c={class},t=starter,d=900,units=1,spread=1,first=0");
        let parts = [verb, account, "r1", &options, "BODY"];
        client.ask(&command(if verb == "CALL.GET" {
            &parts[..4]
        } else {
            &parts
        }))
    };
    let other = ask(&mut client, "CALL.GET", "0000000000000001", "quote");
    assert!(other.contains("not this application's"), "{other}");
    let class = ask(
        &mut client,
        "CALL.POST",
        "00000000000004d2",
        "lender-referral",
    );
    assert!(class.contains("may not send"), "{class}");
    assert_eq!(backend.count(), 0);
    // This account has no ceiling; one with a ceiling starts without ceiling tokens.
    assert_eq!(
        ask(&mut client, "CALL.GET", "00000000000004d3", "quote"),
        "value of r1"
    );
}

/// Guards against a sidecar that starts from a file that the checker refuses, or that does not report what is wrong
/// with it.
#[test]
fn a_refused_file_starts_nothing_and_reports_all_errors() {
    let at = free_address();
    let folder = Folder::new(
        &app(at)
            .replace("\"starter\"", "\"stater\"")
            .replace("\"6/s\"", "\"6\""),
        &[],
    );
    let out = Command::new("/bin/sh")
        .args(["-c", &folder.command("")])
        .output()
        .unwrap();
    let stderr = String::from_utf8(out.stderr).unwrap();
    assert_eq!(out.status.code(), Some(1));
    for part in ["app.toml:19:9: C106", "app.toml:23:8: C203", "\"stater\""] {
        assert!(
            stderr.contains(part),
            "{part:?} is missing from the error output:\n{stderr}"
        );
    }
    assert!(std::net::TcpStream::connect(at).is_err());
}

/// The sidecar starts with every file that the checker accepts.
#[test]
fn every_valid_application_file_starts() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../config/tests/good");
    let mut started = 0;
    let mut names: Vec<String> = fs::read_dir(folder)
        .unwrap()
        .map(|e| e.unwrap().file_name().into_string().unwrap())
        .filter(|n| n.starts_with("with-site-") && !n.contains("unix") && !n.contains("version-6"))
        .collect();
    names.sort();
    for name in names {
        let at = free_address();
        let text = read_good_file(&name).replace("127.0.0.1:7600", &at.to_string());
        // A single member of a group starts and rejects requests.
        let (two, grouped) = (name.contains("two-sidecars"), name.contains("roster"));
        let text = (7946..=7949).fold(text, |text, port| {
            text.replace(&format!("127.0.0.1:{port}"), &free_address().to_string())
        });
        let own = tempfile::tempdir().unwrap();
        let text = text
            .replace("/run/desk", &own.path().display().to_string())
            .replace(
                "/var/lib/desk",
                &own.path().join("state").display().to_string(),
            );
        let folder = Folder::new(&text, &[]);
        folder.write("fleet.json", &read_good_file("fleet.json"));
        let extra_args = if two || grouped {
            "--sidecar desk-1"
        } else {
            ""
        };
        let mut ingress =
            folder.start_until(at, extra_args, if grouped { "-BUSY " } else { "+PONG" });
        ingress.signal("TERM");
        assert!(ingress.exit().success(), "{name}");
        started += 1;
    }
    assert!(started >= 12, "only {started} files were started");
}

/// The endpoint entry of a backend with the given model and status.
fn entry_with_model(backend: &Backend, name: &str, model: &str, status: &str) -> String {
    let entry = backend.entry(name, status);
    let at = entry.find("\"type\":\"").unwrap() + 8;
    let end = at + entry[at..].find('"').unwrap();
    format!("{}{model}{}", &entry[..at], &entry[end..])
}

/// A folder with an application whose starter plan has this quota and burst.
fn with_quota(app: &str, quota: &str, burst: u32) -> Folder {
    let plan = "plan = \"starter\"";
    let limits = format!("{plan}\nquota = \"{quota}\"\nburst = {burst}");
    Folder::new(&app.replace(plan, &limits), &[])
}

/// Writes these entries to the initial list and publishes them in discovery.
fn publish_entries(folder: &Folder, discovery: &Discovery, entries: &[String]) {
    folder.write("fleet.json", &list(1, true, entries));
    for entry in entries {
        discovery.change(entry.clone());
    }
}

/// A request of a class; all classes but `quote` carry a key and a body.
fn call_of_class(class: &str, id: &str) -> Vec<u8> {
    let options = |key: &str| format!("c={class},t=starter,d=900{key},units=1,spread=1,first=0");
    let account = "00000000000004d3";
    if class == "quote" {
        command(&["CALL.GET", account, id, &options("")])
    } else {
        command(&["CALL.POST", account, id, &options(",k=00ff"), "BODY"])
    }
}

/// Guards against a route that is checked and then ignored: two classes in two pools, and the fallback of one pool.
#[test]
fn requests_go_to_the_pools_of_their_routes_and_fall_back_when_these_drain() {
    let (at, fast, slow, other) = (
        free_address(),
        Backend::start(serve),
        Backend::start(serve),
        Backend::start(serve),
    );
    let discovery = Discovery::start();
    let text = app(at).replace("127.0.0.1:8500", &discovery.at.to_string())
        + "\n[[pool]]\nname = \"fast\"\nmodels = [\"std-3c\"]\nfallback = \"slow\"\n"
        + "\n[[pool]]\nname = \"slow\"\nmodels = [\"small-2c\"]\n"
        + "\n[[route]]\nclass = \"quote\"\npool = \"fast\"\n\n[[route]]\nclass = \"save-scenario\"\npool = \"slow\"\n";
    let folder = with_quota(&text, "9/s", 60);
    let entries = [
        entry_with_model(&fast, "s-fast", "std-3c", "up"),
        entry_with_model(&slow, "s-slow", "small-2c", "up"),
        entry_with_model(&other, "s-other", "old-1c", "up"),
    ];
    publish_entries(&folder, &discovery, &entries);
    let ingress = folder.start(at, "");
    let mut client = ingress.client();
    let mut next = 0;
    let mut ask = |class: &str| {
        next += 1;
        client.ask(&call_of_class(class, &format!("p{next}")))
    };
    until("the nodes are known", || {
        ask("quote").starts_with("value") && ask("save-scenario").starts_with("value")
    });
    let counts = || (fast.count(), slow.count(), other.count());
    let before = counts();
    for _ in 0..10 {
        assert!(ask("quote").starts_with("value") && ask("save-scenario").starts_with("value"));
    }
    let after = counts();
    assert_eq!((after.0 - before.0, after.1 - before.1), (10, 10));
    discovery.change(entry_with_model(&fast, "s-fast", "std-3c", "draining"));
    until("quotes go to the fallback pool", || {
        let (had, answer) = (slow.count(), ask("quote"));
        answer.starts_with("value") && slow.count() > had
    });
    let before = counts();
    for _ in 0..10 {
        assert!(ask("quote").starts_with("value"));
    }
    let after = counts();
    assert_eq!(
        (after.0, after.1 - before.1, after.2),
        (before.0, 10, 0),
        "a backend in neither pool must get no request"
    );
}

/// Texts that the log must contain for the refused files and the applied one.
const RELOADS: [&str; 4] = [
    "stater",
    "enforcing the new files",
    "listen, memory",
    "tick_us is fixed",
];

/// Guards against a new file that is applied in part or not at all, or that ends requests in flight.
#[test]
fn on_sighup_a_new_file_is_applied_completely_or_not_at_all() {
    let (at, backend) = (
        free_address(),
        Backend::start(|args| Act::Later(std::time::Duration::from_millis(300), served(args))),
    );
    let folder = Folder::new(&app(at), &[&backend]);
    let mut ingress = folder.start(at, "");
    let sent = std::cell::Cell::new(0);
    let quote = |account: &str| {
        sent.set(sent.get() + 1);
        let options = "c=quote,t=starter,d=900,units=1,spread=1,first=0";
        command(&["CALL.GET", account, &format!("s{}", sent.get()), options])
    };
    let (mut client, mut open) = (ingress.client(), ingress.client());
    let unknown = "not this application's";
    let known = |client: &mut Client, account: &str| !client.ask(&quote(account)).contains(unknown);
    let (old, new) = ("00000000000004d3", "00000000000004d5");
    assert!(known(&mut client, old) && !known(&mut client, new));
    // A request is in flight while its account is removed and another one is added.
    let before = backend.count();
    open.send(&quote(old));
    until("the quote is sent", || backend.count() > before);
    folder.write("app.toml", &app(at).replace(old, new));
    ingress.signal("HUP");
    until("the new account is known", || known(&mut client, new));
    assert!(!known(&mut client, old), "the file was applied in part");
    assert!(
        open.answer().starts_with("value"),
        "an open request was lost"
    );
    // An invalid file, a truncated one, and one that changes a fixed setting: nothing of them is applied.
    let elsewhere = app(at).replace(&at.to_string(), "127.0.0.1:9");
    for text in [
        app(at).replace("starter", "stater"),
        app(at)[..200].to_string(),
        elsewhere,
    ] {
        folder.write("app.toml", &text);
        (0..10).for_each(|_| ingress.signal("HUP"));
        std::thread::sleep(std::time::Duration::from_millis(150));
        assert!(known(&mut client, new), "an invalid file was applied");
    }
    let good_site = read_good_file("site.toml");
    let other_tick = good_site.replace("[limits]", "[limits]\ntick = \"8ms\"");
    folder.write("site.toml", &other_tick);
    folder.write("app.toml", &app(at));
    ingress.signal("HUP");
    std::thread::sleep(std::time::Duration::from_millis(150));
    assert!(known(&mut client, new), "a changed tick was applied");
    folder.write("site.toml", &good_site);
    let fewer_classes = app(at).replace("[\"quote\", \"save-scenario\"]", "[\"save-scenario\"]");
    folder.write("app.toml", &fewer_classes.replace(old, new));
    ingress.signal("HUP");
    until("quotes are refused", || {
        client.ask(&quote(new)).contains("may not send")
    });
    assert_reloads_are_logged(&mut ingress);
}

/// Stops the ingress and asserts that its log contains each of [`RELOADS`].
fn assert_reloads_are_logged(ingress: &mut Ingress) {
    ingress.signal("TERM");
    assert!(ingress.exit().success());
    let log = ingress.log();
    for part in RELOADS {
        assert!(
            log.contains(part),
            "{part:?} is missing from the log:\n{log}"
        );
    }
}

/// A Unix socket is accessible to its owner only from the start, serves as TCP does, and is removed at exit.
#[test]
fn a_unix_socket_serves_and_is_removed_at_exit() {
    use std::io::{Read, Write};
    use std::os::unix::fs::PermissionsExt;
    use std::os::unix::net::UnixStream;
    let (at, backend, run) = (
        free_address(),
        Backend::start(serve),
        tempfile::tempdir().unwrap(),
    );
    let path = run.path().join("desk.sock");
    let text = app(at).replace(&at.to_string(), &format!("unix:{}", path.display()));
    let folder = Folder::new(&text, &[&backend]);
    // A socket file left by a crash is replaced.
    drop(std::os::unix::net::UnixListener::bind(&path).unwrap());
    let mut ingress = Ingress::run("", at, &folder.command(""));
    until("the sidecar listens", || UnixStream::connect(&path).is_ok());
    assert_eq!(
        fs::metadata(&path).unwrap().permissions().mode() & 0o777,
        0o600
    );
    let mut stream = UnixStream::connect(&path).unwrap();
    let options = "c=quote,t=starter,d=900,units=1,spread=1,first=0";
    for n in 0..3 {
        stream
            .write_all(&command(&[
                "CALL.GET",
                "00000000000004d3",
                &format!("u{n}"),
                options,
            ]))
            .unwrap();
        assert_eq!(
            read_value(&mut stream).unwrap().concat(),
            format!("value of u{n}")
        );
    }
    // A second process on the same socket is refused, and the first one keeps serving.
    let mut second = Ingress::run("", at, &folder.command(""));
    assert_eq!(second.exit().code(), Some(1));
    assert!(second.log().contains("another process listens there"));
    stream.write_all(&command(&["PING"])).unwrap();
    assert_eq!(read_value(&mut stream).unwrap().concat(), "+PONG");
    ingress.signal("TERM");
    assert!(ingress.exit().success());
    assert!(!path.exists(), "the socket file was not removed");
    assert!(stream.read(&mut [0]).map_or(true, |n| n == 0));
}

/// Guards against a list of users that is checked and then ignored: connections of users not on the list are closed at
/// once, and users on it are served.
#[test]
fn a_unix_socket_serves_only_the_users_on_its_list() {
    use std::io::{Read, Write};
    use std::os::unix::net::UnixStream;
    let own = rustix::process::getuid().as_raw();
    let (at, backend, run) = (
        free_address(),
        Backend::start(serve),
        tempfile::tempdir().unwrap(),
    );
    let path = run.path().join("desk.sock");
    let listen = format!("\"{at}\"");
    for (users, allowed) in [(vec![own + 1, own], true), (vec![own + 1], false)] {
        let socket = format!("\"unix:{}\"\nusers = {users:?}", path.display());
        let folder = Folder::new(&app(at).replace(&listen, &socket), &[&backend]);
        let mut ingress = Ingress::run("", at, &folder.command(""));
        until("the sidecar listens", || UnixStream::connect(&path).is_ok());
        for n in 0..5 {
            let mut stream = UnixStream::connect(&path).unwrap();
            let options = "c=quote,t=starter,d=900,units=1,spread=1,first=0";
            // A refused connection may already be closed at the write.
            let _ = stream.write_all(&command(&[
                "CALL.GET",
                "00000000000004d3",
                &format!("u{n}"),
                options,
            ]));
            if allowed {
                assert_eq!(
                    read_value(&mut stream).unwrap().concat(),
                    format!("value of u{n}")
                );
            } else {
                assert!(
                    stream.read(&mut [0]).map_or(true, |n| n == 0),
                    "a user not on the list was answered"
                );
            }
        }
        ingress.signal("TERM");
        assert!(ingress.exit().success());
        assert_eq!(ingress.log().contains("may not connect"), !allowed);
    }
    assert_eq!(backend.count(), 5);
    let refused = app(at).replace(&listen, &format!("\"{at}\"\nusers = [{own}]"));
    let folder = Folder::new(&refused, &[]);
    let mut ingress = Ingress::run("", at, &folder.command(""));
    assert_eq!(ingress.exit().code(), Some(1));
    let log = ingress.log();
    assert!(log.contains("C408"), "{log}");
}

/// Guards against ignoring zones for a class without a route: its requests stay in the own hall, go to the nearest hall
/// with a backend while the own one drains, and return afterwards.
#[test]
fn a_class_without_a_route_prefers_its_own_hall_then_the_nearest() {
    let (at, home, next, far) = (
        free_address(),
        Backend::start(serve),
        Backend::start(serve),
        Backend::start(serve),
    );
    let discovery = Discovery::start();
    let text = app(at).replace("127.0.0.1:8500", &discovery.at.to_string());
    let folder = with_quota(&text, "90/s", 600);
    let site = read_good_file("site.toml").replace("\"hall-b\"]", "\"hall-b\", \"hall-c\"]");
    folder.write(
        "site.toml",
        &format!("{site}\n[[near]]\nhall = \"hall-a\"\nothers = [\"hall-c\", \"hall-b\"]\n"),
    );
    let node = |b: &Backend, name: &str, hall: &str, status: &str| {
        b.entry(name, status).replace("hall-a", hall)
    };
    let entries = [
        node(&home, "s-1", "hall-a", "up"),
        node(&next, "s-2", "hall-c", "up"),
        node(&far, "s-3", "hall-b", "up"),
    ];
    publish_entries(&folder, &discovery, &entries);
    let ingress = folder.start(at, "");
    let mut client = ingress.client();
    let mut request_count = 0;
    let mut ask = || {
        request_count += 1;
        let options = "c=quote,t=starter,d=900,units=1,spread=1,first=0";
        let answer = client.ask(&command(&[
            "CALL.GET",
            "00000000000004d3",
            &format!("n{request_count}"),
            options,
        ]));
        assert!(answer.starts_with("value"), "{answer}");
    };
    let counts = || [home.count(), next.count(), far.count()];
    (0..10).for_each(|_| ask());
    assert_eq!(counts(), [10, 0, 0]);
    discovery.change(node(&home, "s-1", "hall-a", "draining"));
    until("the nearest hall gets requests", || {
        ask();
        next.count() > 0
    });
    let before = counts();
    (0..10).for_each(|_| ask());
    assert_eq!(
        counts(),
        [before[0], before[1] + 10, 0],
        "hall-b is further away and must get none"
    );
    discovery.change(node(&home, "s-1", "hall-a", "up"));
    until("the own hall gets requests again", || {
        ask();
        home.count() > before[0]
    });
    assert_eq!(far.count(), 0);
}
