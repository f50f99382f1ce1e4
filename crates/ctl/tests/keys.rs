//! `wrenctl keys`: private halves are their owner's alone, tokens hold for what they say, and a rotation that is not whole is told.

// Not done yet, see docs/ROADMAP.md.
#![allow(clippy::too_many_lines)]

use std::fs;
use std::os::unix::fs::PermissionsExt;
use std::path::Path;
use std::process::{Command, Output};
use std::time::{SystemTime, UNIX_EPOCH};
use wrenfork_identity::token::{format_time, verify};
use wrenfork_identity::trust::{parse_public_key, Issuer, Key, Trust};

fn run(args: &[&str]) -> (Option<i32>, String) {
    let Output {
        status,
        stdout,
        stderr,
    } = Command::new(env!("CARGO_BIN_EXE_wrenctl"))
        .args(args)
        .output()
        .unwrap();
    (
        status.code(),
        String::from_utf8([stdout, stderr].concat()).unwrap(),
    )
}

/// Guards against a private key that others can read and that is used all the same, and a token that no ingress takes.
#[test]
fn a_key_is_its_owners_alone_and_signs_what_the_other_half_takes() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("key");
    let path = file.to_str().unwrap();
    let (code, half) = run(&["keys", "new", path]);
    assert_eq!(code, Some(0), "{half}");
    assert_eq!(
        fs::metadata(&file).unwrap().permissions().mode() & 0o777,
        0o600
    );
    assert!(
        !half.contains(fs::read_to_string(&file).unwrap().trim()),
        "the private half was printed"
    );
    assert_eq!(
        run(&["keys", "new", path]).0,
        Some(2),
        "one that is there stays"
    );
    let args = [
        "keys",
        "token",
        "--key",
        path,
        "--kid",
        "desk/1",
        "--audience",
        "bangna",
        "--tenant",
        "broker",
        "--for",
        "10m",
        "--account",
        "0000000000000007",
        "--class",
        "quote",
    ];
    let (code, token) = run(&args);
    assert_eq!(code, Some(0), "{token}");
    let key = Key {
        name: "1".into(),
        public: parse_public_key(half.trim()).unwrap(),
        from: 0,
        until: None,
    };
    let issuers = vec![Issuer {
        name: "desk".into(),
        keys: vec![key],
    }];
    let trust = Trust {
        audience: "bangna".into(),
        issuers,
        ..Trust::default()
    };
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_secs();
    let claims = verify(token.trim().as_bytes(), &trust, now).unwrap();
    assert_eq!(
        (
            claims.tenant.as_str(),
            claims.accounts,
            claims.until - claims.from
        ),
        ("broker", Some(vec![7]), 600)
    );
    for (mode, works) in [(0o640, false), (0o602, false), (0o400, true)] {
        fs::set_permissions(&file, fs::Permissions::from_mode(mode)).unwrap();
        let (code, said) = run(&args);
        assert_eq!(code == Some(0), works, "{mode:o}: {said}");
    }
    fs::set_permissions(&file, fs::Permissions::from_mode(0o600)).unwrap();
    fs::write(&file, "no key").unwrap();
    let (code, said) = run(&args);
    assert!(
        code == Some(2) && said.contains("no private key") && !said.contains("no key\n"),
        "{said}"
    );
}

#[test]
fn status_tells_where_keys_stand_and_what_is_doubtful() {
    let folder = tempfile::tempdir().unwrap();
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_secs();
    let public = "d75a980182b10ab7d54bfed3c964073a0ee172f3daa62325af021a68f707511a";
    let status = |keys: &[(&str, String)]| {
        let mut text = "version = 1\nkind = \"ingress\"\n[identity]\naudience = \"b\"\n[[identity.issuer]]\nname = \"desk\"\n".to_string();
        for (name, more) in keys {
            text += &format!(
                "[[identity.issuer.key]]\nname = \"{name}\"\npublic = \"{public}\"\n{more}\n"
            );
        }
        text += "[[identity.tenant]]\nname = \"t\"\naccounts = [\"0000000000000007\"]\n";
        let file = folder.path().join("wrenfork.toml");
        fs::write(&file, text).unwrap();
        run(&["keys", "status", Path::new(&file).to_str().unwrap()])
    };
    let (until, from) = (
        |t: u64| format!("until = \"{}\"", format_time(t)),
        |t: u64| format!("from = \"{}\"", format_time(t)),
    );
    let (code, said) = status(&[("1", String::new())]);
    assert!(code == Some(0) && said.contains("used"), "{said}");
    // Half way: the new one is there and used, the old one leaves.
    let (code, said) = status(&[("1", until(now + 3_600)), ("2", String::new())]);
    assert!(code == Some(0) && said.contains("leaving"), "{said}");
    // The new one comes, and the old one ends before long: told early, though there will be no gap.
    let (code, said) = status(&[("1", until(now + 3_600)), ("2", from(now + 1_800))]);
    assert!(
        code == Some(1) && said.contains("coming") && said.contains("ends soon"),
        "{said}"
    );
    let (code, said) = status(&[("1", until(now + 3_600)), ("2", from(now + 7_200))]);
    assert!(
        code == Some(1) && said.contains("C409"),
        "a gap is refused: {said}"
    );
}

/// Guards against a rotation that leaves a time without a key, or loses what else stands in the file.
#[test]
fn a_rotation_lists_the_new_key_before_the_old_one_ends_and_keeps_the_rest_of_the_file() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("wrenfork.toml");
    let path = file.to_str().unwrap();
    let (old, new) = (
        "d75a980182b10ab7d54bfed3c964073a0ee172f3daa62325af021a68f707511a",
        "3d4017c3e843895a92b70aa74d1b7ebc9c982ccf2ec4968cc0cd55f12af4660c",
    );
    let text = format!(
        "# ours\nversion = 1\nkind = \"ingress\"\n\n[identity]\naudience = \"b\" # as ever\n\n[[identity.issuer]]\nname = \"desk\"\n\n\
         [[identity.issuer.key]]\nname = \"1\"\npublic = \"{old}\"\n\n[[identity.tenant]]\nname = \"t\"\n\
         accounts = [\"0000000000000007\"]\n"
    );
    fs::write(&file, &text).unwrap();
    let rotate = |issuer: &str, name: &str, public: &str| {
        run(&[
            "keys", "rotate", path, "--issuer", issuer, "--name", name, "--public", public,
        ])
    };
    for (issuer, name, public) in [("shop", "2", new), ("desk", "1", new), ("desk", "2", "12")] {
        let (code, said) = rotate(issuer, name, public);
        assert!(
            code == Some(2) && fs::read_to_string(&file).unwrap() == text,
            "{said}"
        );
    }
    let (code, said) = rotate("desk", "2", new);
    assert_eq!(code, Some(0), "{said}");
    let changed = fs::read_to_string(&file).unwrap();
    assert!(
        changed.starts_with("# ours\n") && changed.contains("# as ever") && changed.contains(new),
        "{changed}"
    );
    let (code, said) = run(&["config", "check", path]);
    assert_eq!(code, Some(0), "{said}");
    let (_, said) = run(&["keys", "status", path]);
    assert!(
        said.contains("leaving") && said.contains("coming") && !said.contains("has no key"),
        "{said}"
    );
    // And once more, before the first one has ended.
    assert_eq!(rotate("desk", "3", old).0, Some(0));
    assert_eq!(run(&["config", "check", path]).0, Some(0));
}
