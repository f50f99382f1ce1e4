//! Which client's connection is evicted to make room for another: those that were half-closed first, then those that never spoke, then the oldest
//! half commands, last those that have served. Choosing costs the same however many there are: a connection stands in line from when it
//! came to where it is, and one that has moved on since is skipped when its turn comes. No I/O and no clock.

use std::collections::VecDeque;
use wrenfork_decision::Micros;

/// Where a connection is that nothing is owed to, in the order in which they go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Half-closed, and left to its client to close.
    HalfClosed,
    /// It has not said anything yet.
    Silent,
    /// It is in the middle of a command.
    Half,
    /// Between two requests.
    Idle,
}

/// Where it is, and since when.
pub type Standing = (Kind, Micros);

#[derive(Clone, Copy, Debug)]
struct Entry {
    key: usize,
    serial: u64,
    since: Micros,
}

/// The lines, one for each kind.
#[derive(Debug, Default)]
pub struct Lines {
    lines: [VecDeque<Entry>; 4],
    counts: [usize; 4],
}

/// Entries that have moved on may be as many as those that stand, and a few more, before they are cleared out.
const SPARE: usize = 64;

impl Lines {
    /// How many stand in a line.
    pub fn count(&self, kind: Kind) -> usize {
        self.counts[kind as usize]
    }

    /// A connection, by its place and its serial number, has come to another standing. `stands` says of any of them where it is.
    pub fn moved(
        &mut self,
        (key, serial): (usize, u64),
        from: Option<Standing>,
        to: Option<Standing>,
        stands: impl Fn(usize, u64) -> Option<Standing>,
    ) {
        if let Some((kind, _)) = from {
            self.counts[kind as usize] -= 1;
        }
        let Some((kind, since)) = to else { return };
        self.counts[kind as usize] += 1;
        let (count, line) = (self.counts[kind as usize], &mut self.lines[kind as usize]);
        line.push_back(Entry { key, serial, since });
        if line.len() > 2 * count + SPARE {
            line.retain(|e| e.key == key || stands(e.key, e.serial) == Some((kind, e.since)));
        }
    }

    /// One that stood in a line is gone.
    pub fn left(&mut self, kind: Kind) {
        self.counts[kind as usize] -= 1;
    }

    /// The one that has stood in a line for longest, with since when.
    pub fn oldest(
        &mut self,
        kind: Kind,
        stands: impl Fn(usize, u64) -> Option<Standing>,
    ) -> Option<(usize, Micros)> {
        let line = &mut self.lines[kind as usize];
        while let Some(e) = line.front() {
            if stands(e.key, e.serial) == Some((kind, e.since)) {
                return Some((e.key, e.since));
            }
            line.pop_front();
        }
        None
    }
}

#[cfg(test)]
mod tests;
