//! The ingress processes: started, limited, stopped, killed and measured from outside, without privileges.

use super::context::{Context, Due};
use super::group::Group;
use crate::scenario::{Ingresses, LinkFault, Micros, SECOND};
use rustix::process::{Pid, Signal};
use std::fs::{self, File};
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

/// How often the processor time of a throttled process is checked. It is stopped while it has used more than its share.
const THROTTLE_INTERVAL: Micros = 4_000;
/// How much processor time a throttled process may use beyond its share.
const CPU_ALLOWANCE: Micros = 8_000;
/// How long a graceful shutdown may take before the ingress is killed.
pub const STOP_TIMEOUT: Micros = 3_700_000;

/// A timer event of the processes.
pub enum ProcessDue {
    /// An ingress is started.
    Start { ingress: usize },
    /// A frozen ingress resumes.
    Resume { ingress: usize, life: u64 },
    /// The time for a graceful shutdown has passed.
    Overdue { ingress: usize, life: u64 },
    /// The processor time of a throttled ingress is checked.
    Throttle { ingress: usize, life: u64 },
    /// The throttling that began at `since` ends, unless a later one has replaced it.
    Unthrottle { ingress: usize, since: Micros },
    /// The resource usage of all processes is measured.
    Measure,
}

/// The resource usage of an ingress over all its processes.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    /// Processor time, in microseconds.
    pub cpu: Micros,
    /// The peak resident memory, in kilobytes.
    pub memory_kb: u64,
    /// The highest number of open descriptors measured.
    pub descriptors: usize,
}

struct Process {
    config: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    life: u64,
    /// A signal that ends the process has been sent.
    ending: bool,
    down: Option<Micros>,
    frozen: bool,
    /// The share of processor time, in cores.
    cores: f64,
    /// When the throttling began, and the processor time used until then.
    throttled: Option<(Micros, Micros)>,
    /// The process is stopped at the moment, as it has used more than its share.
    over_share: bool,
    ended_cpu: Micros,
    usage: Usage,
}

/// How a process has ended.
#[derive(Debug)]
pub enum Ended {
    /// The rig ended it: the ingress, and the delay until it is started again, if ever.
    Requested(usize, Option<Micros>),
    /// It ended by itself: the ingress, and the exit status.
    Crashed(usize, ExitStatus),
}

/// All ingress processes. Dropping the value kills them.
pub struct Processes {
    program: PathBuf,
    group: Option<Group>,
    limits: Ingresses,
    list: Vec<Process>,
    dir: PathBuf,
    first_core: usize,
    cores: usize,
}

fn pid(child: &Child) -> Option<Pid> {
    i32::try_from(child.id()).ok().and_then(Pid::from_raw)
}

impl Processes {
    /// Prepares the processes without starting them. Files of the ingresses go into `dir`.
    pub fn new(program: &Path, limits: &Ingresses, group: Option<Group>, dir: &Path) -> Self {
        let cores = std::thread::available_parallelism().map_or(1, usize::from);
        let list = (0..limits.count).map(|n| Process {
            config: dir.join(format!("ingress-{n}.json")),
            log: dir.join(format!("ingress-{n}.log")),
            child: None,
            life: 0,
            ending: false,
            down: None,
            frozen: false,
            cores: limits.cores,
            throttled: None,
            over_share: false,
            ended_cpu: 0,
            usage: Usage::default(),
        });
        Processes {
            program: program.to_path_buf(),
            group,
            limits: limits.clone(),
            list: list.collect(),
            dir: dir.to_path_buf(),
            // With three or more cores, the first one is reserved for the rig.
            first_core: usize::from(cores > 2),
            cores,
        }
    }

    /// Pins the calling thread, which runs the rig, to the reserved core, if there is one.
    pub fn pin_rig_thread(&self) {
        if self.first_core > 0 {
            let mut set = rustix::thread::CpuSet::new();
            set.set(0);
            let _ = rustix::thread::sched_setaffinity(None, &set);
        }
    }

    /// Writes the configuration of an ingress, and replaces the old file atomically.
    pub fn configure(&self, ingress: usize, text: &str) -> io::Result<()> {
        let new = self.dir.join(format!("ingress-{ingress}.new"));
        fs::write(&new, text)?;
        fs::rename(&new, &self.list[ingress].config)
    }

