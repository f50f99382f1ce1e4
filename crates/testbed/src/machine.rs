//! Model of a backend without sockets: cores, queue, warm-up, collapse under load while cold, load reports.

use crate::scenario::{BackendSet, Micros, SECOND};
use std::collections::VecDeque;

/// The rule on cold backends: capacity at the start, warm-up time, and the overload under which a cold backend
/// collapses.
#[derive(Clone, Copy, Debug)]
pub struct ColdRule {
    /// Capacity at the start, as a share of the warm capacity.
    pub from: f64,
    /// Time from the start until the backend is warm, in microseconds.
    pub warm_in: Micros,
    /// A cold backend collapses when it is sent more than this multiple of its current capacity
    pub factor: f64,
    /// within this time, in microseconds.
    pub over: Micros,
}

/// The platform's limits for cold backends.
pub const COLD: ColdRule = ColdRule {
    from: 0.28,
    warm_in: 16 * SECOND,
    factor: 4.0,
    over: SECOND,
};

/// Current capacity as a share of the warm capacity. A `started` of 0 means long ago, hence warm.
pub fn warmth(started: Micros, now: Micros) -> f64 {
    let age = now.saturating_sub(started);
    if started == 0 || age >= COLD.warm_in {
        1.0
    } else {
        COLD.from + (1.0 - COLD.from) * age as f64 / COLD.warm_in as f64
    }
}

/// A request at a backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Job {
    /// Key that the rig assigns.
    pub key: u64,
    /// Execution time in microseconds on a core of speed 1.
    pub work: Micros,
}

/// Result of offering a request to a backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OfferResult {
    /// Execution started and ends at this time.
    Started(Micros),
    /// The request is queued for a core.
    Queued,
    /// The request is rejected because the queue is full.
    Rejected,
}

/// A backend process.
#[derive(Debug)]
pub struct Machine {
    cores: usize,
    speed: f64,
    max_waiting: usize,
    /// Start time in Unix microseconds; 0 for long ago.
    pub started: Micros,
    running: usize,
    waiting: VecDeque<Job>,
    /// Share of the machine's capacity that another program uses.
    pub taken: f64,
    /// Collapsed under load while cold; never recovers.
    pub fallen: bool,
    /// Arrival time and work (both in microseconds) of recent requests while cold.
    recent: VecDeque<(Micros, Micros)>,
    /// Core time used up to `counted`, in microseconds.
    busy: f64,
    counted: Micros,
    /// Latest load report: its time, `busy` at that time, and the utilization reported.
    report: (Micros, f64, f64),
}

impl Machine {
    /// A new process of a backend set.
    pub fn new(set: &BackendSet, started: Micros, now: Micros) -> Self {
        Machine {
            cores: set.cores as usize,
            speed: set.speed,
            max_waiting: set.queue as usize,
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

    /// Warm capacity of one backend, in microseconds of work per second.
    pub fn capacity(set: &BackendSet) -> f64 {
        f64::from(set.cores) * set.speed * SECOND as f64
    }

    fn duration(&self, work: Micros, now: Micros) -> Micros {
        let speed = self.speed * warmth(self.started, now) * (1.0 - self.taken);
        (work as f64 / speed.max(1e-3)) as Micros
    }

    fn account_busy_time(&mut self, now: Micros) {
        self.busy += self.running as f64 * now.saturating_sub(self.counted) as f64;
        self.counted = now;
    }

    /// Records arriving work; false once the backend has collapsed. A warm backend never collapses.
    pub fn withstands(&mut self, now: Micros, work: Micros) -> bool {
        let warm = warmth(self.started, now);
        if warm >= 1.0 {
            self.recent.clear();
            return true;
        }
        self.recent.push_back((now, work));
        while self.recent.front().is_some_and(|r| r.0 + COLD.over <= now) {
            self.recent.pop_front();
        }
        let recent_work: f64 = self.recent.iter().map(|r| r.1 as f64).sum();
        let capacity = self.cores as f64 * self.speed * warm * COLD.over as f64;
        // One request of tolerance: which request exceeds the budget last depends on timing.
        self.fallen |= recent_work > COLD.factor * capacity + work as f64;
        !self.fallen
    }

    /// Starts a request, queues it, or rejects it if the queue is full.
    pub fn offer(&mut self, now: Micros, job: Job) -> OfferResult {
        self.account_busy_time(now);
        if self.running < self.cores {
            self.running += 1;
            OfferResult::Started(now + self.duration(job.work, now))
        } else if self.waiting.len() < self.max_waiting {
            self.waiting.push_back(job);
            OfferResult::Queued
        } else {
            OfferResult::Rejected
        }
    }

    /// Frees a core and starts the next queued request; returns that request and its end time.
    pub fn done(&mut self, now: Micros) -> Option<(Job, Micros)> {
        self.account_busy_time(now);
        self.running = self.running.saturating_sub(1);
        let job = self.waiting.pop_front()?;
        self.running += 1;
        Some((job, now + self.duration(job.work, now)))
    }

    /// Removes a cancelled request from the queue; false if it is not queued.
    pub fn drop_waiting(&mut self, key: u64) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|j| j.key != key);
        self.waiting.len() < before
    }

