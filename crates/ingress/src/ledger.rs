//! The figures that operators read: what became of requests, by class, and of files at SIGHUP. Counted where it happens, from the
//! start of the process on; no input or output and no clock here.

use std::fmt::Write;

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// With a backend's value.
    Served,
    /// Turned away: trying again is harmless.
    Refused,
    /// With anything else.
    Failed,
}

/// What became of the requests of a class.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Row {
    class: String,
    /// Served, refused, failed.
    ended: [u64; 3],
}

/// The counts.
#[derive(Debug, Default)]
pub struct Ledger {
    /// A class that was dropped keeps its row, and has it again when it comes back.
    rows: Vec<Row>,
    /// Of each place in the settings, its row.
    places: Vec<usize>,
    /// Requests handed to the module.
    pub taken: u64,
    /// Files taken, and turned down, at SIGHUP.
    pub accepted: u64,
    pub invalid: u64,
}

/// What is not counted but looked at: how it stands now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Now {
    /// Attempts written whole to backends since the start.
    pub relayed: u64,
    /// Requests taken and not ended.
    pub open: usize,
    /// Backends in the list, and those of them that are avoided.
    pub listed: usize,
    pub avoided: usize,
}

impl Ledger {
    /// For these classes, by their places; an empty name is a place whose class went.
    pub fn new<'a>(classes: impl IntoIterator<Item = &'a str>) -> Ledger {
        let mut ledger = Ledger::default();
        ledger.name(classes);
        ledger
    }

    /// Other classes from now on. What open requests of one that went still come to is counted in its row.
    pub fn name<'a>(&mut self, classes: impl IntoIterator<Item = &'a str>) {
        for (place, class) in classes.into_iter().enumerate() {
            let row = match self.rows.iter().position(|r| r.class == class) {
                Some(row) => row,
                None if class.is_empty() && place < self.places.len() => continue,
                None => {
                    self.rows.push(Row {
                        class: class.to_string(),
                        ..Row::default()
                    });
                    self.rows.len() - 1
                }
            };
            if let Some(known) = self.places.get_mut(place) {
                *known = row;
            } else {
                self.places.push(row);
            }
        }
    }

    /// A request of the class at a place has ended.
    pub fn ended(&mut self, place: u8, end: End) {
        let row = self
            .places
            .get(usize::from(place))
            .and_then(|row| self.rows.get_mut(*row));
        if let Some(row) = row {
            row.ended[end as usize] += 1;
        }
    }

    /// All that ended so, of any class.
    pub fn all(&self, end: End) -> u64 {
        self.rows.iter().map(|r| r.ended[end as usize]).sum()
    }

    /// The figures, a line each.
    pub fn telemetry(&self, now: &Now) -> String {
        let mut out = String::new();
        // Writing to a String cannot fail.
        for Row {
            class,
            ended: [served, refused, failed],
        } in self.rows.iter().filter(|r| !r.class.is_empty())
        {
            let _ = writeln!(out, "ingress.operations.{class}.fulfilled={served}");
            let _ = writeln!(out, "ingress.operations.{class}.throttled={refused}");
            let _ = writeln!(out, "ingress.operations.{class}.faulted={failed}");
        }
        let figures = [
            ("relayed", now.relayed),
            ("open_requests", now.open as u64),
            ("registry_entries", now.listed as u64),
            ("out_of_rotation", now.avoided as u64),
            ("cfg_accepted", self.accepted),
            ("cfg_invalid", self.invalid),
        ];
        for (name, figure) in figures {
            let _ = writeln!(out, "ingress.{name}={figure}");
        }
        out
    }
}

#[cfg(test)]
mod tests {
    use super::{End, Ledger, Now};

    /// Guards against a class's counts that pass to another one, or go, when classes come, go and come back.
    #[test]
    fn a_class_keeps_its_counts_whatever_comes_and_goes() {
        let mut ledger = Ledger::new(["quote", "save"]);
        ledger.ended(0, End::Served);
        ledger.ended(1, End::Refused);
        ledger.name(["quote", "", "refer"]);
        ledger.ended(1, End::Failed); // one that was open when its class went
        ledger.ended(2, End::Served);
        ledger.name(["quote", "new", "refer", "save"]);
        ledger.ended(1, End::Served);
        ledger.ended(3, End::Served);
        ledger.ended(200, End::Served); // no such place: nobody's
        let text = ledger.telemetry(&Now::default());
        for line in [
            "ingress.operations.quote.fulfilled=1",
            "ingress.operations.save.fulfilled=1",
            "ingress.operations.save.throttled=1",
            "ingress.operations.save.faulted=1",
            "ingress.operations.new.fulfilled=1",
            "ingress.operations.refer.fulfilled=1",
        ] {
            assert!(text.lines().any(|l| l == line), "no {line} in\n{text}");
        }
        assert_eq!(
            (
                ledger.all(End::Served),
                ledger.all(End::Refused),
                ledger.all(End::Failed)
            ),
            (4, 1, 1)
        );
        assert_eq!(text.lines().count(), 4 * 3 + 6);
    }
}