    /// Starts the process of an ingress, with its limits and core set.
    pub fn start(&mut self, ingress: usize, context: &mut Context) -> io::Result<()> {
        let (first, cores) = (self.first_core, self.cores);
        let p = &mut self.list[ingress];
        let log = File::options().create(true).append(true).open(&p.log)?;
        // The shell sets the limits and then runs the program by `exec`.
        let script = r#"ulimit -n "$1" && ulimit -v "$2" && shift 2 && exec "$@""#;
        let kilobytes = u64::from(self.limits.memory_mb) * 1024 + 64 * 1024;
        let mut command = Command::new("/bin/sh");
        command.args([
            "-c",
            script,
            "ingress",
            &self.limits.descriptors.to_string(),
            &kilobytes.to_string(),
        ]);
        command
            .arg(&self.program)
            .args(self.group.iter().flat_map(|g| g.arguments(ingress)));
        command.env("LB_CONFIG", &p.config);
        for name in ["LB_NAME", "LB_LISTEN", "LB_DISCOVERY"] {
            command.env_remove(name);
        }
        let child = command
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()?;
        if let (Some(pid), true) = (pid(&child), cores > 1) {
            let mut set = rustix::thread::CpuSet::new();
            set.set(first + ingress % (cores - first));
            let _ = rustix::thread::sched_setaffinity(Some(pid), &set);
        }
        (p.child, p.ending, p.frozen, p.over_share) = (Some(child), false, false, false);
        p.life += 1;
        p.throttled = None;
        let (cores, life) = (p.cores, p.life);
        if cores < 1.0 {
            p.throttled = Some((context.now, 0));
            context.after(
                THROTTLE_INTERVAL,
                Due::Process(ProcessDue::Throttle { ingress, life }),
            );
        }
        Ok(())
    }

    /// Sets the fault of the links from some ingresses to others; `None` restores them. Does nothing without a group.
    pub fn link(&self, from: &[usize], to: &[usize], fault: Option<LinkFault>) {
        self.group.iter().for_each(|g| g.fail(from, to, fault));
    }

    /// Whether the process of an ingress runs.
    pub fn is_running(&self, ingress: usize) -> bool {
        self.list[ingress].child.is_some()
    }

    /// The whole log of an ingress; empty if it cannot be read.
    pub fn log(&self, ingress: usize) -> String {
        fs::read_to_string(&self.list[ingress].log).unwrap_or_default()
    }

    fn send(&mut self, ingress: usize, signal: Signal) {
        if let Some(pid) = self.list[ingress].child.as_ref().and_then(pid) {
            let _ = rustix::process::kill_process(pid, signal);
        }
    }

    /// Kills an ingress; it is started again `down` after its end is noticed, or never.
    pub fn kill(&mut self, ingress: usize, down: Option<Micros>) {
        self.list[ingress].ending = true;
        self.list[ingress].down = down;
        self.measure(ingress);
        self.send(ingress, Signal::KILL);
    }

    /// Starts the graceful shutdown of an ingress; it is started again `down` after its end, or never.
    pub fn stop(&mut self, ingress: usize, down: Option<Micros>, context: &mut Context) {
        let p = &mut self.list[ingress];
        (p.ending, p.down) = (true, down);
        let life = p.life;
        self.send(ingress, Signal::TERM);
        context.after(
            STOP_TIMEOUT,
            Due::Process(ProcessDue::Overdue { ingress, life }),
        );
    }

    /// Makes an ingress reload its configuration.
    pub fn reload(&mut self, ingress: usize) {
        self.send(ingress, Signal::HUP);
    }

    /// Stops the process of an ingress for a time. Returns false if it does not run.
    pub fn freeze(&mut self, ingress: usize, lasts: Micros, context: &mut Context) -> bool {
        if self.list[ingress].child.is_none() {
            return false;
        }
        self.list[ingress].frozen = true;
        self.send(ingress, Signal::STOP);
        let life = self.list[ingress].life;
        context.after(lasts, Due::Process(ProcessDue::Resume { ingress, life }));
        true
    }

    /// Limits an ingress to a number of cores for a time.
    pub fn throttle(&mut self, ingress: usize, cores: f64, lasts: Micros, context: &mut Context) {
        let used = self.cpu(ingress);
        let p = &mut self.list[ingress];
        let newly_throttled = p.throttled.is_none();
        (p.cores, p.throttled) = (cores, Some((context.now, used)));
        let life = p.life;
        if newly_throttled {
            context.after(
                THROTTLE_INTERVAL,
                Due::Process(ProcessDue::Throttle { ingress, life }),
            );
        }
        context.after(
            lasts,
            Due::Process(ProcessDue::Unthrottle {
                ingress,
                since: context.now,
            }),
        );
    }

    /// The processor time of the current process of an ingress.
    fn cpu(&self, ingress: usize) -> Micros {
        let Some(child) = &self.list[ingress].child else {
            return 0;
        };
        let text =
            fs::read_to_string(format!("/proc/{}/schedstat", child.id())).unwrap_or_default();
        text.split_whitespace()
            .next()
            .and_then(|n| n.parse::<u64>().ok())
            .unwrap_or(0)
            / 1000
    }

