//! Measures the time and memory of checking many applications: `cargo run --release -p wrenfork-config --example
//! large`. An optional argument gives the number of applications, with 100 accounts each. Without it, 10, 100 and 1,000
//! applications are checked, each number in its own process.

use std::fmt::Write;
use std::process::Command;
use std::time::Instant;
use wrenfork_config::set::Set;
use wrenfork_config::source::Source;

/// Accounts of each application.
const ACCOUNTS: usize = 100;

fn site() -> String {
    let mut text =
        String::from("version = 1\nkind = \"site\"\nname = \"large\"\nhalls = [\"a\", \"b\"]\n");
    for (name, effect) in [("quote", "safe"), ("refer", "unsafe")] {
        let _ = write!(
            text,
            "[[class]]\nname = \"{name}\"\neffect = \"{effect}\"\nwanted = \"1s\"\ndeadline = \"2s\"\nworth = 1\n"
        );
    }
    for plan in ["starter", "business"] {
        let _ = write!(
            text,
            "[[plan]]\nname = \"{plan}\"\nquota = \"8/s\"\nburst = 16\nnever-over = \"16/s\"\n"
        );
    }
    text + "[[ceiling]]\nplan = \"business\"\nrate = \"1000000/s\"\n"
}

fn application(n: usize) -> String {
    let mut text = format!(
        "version = 1\nkind = \"application\"\nname = \"app-{n}\"\nsite = \"large\"\nsends = [\"quote\"]\n\
         [[sidecar]]\nname = \"one\"\nlisten = \"127.{}.{}.1:7600\"\ndiscovery = \"127.0.0.1:8500\"\n\
         [[pool]]\nname = \"fast\"\nmodels = [\"std\"]\nfallback = \"any\"\n[[pool]]\nname = \"any\"\n\
         [[route]]\nclass = \"quote\"\npool = \"fast\"\n",
        1 + n / 250,
        n % 250
    );
    for account in 0..ACCOUNTS {
        let (id, plan) = (
            n * ACCOUNTS + account + 1,
            if account % 2 == 0 {
                "starter"
            } else {
                "business"
            },
        );
        let _ = write!(
            text,
            "[[account]]\nid = \"{id:016x}\"\nplan = \"{plan}\"\nquota = \"6/s\"\n"
        );
    }
    text
}

/// Peak memory of this process, in kB.
fn peak_memory_kb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status
        .lines()
        .find_map(|l| l.strip_prefix("VmHWM:"))
        .unwrap_or("0");
    line.split_whitespace()
        .next()
        .and_then(|n| n.parse().ok())
        .unwrap_or(0)
}

fn main() {
    if let Some(count) = std::env::args()
        .nth(1)
        .and_then(|n| n.parse::<usize>().ok())
    {
        let apps = (0..count).map(|n| Source::new(format!("app-{n}.toml"), application(n)));
        let sources: Vec<Source> = std::iter::once(Source::new("site.toml", site()))
            .chain(apps)
            .collect();
        let bytes: usize = sources.iter().map(|s| s.text.len()).sum();
        let (before, start) = (peak_memory_kb(), Instant::now());
        let set = Set::from_sources(sources);
        let elapsed = start.elapsed();
        assert!(set.found.is_empty(), "{}", set.found[0].line(&set.sources));
        println!(
            "| {count} | {} | {} | {:.1} | {} | {before} |",
            count * ACCOUNTS,
            bytes / 1024,
            elapsed.as_secs_f64() * 1000.0,
            peak_memory_kb()
        );
        return;
    }
    println!("| applications | accounts | kB of text | ms | most memory kB | before kB |\n| --- | --- | --- | --- | --- | --- |");
    let program = std::env::current_exe().expect("the path of the running program is known");
    for count in ["10", "100", "1000"] {
        let ran = Command::new(&program).arg(count).status();
        assert!(
            ran.is_ok_and(|s| s.success()),
            "the check of {count} applications failed"
        );
    }
}
