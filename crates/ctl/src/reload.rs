//! `wrenctl reload`: has an ingress read its files again, and tells what became of it.

use crate::style;
use clap::Args;
use rustix::process::{kill_process, test_kill_process, Pid, Signal};
use serde::Deserialize;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{Duration, Instant};

/// What could not be done or read.
const FAILED: u8 = 2;
/// It has not said in time how it ended.
const UNANSWERED: u8 = 3;
/// Between two looks.
const LOOK: Duration = Duration::from_millis(10);

#[derive(Args)]
pub struct Options {
    /// The file that the ingress was given with --status
    #[arg(value_name = "FILE")]
    status: PathBuf,
    /// Waits until it has taken or refused the files: exit 0 taken, 1 refused, 3 not said in time
    #[arg(long)]
    wait: bool,
    /// For how long
    #[arg(long, value_name = "TIME", default_value = "10s", value_parser = crate::change::span)]
    patience: Duration,
}

#[derive(Deserialize)]
struct Status {
    process: i32,
    readings: u64,
    outcome: String,
    why: String,
}

fn read(path: &Path) -> Result<Status, String> {
    let told = |e: &dyn std::fmt::Display| format!("{}: {e}", path.display());
    let text = std::fs::read_to_string(path).map_err(|e| told(&e))?;
    serde_json::from_str(&text).map_err(|e| told(&format!("this is no ingress's status: {e}")))
}

fn run(options: &Options) -> Result<ExitCode, String> {
    let before = read(&options.status)?;
    let process = Pid::from_raw(before.process)
        .filter(|_| before.process > 1)
        .ok_or("it names no process")?;
    kill_process(process, Signal::HUP).map_err(|e| format!("process {}: {e}", before.process))?;
    if !options.wait {
        return Ok(ExitCode::SUCCESS);
    }
    let start = Instant::now();
    loop {
        let now = read(&options.status)?;
        if now.process != before.process {
            return Err("it was started anew meanwhile".into());
        }
        let read = now.readings > before.readings;
        match now.outcome.as_str() {
            "taken" if read => {
                anstream::println!("{} the files are enforced", style::good("taken:"));
                return Ok(ExitCode::SUCCESS);
            }
            "refused" if read => {
                anstream::eprintln!(
                    "{} {}; it goes on as before",
                    style::bad("refused:"),
                    now.why
                );
                return Ok(ExitCode::FAILURE);
            }
            _ => {}
        }
        test_kill_process(process).map_err(|e| format!("process {}: {e}", before.process))?;
        if start.elapsed() > options.patience {
            let why = match (read, now.outcome.as_str()) {
                (true, "waiting") => {
                    format!(
                        "it can't be read, and is read again until it can be: {}",
                        now.why
                    )
                }
                _ => "it has not read its files yet".into(),
            };
            anstream::eprintln!("{} {why}", style::doubtful("waiting:"));
            return Ok(ExitCode::from(UNANSWERED));
        }
        std::thread::sleep(LOOK);
    }
}

pub fn main(options: &Options) -> ExitCode {
    run(options).unwrap_or_else(|why| {
        anstream::eprintln!("{} {why}", style::bad("error:"));
        ExitCode::from(FAILED)
    })
}
