//! What this gateway knows of its peers, the reports pending for each of them, and the message
//! budget.

use super::codec::{AttemptOutcome, Sample, MAX_REPORTS, MAX_SAMPLES};
use crate::ids::{CustomerId, Micros};
use crate::numeric::MICROS_PER_SECOND;
use crate::settings::{Limits, Settings};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Report period in seconds up to which a deployment counts as small: all of a customer's gateways
/// then own its quota.
const MAX_SMALL_PERIOD_S: f64 = 0.35;
/// Shortest report period in microseconds: at most 20 reports per second, to limit the bytes sent.
const MIN_PERIOD: Micros = 50_000;
/// Safety factor on the shortest report period at which a receiver can process the reports of all
/// other gateways.
const PERIOD_MARGIN: f64 = 1.5;
/// Messages sent per message that a receiver can process; below 1 because some gateways receive
/// more than others.
const SENT_PER_RECEIVED: f64 = 0.8;
/// The message budget holds at most one second's messages divided by this.
const BURST_DIVISOR: f64 = 4.0;
/// Number of messages that carry each sample.
const SAMPLE_REPEATS: u8 = 10;
/// How long a peer that did not answer in time is asked last, in microseconds.
const SILENT_PEER_TIME: Micros = 1_000_000;

/// A usage report that is pending for a peer.
#[derive(Clone, Copy, Default, Serialize, Deserialize)]
pub(crate) struct OutboxEntry {
    /// Number of messages that are still to carry the report.
    repeats: u8,
    /// Whether the report asks for an owner update.
    pub(crate) ask: bool,
}

impl OutboxEntry {
    pub(crate) fn new(repeats: u8, ask: bool) -> OutboxEntry {
        OutboxEntry { repeats, ask }
    }
}

/// The state kept for one peer.
#[derive(Default, Serialize, Deserialize)]
pub(crate) struct Peer {
    incarnation: u32,
    last_received: u16,
    last_sent: u16,
    /// The next message may be sent at this time.
    next_at: Micros,
    /// Until this time other owners are asked first, because the peer did not answer in time; a
    /// message from it resets this to 0.
    silent_until: Micros,
    /// Customer id from which the next message starts.
    cursor: CustomerId,
    outbox: BTreeMap<CustomerId, OutboxEntry>,
}

/// Whether a message is to be processed, and what its incarnation says about the sender.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum Arrival {
    /// Sent before the sender's last known restart.
    Stale,
    /// Sent by the known incarnation.
    Known,
    /// Sent by a new incarnation; `restarted` if another one was known before.
    New { restarted: bool },
}

impl Peer {
    /// Whether a message may be sent to the peer now.
    pub(crate) fn is_ready(&self, now: Micros) -> bool {
        self.next_at <= now
    }

    /// Whether the peer is not marked as silent.
    pub(crate) fn is_responsive(&self, now: Micros) -> bool {
        self.silent_until <= now
    }

    /// Records that the peer did not answer in time.
    pub(crate) fn note_silence(&mut self, now: Micros) {
        self.silent_until = now + SILENT_PEER_TIME;
    }

    /// Compares a message's incarnation with the known one, and adopts a newer one.
    pub(crate) fn check_incarnation(&mut self, incarnation: u32, sequence: u16) -> Arrival {
        if self.incarnation == incarnation {
            return Arrival::Known;
        }
        if incarnation < self.incarnation {
            return Arrival::Stale;
        }
        let restarted = std::mem::replace(&mut self.incarnation, incarnation) != 0;
        self.last_received = sequence.wrapping_sub(1);
        Arrival::New { restarted }
    }

    /// Records a message of the known incarnation; false if it is a duplicate or arrived out of
    /// order.
    pub(crate) fn receive(&mut self, sequence: u16) -> bool {
        if sequence.wrapping_sub(self.last_received) as i16 <= 0 {
            return false;
        }
        self.last_received = sequence;
        self.silent_until = 0;
        true
    }

    /// Takes the reports for the next message, starting after the customer where the last message
    /// ended and wrapping round. Otherwise the highest ids would never be reported while more
    /// customers change than fit into a message.
    fn take_reports(&mut self) -> Vec<(CustomerId, OutboxEntry)> {
        let after = self.outbox.range(self.cursor..);
        let wrapped = after.chain(self.outbox.range(..self.cursor));
        let reports: Vec<(CustomerId, OutboxEntry)> =
            wrapped.take(MAX_REPORTS).map(|(c, o)| (*c, *o)).collect();
        if let Some((last, _)) = reports.last() {
            self.cursor = CustomerId(last.0 + 1);
        }
        for (customer, entry) in &reports {
            let remaining = OutboxEntry::new(entry.repeats - 1, false);
            self.outbox.insert(*customer, remaining);
        }
        self.outbox.retain(|_, o| o.repeats > 0);
        reports
    }
}

