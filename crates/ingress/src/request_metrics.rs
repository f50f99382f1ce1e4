//! Telemetry for operators: outcomes of requests by class, and configuration reloads, counted since the start of the process.
//! This module does no I/O and reads no clock.

use std::fmt::Write;

#[cfg(test)]
mod tests;

/// Outcome of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestEnd {
    /// The client received the value of a backend.
    Served,
    /// Rejected before execution, so that a retry is safe.
    Rejected,
    /// Any other outcome.
    Failed,
}

/// Outcomes of the requests of a class, indexed by [`RequestEnd`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct ClassCounts {
    class: String,
    ended: [u64; 3],
}

/// Counters of requests and configuration reloads.
#[derive(Debug, Default)]
pub struct RequestMetrics {
    /// Counts of each class by name. A removed class keeps its counts and continues them when it is added again.
    classes: Vec<ClassCounts>,
    /// For each class index in the settings, the index of its counts in `classes`.
    by_setting: Vec<usize>,
    /// Requests passed to the decision module.
    pub admitted: u64,
    /// Configuration reloads accepted at SIGHUP.
    pub config_accepted: u64,
    /// Configuration reloads refused at SIGHUP.
    pub config_refused: u64,
}

/// Values that are sampled when telemetry is requested.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Gauges {
    /// Attempts that were written completely to a backend since the start.
    pub relayed: u64,
    /// Requests that still owe an answer.
    pub open_requests: usize,
    /// Backends in the endpoint list.
    pub endpoints: usize,
    /// Backends in the endpoint list that receive no requests.
    pub out_of_rotation: usize,
}

impl RequestMetrics {
    /// Creates counters for classes in the order of their indices in the settings. An empty name marks the index of a removed
    /// class.
    pub fn new<'a>(classes: impl IntoIterator<Item = &'a str>) -> RequestMetrics {
        let mut metrics = RequestMetrics::default();
        metrics.set_classes(classes);
        metrics
    }

    /// Replaces the classes. Open requests of a removed class are still counted for that class.
    pub fn set_classes<'a>(&mut self, classes: impl IntoIterator<Item = &'a str>) {
        for (setting, class) in classes.into_iter().enumerate() {
            if class.is_empty() && setting < self.by_setting.len() && !self.has_class(class) {
                continue;
            }
            let index = self.index_of(class);
            if let Some(known) = self.by_setting.get_mut(setting) {
                *known = index;
            } else {
                self.by_setting.push(index);
            }
        }
    }

    fn has_class(&self, class: &str) -> bool {
        self.classes.iter().any(|counts| counts.class == class)
    }

    /// Index of the counts of a class in `classes`; adds them if the class is new.
    fn index_of(&mut self, class: &str) -> usize {
        let known = self.classes.iter().position(|c| c.class == class);
        known.unwrap_or_else(|| {
            self.classes.push(ClassCounts {
                class: class.to_string(),
                ..ClassCounts::default()
            });
            self.classes.len() - 1
        })
    }

    /// Counts the outcome of a request; `class` is the index of its class in the settings.
    pub fn record(&mut self, class: u8, end: RequestEnd) {
        let index = self.by_setting.get(usize::from(class));
        if let Some(counts) = index.and_then(|index| self.classes.get_mut(*index)) {
            counts.ended[end as usize] += 1;
        }
    }

    /// Number of requests with this outcome, over all classes.
    pub fn total(&self, end: RequestEnd) -> u64 {
        self.classes.iter().map(|c| c.ended[end as usize]).sum()
    }

    /// Formats the telemetry as one line `NAME=VALUE` per value.
    pub fn telemetry(&self, gauges: &Gauges) -> String {
        let mut out = String::new();
        let named = self.classes.iter().filter(|c| !c.class.is_empty());
        for ClassCounts { class, ended } in named {
            let [served, rejected, failed] = ended;
            // Writing to a String cannot fail.
            let _ = writeln!(out, "ingress.operations.{class}.fulfilled={served}");
            let _ = writeln!(out, "ingress.operations.{class}.throttled={rejected}");
            let _ = writeln!(out, "ingress.operations.{class}.faulted={failed}");
        }
        let values = [
            ("relayed", gauges.relayed),
            ("open_requests", gauges.open_requests as u64),
            ("registry_entries", gauges.endpoints as u64),
            ("out_of_rotation", gauges.out_of_rotation as u64),
            ("cfg_accepted", self.config_accepted),
            ("cfg_invalid", self.config_refused),
        ];
        for (name, value) in values {
            let _ = writeln!(out, "ingress.{name}={value}");
        }
        out
    }
}
