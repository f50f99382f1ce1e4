//! What this gateway knows of its peers, what is to be sent to each, and the budget of messages.

use super::codec::{AttemptOutcome, Sample, MAX_REPORTS, MAX_SAMPLES};
use crate::ids::{CustomerId, Micros};
use crate::numeric::MICROS_PER_SECOND;
use crate::settings::{Limits, Settings};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// The report period in seconds up to which all of a customer's gateways own its quota (ours).
const MAX_SMALL_PERIOD: f64 = 0.35;
/// The least report period in microseconds: no faster than 20 a second, since bytes cost (ours).
const MIN_PERIOD: Micros = 50_000;
/// Reports in a period for one that a receiver takes in (ours).
const PERIOD_MARGIN: f64 = 1.5;
/// Messages sent for one that a receiver takes in: some receive more than others (ours).
const SENT_PER_RECEIVED: f64 = 0.8;
/// The bucket of messages holds those of this part of a second (ours).
const BURST_PARTS: f64 = 4.0;
/// Messages that carry an attempt's sample (ours).
const SAMPLE_REPEATS: u8 = 10;
/// How long a peer that did not answer is passed over, in microseconds (ours).
const SILENCE: Micros = 1_000_000;

/// A report that is to be sent.
#[derive(Clone, Copy, Default, Serialize, Deserialize)]
pub(crate) struct OutboxEntry {
    /// In so many messages more.
    repeats: u8,
    /// It asks for an answer.
    pub(crate) ask: bool,
}

impl OutboxEntry {
    pub(crate) fn new(repeats: u8, ask: bool) -> OutboxEntry {
        OutboxEntry { repeats, ask }
    }
}

/// A peer.
#[derive(Default, Serialize, Deserialize)]
pub(crate) struct Peer {
    incarnation: u32,
    received: u16,
    sent: u16,
    /// When the next message may go.
    next_at: Micros,
    /// It did not answer in time: until then others are asked first, unless it is heard.
    silent_until: Micros,
    /// Where the last message ended.
    cursor: CustomerId,
    outbox: BTreeMap<CustomerId, OutboxEntry>,
}

/// Whether a message counts, and what it tells of its sender.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum Arrival {
    /// From before its sender's restart, a repeat, or overtaken.
    Stale,
    /// From the incarnation that is known.
    Known,
    /// From a new incarnation; `restarted` where there was another one before.
    New { restarted: bool },
}

impl Peer {
    /// It may be sent a message now.
    pub(crate) fn is_ready(&self, now: Micros) -> bool {
        self.next_at <= now
    }

    /// It is not passed over as silent.
    pub(crate) fn is_heard(&self, now: Micros) -> bool {
        self.silent_until <= now
    }

    /// It did not answer in time.
    pub(crate) fn note_silence(&mut self, now: Micros) {
        self.silent_until = now + SILENCE;
    }

    /// Looks at the incarnation of a message that came.
    pub(crate) fn meet(&mut self, incarnation: u32, sequence: u16) -> Arrival {
        if self.incarnation == incarnation {
            return Arrival::Known;
        }
        if incarnation < self.incarnation {
            return Arrival::Stale;
        }
        let restarted = std::mem::replace(&mut self.incarnation, incarnation) != 0;
        self.received = sequence.wrapping_sub(1);
        Arrival::New { restarted }
    }

    /// Notes a message of the known incarnation; false if it is a repeat, or was overtaken.
    pub(crate) fn receive(&mut self, sequence: u16) -> bool {
        if sequence.wrapping_sub(self.received) as i16 <= 0 {
            return false;
        }
        self.received = sequence;
        self.silent_until = 0;
        true
    }

    /// Takes the reports for the next message: round from where the last one ended, or the last ids
    /// would go unreported when more change than fit.
    fn take_reports(&mut self) -> Vec<(CustomerId, OutboxEntry)> {
        let after = self.outbox.range(self.cursor..);
        let round = after.chain(self.outbox.range(..self.cursor));
        let list: Vec<(CustomerId, OutboxEntry)> =
            round.take(MAX_REPORTS).map(|(c, o)| (*c, *o)).collect();
        if let Some((last, _)) = list.last() {
            self.cursor = CustomerId(last.0 + 1);
        }
        for (customer, entry) in &list {
            let left = OutboxEntry::new(entry.repeats - 1, false);
            self.outbox.insert(*customer, left);
        }
        self.outbox.retain(|_, o| o.repeats > 0);
        list
    }
}

