//! `wrenctl reload`: makes an ingress read its files again, and reports the result.

use crate::style;
use clap::Args;
use rustix::process::{kill_process, test_kill_process, Pid, Signal};
use serde::Deserialize;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{Duration, Instant};

/// Exit code if something could not be read or done.
const FAILED: u8 = 2;
/// Exit code if the ingress did not report a result in time.
const TIMED_OUT: u8 = 3;
/// Interval at which the status file is read.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

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
    let in_file = |e: &dyn std::fmt::Display| format!("{}: {e}", path.display());
    let text = std::fs::read_to_string(path).map_err(|e| in_file(&e))?;
    serde_json::from_str(&text)
        .map_err(|e| in_file(&format!("this is not the status file of an ingress: {e}")))
}

fn run(options: &Options) -> Result<ExitCode, String> {
    let before = read(&options.status)?;
    let pid = Pid::from_raw(before.process)
        .filter(|_| before.process > 1)
        .ok_or("the status file names no process")?;
    kill_process(pid, Signal::HUP).map_err(|e| format!("process {}: {e}", before.process))?;
    if !options.wait {
        return Ok(ExitCode::SUCCESS);
    }
    let start = Instant::now();
    loop {
        let now = read(&options.status)?;
        if now.process != before.process {
            return Err("the ingress was restarted in the meantime".into());
        }
        let read = now.readings > before.readings;
        match now.outcome.as_str() {
            "taken" if read => {
                anstream::println!("{} the files are enforced", style::good("taken:"));
                return Ok(ExitCode::SUCCESS);
            }
            "refused" if read => {
                anstream::eprintln!(
                    "{} {}; the previous configuration stays in force",
                    style::bad("refused:"),
                    now.why
                );
                return Ok(ExitCode::FAILURE);
            }
            _ => {}
        }
        test_kill_process(pid).map_err(|e| format!("process {}: {e}", before.process))?;
        if start.elapsed() > options.patience {
            let why = match (read, now.outcome.as_str()) {
                (true, "waiting") => {
                    format!(
                        "the configuration can't be read, and the ingress retries: {}",
                        now.why
                    )
                }
                _ => "the ingress has not read its files yet".into(),
            };
            anstream::eprintln!("{} {why}", style::doubtful("waiting:"));
            return Ok(ExitCode::from(TIMED_OUT));
        }
        std::thread::sleep(POLL_INTERVAL);
    }
}

pub fn main(options: &Options) -> ExitCode {
    run(options).unwrap_or_else(|why| {
        anstream::eprintln!("{} {why}", style::bad("error:"));
        ExitCode::from(FAILED)
    })
}
