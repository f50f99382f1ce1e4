//! `wrenctl route` as people and their CI run it.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

fn good(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../config/tests/good")
        .join(name)
}

fn run(verb: &str, more: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_wrenctl"));
    command
        .args(["route", verb])
        .args(["site.toml", "desk.toml", "fleet.toml"].map(good))
        .args(more);
    command.env("NO_COLOR", "1").output().unwrap()
}

fn told(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned() + &String::from_utf8_lossy(&output.stderr)
}

#[test]
fn a_way_is_told_pool_by_pool() {
    let output = run(
        "explain",
        &["--account", "00000000000004d2", "--class", "quote"],
    );
    let text = told(&output);
    assert_eq!(output.status.code(), Some(0), "{text}");
    assert!(
        text.contains("pool fast") && text.contains("pool any (fallback)"),
        "{text}"
    );
    let output = run(
        "explain",
        &[
            "--account",
            "00000000000004d2",
            "--class",
            "quote",
            "--format",
            "json",
        ],
    );
    let told: serde_json::Value = serde_json::from_slice(&output.stdout).unwrap();
    assert_eq!(told["application"], "desk");
    assert!(told["tiers"].as_array().unwrap().len() >= 2);
}

#[test]
fn what_is_turned_away_is_told_with_its_reason() {
    for (account, class, why) in [
        ("00000000000004d9", "quote", "belongs to no application"),
        ("00000000000004d2", "lender-referral", "may not send"),
        ("00000000000004d2", "quotes", "no class"),
        ("4d2", "quote", "16 hex digits"),
    ] {
        let output = run("explain", &["--account", account, "--class", class]);
        assert!(
            output.status.code() == Some(2) && told(&output).contains(why),
            "{}",
            told(&output)
        );
    }
}

/// Guards against expectations that hold whatever the files say.
#[test]
fn expectations_hold_or_fail_with_what_is_so() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("cases.toml");
    let case = |name: &str, rest: &str| {
        format!("[[case]]\nname = \"{name}\"\naccount = \"00000000000004d2\"\nclass = \"quote\"\n{rest}\n")
    };
    let holds = |text: &str| {
        std::fs::write(&file, text).unwrap();
        let output = run("test", &["--cases", &file.display().to_string()]);
        (output.status.code(), told(&output))
    };
    let explained = run(
        "explain",
        &[
            "--account",
            "00000000000004d2",
            "--class",
            "quote",
            "--format",
            "json",
        ],
    );
    let way: serde_json::Value = serde_json::from_slice(&explained.stdout).unwrap();
    let tiers = way["tiers"].as_array().unwrap();
    let names: Vec<String> = tiers.iter().map(|t| t["pool"].to_string()).collect();
    let reached = tiers
        .iter()
        .flat_map(|t| t["nodes"].as_array().unwrap())
        .next()
        .unwrap()["name"]
        .clone();
    let right = format!("pools = [{}]", names.join(", "));
    let (code, text) = holds(&case("as it is", &right));
    assert_eq!(code, Some(0), "{text}");
    let (code, text) = holds(&(case("as it is", &right) + &case("wrong", "pools = [\"any\"]")));
    assert!(
        code == Some(1) && text.contains("fails wrong: it goes to") && text.contains("1 of 2"),
        "{text}"
    );
    let (code, text) = holds(&case("far from it", &format!("never = [{reached}]")));
    assert!(code == Some(1) && text.contains("it may reach"), "{text}");
    let (code, text) = holds(&case("turned away", "refused = true"));
    assert!(
        code == Some(1) && text.contains("not turned away"),
        "{text}"
    );
    let (code, text) = holds(&case("misspelt", "pool = [\"any\"]"));
    assert!(code == Some(2) && text.contains("pool"), "{text}");
}
