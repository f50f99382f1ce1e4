//! Runs what the checker accepts: random configuration files are generated and checked, and the built sidecar must
//! start from each accepted pair, answer PING and exit cleanly.

use proptest::prelude::{any, prop, Strategy};
use proptest::strategy::ValueTree;
use proptest::test_runner::{Config, RngSeed};
use std::fmt::Write;
use std::fs;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};
use wrenfork_config::set::Set;
use wrenfork_config::source::Source;
use wrenfork_testbed::service_fixture::{command, free_address, Client, Ingress};

#[derive(Clone, Debug)]
struct Class {
    effect: usize,
    wanted_ms: u64,
    deadline_ms: u64,
    worth: u32,
    units: u32,
}

#[derive(Clone, Debug)]
struct Plan {
    quota: u32,
    per: usize,
    burst: u32,
    ceiling: Option<u32>,
}

type Trial = Option<(usize, u32)>;

#[derive(Clone, Debug)]
struct GeneratedFiles {
    halls: usize,
    near: Vec<(usize, Vec<usize>)>,
    classes: Vec<Class>,
    plans: Vec<Plan>,
    limits: (u8, bool, bool, u32, u32, u32),
    cold: (u32, u32, u32),
    hall: usize,
    memory: u32,
    descriptors: u32,
    accounts: Vec<(usize, Option<u32>)>,
    pools: Vec<(Option<usize>, Option<u16>, Option<usize>)>,
    routes: Vec<(usize, usize, Trial)>,
}

fn class() -> impl Strategy<Value = Class> {
    let fields = (0usize..3, 1u64..3_000, 1u64..9_000, 0u32..9, 1u32..7);
    fields.prop_map(|(effect, wanted_ms, deadline_ms, worth, units)| Class {
        effect,
        wanted_ms,
        deadline_ms,
        worth,
        units,
    })
}

fn plan() -> impl Strategy<Value = Plan> {
    let ceiling = prop::option::of(1u32..20_000);
    let fields = (1u32..5_000, 0usize..3, 1u32..200, ceiling);
    fields.prop_map(|(quota, per, burst, ceiling)| Plan {
        quota,
        per,
        burst,
        ceiling,
    })
}

fn generated_files() -> impl Strategy<Value = GeneratedFiles> {
    let near = prop::collection::vec((0usize..6, prop::collection::vec(0usize..6, 1..5)), 0..2);
    let classes = prop::collection::vec(class(), 1..6);
    let plans = prop::collection::vec(plan(), 1..4);
    let site = (1usize..6, near, classes, plans);
    let limits = (
        1u8..6,
        any::<bool>(),
        any::<bool>(),
        1u32..50_000,
        1u32..5_000,
        1u32..60,
    );
    let cold = (1u32..100, 1u32..60, 1u32..9);
    let pool = (
        prop::option::of(0usize..6),
        prop::option::of(0u16..9),
        prop::option::of(0usize..5),
    );
    let trial = prop::option::of((0usize..5, 0u32..=100));
    let route = (0usize..6, 0usize..5, trial);
    let account = (0usize..4, prop::option::of(1u32..100));
    let app = (
        0usize..6,
        16u32..256,
        64u32..1_024,
        prop::collection::vec(account, 1..8),
        prop::collection::vec(pool, 0..5),
        prop::collection::vec(route, 0..4),
    );
    (site, limits, cold, app).prop_map(|(site, limits, cold, app)| GeneratedFiles {
        halls: site.0,
        near: site.1,
        classes: site.2,
        plans: site.3,
        limits,
        cold,
        hall: app.0,
        memory: app.1,
        descriptors: app.2,
        accounts: app.3,
        pools: app.4,
        routes: app.5,
    })
}

impl GeneratedFiles {
    fn site(&self) -> String {
        let halls: Vec<String> = (0..self.halls).map(|h| format!("\"h{h}\"")).collect();
        let mut text = format!(
            "version = 1\nkind = \"site\"\nname = \"s\"\nhalls = [{}]\n[limits]\nattempts = {}\nsecond-copies = {}\n\
             cancel = {}\nopen = {}\nconnect = \"{}ms\"\nkeepalive = \"{}s\"\n[rules]\ncold-from = {}\ncold = \"{}s\"\n\
             cold-factor = {}\n",
            halls.join(", "),
            self.limits.0,
            self.limits.1,
            self.limits.2,
            self.limits.3,
            self.limits.4,
            self.limits.5,
            f64::from(self.cold.0) / 100.0,
            self.cold.1,
            self.cold.2
        );
        for (hall, others) in &self.near {
            let others: Vec<String> = others.iter().map(|h| format!("\"h{h}\"")).collect();
            let _ = write!(
                text,
                "[[near]]\nhall = \"h{hall}\"\nothers = [{}]\n",
                others.join(", ")
            );
        }
        for (n, c) in self.classes.iter().enumerate() {
            let effect = ["safe", "keyed", "unsafe"][c.effect];
            let keyed = if c.effect == 1 {
                "group = \"group\"\nwindow = \"3s\"\n"
            } else {
                ""
            };
            let _ = write!(
                text,
                "[[class]]\nname = \"c{n}\"\neffect = \"{effect}\"\n{keyed}wanted = \"{}ms\"\ndeadline = \"{}ms\"\nworth = {}\n\
                 units = {}\n",
                c.wanted_ms, c.deadline_ms, c.worth, c.units
            );
        }
        for (n, p) in self.plans.iter().enumerate() {
            let per = ["s", "min", "h"][p.per];
            let _ = write!(
                text,
                "[[plan]]\nname = \"p{n}\"\nquota = \"{}/{per}\"\nburst = {}\n",
                p.quota, p.burst
            );
            if let Some(rate) = p.ceiling {
                let _ = writeln!(text, "never-over = \"{rate}/s\"");
            }
        }
        text
    }