/// The peers, those with something to be sent, and the samples that go along.
#[derive(Default, Serialize, Deserialize)]
pub(crate) struct Peers {
    by_id: BTreeMap<u16, Peer>,
    due: BTreeSet<u16>,
    /// With the messages that each sample is still to go with.
    samples: VecDeque<(u8, Sample)>,
}

impl Peers {
    /// A peer, begun where it is not known.
    pub(crate) fn entry(&mut self, id: u16) -> &mut Peer {
        self.by_id.entry(id).or_default()
    }

    /// Whether a peer is not passed over as silent.
    pub(crate) fn is_heard(&self, id: u16, now: Micros) -> bool {
        self.by_id.get(&id).is_none_or(|p| p.is_heard(now))
    }

    /// Puts a report in place of one that may be there.
    pub(crate) fn put_report(&mut self, to: u16, customer: CustomerId, entry: OutboxEntry) {
        self.entry(to).outbox.insert(customer, entry);
        self.due.insert(to);
    }

    /// Puts a report where there is none.
    pub(crate) fn put_report_if_absent(&mut self, to: u16, customer: CustomerId) {
        let outbox = &mut self.entry(to).outbox;
        outbox.entry(customer).or_insert(OutboxEntry::new(1, false));
        self.due.insert(to);
    }

    /// Puts a report, which asks if it or the one that is there does.
    pub(crate) fn add_report(&mut self, to: u16, customer: CustomerId, repeats: u8, ask: bool) {
        let entry = self.entry(to).outbox.entry(customer).or_default();
        *entry = OutboxEntry::new(repeats, entry.ask || ask);
        self.due.insert(to);
    }

    /// The peers that have something to be sent and may be sent it now.
    pub(crate) fn ready(&self, now: Micros) -> Vec<u16> {
        let ready = |p: &u16| self.by_id.get(p).is_some_and(|p| p.is_ready(now));
        self.due.iter().copied().filter(ready).collect()
    }

    /// Takes the reports for the next message to a peer; none for a peer that is not known.
    pub(crate) fn take_reports(&mut self, to: u16) -> Option<Vec<(CustomerId, OutboxEntry)>> {
        let peer = self.by_id.get_mut(&to)?;
        let list = peer.take_reports();
        if peer.outbox.is_empty() {
            self.due.remove(&to);
        }
        Some(list)
    }

    /// Counts a message to a peer; its number.
    pub(crate) fn note_sent(&mut self, to: u16, next_at: Micros) -> u16 {
        let peer = self.entry(to);
        peer.sent = peer.sent.wrapping_add(1);
        peer.next_at = next_at;
        peer.sent
    }

    /// Notes how an attempt went, for the next messages.
    pub(crate) fn add_sample(&mut self, tag: u32, class: u8, outcome: AttemptOutcome) {
        let sample = Sample {
            tag,
            class,
            outcome,
        };
        self.samples.push_front((SAMPLE_REPEATS, sample));
        self.samples.truncate(MAX_SAMPLES);
    }

    /// The samples that go with a message.
    pub(crate) fn take_samples(&mut self) -> Vec<Sample> {
        let samples = self.samples.iter().map(|s| s.1).collect();
        self.samples.iter_mut().for_each(|s| s.0 -= 1);
        self.samples.retain(|s| s.0 > 0);
        samples
    }
}

/// The time between two reports to a peer, in microseconds, in a deployment small enough that all
/// of a customer's gateways own its quota; 0 in a larger one.
pub(crate) fn report_period(settings: &Settings) -> Micros {
    let others = f64::from(settings.gateway_count.max(1)) - 1.0;
    // Most of what a receiver takes in, over all senders.
    let seconds = PERIOD_MARGIN * others / settings.limits.peer_messages_per_s.max(1.0);
    if seconds <= MAX_SMALL_PERIOD {
        ((seconds * MICROS_PER_SECOND) as Micros).max(MIN_PERIOD)
    } else {
        0
    }
}

/// The budget of messages: all gateways together must not send more than all together take in.
#[derive(Default, Serialize, Deserialize)]
pub(crate) struct MessageBudget {
    tokens: f64,
    refilled_at: Micros,
}

impl MessageBudget {
    /// Refills the budget; whether one more message may go.
    pub(crate) fn allows(&mut self, limits: &Limits, started_at: Micros, now: Micros) -> bool {
        let rate = limits.peer_messages_per_s * SENT_PER_RECEIVED;
        let since = now - self.refilled_at.max(started_at);
        let refilled = rate * since as f64 / MICROS_PER_SECOND;
        self.tokens = (self.tokens + refilled).min(rate / BURST_PARTS);
        self.refilled_at = now;
        self.tokens >= 0.0
    }

    pub(crate) fn draw(&mut self) {
        self.tokens -= 1.0;
    }
}
