//! `wrenctl fleet cost`: measures the CPU time per request of the ingress and of a bare relay, in alternating runs, and how
//! it grows with backends, accounts and ingresses. Takes minutes; needs an otherwise idle machine.

use super::{sibling_program, stop_flag, Programs};
use crate::style;
use anstream::{eprintln, println};
use clap::Args;
use indicatif::{ProgressBar, ProgressStyle};
use serde::Serialize;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, Ordering};
use wrenfork_testbed::report::{Report, MAX_P99_LATENESS_US};
use wrenfork_testbed::rig::{self, Run};
use wrenfork_testbed::scenario::Scenario;

/// Maximum seconds of a run. Runs with many accounts are long, so that most accounts send a request.
const MAX_SECONDS: u32 = 180;
/// Sizes with more accounts than this are measured once, in longer runs.
const MANY_ACCOUNTS: u32 = 10_000;

#[derive(Args)]
pub struct Options {
    #[command(flatten)]
    programs: Programs,
    /// The bare relay; by default the `wrenfork-relay` beside this program
    #[arg(long, value_name = "FILE")]
    relay: Option<PathBuf>,
    /// Pairs of runs at each size
    #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u32).range(1..=50))]
    rounds: u32,
    /// Requests a second. With few, most wake-ups carry one request, and the figure swings with how many share one
    #[arg(long, default_value_t = 5_000, value_parser = clap::value_parser!(u32).range(10..=20_000))]
    rate: u32,
    /// Seconds of each run
    #[arg(long, default_value_t = 10, value_parser = clap::value_parser!(u32).range(1..=600))]
    seconds: u32,
    /// Leaves out what takes minutes: hundreds of thousands of accounts
    #[arg(long)]
    short: bool,
    /// Writes the table as JSON
    #[arg(long, value_name = "FILE")]
    json: Option<PathBuf>,
}

#[derive(Clone, Copy, Serialize)]
struct Size {
    backends: u32,
    accounts: u32,
    ingresses: u32,
}

#[derive(Serialize)]
struct Row {
    #[serde(flatten)]
    size: Size,
    /// Median CPU time per request, in microseconds.
    ingress_us: f64,
    relay_us: f64,
    /// Median, minimum and maximum of the ratios of ingress to relay.
    ratio: [f64; 3],
    /// Median ratio of the ingress's CPU time per request to that at the first size, over the rounds.
    growth: f64,
    memory_kb: u64,
    spread: f64,
    goodput: f64,
}

/// The sizes to measure; one dimension grows at a time.
fn sizes(short: bool) -> Vec<Size> {
    let size = |backends, accounts, ingresses| Size {
        backends,
        accounts,
        ingresses,
    };
    let mut values = vec![
        size(10, 1_000, 1),
        size(100, 1_000, 1),
        size(1_000, 1_000, 1),
    ];
    values.extend([size(100, 1_000, 2), size(100, 1_000, 8)]);
    if !short {
        values.extend([size(10, 100_000, 1), size(10, 1_000_000, 1)]);
    }
    values
}

/// A scenario with idle backends and quotas that no client reaches.
fn scenario(size: Size, rate: u32, seconds: u32, round: u32) -> Result<Scenario, String> {
    let has_many_accounts = size.accounts > MANY_ACCOUNTS;
    // 1.5 times as long as one request per account takes.
    let seconds = if has_many_accounts {
        (size.accounts * 3 / 2 / rate).clamp(seconds, MAX_SECONDS)
    } else {
        seconds
    };
    let Size {
        backends,
        accounts,
        ingresses,
    } = size;
    let text = format!(
        r#"version = 1
about = "what a request costs"
seed = {round}
lasts = "{seconds}s"
[ingresses]
count = {ingresses}
memory_mb = 2048
descriptors = 8192
[clients]
rate = {rate}
accounts = {accounts}
retries = 0
[[class]]
name = "quote"
share = 0.6
work = "2ms"
aim = "400ms"
deadline = "1s"
worth = 2
effect = "safe"
[[class]]
name = "lender-referral"
share = 0.4
work = "4ms"
aim = "2s"
deadline = "8s"
worth = 3
effect = "unsafe"
[[plan]]
name = "business"
share = 1
rate = 50
burst = 10000
[[backends]]
count = {backends}
model = "m"
hall = "hall-a"
cores = 16
"#
    );
    Scenario::parse("cost", &text).map_err(|found| found[0].to_string())
}

struct Bench<'a> {
    ingress: &'a Path,
    relay: &'a Path,
    stop: &'a AtomicBool,
    rate: u32,
    seconds: u32,
    bar: ProgressBar,
}

impl Bench<'_> {
    /// Plays a scenario with a program; repeats a run in which the rig was late, up to five times.
    fn play(&self, program: &Path, size: Size, round: u32) -> Result<Report, String> {
        let scenario = scenario(size, self.rate, self.seconds, round)?;
        for _ in 0..5 {
            let played = rig::play(
                &scenario,
                Run {
                    program,
                    stop: self.stop,
                    watch: None,
                },
            );
            let report = played.map_err(|e| e.to_string())?;
            if self.stop.load(Ordering::Relaxed) {
                return Err("stopped early".into());
            }
            if report.rig.lateness.p99_us <= MAX_P99_LATENESS_US {
                return Ok(report);
            }
        }
        Err("the rig was late five times: the machine is too busy for a measurement".into())
    }

    /// Runs the ingress and then the relay at a size.
    fn pair(&self, size: Size, round: u32) -> Result<Pair, String> {
        let ingress = self.play(self.ingress, size, round)?;
        self.bar.inc(1);
        // The relay ignores accounts, so a run with few of them measures the same cost.
        let relay_size = Size {
            accounts: size.accounts.min(MANY_ACCOUNTS),
            ..size
        };
        let relay = self.play(self.relay, relay_size, round)?;
        self.bar.inc(1);
        Ok(Pair { ingress, relay })
    }
}

