//! The telemetry that operators read: how requests ended, by class, and configuration files at SIGHUP. Counted where it happens,
//! from the start of the process on; no input or output and no clock here.

use std::fmt::Write;

#[cfg(test)]
mod tests;

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestEnd {
    /// With a backend's value.
    Served,
    /// Rejected before it ran: a retry is harmless.
    Rejected,
    /// With anything else.
    Failed,
}

/// How the requests of a class ended, by [`RequestEnd`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct ClassCounts {
    class: String,
    ended: [u64; 3],
}

/// Counters of requests and of configuration files.
#[derive(Debug, Default)]
pub struct RequestMetrics {
    /// A class that was dropped keeps its counts, and has them again when it comes back.
    classes: Vec<ClassCounts>,
    /// For each index of a class in the settings, the index in `classes`.
    by_setting: Vec<usize>,
    /// Requests handed to the decision module.
    pub admitted: u64,
    /// Configuration files taken at SIGHUP.
    pub config_accepted: u64,
    /// Configuration files refused at SIGHUP.
    pub config_refused: u64,
}

/// Values of gauges, which are not counted but read when they are asked for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Gauges {
    /// Attempts written to backends to their last byte, since the start.
    pub relayed: u64,
    /// Requests that still owe an answer.
    pub open_requests: usize,
    /// Backends in the endpoint list.
    pub endpoints: usize,
    /// Backends in the endpoint list that take no work.
    pub out_of_rotation: usize,
}

impl RequestMetrics {
    /// Counters for these classes, by their indices in the settings; an empty name is the index of a class that was dropped.
    pub fn new<'a>(classes: impl IntoIterator<Item = &'a str>) -> RequestMetrics {
        let mut metrics = RequestMetrics::default();
        metrics.set_classes(classes);
        metrics
    }

    /// Has other classes from now on. Open requests of one that was dropped are counted with it.
    pub fn set_classes<'a>(&mut self, classes: impl IntoIterator<Item = &'a str>) {
        for (setting, class) in classes.into_iter().enumerate() {
            if class.is_empty() && setting < self.by_setting.len() && !self.has(class) {
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

    fn has(&self, class: &str) -> bool {
        self.classes.iter().any(|counts| counts.class == class)
    }

    /// The index of a class's counts, which are added if there are none.
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

    /// Counts the end of a request of the class at an index of the settings.
    pub fn record(&mut self, class: u8, end: RequestEnd) {
        let index = self.by_setting.get(usize::from(class));
        if let Some(counts) = index.and_then(|index| self.classes.get_mut(*index)) {
            counts.ended[end as usize] += 1;
        }
    }

    /// How many requests of all classes ended so.
    pub fn total(&self, end: RequestEnd) -> u64 {
        self.classes.iter().map(|c| c.ended[end as usize]).sum()
    }

    /// The telemetry: a line `NAME=VALUE` for each figure.
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
        let figures = [
            ("relayed", gauges.relayed),
            ("open_requests", gauges.open_requests as u64),
            ("registry_entries", gauges.endpoints as u64),
            ("out_of_rotation", gauges.out_of_rotation as u64),
            ("cfg_accepted", self.config_accepted),
            ("cfg_invalid", self.config_refused),
        ];
        for (name, figure) in figures {
            let _ = writeln!(out, "ingress.{name}={figure}");
        }
        out
    }
}
