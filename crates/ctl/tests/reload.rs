//! `wrenctl reload` with a real sidecar: it tells which of the files were taken, and which not and why.

// Not done yet, see docs/ROADMAP.md.
#![allow(clippy::too_many_lines)]

use std::fs;
use std::path::Path;
use std::process::{Command, Output};
use wrenfork_testbed::service_fixture::{
    command, free_address, list, serve, until, Backend, Client, Ingress,
};

fn good(name: &str) -> String {
    fs::read_to_string(
        Path::new(env!("CARGO_MANIFEST_DIR"))
            .join("../config/tests/good")
            .join(name),
    )
    .unwrap()
}

/// Guards against a reload that ends well although nothing was taken, or of which nobody hears how it ended.
#[test]
fn a_reload_tells_whether_the_files_were_taken() {
    let (at, backend, folder) = (
        free_address(),
        Backend::start(serve),
        tempfile::tempdir().unwrap(),
    );
    let app = good("with-site-no-routes.toml").replace("127.0.0.1:7600", &at.to_string());
    let write = |name: &str, text: &str| fs::write(folder.path().join(name), text).unwrap();
    write("site.toml", &good("site.toml"));
    write("app.toml", &app);
    write(
        "fleet.json",
        &list(1, true, &[backend.entry("s-0001", "up")]),
    );
    let (shown, program) = (
        folder.path().display(),
        Path::new(env!("CARGO_BIN_EXE_wrenctl")).with_file_name("wrenfork"),
    );
    let line = format!(
        "exec '{}' --app {shown}/app.toml --fleet {shown}/fleet.json --status {shown}/status",
        program.display()
    );
    let status = folder.path().join("status");
    let reload = |more: &[&str]| -> (Option<i32>, String) {
        let mut command = Command::new(env!("CARGO_BIN_EXE_wrenctl"));
        let Output {
            status,
            stdout,
            stderr,
        } = command
            .arg("reload")
            .arg(&status)
            .args(more)
            .output()
            .unwrap();
        (
            status.code(),
            String::from_utf8_lossy(&[stdout, stderr].concat()).into_owned(),
        )
    };
    assert_eq!(reload(&["--wait"]).0, Some(2), "nobody is there");
    let mut ingress = Ingress::run("", at, &line);
    until("the sidecar is ready", || {
        std::net::TcpStream::connect(at)
            .is_ok_and(|s| Client(s).ask(&command(&["PING"])) == "+PONG")
    });
    let knows = |account: &str| {
        let options = "c=quote,t=starter,d=900,units=1,spread=1,first=0";
        let answer = Client::connect(at).ask(&command(&["CALL.GET", account, "r", options]));
        !answer.contains("not this application's")
    };
    let (old, new) = ("00000000000004d3", "00000000000004d5");
    write("app.toml", &app.replace(old, new));
    let (code, said) = reload(&["--wait"]);
    assert_eq!(code, Some(0), "{said}");
    assert!(
        said.contains("taken") && knows(new) && !knows(old),
        "it says so before it is so: {said}"
    );
    // What is fixed from the start on is refused at once, with the key.
    write(
        "site.toml",
        &good("site.toml").replace("[limits]", "[limits]\ntick = \"8ms\""),
    );
    write("app.toml", &app);
    let (code, said) = reload(&["--wait"]);
    assert!(
        code == Some(1) && said.contains("tick_us is fixed"),
        "{code:?} {said}"
    );
    assert!(knows(new));
    // A file that can't be read may be half written: it is read until it can be, and nobody is kept waiting for that.
    write("site.toml", &good("site.toml"));
    write("app.toml", &app[..200]);
    let (code, said) = reload(&["--wait", "--patience", "200ms"]);
    assert!(
        code == Some(3) && said.contains("can't be read"),
        "{code:?} {said}"
    );
    write("app.toml", &app);
    until("it is read at last", || knows(old));
    assert_eq!(reload(&[]), (Some(0), String::new()));
    ingress.signal("TERM");
    assert!(ingress.exit().success());
    assert!(!status.exists(), "a status of nobody");
}
