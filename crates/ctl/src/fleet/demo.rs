//! `wrenctl fleet demo`: shows a running fleet. On a terminal as a table that is redrawn, elsewhere as a line per second.

use super::{run, stop_flag, Programs};
use crate::style;
use anstream::{eprintln, print, println};
use clap::Args;
use std::io::{IsTerminal, Write};
use std::path::Path;
use std::process::ExitCode;
use std::sync::atomic::Ordering;
use wrenfork_testbed::judge::Rule;
use wrenfork_testbed::report::Verdict;
use wrenfork_testbed::rig::{self, Run, Snapshot};
use wrenfork_testbed::scenario::{Micros, Scenario, SECOND};

/// Maximum duration in seconds, and the duration without `--seconds`.
const MAX_SECONDS: u64 = 3600;
/// The scenario's steps are repeated at this interval.
const ROUND_LENGTH: Micros = 25 * SECOND;

#[derive(Args)]
pub struct Options {
    /// Ends after so many seconds; without, Ctrl-C ends it
    #[arg(long, value_parser = clap::value_parser!(u64).range(1..=MAX_SECONDS))]
    seconds: Option<u64>,
    #[command(flatten)]
    programs: Programs,
}

fn scenario(seconds: u64) -> Result<Scenario, String> {
    let parsed = Scenario::parse("demo.toml", wrenfork_testbed::scenario::DEMO);
    let mut scenario = parsed.map_err(|found| found[0].to_string())?;
    scenario.lasts = seconds * SECOND;
    let rounds = scenario.lasts / ROUND_LENGTH;
    let steps = scenario.steps.clone();
    for round in 1..=rounds {
        scenario.steps.extend(steps.iter().cloned().map(|mut step| {
            step.at += round * ROUND_LENGTH;
            step
        }));
    }
    Ok(scenario)
}

pub fn main(options: &Options) -> ExitCode {
    let scenario = match scenario(options.seconds.unwrap_or(MAX_SECONDS)) {
        Ok(scenario) => scenario,
        Err(e) => {
            eprintln!("{e}");
            return ExitCode::from(2);
        }
    };
    let (stop, program) = (stop_flag(), options.programs.ingress());
    let mut screen = Screen::new();
    let mut watch = |s: &Snapshot| screen.update(s);
    let program: &Path = &program;
    match rig::play(
        &scenario,
        Run {
            program,
            stop: &stop,
            watch: Some(&mut watch),
        },
    ) {
        Err(e) => {
            eprintln!("{} {e}", style::bad("error:"));
            ExitCode::from(2)
        }
        Ok(report) => {
            println!("\n{}", style::head(run::HEADER));
            run::print(&report, true);
            match report.verdict {
                Verdict::Held => ExitCode::SUCCESS,
                Verdict::Broken => ExitCode::from(1),
                // A demo that was stopped by hand is a success, even if the rig was late.
                Verdict::Late if stop.load(Ordering::Relaxed) => ExitCode::SUCCESS,
                Verdict::Late => ExitCode::from(2),
            }
        }
    }
}

struct Screen {
    live: bool,
    lines: usize,
    last: Option<Snapshot>,
}

impl Screen {
    fn new() -> Self {
        Screen {
            live: std::io::stdout().is_terminal(),
            lines: 0,
            last: None,
        }
    }

    fn update(&mut self, s: &Snapshot) {
        let second = s.at / SECOND;
        if !self.live && self.last.as_ref().is_some_and(|l| l.at / SECOND == second) {
            return;
        }
        let before = self.last.as_ref();
        let span = before.map_or(SECOND, |l| (s.at - l.at).max(1)) as f64 / SECOND as f64;
        let rate = |now: u64, then: Option<u64>| (now - then.unwrap_or(0).min(now)) as f64 / span;
        let served = rate(s.served, before.map(|l| l.served));
        let refused = rate(s.refused, before.map(|l| l.refused));
        let failed = rate(s.failed, before.map(|l| l.failed));
        if self.live {
            self.draw(s, served, refused, failed);
        } else {
            let up =
                |list: &[bool]| format!("{}/{}", list.iter().filter(|u| **u).count(), list.len());
            let ingresses: Vec<bool> = s.ingresses.iter().map(|i| i.1).collect();
            let broken: u64 = s.broken.iter().sum();
            println!(
                "{:5} s  served {served:5.0}/s  refused {refused:4.0}/s  failed {failed:3.0}/s  rung {}  ingresses {}  backends {}  {}  {}",
                second,
                s.rungs.iter().max().unwrap_or(&0),
                up(&ingresses),
                up(&s.backends),
                if broken == 0 { "rules hold".into() } else { format!("rules broken {broken} times") },
                s.log
            );
        }
        self.last = Some(s.clone());
    }

    fn draw(&mut self, s: &Snapshot, served: f64, refused: f64, failed: f64) {
        let mut table = style::table(&["", "now", "in all"]);
        table.add_row(vec![
            "served".into(),
            format!("{served:.0} /s"),
            s.served.to_string(),
        ]);
        table.add_row(vec![
            "refused".into(),
            format!("{refused:.0} /s"),
            s.refused.to_string(),
        ]);
        table.add_row(vec![
            "failed".into(),
            format!("{failed:.0} /s"),
            s.failed.to_string(),
        ]);
        table.add_row(vec!["waiting".into(), s.waiting.to_string(), String::new()]);
        let label = |up: bool| {
            if up {
                style::good("up")
            } else {
                style::bad("down")
            }
        };
        let mut text = format!(
            "{}\n{table}\n\n",
            style::head(format!("{:.0} s", s.at as f64 / SECOND as f64))
        );
        for (n, ((_, ready), rung)) in s.ingresses.iter().zip(&s.rungs).enumerate() {
            text += &format!("  ingress {n}  {}  rung {rung}\n", label(*ready));
        }
        let backends: Vec<String> = s
            .backends
            .iter()
            .enumerate()
            .map(|(n, up)| format!("{n} {}", label(*up)))
            .collect();
        text += &format!("  backends   {}\n", backends.join("  "));
        let rules = Rule::ALL
            .iter()
            .zip(s.broken)
            .map(|(rule, broken)| match broken {
                0 => style::good(format!("{} holds", rule.name())),
                n => style::bad(format!("{} broken {n} times", rule.name())),
            });
        text += &format!("  rules      {}\n", rules.collect::<Vec<_>>().join("  "));
        text += &format!("  last event {}\n", s.log);
        // Move the cursor to the first line, then overwrite each line.
        if self.lines > 0 {
            print!("\x1b[{}A", self.lines);
        }
        for line in text.lines() {
            print!("\x1b[2K{line}\n");
        }
        self.lines = text.lines().count();
        let _ = std::io::stdout().flush();
    }
}
