//! A front's connection carries requests of two tenants, each with a token of its own. A key is withdrawn, and requests signed with it
//! that were under way still arrive. They are denied; the other tenant's requests on the same connection must be answered.

#[path = "../standin-2.rs"]
mod standin;

use standin::{
    backend, command, configuration, discovery, endpoints, fail, folder, free_address, pause,
    served, trouble, Ingress, Reader, Record, Settings, Value, BROKEN, HELD, SIGHUP,
};
use std::io::Write;
use std::path::Path;
use std::process::Command;
use std::time::Duration;

/// Requests under way whose key was withdrawn.
const WITHDRAWN: usize = 10;
/// Requests of the other tenant behind them.
const BEHIND: usize = 4;
/// How many fronts do so, one after the other.
const FRONTS: usize = 3;

fn wrenctl(arguments: &[&str]) -> String {
    let output = Command::new("target/release/wrenctl")
        .args(arguments)
        .output();
    let output = output.unwrap_or_else(|e| fail(&format!("wrenctl: {e}")));
    if !output.status.success() {
        fail(&format!(
            "wrenctl {arguments:?}: {}",
            String::from_utf8_lossy(&output.stderr)
        ));
    }
    String::from_utf8_lossy(&output.stdout).trim().to_string()
}

/// The operator's file of the ingress with these keys of the issuer, each given by name and public half.
fn write_operator_file(path: &Path, keys: &[(&str, &str)]) {
    let mut text =
        "version = 1\nkind = \"ingress\"\n\n[identity]\naudience = \"bangna\"\nrequired = true\n\n\
                    [[identity.issuer]]\nname = \"desk\"\n"
            .to_string();
    for (name, public) in keys {
        text += &format!("\n[[identity.issuer.key]]\nname = \"{name}\"\npublic = \"{public}\"\n");
    }
    for (tenant, account) in [
        ("first", "00000000000004d2"),
        ("second", "00000000000004d3"),
    ] {
        text +=
            &format!("\n[[identity.tenant]]\nname = \"{tenant}\"\naccounts = [\"{account}\"]\n");
    }
    std::fs::write(path, text).unwrap_or_else(|e| fail(&e.to_string()));
}

fn request(account: &str, id: &str, token: &str) -> Vec<u8> {
    let options =
        format!("c=lender-referral,t=business,d=4000,units=1,spread=1,first=0,auth={token}");
    command(&[
        b"CALL.POST",
        account.as_bytes(),
        id.as_bytes(),
        options.as_bytes(),
        b"x",
    ])
}

fn ask(ingress: &Ingress, bytes: &[u8]) -> Value {
    let mut stream = ingress.connect();
    let _ = stream.set_read_timeout(Some(Duration::from_secs(5)));
    let _ = stream.write_all(bytes);
    Reader::new(stream).value().unwrap_or(Value::Null)
}

fn main() {
    let record = Record::create();
    let log = record.clone();
    let addresses: Vec<_> = (0..3)
        .map(|n| {
            let log = log.clone();
            backend(move |request, out| {
                log.line(format!("backend {n} runs {}", request.id));
                if request.id.starts_with('a') {
                    pause(300);
                }
                out.write_all(&served(format!("value for {}", request.id).as_bytes()))
                    .is_ok()
            })
        })
        .collect();
    let folder = folder();
    let key = |name: &str| {
        let path = folder.join(name).display().to_string();
        let public = wrenctl(&["keys", "new", &path]);
        (path, public)
    };
    let (old_path, old_public) = key("old.key");
    let (new_path, new_public) = key("new.key");
    let token = |path: &str, kid: &str, tenant: &str| {
        wrenctl(&[
            "keys",
            "token",
            "--key",
            path,
            "--kid",
            kid,
            "--audience",
            "bangna",
            "--tenant",
            tenant,
            "--for",
            "1h",
        ])
    };
    let old_token = token(&old_path, "desk/old", "first");
    let new_token = token(&new_path, "desk/new", "second");
    let operator = folder.join("ingress.toml");
    write_operator_file(&operator, &[("old", &old_public), ("new", &new_public)]);

    let listed = endpoints("s-", &addresses);
    let listen = free_address();
    let config = folder.join("config.json");
    let text = configuration(
        listen,
        discovery(listed.clone()),
        &listed,
        &Settings::default(),
    );
    std::fs::write(&config, text).unwrap();
    let ingress = Ingress::start(
        listen,
        &config,
        &format!("--operator '{}'", operator.display()),
        &record,
    );
    let first = request("00000000000004d2", "f000000000000001", &old_token);
    let second = request("00000000000004d3", "f000000000000002", &new_token);
    for (tenant, bytes) in [("first", &first), ("second", &second)] {
        let answer = ask(&ingress, bytes);
        record.line(format!("{tenant} tenant, before: {}", answer.short()));
        if answer.served().is_none() {
            fail("a tenant was not served before the disruption");
        }
    }
    if trouble() {
        write_operator_file(&operator, &[("new", &new_public)]);
        ingress.signal(SIGHUP);
        record.line("the old key is withdrawn: SIGHUP");
        pause(500);
    }
    let mut lost = 0;
    for n in 0..FRONTS {
        lost += unanswered(&ingress, n, &old_token, &new_token, &record);
    }
    ingress.log_to(&record);
    drop(ingress);
    record.say(format!(
        "{lost} of {} requests of the honest tenant got no answer: the ingress ended their connection",
        FRONTS * (BEHIND + 1)
    ));
    std::process::exit(if lost > 0 { BROKEN } else { HELD });
}

/// Sends all requests of a front in one write and counts the honest tenant's requests that get no answer.
fn unanswered(
    ingress: &Ingress,
    n: usize,
    old_token: &str,
    new_token: &str,
    record: &Record,
) -> usize {
    let honest = |letter: char, m: usize| format!("{letter}{n:07x}{m:08x}");
    let mut sent: Vec<(String, bool)> = vec![(honest('a', 0), true)];
    sent.extend((0..WITHDRAWN).map(|m| (honest('b', m), false)));
    sent.extend((0..BEHIND).map(|m| (honest('c', m), true)));
    let bytes: Vec<u8> = sent
        .iter()
        .flat_map(|(id, is_honest)| match is_honest {
            true => request("00000000000004d3", id, new_token),
            false => request("00000000000004d2", id, old_token),
        })
        .collect();
    let mut stream = ingress.connect();
    let _ = stream.set_read_timeout(Some(Duration::from_secs(6)));
    if stream.write_all(&bytes).is_err() {
        fail("the front could not write");
    }
    let ids: Vec<&str> = sent.iter().map(|(id, _)| id.as_str()).collect();
    record.line(format!(
        "front {n} has written {} requests in {} bytes: {}",
        sent.len(),
        bytes.len(),
        ids.join(" ")
    ));
    let mut reader = Reader::new(stream);
    let mut lost = 0;
    for (id, is_honest) in &sent {
        let who = if *is_honest {
            "honest"
        } else {
            "withdrawn key"
        };
        match reader.value() {
            Ok(answer) => record.line(format!("front {n}: {id} ({who}): {}", answer.short())),
            Err(error) => {
                record.line(format!("front {n}: {id} ({who}): NO ANSWER: {error}"));
                lost += usize::from(*is_honest);
            }
        }
    }
    lost
}
