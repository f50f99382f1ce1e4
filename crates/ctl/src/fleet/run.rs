//! `wrenctl fleet run`: plays scenarios one after the other and judges the results.

use super::{stop_flag, Programs};
use crate::style;
use anstream::{eprintln, println};
use clap::{Args, ValueEnum};
use indicatif::{ProgressBar, ProgressStyle};
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::atomic::Ordering;
use wrenfork_testbed::report::{Report, Verdict};
use wrenfork_testbed::rig::{self, Run};
use wrenfork_testbed::scenario::{Scenario, SECOND};

/// Maximum number of runs of a scenario; a run in which the rig was late is repeated.
const MAX_ATTEMPTS: u32 = 3;

#[derive(Args)]
pub struct Options {
    /// Scenario files
    #[arg(required = true, value_name = "FILE")]
    files: Vec<PathBuf>,
    #[command(flatten)]
    programs: Programs,
    /// Writes the reports as a JSON list
    #[arg(long, value_name = "FILE")]
    json: Option<PathBuf>,
    /// Draws arrivals, fates and faults anew
    #[arg(long)]
    seed: Option<u64>,
    /// Plays each file so many times
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u32).range(1..=1000))]
    times: u32,
    /// What is printed on standard output
    #[arg(long, value_enum, default_value_t = Format::Text)]
    format: Format,
    /// Prints all that each run counted, and the ingresses' logs where a rule was broken
    #[arg(long, short)]
    verbose: bool,
}

#[derive(Clone, Copy, PartialEq, Eq, ValueEnum)]
enum Format {
    /// Tables for people
    Text,
    /// The reports as a JSON list
    Json,
}

/// Column headings of the lines that `print` writes.
pub const HEADER: &str =
    "verdict   scenario                        goodput  worst 10 s  served  refused  failed  late p99  broken";

fn progress(s: &Scenario) -> ProgressBar {
    let bar = ProgressBar::new(s.lasts / SECOND);
    let template = "{prefix:28} [{bar:30}] {pos}/{len} s  {msg}";
    bar.set_style(
        ProgressStyle::with_template(template).unwrap_or_else(|_| ProgressStyle::default_bar()),
    );
    bar.set_prefix(s.name.clone());
    bar
}

pub fn main(options: &Options) -> ExitCode {
    let mut scenarios = Vec::new();
    let mut invalid = false;
    for file in &options.files {
        match Scenario::read(file) {
            Ok(mut scenario) => {
                scenario.seed = options.seed.unwrap_or(scenario.seed);
                scenarios.push(scenario);
            }
            Err(found) => {
                invalid = true;
                found.iter().for_each(|d| eprintln!("{d}\n"));
            }
        }
    }
    if invalid {
        return ExitCode::from(2); // report the errors of all files before any scenario is played
    }
    let (stop, program) = (stop_flag(), options.programs.ingress());
    let mut reports: Vec<Report> = Vec::new();
    let mut failed = false;
    let text = options.format == Format::Text;
    if text {
        println!("{}", style::head(HEADER));
    }
    'all: for scenario in scenarios
        .iter()
        .flat_map(|s| std::iter::repeat_n(s, options.times as usize))
    {
        for attempt in 1..=MAX_ATTEMPTS {
            let bar = progress(scenario);
            let mut watch = |s: &rig::Snapshot| {
                bar.set_position(s.at / SECOND);
                bar.set_message(s.log.clone());
            };
            let played = rig::play(
                scenario,
                Run {
                    program: &program,
                    stop: &stop,
                    watch: Some(&mut watch),
                },
            );
            bar.finish_and_clear();
            match played {
                Ok(report) => {
                    if text {
                        print(&report, options.verbose);
                    }
                    let late = report.verdict == Verdict::Late && !stop.load(Ordering::Relaxed);
                    if late && attempt < MAX_ATTEMPTS {
                        continue;
                    }
                    reports.push(report);
                }
                Err(e) => {
                    eprintln!("{} {}: {e}", style::bad("error:"), scenario.name);
                    failed = true;
                }
            }
            break;
        }
        if stop.load(Ordering::Relaxed) {
            eprintln!("stopped early");
            break 'all;
        }
    }
    if let Err(e) = write(&reports, options) {
        eprintln!("{} {e}", style::bad("error:"));
        failed = true;
    }
    let any_verdict = |v: Verdict| reports.iter().any(|r| r.verdict == v);
    if failed || any_verdict(Verdict::Late) {
        ExitCode::from(2)
    } else if any_verdict(Verdict::Broken) {
        ExitCode::from(1)
    } else {
        ExitCode::SUCCESS
    }
}

