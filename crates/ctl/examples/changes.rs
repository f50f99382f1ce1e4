//! Measures configuration changes with real processes. Results are in `docs/measurements/changes.md`.
//!
//!     cargo build --release && cargo run --release -p wrenctl --example changes

// Not done yet, see docs/ROADMAP.md.
#![allow(clippy::too_many_lines)]

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};
use wrenfork_testbed::service_fixture::{
    command, free_address, list, serve, until, Backend, Client, Ingress,
};

fn program(name: &str) -> PathBuf {
    let own = std::env::current_exe().expect("path of this executable");
    own.parent()
        .and_then(Path::parent)
        .expect("the build output folder")
        .join(name)
}

/// Peak resident memory of a process, in MiB.
fn peak_memory(id: u32) -> Option<f64> {
    let status = fs::read_to_string(format!("/proc/{id}/status")).ok()?;
    let line = status.lines().find(|l| l.starts_with("VmHWM"))?;
    line.split_whitespace()
        .nth(1)?
        .parse::<f64>()
        .ok()
        .map(|kb| kb / 1024.0)
}

/// Writes an application file with one sidecar per address.
fn write_application(
    folder: &Path,
    at: &[SocketAddr],
    peers: &[SocketAddr],
    accounts: usize,
    quota: &str,
) {
    let mut text =
        "version = 1\nkind = \"application\"\nname = \"desk\"\nsite = \"bangna\"\nsends = [\"quote\"]\n"
            .to_string();
    text += "[limits]\nmemory = \"192MiB\"\n";
    for (n, (at, peers)) in at.iter().zip(peers).enumerate() {
        text += &format!(
            "[[sidecar]]\nname = \"d{n}\"\nlisten = \"{at}\"\ndiscovery = \"127.0.0.1:1\"\npeers = \"{peers}\"\n\
             control = \"{0}/run-{n}\"\nstate = \"{0}/state-{n}\"\n",
            folder.display()
        );
    }
    for n in 0..accounts {
        text += &format!("[[account]]\nid = \"{n:016x}\"\nplan = \"starter\"\n");
        if n == 7 {
            text += &format!("quota = \"{quota}\"\nburst = 2000\n");
        }
    }
    fs::write(folder.join("files/desk.toml"), text).expect("write the application file");
}

struct Site {
    folder: tempfile::TempDir,
    at: Vec<SocketAddr>,
    peers: Vec<SocketAddr>,
    ingresses: Vec<Ingress>,
    accounts: usize,
}

impl Site {
    fn start(sidecars: usize, accounts: usize, backends: &[Backend]) -> Site {
        let folder = tempfile::tempdir().expect("create a folder");
        fs::create_dir(folder.path().join("files")).expect("create a folder");
        let site = include_str!("../../config/tests/good/site.toml");
        fs::write(folder.path().join("files/site.toml"), site).expect("write the site file");
        let entries: Vec<String> = backends
            .iter()
            .enumerate()
            .map(|(n, b)| b.entry(&format!("s-{n}"), "up"))
            .collect();
        fs::write(folder.path().join("fleet.json"), list(1, true, &entries))
            .expect("write the endpoint list");
        let (at, peers): (Vec<_>, Vec<_>) = (0..sidecars)
            .map(|_| (free_address(), free_address()))
            .unzip();
        let mut site = Site {
            folder,
            at,
            peers,
            ingresses: Vec::new(),
            accounts,
        };
        site.set_quota("900/s");
        for n in 0..sidecars {
            let base = site.folder.path().display().to_string();
            let line = format!(
                "exec '{}' --app {base}/files/desk.toml --fleet {base}/fleet.json --sidecar d{n}",
                program("wrenfork").display()
            );
            let ingress = Ingress::run("", site.at[n], &line);
            let at = site.at[n];
            until("the sidecar is ready", || {
                std::net::TcpStream::connect(at)
                    .is_ok_and(|s| Client(s).ask(&command(&["PING"])) == "+PONG")
            });
            site.ingresses.push(ingress);
        }
        site
    }

    fn set_quota(&self, quota: &str) {
        write_application(
            self.folder.path(),
            &self.at,
            &self.peers,
            self.accounts,
            quota,
        );
    }

    /// Runs `wrenctl`. Returns its duration, its peak memory in MiB, and the last line of its output.
    fn wrenctl(&self, args: &[&str]) -> (Duration, f64, String) {
        let (start, mut peak) = (Instant::now(), 0.0f64);
        let mut command = Command::new(program("wrenctl"));
        command
            .args(args)
            .current_dir(self.folder.path())
            .stdin(Stdio::null())
            .stdout(Stdio::piped());
        let mut child = command.spawn().expect("run wrenctl");
        while child.try_wait().expect("run wrenctl").is_none() {
            peak = peak.max(peak_memory(child.id()).unwrap_or(0.0));
            thread::sleep(Duration::from_millis(2));
        }
        let out = child.wait_with_output().expect("run wrenctl");
        let last_line = String::from_utf8_lossy(&out.stdout)
            .lines()
            .last()
            .unwrap_or("")
            .to_string();
        (start.elapsed(), peak, last_line)
    }
}

