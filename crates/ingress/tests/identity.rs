//! Authentication of callers by the built sidecar: a caller without a valid token is denied with the reason, a caller
//! with sufficient rights is served, also while keys are rotated.

use ed25519_dalek::SigningKey;
use std::fs;
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use wrenfork_identity::token::{format_time, sign, Claims};
use wrenfork_identity::trust::format_public_key;
use wrenfork_testbed::service_fixture::{
    command, free_address, list, serve, served, until, Act, Backend, Client, Ingress,
};

const OWN_ACCOUNT: &str = "00000000000004d3";
const OTHER_ACCOUNT: &str = "00000000000004d2";

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
        let (folder, at) = (tempfile::tempdir().unwrap(), free_address());
        let write = |name: &str, text: &str| fs::write(folder.path().join(name), text).unwrap();
        write("site.toml", &read_good_file("site.toml"));
        write("app.toml", &app(at, keys));
        write(
            "fleet.json",
            &list(1, true, &[backend.entry("s-0001", "up")]),
        );
        let folder_path = folder.path().display();
        let command_line = format!(
            "exec '{}' --app '{folder_path}/app.toml' --fleet '{folder_path}/fleet.json'",
            env!("CARGO_BIN_EXE_wrenfork")
        );
        let ingress = Ingress::run("", at, &command_line);
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

fn read_good_file(name: &str) -> String {
    fs::read_to_string(
        Path::new(env!("CARGO_MANIFEST_DIR"))
            .join("../config/tests/good")
            .join(name),
    )
    .unwrap()
}

fn app(at: SocketAddr, keys: &str) -> String {
    let text =
        read_good_file("with-site-no-routes.toml").replace("127.0.0.1:7600", &at.to_string());
    let text = text.replace(
        "plan = \"starter\"",
        "plan = \"starter\"\nquota = \"90/s\"\nburst = 600",
    );
    format!(
        "{text}\n[identity]\naudience = \"bangna\"\nlongest = \"2h\"\n\n[[identity.issuer]]\nname = \"desk\"\n{keys}\n\
         [[identity.tenant]]\nname = \"broker\"\naccounts = [\"{OWN_ACCOUNT}\"]\nclasses = [\"quote\"]\n\n\
         [[identity.tenant]]\nname = \"all\"\naccounts = [\"{OWN_ACCOUNT}\", \"{OTHER_ACCOUNT}\"]\n"
    )
}

fn listed_key(name: &str, n: u8, more: &str) -> String {
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
        OWN_ACCOUNT,
        id,
        "c=save-scenario,t=starter,d=900,k=00ff,units=1,spread=1,first=0",
        "BODY",
    ])
}

/// Credentials that prove too little: a description, the token and the code of the expected denial.
fn insufficient_credentials() -> [(&'static str, String, &'static str); 10] {
    [
        ("no credentials", String::new(), "I100"),
        ("not a token", "letmein".into(), "I101"),
        ("a JWT", "eyJhbGciOiJub25lIn0.e30.".into(), "I102"),
        ("a signature of another key", token(|_| (), 2), "I105"),
        (
            "an unknown issuer",
            token(|c| c.issuer = "shop".into(), 1),
            "I104",
        ),
        (
            "for another audience",
            token(|c| c.audience = "odense".into(), 1),
            "I107",
        ),
        (
            "expired",
            token(|c| (c.from, c.until) = (now() - 900, now() - 100), 1),
            "I108",
        ),
        (
            "not yet valid",
            token(|c| (c.from, c.until) = (now() + 900, now() + 1_000), 1),
            "I109",
        ),
        (
            "valid for too long",
            token(|c| c.until = now() + 7 * 86_400, 1),
            "I110",
        ),
        (
            "an unknown tenant",
            token(|c| c.tenant = "nobody".into(), 1),
            "I201",
        ),
    ]
}