fn write(reports: &[Report], options: &Options) -> Result<(), String> {
    let json = serde_json::to_string_pretty(reports).map_err(|e| e.to_string())?;
    if options.format == Format::Json {
        println!("{json}");
    }
    match &options.json {
        Some(file) => std::fs::write(file, json + "\n")
            .map_err(|e| format!("cannot write {}: {e}", file.display())),
        None => Ok(()),
    }
}

/// Prints the result of a run; with `verbose`, also its counters and logs.
pub fn print(r: &Report, verbose: bool) {
    let verdict = match r.verdict {
        Verdict::Held => style::good("held    "),
        Verdict::Broken => style::bad("BROKEN  "),
        Verdict::Late => style::doubtful("rig late"),
    };
    let broken: Vec<String> = r
        .rules
        .iter()
        .filter(|c| c.broken > 0)
        .map(|c| format!("{} {}", c.rule.name(), c.broken))
        .collect();
    println!(
        "{verdict}  {:30}  {:7.3}  {:10.3}  {:6}  {:7}  {:6}  {:5.1} ms  {}",
        r.scenario,
        r.goodput,
        r.worst_10s,
        r.served,
        r.refused,
        r.failed,
        f64::from(r.rig.lateness.p99_us) / 1000.0,
        if broken.is_empty() {
            "-".to_string()
        } else {
            broken.join(", ")
        }
    );
    for v in r
        .violations
        .iter()
        .take(if verbose { usize::MAX } else { 5 })
    {
        println!(
            "    {} {:016x} at {:.3} s: {}",
            v.rule.name(),
            v.request,
            v.at as f64 / 1e6,
            v.what
        );
    }
    r.crashes.iter().for_each(|c| println!("    {c}"));
    if !verbose {
        return;
    }
    println!("    by second {}", style::bars(&r.seconds));
    let shares = |list: &[wrenfork_testbed::report::WorthShare]| {
        list.iter()
            .map(|p| format!("{} {:.3}", p.name, p.share))
            .collect::<Vec<_>>()
            .join(", ")
    };
    println!(
        "    classes: {}; plans: {}",
        shares(&r.classes),
        shares(&r.plans)
    );
    println!(
        "    {} asked in {:.1} s, {} attempts ({} for clients that had left), {} beyond quota, {} unreachable, {} crossed",
        r.asked,
        r.seconds_lasted(),
        r.attempts,
        r.attempts_for_nobody,
        r.sent_beyond,
        r.rig.unreachable,
        r.rig.crossed
    );
    println!(
        "    {:.1} us of CPU a request, spread over backends {:.3}, {} messages between peers",
        r.cpu_per_request_us, r.spread, r.rig.peer_messages
    );
    for (n, i) in r.ingresses.iter().enumerate() {
        println!(
            "    ingress {n}: {:.2} s of CPU, {} kB, {} descriptors",
            i.cpu_us as f64 / 1e6,
            i.memory_kb,
            i.descriptors
        );
    }
    r.log.iter().for_each(|l| println!("    {l}"));
    if r.verdict == Verdict::Broken {
        for (n, log) in r.ingress_logs.iter().enumerate() {
            log.lines().for_each(|l| println!("    ingress {n}: {l}"));
        }
    }
}
