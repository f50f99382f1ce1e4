//! A backend as a model, without sockets: cores, a queue, warming up, falling over, load reports.

use crate::scenario::{BackendSet, Micros, SECOND};
use std::collections::VecDeque;

/// The part of its capacity with which a backend starts, how long it takes to be warm, and how much of its present
/// capacity it bears for how long: the rule on cold backends.
#[derive(Clone, Copy, Debug)]
pub struct ColdRule {
    /// Capacity at the start, as a share.
    pub from: f64,
    /// Until it is warm.
    pub warm_in: Micros,
    /// It falls over when sent more than this multiple of what it can do ...
    pub factor: f64,
    /// ... over this time.
    pub over: Micros,
}

/// The figures of the platform's rule.
pub const COLD: ColdRule = ColdRule {
    from: 0.28,
    warm_in: 16 * SECOND,
    factor: 4.0,
    over: SECOND,
};

/// What a backend can do now, as a share of what it can do when warm.
pub fn warmth(started: Micros, now: Micros) -> f64 {
    let age = now.saturating_sub(started);
    if started == 0 || age >= COLD.warm_in {
        1.0
    } else {
        COLD.from + (1.0 - COLD.from) * age as f64 / COLD.warm_in as f64
    }
}

/// A request that a backend works on, by the rig's number for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Job {
    /// The rig's number.
    pub key: u64,
    /// Microseconds on a core of speed 1.
    pub work: Micros,
}

/// What becomes of a request that comes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Taken {
    /// It is begun, and done at that time.
    Begun(Micros),
    /// It waits for a core.
    Waits,
    /// The queue is full.
    TurnedAway,
}

/// A backend's process.
#[derive(Debug)]
pub struct Machine {
    cores: usize,
    speed: f64,
    most_waiting: usize,
    /// When it started, in Unix time; 0 for long ago.
    pub started: Micros,
    running: usize,
    waiting: VecDeque<Job>,
    /// The part of the machine that another program takes.
    pub taken: f64,
    /// Pushed over while cold: it stays down.
    pub fallen: bool,
    /// What came lately while it was cold, in microseconds of work.
    recent: VecDeque<(Micros, Micros)>,
    /// Core time spent, and what the next report tells.
    busy: f64,
    counted: Micros,
    report: (Micros, f64, f64),
}

impl Machine {
    /// A new process on a machine of a set.
    pub fn new(set: &BackendSet, started: Micros, now: Micros) -> Self {
        Machine {
            cores: set.cores as usize,
            speed: set.speed,
            most_waiting: set.queue as usize,
            started,
            running: 0,
            waiting: VecDeque::new(),
            taken: 0.0,
            fallen: false,
            recent: VecDeque::new(),
            busy: 0.0,
            counted: now,
            report: (now, 0.0, 0.0),
        }
    }

    /// Microseconds of work that it can do in a second, warm.
    pub fn capacity(set: &BackendSet) -> f64 {
        f64::from(set.cores) * set.speed * SECOND as f64
    }

    fn lasts(&self, work: Micros, now: Micros) -> Micros {
        let speed = self.speed * warmth(self.started, now) * (1.0 - self.taken);
        (work as f64 / speed.max(1e-3)) as Micros
    }

    fn count(&mut self, now: Micros) {
        self.busy += self.running as f64 * now.saturating_sub(self.counted) as f64;
        self.counted = now;
    }

    /// Work reaches it; whether it bears that, as long as it is cold.
    pub fn bears(&mut self, now: Micros, work: Micros) -> bool {
        let warm = warmth(self.started, now);
        if warm >= 1.0 {
            self.recent.clear();
            return true;
        }
        self.recent.push_back((now, work));
        while self.recent.front().is_some_and(|r| r.0 + COLD.over <= now) {
            self.recent.pop_front();
        }
        let sent: f64 = self.recent.iter().map(|r| r.1 as f64).sum();
        let can = self.cores as f64 * self.speed * warm * COLD.over as f64;
        // One request more than the rule's budget: whose last one tips it is chance.
        self.fallen |= sent > COLD.factor * can + work as f64;
        !self.fallen
    }