    /// Reported utilization (0 to 1), refreshed every `period`.
    pub fn util(&mut self, now: Micros, period: Micros) -> f64 {
        self.account_busy_time(now);
        let (at, busy, util) = self.report;
        if now >= at + period {
            let span = (now - at) as f64 * self.cores as f64;
            let own = ((self.busy - busy) / span.max(1.0)).clamp(0.0, 1.0);
            self.report = (now, self.busy, (own + self.taken).min(1.0));
            return self.report.2;
        }
        util
    }

    /// Number of queued requests.
    pub fn queue(&self) -> usize {
        self.waiting.len()
    }

    /// Number of running and queued requests.
    pub fn held(&self) -> usize {
        self.running + self.waiting.len()
    }
}

#[cfg(test)]
mod tests {
    use super::{BackendSet, Job, Machine, Micros, OfferResult, SECOND};

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
    fn requests_fill_the_cores_then_the_queue_then_are_rejected() {
        let mut m = Machine::new(&set(), 0, 0);
        let job = |key| Job { key, work: 50_000 };
        assert_eq!(
            m.offer(0, job(1)),
            OfferResult::Started(100_000),
            "half the speed takes twice the time"
        );
        assert_eq!(m.offer(0, job(2)), OfferResult::Started(100_000));
        assert_eq!(
            (m.offer(0, job(3)), m.offer(0, job(4))),
            (OfferResult::Queued, OfferResult::Rejected)
        );
        assert_eq!(m.done(100_000), Some((job(3), 200_000)));
        assert_eq!(
            (m.done(100_000), m.done(200_000), m.held()),
            (None, None, 0)
        );
        assert!(
            (m.util(200_000, 1) - 0.75).abs() < 0.01,
            "busy: two cores for 0.1 s, then one for 0.1 s"
        );
    }

    #[test]
    fn queued_requests_can_be_dropped_and_running_ones_cannot() {
        let mut m = Machine::new(&set(), 0, 0);
        for key in 1..=3 {
            m.offer(0, Job { key, work: 10 });
        }
        assert!(m.drop_waiting(3) && !m.drop_waiting(1));
        assert_eq!(m.done(20), None);
    }

    /// A cold backend collapses when it is sent more than four times its current capacity within a second.
    #[test]
    fn cold_backend_collapses_under_overload_and_warm_one_does_not() {
        let survives_overload = |started: Micros| {
            let mut m = Machine::new(&set(), started, started);
            (0..60).all(|n| m.withstands(started + n * 10_000, 50_000))
        };
        assert!(
            !survives_overload(SECOND),
            "3 s of work within 0.6 s, where 0.28 s can be done in a second"
        );
        assert!(survives_overload(0), "a warm backend collapsed");
        let mut m = Machine::new(&set(), SECOND, SECOND);
        assert!(
            (0..60).all(|n| m.withstands(SECOND + n * 50_000, 50_000)),
            "the same work spread over 3 s"
        );
    }
}
