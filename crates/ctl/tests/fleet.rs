//! `wrenctl fleet` by its exit codes, its messages and what it leaves behind.

use std::io::Read;
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::time::{Duration, Instant};

fn scenarios() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../testbed/scenarios")
}

/// The ingress stands beside `wrenctl`; a test of the whole workspace builds both.
fn wrenctl(args: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_wrenctl"));
    command.args(args).env("NO_COLOR", "1").stdin(Stdio::null());
    command
}

fn run(args: &[&str]) -> Output {
    wrenctl(args).output().unwrap()
}

fn told(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned() + &String::from_utf8_lossy(&output.stdout)
}

fn write(dir: &Path, name: &str, text: &str) -> String {
    let path = dir.join(name);
    std::fs::write(&path, text).unwrap();
    path.display().to_string()
}

fn calm() -> String {
    std::fs::read_to_string(scenarios().join("calm.toml")).unwrap()
}

/// The processes whose parent is this one.
fn children(of: u32) -> Vec<u32> {
    let all = std::fs::read_dir("/proc").unwrap().flatten();
    let ids = all.filter_map(|e| e.file_name().to_str().and_then(|n| n.parse::<u32>().ok()));
    let parent = |id: &u32| {
        let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
        stat.rsplit(')').next().and_then(|r| {
            r.split_whitespace()
                .nth(1)
                .and_then(|p| p.parse::<u32>().ok())
        })
    };
    ids.filter(|id| parent(id) == Some(of)).collect()
}

/// Whether a process runs; one that has ended and waits for its parent does not.
fn runs(id: u32) -> bool {
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
    stat.rsplit(')')
        .next()
        .is_some_and(|r| !r.trim().is_empty() && !r.trim().starts_with('Z'))
}

fn until(what: &str, mut ready: impl FnMut() -> bool) {
    let start = Instant::now();
    while !ready() {
        assert!(
            start.elapsed() < Duration::from_secs(30),
            "waited in vain: {what}"
        );
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// Starts a long run and waits until its ingresses run.
fn started(args: &[&str], count: usize) -> (Child, Vec<u32>) {
    let child = wrenctl(args)
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let mut ingresses = Vec::new();
    until("the ingresses run", || {
        ingresses = children(child.id());
        ingresses.len() == count
    });
    (child, ingresses)
}

#[test]
fn a_broken_file_is_told_with_its_place_and_nothing_is_played() {
    let dir = tempfile::tempdir().unwrap();
    let good = write(dir.path(), "good.toml", &calm());
    let rows = "\n[[at]]\nat = \"1s\"\nwhat = \"kill\"\ningress = 9\n";
    let bad = write(
        dir.path(),
        "bad.toml",
        &(calm().replace("lasts = \"4s\"", "lasts = \"-4s\"")),
    );
    let aimed = write(dir.path(), "aimed.toml", &(calm() + rows));
    let output = run(&["fleet", "run", &good, &bad, &aimed]);
    let text = told(&output);
    assert_eq!(output.status.code(), Some(2), "{text}");
    assert!(
        text.contains("a time is not negative") && text.contains("bad.toml:4:9"),
        "{text}"
    );
    assert!(
        text.contains("there is no ingress 9: they are numbered from 0 to 2"),
        "{text}"
    );
    assert!(
        !text.contains("held"),
        "all files are looked at before any is played: {text}"
    );
    let output = run(&["fleet", "run", "/nowhere.toml"]);
    assert_eq!(output.status.code(), Some(2));
    assert!(
        told(&output).contains("cannot read it"),
        "{}",
        told(&output)
    );
}

#[test]
fn a_port_that_is_taken_is_told_and_no_process_is_left() {
    let taken = TcpListener::bind("127.0.0.1:0").unwrap();
    let port = taken.local_addr().unwrap().port().min(65_000);
    let dir = tempfile::tempdir().unwrap();
    let text = calm().replace("count = 3\n", &format!("count = 3\nport = {port}\n"));
    let file = write(dir.path(), "taken.toml", &text);
    let output = run(&["fleet", "run", &file]);
    assert_eq!(output.status.code(), Some(2), "{}", told(&output));
    assert!(
        told(&output).contains(&format!("ingress 0 can't listen at 127.0.0.1:{port}")),
        "{}",
        told(&output)
    );
}

#[test]
fn a_program_that_is_not_there_or_does_not_start_is_told() {
    let file = scenarios().join("calm.toml").display().to_string();
    let output = run(&["fleet", "run", &file, "--program", "/nowhere/wrenfork"]);
    assert_eq!(output.status.code(), Some(2));
    assert!(
        told(&output).contains("there is no program at /nowhere/wrenfork"),
        "{}",
        told(&output)
    );
    let output = run(&["fleet", "run", &file, "--program", "/bin/false"]);
    assert_eq!(output.status.code(), Some(2));
    assert!(
        told(&output).contains("ended by itself"),
        "{}",
        told(&output)
    );
}

/// Guards against ingresses that outlive a run that was stopped by hand.
#[test]
fn an_interrupt_ends_a_run_with_its_summary_and_leaves_no_process() {
    let (mut child, ingresses) = started(&["fleet", "demo"], 2);
    std::thread::sleep(Duration::from_millis(300));
    let kill = format!("kill -INT {}", child.id());
    assert!(Command::new("/bin/sh")
        .args(["-c", &kill])
        .status()
        .unwrap()
        .success());
    let mut text = String::new();
    child
        .stdout
        .take()
        .unwrap()
        .read_to_string(&mut text)
        .unwrap();
    let status = child.wait().unwrap();
    assert_eq!(status.code(), Some(0), "{text}");
    assert!(text.contains("verdict") && text.contains("demo"), "{text}");
    until("the ingresses have ended", || {
        !ingresses.iter().any(|id| runs(*id))
    });
}

/// Guards against ingresses that outlive a run that fails in its midst: a panic unwinds and ends them.
#[test]
fn a_reader_that_goes_away_leaves_no_process() {
    let (mut child, ingresses) = started(&["fleet", "demo", "--seconds", "20"], 2);
    drop(child.stdout.take()); // what it prints meets a closed pipe
    until("it ends", || child.try_wait().unwrap().is_some());
    until("the ingresses have ended", || {
        !ingresses.iter().any(|id| runs(*id))
    });
}

#[test]
fn a_run_that_holds_exits_with_0_and_writes_its_report() {
    let dir = tempfile::tempdir().unwrap();
    let file = write(
        dir.path(),
        "short.toml",
        &calm().replace("lasts = \"4s\"", "lasts = \"1s\""),
    );
    let report = dir.path().join("report.json");
    // A machine that holds the rig up has no verdict: asked again.
    let output = (0..5).map(|_| {
        run(&[
            "fleet",
            "run",
            &file,
            "--json",
            &report.display().to_string(),
        ])
    });
    let output = output
        .into_iter()
        .find(|o| o.status.code() != Some(2))
        .expect("a verdict");
    assert_eq!(output.status.code(), Some(0), "{}", told(&output));
    let text = std::fs::read_to_string(report).unwrap();
    let json: serde_json::Value = serde_json::from_str(&text).unwrap();
    assert_eq!(json[0]["verdict"], "held", "{text}");
    assert!(json[0]["served"].as_u64().unwrap() > 50, "{text}");
    assert!(
        !told(&output).contains('\x1b'),
        "NO_COLOR and no terminal: plain text"
    );
}
