//! `wrenctl config` as people and scripts run it.

use std::fs;
use std::io::{Read, Write};
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::process::{Command, Output, Stdio};
use std::thread;

fn file(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../config/tests")
        .join(name)
}

fn good(name: &str) -> PathBuf {
    file("good").join(name)
}

fn run(args: &[&str], paths: &[PathBuf]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_wrenctl"))
        .arg("config")
        .args(args)
        .args(paths)
        .stdin(Stdio::null())
        .output()
        .unwrap()
}

fn said(output: &Output) -> (Option<i32>, String, String) {
    let text = |bytes: &[u8]| String::from_utf8(bytes.to_vec()).unwrap();
    (
        output.status.code(),
        text(&output.stdout),
        text(&output.stderr),
    )
}

#[test]
fn the_exit_code_says_good_refused_or_unreadable() {
    let (code, out, err) = said(&run(
        &["check"],
        &[good("site.toml"), good("desk.toml"), good("fleet.toml")],
    ));
    assert_eq!(
        (code, out.trim(), err.as_str()),
        (Some(0), "good: 3 files", "")
    );
    let refused = file("refused/site-deadline-under-wanted.toml");
    assert_eq!(
        said(&run(&["check"], std::slice::from_ref(&refused))).0,
        Some(1)
    );
    assert_eq!(
        said(&run(&["check"], &[refused, file("refused/none.toml")])).0,
        Some(2)
    );
    assert_eq!(said(&run(&["check"], &[file("refused")])).0, Some(2));
}

/// Guards against a message that leaves people to search: the code, the place, the line, what stands there, and help.
#[test]
fn people_see_the_line_and_the_place_under_it_and_what_to_do() {
    let (_, _, err) = said(&run(
        &["check"],
        &[good("site.toml"), file("refused/app-plan-unknown.toml")],
    ));
    for part in [
        "C203",
        "there is no plan \"stater\"",
        "app-plan-unknown.toml:25:8",
        "25 | plan = \"stater\"",
        "^^^^^^^^",
        "was \"starter\" meant?",
        "refused:",
    ] {
        assert!(err.contains(part), "{part} is not in:\n{err}");
    }
    assert!(
        !err.contains('\u{1b}'),
        "colours where nobody sees them:\n{err}"
    );
}

#[test]
fn both_places_are_shown_where_two_files_have_a_part_in_it() {
    let files = [
        good("site.toml"),
        good("desk.toml"),
        file("refused/together-over-the-ceiling.toml"),
    ];
    let (code, _, err) = said(&run(&["check"], &files));
    assert_eq!(code, Some(1));
    for part in [
        "desk.toml",
        "site.toml",
        "46/s",
        "the ceiling of 40/s",
        "\"desk\" has 6/s of it",
    ] {
        assert!(err.contains(part), "{part} is not in:\n{err}");
    }
}

#[test]
fn scripts_get_json_with_every_mistake() {
    let (code, out, err) = said(&run(
        &["check", "--format", "json"],
        &[file("refused/site-three-mistakes.toml")],
    ));
    let told: serde_json::Value = serde_json::from_str(&out).unwrap();
    let codes: Vec<&str> = told["found"]
        .as_array()
        .unwrap()
        .iter()
        .map(|d| d["code"].as_str().unwrap())
        .collect();
    assert_eq!(
        (code, codes, err.as_str()),
        (Some(1), vec!["C103", "C103", "C106"], "")
    );
    assert_eq!(told["good"], false);
    assert!(told["found"][0]["place"]["line"].as_u64().unwrap() > 10);
}

#[test]
fn a_code_is_explained_and_an_unknown_one_is_told() {
    let (code, out, _) = said(&run(&["explain", "c304"], &[]));
    assert!(
        code == Some(0) && out.contains("C304") && out.contains("draining"),
        "{out}"
    );
    assert_eq!(said(&run(&["explain", "C999"], &[])).0, Some(2));
    assert!(said(&run(&["explain"], &[])).1.lines().count() > 40);
}