/// Asserts that a token sent with a request counts for that request alone and may narrow the rights of its tenant.
fn assert_request_token_applies_to_its_request_only(client: &mut Client) {
    let (all, narrow) = (
        token(|c| c.tenant = "all".into(), 1),
        token(|c| c.accounts = Some(vec![7]), 1),
    );
    // An account that is new to this process starts with few ceiling tokens.
    let mut asked = 0;
    until("the other account is served", || {
        asked += 1;
        let answer = client.ask(&quote(OTHER_ACCOUNT, &format!("r6-{asked}"), &all));
        assert!(
            answer.starts_with("value of r6-") || answer.starts_with("-BUSY"),
            "{answer}"
        );
        answer.starts_with("value")
    });
    assert!(client
        .ask(&quote(OWN_ACCOUNT, "r7", &narrow))
        .starts_with("-DENIED I202"));
    assert_eq!(client.ask(&quote(OWN_ACCOUNT, "r8", "")), "value of r8");
    // A failed AUTH leaves the connection without an identity.
    assert!(client
        .ask(&command(&["AUTH", "letmein"]))
        .starts_with("-DENIED I101"));
    assert!(client
        .ask(&quote(OWN_ACCOUNT, "r9", ""))
        .starts_with("-DENIED I100"));
}

/// Guards against taking a caller for another one, and against forwarding or logging a token.
#[test]
fn callers_without_rights_are_denied_with_the_reason_and_no_token_is_forwarded() {
    let backend = Backend::start(serve);
    let mut site = Site::new(&backend, &listed_key("one", 1, ""));
    let valid_token = token(|_| (), 1);
    for (case, credential, code) in insufficient_credentials() {
        let denied = |answer: &str| answer.starts_with(&format!("-DENIED {code}:"));
        let answer = site.client().ask(&quote(OWN_ACCOUNT, "r1", &credential));
        assert!(denied(&answer), "{case}, token in a request: {answer}");
        let mut client = site.client();
        if !credential.is_empty() {
            let answer = client.ask(&command(&["AUTH", &credential]));
            assert!(denied(&answer), "{case}, token in AUTH: {answer}");
        }
        assert!(
            client
                .ask(&quote(OWN_ACCOUNT, "r2", ""))
                .starts_with("-DENIED I100"),
            "{case}: the connection must stay unauthenticated"
        );
    }
    assert_eq!(backend.count(), 0, "a denied request was forwarded");
    let mut client = site.client();
    assert_eq!(client.ask(&command(&["AUTH", &valid_token])), "+OK");
    assert_eq!(client.ask(&quote(OWN_ACCOUNT, "r3", "")), "value of r3");
    assert!(
        client
            .ask(&quote(OTHER_ACCOUNT, "r4", ""))
            .starts_with("-DENIED I202"),
        "an account of another tenant must be denied"
    );
    assert!(
        client.ask(&save("r5")).starts_with("-DENIED I203"),
        "a class that the tenant may not send must be denied"
    );
    assert_request_token_applies_to_its_request_only(&mut client);
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
        !log.contains("v4.") && !log.contains(&valid_token[20..60]),
        "{log}"
    );
}

/// Guards against accepting a key after its withdrawal, losing a request that was admitted before it, and denying a
/// caller with a valid token during the rotation.
#[test]
fn withdrawing_a_key_affects_only_tokens_it_signed() {
    // Only `k2` is slow, because it must be in flight during the change. If all requests were slow, load shedding would
    // reject callers by a hash that depends on the time.
    let backend = Backend::start(|args| match &args[2][..] {
        "k2" => Act::Later(Duration::from_millis(300), served(args)),
        _ => serve(args),
    });
    let mut site = Site::new(&backend, &listed_key("one", 1, ""));
    let (old, new) = (token(|_| (), 1), token(|c| c.key = "two".into(), 2));
    let mut client = site.client();
    assert_eq!(client.ask(&command(&["AUTH", &old])), "+OK");
    let reload = |site: &Site, keys: &str| {
        fs::write(site.folder.path().join("app.toml"), app(site.at, keys)).unwrap();
        site.ingress.signal("HUP");
    };
    // The new key is trusted before it is used, and the old one stays valid.
    assert!(site
        .client()
        .ask(&command(&["AUTH", &new]))
        .starts_with("-DENIED I104"));
    reload(
        &site,
        &(listed_key("one", 1, "") + &listed_key("two", 2, "")),
    );
    until("the new key is trusted", || {
        site.client().ask(&command(&["AUTH", &new])) == "+OK"
    });
    assert_eq!(client.ask(&quote(OWN_ACCOUNT, "k1", "")), "value of k1");
    // The old key is withdrawn while a request of its caller is in flight: that request completes, and no new one is
    // admitted.
    let before = backend.count();
    client.send(&quote(OWN_ACCOUNT, "k2", ""));
    until("the request reaches the backend", || {
        backend.count() > before
    });
    let ended = format!("until = \"{}\"\n", format_time(now() - 1));
    reload(
        &site,
        &(listed_key("one", 1, &ended) + &listed_key("two", 2, "")),
    );
    until("the old key is withdrawn", || {
        site.client()
            .ask(&command(&["AUTH", &old]))
            .starts_with("-DENIED I106")
    });
    assert_eq!(client.answer(), "value of k2");
    assert!(client
        .ask(&quote(OWN_ACCOUNT, "k3", ""))
        .starts_with("-DENIED I106"));
    // The caller authenticates with a token of the new key on the same connection.
    assert_eq!(client.ask(&command(&["AUTH", &new])), "+OK");
    assert_eq!(client.ask(&quote(OWN_ACCOUNT, "k4", "")), "value of k4");
    // An invalid file leaves the current keys in place.
    reload(
        &site,
        "[[identity.issuer.key]]\nname = \"two\"\npublic = \"12\"\n",
    );
    std::thread::sleep(Duration::from_millis(200));
    assert_eq!(client.ask(&quote(OWN_ACCOUNT, "k5", "")), "value of k5");
    site.ingress.signal("TERM");
    assert!(site.ingress.exit().success());
    let log = site.ingress.log();
    assert!(log.contains("C115"), "{log}");
}