struct Pair {
    ingress: Report,
    relay: Report,
}

impl Pair {
    fn ratio(&self) -> f64 {
        self.ingress.cpu_per_request_us / self.relay.cpu_per_request_us.max(1e-9)
    }
}

/// Summarizes the pairs of a size; `first` are the pairs of the first size in the same rounds.
fn row(size: Size, pairs: &[Pair], first: &[Pair]) -> Row {
    let mut ratios: Vec<f64> = pairs.iter().map(Pair::ratio).collect();
    let growth = pairs.iter().zip(first);
    let mut growth: Vec<f64> = growth
        .map(|(p, f)| p.ingress.cpu_per_request_us / f.ingress.cpu_per_request_us)
        .collect();
    let mut ingress_us: Vec<f64> = pairs.iter().map(|p| p.ingress.cpu_per_request_us).collect();
    let mut relay_us: Vec<f64> = pairs.iter().map(|p| p.relay.cpu_per_request_us).collect();
    let memory = pairs
        .iter()
        .flat_map(|p| p.ingress.ingresses.iter().map(|i| i.memory_kb))
        .max();
    ratios.sort_by(f64::total_cmp);
    Row {
        size,
        ingress_us: median(&mut ingress_us),
        relay_us: median(&mut relay_us),
        ratio: [
            ratios[ratios.len() / 2],
            ratios[0],
            ratios[ratios.len() - 1],
        ],
        growth: median(&mut growth),
        memory_kb: memory.unwrap_or(0),
        spread: pairs[0].ingress.spread,
        goodput: pairs[0].ingress.goodput,
    }
}

fn median(values: &mut [f64]) -> f64 {
    values.sort_by(f64::total_cmp);
    values[values.len() / 2]
}

pub fn main(options: &Options) -> ExitCode {
    let (stop, ingress) = (stop_flag(), options.programs.ingress());
    let relay = options
        .relay
        .clone()
        .unwrap_or_else(|| sibling_program("wrenfork-relay"));
    let sizes = sizes(options.short);
    let runs = sizes.iter().map(|s| {
        if s.accounts > 10_000 {
            2
        } else {
            2 * u64::from(options.rounds)
        }
    });
    let bar = ProgressBar::new(runs.sum());
    let template = "measuring [{bar:30}] {pos}/{len} runs, {elapsed} gone";
    bar.set_style(
        ProgressStyle::with_template(template).unwrap_or_else(|_| ProgressStyle::default_bar()),
    );
    let (rate, seconds) = (options.rate, options.seconds);
    let bench = Bench {
        ingress: &ingress,
        relay: &relay,
        stop: &stop,
        rate,
        seconds,
        bar,
    };
    let mut pairs: Vec<Vec<Pair>> = sizes.iter().map(|_| Vec::new()).collect();
    for round in 0..options.rounds {
        // Alternate between the sizes, so that changes of the machine's speed affect all of them.
        for (size, pairs) in sizes.iter().zip(&mut pairs) {
            if size.accounts > MANY_ACCOUNTS && round > 0 {
                continue;
            }
            match bench.pair(*size, round) {
                Ok(pair) => pairs.push(pair),
                Err(e) => {
                    bench.bar.finish_and_clear();
                    eprintln!("{} {e}", style::bad("error:"));
                    return ExitCode::from(2);
                }
            }
        }
    }
    let rows: Vec<Row> = sizes
        .iter()
        .zip(&pairs)
        .map(|(s, p)| row(*s, p, &pairs[0]))
        .collect();
    bench.bar.finish_and_clear();
    let mut table = style::table(&[
        "backends",
        "accounts",
        "ingresses",
        "ingress us",
        "relay us",
        "ratio",
        "least",
        "most",
        "growth",
        "memory kB",
        "spread",
    ]);
    for r in &rows {
        let text = |n: u32| n.to_string();
        table.add_row(vec![
            text(r.size.backends),
            text(r.size.accounts),
            text(r.size.ingresses),
            format!("{:.1}", r.ingress_us),
            format!("{:.1}", r.relay_us),
            format!("{:.2}", r.ratio[0]),
            format!("{:.2}", r.ratio[1]),
            format!("{:.2}", r.ratio[2]),
            format!("{:.2}", r.growth),
            r.memory_kb.to_string(),
            format!("{:.3}", r.spread),
        ]);
    }
    println!("{table}");
    if let Some(file) = &options.json {
        let text = serde_json::to_string_pretty(&rows).unwrap_or_default() + "\n";
        if let Err(e) = std::fs::write(file, text) {
            eprintln!(
                "{} cannot write {}: {e}",
                style::bad("error:"),
                file.display()
            );
            return ExitCode::from(2);
        }
    }
    ExitCode::SUCCESS
}
