//! Callers of the built sidecar: who proves nothing, too little or something forged is turned away with the reason, whoever
//! proves enough is served, also while keys change.

use ed25519_dalek::SigningKey;
use std::fs;
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use wrenfork_identity::token::{format_time, sign, Claims};
use wrenfork_identity::trust::format_public_key;
use wrenfork_testbed::small::{
    command, list, place, serve, served, until, Act, Backend, Client, Ingress,
};

const OWN: &str = "00000000000004d3";
const OTHER: &str = "00000000000004d2";

fn now() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_secs()
}

fn key(n: u8) -> SigningKey {
    SigningKey::from_bytes(&[n; 32])
}

struct Site {
    folder: tempfile::TempDir,
    at: SocketAddr,
    ingress: Ingress,
}

impl Site {
    fn new(backend: &Backend, keys: &str) -> Site {
        let (folder, at) = (tempfile::tempdir().unwrap(), place());
        let write = |name: &str, text: &str| fs::write(folder.path().join(name), text).unwrap();
        write("site.toml", &good("site.toml"));
        write("app.toml", &app(at, keys));
        write(
            "fleet.json",
            &list(1, true, &[backend.entry("s-0001", "up")]),
        );
        let shown = folder.path().display();
        let line = format!(
            "exec '{}' --app '{shown}/app.toml' --fleet '{shown}/fleet.json'",
            env!("CARGO_BIN_EXE_wrenfork")
        );
        let ingress = Ingress::run("", at, &line);
        until("the sidecar is ready", || {
            TcpStream::connect(at).is_ok_and(|s| Client(s).ask(&command(&["PING"])) == "+PONG")
        });
        Site {
            folder,
            at,
            ingress,
        }
    }

    fn client(&self) -> Client {
        Client::connect(self.at)
    }
}

fn good(name: &str) -> String {
    fs::read_to_string(
        Path::new(env!("CARGO_MANIFEST_DIR"))
            .join("../config/tests/good")
            .join(name),
    )
    .unwrap()
}

fn app(at: SocketAddr, keys: &str) -> String {
    let text = good("with-site-no-routes.toml").replace("127.0.0.1:7600", &at.to_string());
    let text = text.replace(
        "plan = \"starter\"",
        "plan = \"starter\"\nquota = \"90/s\"\nburst = 600",
    );
    format!(
        "{text}\n[identity]\naudience = \"bangna\"\nlongest = \"2h\"\n\n[[identity.issuer]]\nname = \"desk\"\n{keys}\n\
         [[identity.tenant]]\nname = \"broker\"\naccounts = [\"{OWN}\"]\nclasses = [\"quote\"]\n\n\
         [[identity.tenant]]\nname = \"all\"\naccounts = [\"{OWN}\", \"{OTHER}\"]\n"
    )
}

fn listed(name: &str, n: u8, more: &str) -> String {
    let public = format_public_key(&key(n).verifying_key());
    format!("[[identity.issuer.key]]\nname = \"{name}\"\npublic = \"{public}\"\n{more}")
}

fn token(change: impl Fn(&mut Claims), n: u8) -> String {
    let mut claims = Claims {
        issuer: "desk".into(),
        key: "one".into(),
        public: key(n).verifying_key(),
        audience: "bangna".into(),
        tenant: "broker".into(),
        accounts: None,
        classes: None,
        from: now() - 5,
        until: now() + 600,
    };
    change(&mut claims);
    sign(&claims, &key(n))
}

fn quote(account: &str, id: &str, token: &str) -> Vec<u8> {
    let auth = if token.is_empty() {
        String::new()
    } else {
        format!(",auth={token}")
    };
    command(&[
        "CALL.GET",
        account,
        id,
        &format!("c=quote,t=starter,d=900{auth},units=1,spread=1,first=0"),
    ])
}

fn save(id: &str) -> Vec<u8> {
    command(&[
        "CALL.POST",
        OWN,
        id,
        "c=save-scenario,t=starter,d=900,k=00ff,units=1,spread=1,first=0",
        "BODY",
    ])
}