    fn app(&self, at: SocketAddr) -> String {
        let sends: Vec<String> = (0..self.classes.len())
            .map(|n| format!("\"c{n}\""))
            .collect();
        let mut text = format!(
            "version = 1\nkind = \"application\"\nname = \"a\"\nsite = \"s\"\nsends = [{}]\n[limits]\nmemory = \"{}MiB\"\n\
             descriptors = {}\n[[sidecar]]\nname = \"one\"\nlisten = \"{at}\"\nhall = \"h{}\"\ndiscovery = \"127.0.0.1:1\"\n",
            sends.join(", "),
            self.memory,
            self.descriptors,
            self.hall
        );
        for (n, (plan, quota)) in self.accounts.iter().enumerate() {
            let _ = write!(text, "[[account]]\nid = \"{n:016x}\"\nplan = \"p{plan}\"\n");
            if let Some(quota) = quota {
                let _ = writeln!(text, "quota = \"{quota}/s\"");
            }
        }
        for (n, (hall, group, fallback)) in self.pools.iter().enumerate() {
            let _ = writeln!(text, "[[pool]]\nname = \"q{n}\"");
            text += &hall.map_or(String::new(), |h| format!("halls = [\"h{h}\"]\n"));
            text += &group.map_or(String::new(), |g| format!("groups = [{g}]\n"));
            text += &fallback.map_or(String::new(), |f| format!("fallback = \"q{f}\"\n"));
        }
        for (class, pool, trial) in &self.routes {
            let _ = write!(
                text,
                "[[route]]\nclass = \"c{class}\"\npool = \"q{pool}\"\n"
            );
            if let Some((trial, share)) = trial {
                let _ = write!(
                    text,
                    "trial = \"q{trial}\"\nshare = {}\n",
                    f64::from(*share) / 100.0
                );
            }
        }
        text
    }
}

/// Guards against files that the checker accepts but the sidecar cannot run. The bound on refused draws fails the test
/// if nearly all generated files are invalid.
#[test]
fn files_accepted_by_the_checker_start_the_sidecar() {
    let seed = RngSeed::Fixed(19);
    let config = Config {
        rng_seed: seed,
        failure_persistence: None,
        ..Config::default()
    };
    let mut runner = proptest::test_runner::TestRunner::new(config);
    let (folder, strategy) = (tempfile::tempdir().unwrap(), generated_files());
    let (mut valid, mut refused, mut with_pools) = (0, 0, 0);
    while valid < 24 || with_pools < 8 {
        assert!(
            refused < 5_000,
            "{valid} accepted ({with_pools} with pools), {refused} refused"
        );
        let files = strategy.new_tree(&mut runner).unwrap().current();
        let at = free_address();
        let (site, app): (String, String) = (files.site(), files.app(at));
        if Set::from_sources([
            Source::new("site.toml", &site),
            Source::new("app.toml", &app),
        ])
        .refused()
        {
            refused += 1;
            continue;
        }
        (valid, with_pools) = (valid + 1, with_pools + usize::from(!files.pools.is_empty()));
        if valid > 24 && files.pools.is_empty() {
            continue;
        }
        let write = |name: &str, text: &str| fs::write(folder.path().join(name), text).unwrap();
        write("site.toml", &site);
        write("app.toml", &app);
        let path = folder.path().display();
        let line = format!(
            "exec '{}' --app '{path}/app.toml'",
            env!("CARGO_BIN_EXE_wrenfork")
        );
        let mut ingress = Ingress::run("", at, &line);
        let start = Instant::now();
        let ready = loop {
            let pong =
                TcpStream::connect(at).is_ok_and(|s| Client(s).ask(&command(&["PING"])) == "+PONG");
            let gave_up = ingress.child.try_wait().unwrap().is_some()
                || start.elapsed() > Duration::from_secs(20);
            if pong || gave_up {
                break pong;
            }
            std::thread::sleep(Duration::from_millis(5));
        };
        if ready {
            ingress.signal("TERM");
            assert!(ingress.exit().success(), "{}\n{site}\n{app}", ingress.log());
        } else {
            let _ = ingress.child.kill();
            panic!("sidecar did not start: {}\n{site}\n{app}", ingress.log());
        }
    }
}