#[test]
fn what_a_sidecar_is_told_is_rendered_and_a_sidecar_that_is_not_there_is_told() {
    let files = [
        good("site.toml"),
        good("fleet.toml"),
        good("with-site-two-sidecars.toml"),
    ];
    let (code, out, _) = said(&run(&["render", "--ingress", "desk-2"], &files));
    let told: serde_json::Value = serde_json::from_str(&out).unwrap();
    assert_eq!(code, Some(0));
    assert_eq!(
        told["settings"]["contracts"][2]["name"], "business~6~16",
        "an account's own quota"
    );
    assert_eq!(told["known"]["endpoints"].as_array().unwrap().len(), 4);
    let (code, _, err) = said(&run(&["render", "--ingress", "desk-3"], &files));
    assert!(code == Some(2) && err.contains("desk-1, desk-2"), "{err}");
    let refused = [good("site.toml"), file("refused/app-plan-unknown.toml")];
    assert_eq!(
        said(&run(&["render", "--ingress", "desk-1"], &refused)).0,
        Some(1)
    );
}

#[test]
fn a_new_file_is_written_once_and_is_good() {
    let folder = tempfile::tempdir().unwrap();
    let out = folder.path().join("branch.toml");
    let site = good("site.toml");
    let args = |rest: &[&str]| {
        let fixed = [
            "new",
            "branch",
            "--site",
            site.to_str().unwrap(),
            "--out",
            out.to_str().unwrap(),
        ];
        let all: Vec<&str> = fixed.iter().chain(rest).copied().collect();
        said(&run(&all, &[]))
    };
    let (code, _, err) = args(&[]);
    assert!(
        code == Some(2) && err.contains("--account"),
        "nobody to ask: {err}"
    );
    let (code, _, err) = args(&["--account", "00000000000004d2:busines"]);
    assert!(
        code == Some(1) && err.contains("was \"business\" meant?") && !out.exists(),
        "{err}"
    );
    assert_eq!(
        args(&["--account", "00000000000004d2:business", "--send", "quote"]).0,
        Some(0)
    );
    assert_eq!(
        said(&run(&["check"], &[site.clone(), out.clone()])).0,
        Some(0)
    );
    let before = fs::read_to_string(&out).unwrap();
    let (code, _, _) = args(&["--account", "00000000000004d3:business"]);
    assert_eq!(
        (code, fs::read_to_string(&out).unwrap()),
        (Some(2), before),
        "a file that is there is kept"
    );
}

#[test]
fn fmt_names_what_would_change_and_changes_it_at_one_go() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("site.toml");
    let text = fs::read_to_string(good("site.toml")).unwrap();
    fs::write(&path, text.replace(" = ", "=")).unwrap();
    assert_eq!(
        said(&run(&["fmt", "--check"], std::slice::from_ref(&path))).0,
        Some(1)
    );
    assert_eq!(said(&run(&["fmt"], std::slice::from_ref(&path))).0, Some(0));
    assert_eq!(fs::read_to_string(&path).unwrap(), text);
    assert_eq!(
        said(&run(&["fmt", "--check"], std::slice::from_ref(&path))).0,
        Some(0)
    );
    fs::write(&path, "a = [").unwrap();
    assert_eq!(said(&run(&["fmt"], std::slice::from_ref(&path))).0, Some(2));
    assert_eq!(
        fs::read_to_string(&path).unwrap(),
        "a = [",
        "what can't be read is left as it is"
    );
    assert_eq!(
        fs::read_dir(folder.path()).unwrap().count(),
        1,
        "nothing is left behind"
    );
}

/// Answers one call with a list.
fn discovery(answer: String) -> std::net::SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = listener.local_addr().unwrap();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let _ = stream.read(&mut [0; 1024]);
        let _ = stream.write_all(answer.as_bytes());
    });
    at
}

#[test]
fn routes_are_checked_against_what_discovery_lists() {
    let list = fs::read_to_string(good("fleet.json"))
        .unwrap()
        .replace("\"up\"", "\"draining\"");
    let files = [good("site.toml"), good("desk.toml")];
    let ask = |answer: String| {
        let at = discovery(answer).to_string();
        said(&run(&["check", "--discovery", &at], &files))
    };
    let (code, _, err) = ask(format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}",
        list.len()
    ));
    assert!(
        code == Some(1) && err.contains("C304") && err.contains("C307"),
        "{err}"
    );
    let (code, _, err) = ask("HTTP/1.1 503 Gone\r\nContent-Length: 0\r\n\r\n".into());
    assert!(code == Some(2) && err.contains("503"), "{err}");
    let (code, _, err) = ask("HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n{".into());
    assert!(code == Some(2) && err.contains("cut off"), "{err}");
}