/// What proves too little, with the code of its refusal.
fn insufficient() -> [(&'static str, String, &'static str); 10] {
    [
        ("nothing", String::new(), "I100"),
        ("no token", "letmein".into(), "I101"),
        ("a JWT", "eyJhbGciOiJub25lIn0.e30.".into(), "I102"),
        ("another's signature", token(|_| (), 2), "I105"),
        (
            "an unknown issuer",
            token(|c| c.issuer = "shop".into(), 1),
            "I104",
        ),
        (
            "for another place",
            token(|c| c.audience = "odense".into(), 1),
            "I107",
        ),
        (
            "over",
            token(|c| (c.from, c.until) = (now() - 900, now() - 100), 1),
            "I108",
        ),
        (
            "to come",
            token(|c| (c.from, c.until) = (now() + 900, now() + 1_000), 1),
            "I109",
        ),
        (
            "for a week",
            token(|c| c.until = now() + 7 * 86_400, 1),
            "I110",
        ),
        (
            "no tenant",
            token(|c| c.tenant = "nobody".into(), 1),
            "I201",
        ),
    ]
}

/// A request's own token counts for it alone, and may say less than the tenant has.
fn assert_tokens_of_requests_count_alone(client: &mut Client) {
    let (all, narrow) = (
        token(|c| c.tenant = "all".into(), 1),
        token(|c| c.accounts = Some(vec![7]), 1),
    );
    // An account that is new here has what its ceiling has let through since the start, which is little at first.
    let mut asked = 0;
    until("the other account is served", || {
        asked += 1;
        let answer = client.ask(&quote(OTHER, &format!("r6-{asked}"), &all));
        assert!(
            answer.starts_with("value of r6-") || answer.starts_with("-BUSY"),
            "{answer}"
        );
        answer.starts_with("value")
    });
    assert!(client
        .ask(&quote(OWN, "r7", &narrow))
        .starts_with("-DENIED I202"));
    assert_eq!(client.ask(&quote(OWN, "r8", "")), "value of r8");
    // One that fails to be somebody else is nobody.
    assert!(client
        .ask(&command(&["AUTH", "letmein"]))
        .starts_with("-DENIED I101"));
    assert!(client
        .ask(&quote(OWN, "r9", ""))
        .starts_with("-DENIED I100"));
}

/// Guards against a caller that is taken for another one, and a token that reaches a backend or the log.
#[test]
fn callers_without_rights_are_denied_with_the_reason_and_no_token_is_forwarded() {
    let backend = Backend::start(serve);
    let mut site = Site::new(&backend, &listed("one", 1, ""));
    let good = token(|_| (), 1);
    for (what, forged, code) in insufficient() {
        let denied = |answer: &str| answer.starts_with(&format!("-DENIED {code}:"));
        let answer = site.client().ask(&quote(OWN, "r1", &forged));
        assert!(denied(&answer), "{what}, with a request: {answer}");
        let mut client = site.client();
        if !forged.is_empty() {
            let answer = client.ask(&command(&["AUTH", &forged]));
            assert!(denied(&answer), "{what}, for a connection: {answer}");
        }
        assert!(
            client
                .ask(&quote(OWN, "r2", ""))
                .starts_with("-DENIED I100"),
            "{what}: nothing was proved"
        );
    }
    assert_eq!(backend.count(), 0, "something of it went on");
    let mut client = site.client();
    assert_eq!(client.ask(&command(&["AUTH", &good])), "+OK");
    assert_eq!(client.ask(&quote(OWN, "r3", "")), "value of r3");
    assert!(
        client
            .ask(&quote(OTHER, "r4", ""))
            .starts_with("-DENIED I202"),
        "another's account"
    );
    assert!(
        client.ask(&save("r5")).starts_with("-DENIED I203"),
        "a class that it may not send"
    );
    assert_tokens_of_requests_count_alone(&mut client);
    let seen = format!("{:?}", backend.seen.commands.lock().unwrap());
    assert_eq!(backend.count(), 3);
    assert!(
        !seen.contains("v4.public") && !seen.contains("auth="),
        "{seen}"
    );
    site.ingress.signal("TERM");
    assert!(site.ingress.exit().success());
    let log = site.ingress.log();
    assert!(
        !log.contains("v4.") && !log.contains(&good[20..60]),
        "{log}"
    );
}