/// Guards against verifying the signature of every token in a flood of forged ones, and against denying known callers
/// during the flood.
#[test]
fn a_flood_of_forged_tokens_is_limited_and_known_callers_are_served() {
    let backend = Backend::start(serve);
    let site = Site::new(&backend, &listed_key("one", 1, ""));
    let valid_token = token(|_| (), 1);
    let mut known_client = site.client();
    assert_eq!(known_client.ask(&command(&["AUTH", &valid_token])), "+OK");
    let mut codes = std::collections::BTreeMap::<String, usize>::new();
    for n in 0..120 {
        let credential = token(|c| c.tenant = format!("t{n}"), 2);
        let answer = site.client().ask(&command(&["AUTH", &credential]));
        *codes.entry(answer[..12].to_string()).or_default() += 1;
    }
    // Twenty verifications at once and two per second: how many tokens were verified depends on the elapsed time.
    assert_eq!(codes.len(), 2, "{codes:?}");
    assert!(
        codes["-DENIED I105"] >= 20 && codes["-DENIED I111"] >= 40,
        "{codes:?}"
    );
    assert_eq!(
        known_client.ask(&quote(OWN_ACCOUNT, "f1", "")),
        "value of f1",
        "an authenticated connection must be served"
    );
    assert_eq!(
        site.client().ask(&quote(OWN_ACCOUNT, "f2", &valid_token)),
        "value of f2",
        "a token verified before must be served"
    );
}

/// Guards against requests of one caller that are never answered, because denied requests of another caller before them on the
/// same connection end it.
#[test]
fn requests_behind_denied_ones_are_answered() {
    const DENIED: usize = 12;
    let backend = Backend::start(|args| match &args[2][..1] {
        "a" => Act::Later(Duration::from_millis(300), served(args)),
        _ => serve(args),
    });
    let site = Site::new(&backend, &listed_key("one", 1, ""));
    let (valid, forged) = (token(|_| (), 1), token(|_| (), 2));
    let requests = |letter: &str, round: usize, count: usize, token: &str| -> Vec<u8> {
        (0..count)
            .flat_map(|n| quote(OWN_ACCOUNT, &format!("{letter}{round}-{n}"), token))
            .collect()
    };
    for (round, (opens, is_later)) in [(0, false), (1, false), (1, true)].into_iter().enumerate() {
        let mut client = site.client();
        client.send(&requests("a", round, opens, &valid));
        let denied = requests("d", round, DENIED, &forged);
        let behind = requests("b", round, 4, &valid);
        if is_later {
            client.send(&denied);
            std::thread::sleep(Duration::from_millis(100));
            client.send(&behind);
        } else {
            client.send(&[denied, behind].concat());
        }
        for n in 0..opens {
            assert_eq!(client.answer(), format!("value of a{round}-{n}"));
        }
        for n in 0..DENIED {
            let answer = client.answer();
            assert!(answer.starts_with("-DENIED"), "{round}, {n}: {answer:?}");
        }
        for n in 0..4 {
            assert_eq!(client.answer(), format!("value of b{round}-{n}"));
        }
    }
}