fn measure_sizes() {
    println!("| accounts | ingresses | plan | memory of plan | size of plan | apply | memory of an ingress, before and after the change | output |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    for (accounts, sidecars) in [(1_000, 3), (100_000, 20)] {
        let site = Site::start(sidecars, accounts, &[]);
        let peak = |site: &Site| {
            site.ingresses
                .iter()
                .filter_map(|i| peak_memory(i.child.id()))
                .fold(0.0, f64::max)
        };
        let memory_before = peak(&site);
        site.set_quota("800/s");
        let (plan, memory, _) = site.wrenctl(&["plan", "files", "--out", "change.plan"]);
        let size = fs::metadata(site.folder.path().join("change.plan")).map_or(0, |m| m.len());
        let (apply, _, last_line) = site.wrenctl(&["apply", "change.plan", "--yes"]);
        let memory_after = peak(&site);
        println!(
            "| {accounts} | {sidecars} | {:.2} s | {memory:.0} MB | {:.2} MB | {:.2} s | {memory_before:.0} and {memory_after:.0} MB | {last_line} |",
            plan.as_secs_f64(),
            size as f64 / 1e6,
            apply.as_secs_f64()
        );
    }
}

/// A quantile of latencies in microseconds; sorts them.
fn quantile(times: &mut [u64], q: f64) -> u64 {
    times.sort_unstable();
    times
        .get(((times.len() as f64 * q) as usize).min(times.len().saturating_sub(1)))
        .copied()
        .unwrap_or(0)
}

fn measure_latency() {
    println!("\n| accounts | second | requests | p50 | p99 | longest | CPU of the ingress |");
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    for accounts in [1_000, 100_000] {
        let backends: Vec<Backend> = (0..4).map(|_| Backend::start(serve)).collect();
        let site = Site::start(1, accounts, &backends);
        site.set_quota("800/s");
        site.wrenctl(&["plan", "files", "--out", "change.plan"]);
        let (stop, start) = (AtomicBool::new(false), Instant::now());
        let (times, cpu, at) = thread::scope(|scope| {
            let clients: Vec<_> = (0..8)
                .map(|c| {
                    let (to, stop) = (site.at[0], &stop);
                    scope.spawn(move || {
                        let (mut client, mut times) = (Client::connect(to), Vec::new());
                        for n in 0.. {
                            if stop.load(Ordering::Relaxed) {
                                break;
                            }
                            let options = "c=quote,t=starter,d=900,units=1,spread=1,first=0";
                            let (id, sent_at) = (format!("m{c}x{n}"), Instant::now());
                            client.ask(&command(&["CALL.GET", "0000000000000007", &id, options]));
                            times.push((
                                start.elapsed().as_secs_f64(),
                                sent_at.elapsed().as_micros() as u64,
                            ));
                            thread::sleep(Duration::from_millis(10));
                        }
                        times
                    })
                })
                .collect();
            thread::sleep(Duration::from_secs(3));
            let before = (start.elapsed().as_secs_f64(), site.ingresses[0].cpu());
            thread::sleep(Duration::from_secs(1));
            let at = (start.elapsed().as_secs_f64(), site.ingresses[0].cpu());
            let (elapsed, _, last_line) = site.wrenctl(&["apply", "change.plan", "--yes"]);
            eprintln!("apply took {elapsed:?}: {last_line}");
            thread::sleep(Duration::from_secs(1).saturating_sub(elapsed));
            let after = (start.elapsed().as_secs_f64(), site.ingresses[0].cpu());
            thread::sleep(Duration::from_secs(1));
            stop.store(true, Ordering::Relaxed);
            let times: Vec<(f64, u64)> = clients
                .into_iter()
                .flat_map(|c| c.join().expect("client thread panicked"))
                .collect();
            (
                times,
                (at.1 - before.1, after.1 - at.1),
                (before.0, at.0, after.0),
            )
        });
        for (name, from, to, cpu) in [
            ("before", at.0, at.1, cpu.0),
            ("of the switch", at.1, at.2, cpu.1),
        ] {
            let mut latencies: Vec<u64> = times
                .iter()
                .filter(|t| t.0 >= from && t.0 < to)
                .map(|t| t.1)
                .collect();
            let (p50, p99, peak) = (
                quantile(&mut latencies, 0.5),
                quantile(&mut latencies, 0.99),
                quantile(&mut latencies, 1.0),
            );
            println!(
                "| {accounts} | {name} | {} | {p50} us | {p99} us | {peak} us | {} ms |",
                latencies.len(),
                cpu * 10
            );
        }
    }
}

fn main() {
    measure_sizes();
    measure_latency();
}