/// Guards against a key that is still taken behind its withdrawal, a request that was taken and is lost with it, and an honest
/// caller that fails in between.
#[test]
fn a_key_rotation_ends_only_what_the_old_key_signed() {
    // Slow for the one that is to be out alone: if all were, the ladder would cut callers by a lot that is drawn with the time.
    let backend = Backend::start(|args| match &args[2][..] {
        "k2" => Act::Later(Duration::from_millis(300), served(args)),
        _ => serve(args),
    });
    let mut site = Site::new(&backend, &listed("one", 1, ""));
    let (old, new) = (token(|_| (), 1), token(|c| c.key = "two".into(), 2));
    let mut client = site.client();
    assert_eq!(client.ask(&command(&["AUTH", &old])), "+OK");
    let reload = |site: &Site, keys: &str| {
        fs::write(site.folder.path().join("app.toml"), app(site.at, keys)).unwrap();
        site.ingress.signal("HUP");
    };
    // The new key is trusted before it is used; the old one goes on.
    assert!(site
        .client()
        .ask(&command(&["AUTH", &new]))
        .starts_with("-DENIED I104"));
    reload(&site, &(listed("one", 1, "") + &listed("two", 2, "")));
    until("the new key is trusted", || {
        site.client().ask(&command(&["AUTH", &new])) == "+OK"
    });
    assert_eq!(client.ask(&quote(OWN, "k1", "")), "value of k1");
    // The old one is withdrawn with a request of its caller out: that one ends, and nothing new is taken from it.
    let before = backend.count();
    client.send(&quote(OWN, "k2", ""));
    until("it is with the backend", || backend.count() > before);
    let ended = format!("until = \"{}\"\n", format_time(now() - 1));
    reload(&site, &(listed("one", 1, &ended) + &listed("two", 2, "")));
    until("the old key is withdrawn", || {
        site.client()
            .ask(&command(&["AUTH", &old]))
            .starts_with("-DENIED I106")
    });
    assert_eq!(client.answer(), "value of k2");
    assert!(client
        .ask(&quote(OWN, "k3", ""))
        .starts_with("-DENIED I106"));
    // Its caller shows a token of the new key, and goes on over the same connection.
    assert_eq!(client.ask(&command(&["AUTH", &new])), "+OK");
    assert_eq!(client.ask(&quote(OWN, "k4", "")), "value of k4");
    // A broken file keeps what was there.
    reload(
        &site,
        "[[identity.issuer.key]]\nname = \"two\"\npublic = \"12\"\n",
    );
    std::thread::sleep(Duration::from_millis(200));
    assert_eq!(client.ask(&quote(OWN, "k5", "")), "value of k5");
    site.ingress.signal("TERM");
    assert!(site.ingress.exit().success());
    let log = site.ingress.log();
    assert!(log.contains("C115"), "{log}");
}

/// Guards against a flood of forged tokens that has each one's signature checked, and that shuts out who was here before.
#[test]
fn a_flood_of_forged_tokens_is_limited_and_known_callers_are_served() {
    let backend = Backend::start(serve);
    let site = Site::new(&backend, &listed("one", 1, ""));
    let good = token(|_| (), 1);
    let mut known = site.client();
    assert_eq!(known.ask(&command(&["AUTH", &good])), "+OK");
    let mut codes = std::collections::BTreeMap::<String, usize>::new();
    for n in 0..120 {
        let forged = token(|c| c.tenant = format!("t{n}"), 2);
        let answer = site.client().ask(&command(&["AUTH", &forged]));
        *codes.entry(answer[..12].to_string()).or_default() += 1;
    }
    // Twenty at once and two a second: how many came to be checked depends on the time that this took.
    assert_eq!(codes.len(), 2, "{codes:?}");
    assert!(
        codes["-DENIED I105"] >= 20 && codes["-DENIED I111"] >= 40,
        "{codes:?}"
    );
    assert_eq!(
        known.ask(&quote(OWN, "f1", "")),
        "value of f1",
        "its connection has proved enough"
    );
    assert_eq!(
        site.client().ask(&quote(OWN, "f2", &good)),
        "value of f2",
        "its token was checked before"
    );
}