    /// Offers it a request.
    pub fn offer(&mut self, now: Micros, job: Job) -> Taken {
        self.count(now);
        if self.running < self.cores {
            self.running += 1;
            Taken::Begun(now + self.lasts(job.work, now))
        } else if self.waiting.len() < self.most_waiting {
            self.waiting.push_back(job);
            Taken::Waits
        } else {
            Taken::TurnedAway
        }
    }

    /// A core is free again: the next that waits, and when it will be done.
    pub fn done(&mut self, now: Micros) -> Option<(Job, Micros)> {
        self.count(now);
        self.running = self.running.saturating_sub(1);
        let job = self.waiting.pop_front()?;
        self.running += 1;
        Some((job, now + self.lasts(job.work, now)))
    }

    /// Drops a request that nobody waits for any more, if it has not begun.
    pub fn drop_waiting(&mut self, key: u64) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|j| j.key != key);
        self.waiting.len() < before
    }

    /// The share of its cores in use, as it reports it: refreshed every `period`.
    pub fn util(&mut self, now: Micros, period: Micros) -> f64 {
        self.count(now);
        let (at, busy, util) = self.report;
        if now >= at + period {
            let span = (now - at) as f64 * self.cores as f64;
            let own = ((self.busy - busy) / span.max(1.0)).clamp(0.0, 1.0);
            self.report = (now, self.busy, (own + self.taken).min(1.0));
            return self.report.2;
        }
        util
    }

    /// Requests that wait for a core.
    pub fn queue(&self) -> usize {
        self.waiting.len()
    }

    /// Requests in work and waiting.
    pub fn held(&self) -> usize {
        self.running + self.waiting.len()
    }
}

#[cfg(test)]
mod tests {
    use super::{BackendSet, Job, Machine, Micros, Taken, SECOND};

    fn set() -> BackendSet {
        BackendSet {
            count: 1,
            model: "m".into(),
            hall: 0,
            cores: 2,
            speed: 0.5,
            queue: 1,
            pod: 1,
            cold: false,
            listed: true,
            runs_on: false,
        }
    }

    #[test]
    fn cores_then_the_queue_then_turned_away() {
        let mut m = Machine::new(&set(), 0, 0);
        let job = |key| Job { key, work: 50_000 };
        assert_eq!(
            m.offer(0, job(1)),
            Taken::Begun(100_000),
            "half the speed takes twice the time"
        );
        assert_eq!(m.offer(0, job(2)), Taken::Begun(100_000));
        assert_eq!(
            (m.offer(0, job(3)), m.offer(0, job(4))),
            (Taken::Waits, Taken::TurnedAway)
        );
        assert_eq!(m.done(100_000), Some((job(3), 200_000)));
        assert_eq!(
            (m.done(100_000), m.done(200_000), m.held()),
            (None, None, 0)
        );
        assert!(
            (m.util(200_000, 1) - 0.75).abs() < 0.01,
            "two cores, then one"
        );
    }

    #[test]
    fn what_waits_can_be_dropped_and_what_runs_cannot() {
        let mut m = Machine::new(&set(), 0, 0);
        for key in 1..=3 {
            m.offer(0, Job { key, work: 10 });
        }
        assert!(m.drop_waiting(3) && !m.drop_waiting(1));
        assert_eq!(m.done(20), None);
    }

    /// The rule: more than four times what it can do at that moment, for a second.
    #[test]
    fn a_cold_backend_falls_over_and_a_warm_one_never() {
        let flood = |started: Micros| {
            let mut m = Machine::new(&set(), started, started);
            (0..60).all(|n| m.bears(started + n * 10_000, 50_000))
        };
        assert!(
            !flood(SECOND),
            "3 s of work within 0.6 s, where 0.28 s can be done in a second"
        );
        assert!(flood(0), "started long ago");
        let mut m = Machine::new(&set(), SECOND, SECOND);
        assert!(
            (0..60).all(|n| m.bears(SECOND + n * 50_000, 50_000)),
            "the same over 3 s"
        );
    }
}