/// All peers, those with pending reports, and the samples to be sent.
#[derive(Default, Serialize, Deserialize)]
pub(crate) struct Peers {
    by_id: BTreeMap<u16, Peer>,
    due: BTreeSet<u16>,
    /// Samples, newest first, each with the number of messages that are still to carry it.
    samples: VecDeque<(u8, Sample)>,
}

impl Peers {
    /// The state of a peer, created if it is not known.
    pub(crate) fn entry(&mut self, id: u16) -> &mut Peer {
        self.by_id.entry(id).or_default()
    }

    /// Whether a peer is not marked as silent; true for an unknown peer.
    pub(crate) fn is_responsive(&self, id: u16, now: Micros) -> bool {
        self.by_id.get(&id).is_none_or(|p| p.is_responsive(now))
    }

    /// Adds a report, replacing a pending one for the same customer.
    pub(crate) fn put_report(&mut self, to: u16, customer: CustomerId, entry: OutboxEntry) {
        self.entry(to).outbox.insert(customer, entry);
        self.due.insert(to);
    }

    /// Adds a report unless one is pending for the same customer.
    pub(crate) fn put_report_if_absent(&mut self, to: u16, customer: CustomerId) {
        let outbox = &mut self.entry(to).outbox;
        outbox.entry(customer).or_insert(OutboxEntry::new(1, false));
        self.due.insert(to);
    }

    /// Adds a report. It asks for an owner update if `ask` is set or a pending report for the
    /// customer asks.
    pub(crate) fn add_report(&mut self, to: u16, customer: CustomerId, repeats: u8, ask: bool) {
        let entry = self.entry(to).outbox.entry(customer).or_default();
        *entry = OutboxEntry::new(repeats, entry.ask || ask);
        self.due.insert(to);
    }

    /// The peers that have pending reports and may be sent a message now.
    pub(crate) fn ready(&self, now: Micros) -> Vec<u16> {
        let ready = |p: &u16| self.by_id.get(p).is_some_and(|p| p.is_ready(now));
        self.due.iter().copied().filter(ready).collect()
    }

    /// Takes the reports for the next message to a peer; `None` if the peer is not known.
    pub(crate) fn take_reports(&mut self, to: u16) -> Option<Vec<(CustomerId, OutboxEntry)>> {
        let peer = self.by_id.get_mut(&to)?;
        let reports = peer.take_reports();
        if peer.outbox.is_empty() {
            self.due.remove(&to);
        }
        Some(reports)
    }

    /// Records that a message is sent to a peer; returns its sequence number.
    pub(crate) fn note_sent(&mut self, to: u16, next_at: Micros) -> u16 {
        let peer = self.entry(to);
        peer.last_sent = peer.last_sent.wrapping_add(1);
        peer.next_at = next_at;
        peer.last_sent
    }

    /// Adds the outcome of an attempt to the samples for the next messages.
    pub(crate) fn add_sample(&mut self, tag: u32, class: u8, outcome: AttemptOutcome) {
        let sample = Sample {
            tag,
            class,
            outcome,
        };
        self.samples.push_front((SAMPLE_REPEATS, sample));
        self.samples.truncate(MAX_SAMPLES);
    }

    /// The samples for one message.
    pub(crate) fn take_samples(&mut self) -> Vec<Sample> {
        let samples = self.samples.iter().map(|s| s.1).collect();
        self.samples.iter_mut().for_each(|s| s.0 -= 1);
        self.samples.retain(|s| s.0 > 0);
        samples
    }
}

/// The time between two reports to a peer, in microseconds, in a small deployment, where all of a
/// customer's gateways own its quota; 0 in a larger one.
pub(crate) fn report_period(settings: &Settings) -> Micros {
    let others = f64::from(settings.gateway_count.max(1)) - 1.0;
    // Use most of the message rate that a receiver can process, over all senders.
    let seconds = PERIOD_MARGIN * others / settings.limits.peer_messages_per_s.max(1.0);
    if seconds <= MAX_SMALL_PERIOD_S {
        ((seconds * MICROS_PER_SECOND) as Micros).max(MIN_PERIOD)
    } else {
        0
    }
}

/// Limits the messages sent, so that all gateways together do not send more than all together can
/// process.
#[derive(Default, Serialize, Deserialize)]
pub(crate) struct MessageBudget {
    tokens: f64,
    refilled_at: Micros,
}

impl MessageBudget {
    /// Refills the budget; returns true if another message may be sent.
    pub(crate) fn allows(&mut self, limits: &Limits, started_at: Micros, now: Micros) -> bool {
        let rate = limits.peer_messages_per_s * SENT_PER_RECEIVED;
        let elapsed = now - self.refilled_at.max(started_at);
        let refilled = rate * elapsed as f64 / MICROS_PER_SECOND;
        self.tokens = (self.tokens + refilled).min(rate / BURST_DIVISOR);
        self.refilled_at = now;
        self.tokens >= 0.0
    }

    pub(crate) fn draw(&mut self) {
        self.tokens -= 1.0;
    }
}