    fn measure(&mut self, ingress: usize) {
        let cpu = self.cpu(ingress);
        let Some(child) = &self.list[ingress].child else {
            return;
        };
        let status = fs::read_to_string(format!("/proc/{}/status", child.id())).unwrap_or_default();
        let peak = status.lines().find_map(|l| l.strip_prefix("VmHWM:"));
        let peak = peak
            .and_then(|l| l.split_whitespace().next())
            .and_then(|n| n.parse::<u64>().ok());
        let descriptors =
            fs::read_dir(format!("/proc/{}/fd", child.id())).map_or(0, Iterator::count);
        let p = &mut self.list[ingress];
        p.usage.cpu = p.usage.cpu.max(p.ended_cpu + cpu);
        p.usage.memory_kb = p.usage.memory_kb.max(peak.unwrap_or(0));
        p.usage.descriptors = p.usage.descriptors.max(descriptors);
    }

    /// Measures and returns the resource usage of an ingress so far.
    pub fn usage(&mut self, ingress: usize) -> Usage {
        self.measure(ingress);
        self.list[ingress].usage
    }

    /// Collects the processes that have ended.
    pub fn reap(&mut self) -> Vec<Ended> {
        let mut ended = Vec::new();
        for (ingress, p) in self.list.iter_mut().enumerate() {
            let status = p.child.as_mut().and_then(|c| c.try_wait().ok().flatten());
            let Some(status) = status else { continue };
            p.child = None;
            p.ended_cpu = p.usage.cpu;
            let requested = p.ending;
            ended.push(if requested {
                Ended::Requested(ingress, p.down)
            } else {
                Ended::Crashed(ingress, status)
            });
        }
        ended
    }

    /// Handles a timer event. Returns true if a frozen ingress has resumed.
    pub fn handle_due(&mut self, due: ProcessDue, context: &mut Context) -> bool {
        match due {
            ProcessDue::Resume { ingress, life } => {
                let p = &mut self.list[ingress];
                if p.life != life || !std::mem::take(&mut p.frozen) {
                    return false;
                }
                self.send(ingress, Signal::CONT);
                return true;
            }
            ProcessDue::Overdue { ingress, life } => {
                if self.list[ingress].life == life && self.list[ingress].ending {
                    self.measure(ingress);
                    self.send(ingress, Signal::KILL);
                }
            }
            ProcessDue::Throttle { ingress, life } => {
                self.enforce_cpu_share(ingress, life, context)
            }
            ProcessDue::Unthrottle { ingress, since } => {
                let p = &mut self.list[ingress];
                if p.throttled.is_some_and(|t| t.0 == since) {
                    (p.cores, p.throttled) = (self.limits.cores, None);
                    if std::mem::take(&mut p.over_share) && !p.frozen {
                        self.send(ingress, Signal::CONT);
                    }
                }
            }
            ProcessDue::Measure => {
                (0..self.list.len()).for_each(|ingress| self.measure(ingress));
                context.after(SECOND / 4, Due::Process(ProcessDue::Measure));
            }
            ProcessDue::Start { .. } => {}
        }
        false
    }

    fn enforce_cpu_share(&mut self, ingress: usize, life: u64, context: &mut Context) {
        let used = self.cpu(ingress);
        let p = &mut self.list[ingress];
        let Some((since, used_before)) = p.throttled.filter(|_| p.life == life) else {
            return;
        };
        let allowed = ((context.now - since) as f64 * p.cores) as Micros + CPU_ALLOWANCE;
        let over = used.saturating_sub(used_before) > allowed;
        if over != p.over_share && !p.frozen {
            p.over_share = over;
            self.send(ingress, if over { Signal::STOP } else { Signal::CONT });
        }
        context.after(
            THROTTLE_INTERVAL,
            Due::Process(ProcessDue::Throttle { ingress, life }),
        );
    }

    /// Ends all processes: by a graceful shutdown, and after 1.5 seconds by a kill.
    pub fn end(&mut self) {
        for ingress in 0..self.list.len() {
            self.measure(ingress);
            self.send(ingress, Signal::CONT);
            self.send(ingress, Signal::TERM);
        }
        let start = Instant::now();
        while self.list.iter().any(|p| p.child.is_some())
            && start.elapsed() < Duration::from_millis(1500)
        {
            self.reap();
            std::thread::sleep(Duration::from_millis(10));
        }
        for p in &mut self.list {
            if let Some(mut child) = p.child.take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
    }
}

impl Drop for Processes {
    fn drop(&mut self) {
        for p in &mut self.list {
            if let Some(mut child) = p.child.take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
    }
}
