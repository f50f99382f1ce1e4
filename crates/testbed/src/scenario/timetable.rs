//! The timetable: faults with their times and targets.

mod row;

pub(super) use row::Site;

use super::file::Span;
use super::{Micros, SECOND};
use serde::de::{self, Deserializer, SeqAccess, Visitor};
use serde::Deserialize;
use std::fmt;
use toml::Spanned;

/// A row of the timetable as written in the file. The allowed keys depend on `what`; see [`KEYS`].
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Row {
    at: Spanned<Span>,
    what: Spanned<String>,
    ingress: Option<Spanned<OneOrMore>>,
    backend: Option<Spanned<OneOrMore>>,
    /// Instead of `backend`: a share of all backends, drawn from the seed.
    share: Option<Spanned<f64>>,
    #[serde(rename = "for")]
    lasts: Option<Spanned<Span>>,
    down: Option<Spanned<Span>>,
    delay: Option<Spanned<Span>>,
    every: Option<Spanned<Span>>,
    byte: Option<Spanned<u32>>,
    factor: Option<Spanned<f64>>,
    cores: Option<Spanned<f64>>,
    rate: Option<Spanned<f64>>,
    loss: Option<Spanned<f64>>,
    repeat: Option<Spanned<f64>>,
    accounts: Option<Spanned<u32>>,
    count: Option<Spanned<u32>>,
    manner: Option<Spanned<String>>,
    leg: Option<Spanned<String>>,
    from: Option<Spanned<OneOrMore>>,
    to: Option<Spanned<OneOrMore>>,
    fault: Option<Spanned<String>>,
}

/// An index from 0, or a list of indexes.
#[derive(Clone)]
struct OneOrMore(Vec<u64>);

impl<'de> Deserialize<'de> for OneOrMore {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        struct Reader;
        impl<'de> Visitor<'de> for Reader {
            type Value = OneOrMore;
            fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
                f.write_str("a number from 0 up, or a list of them")
            }
            fn visit_i64<E: de::Error>(self, n: i64) -> Result<OneOrMore, E> {
                let n = u64::try_from(n)
                    .map_err(|_| E::custom(format!("they are numbered from 0, not {n}")));
                n.map(|n| OneOrMore(vec![n]))
            }
            fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<OneOrMore, A::Error> {
                let mut list = Vec::new();
                while let Some(n) = seq.next_element::<u64>()? {
                    list.push(n);
                }
                Ok(OneOrMore(list))
            }
        }
        deserializer.deserialize_any(Reader)
    }
}

/// A fault with its time.
#[derive(Clone, Debug)]
pub struct Step {
    /// Microseconds after the start of arrivals.
    pub at: Micros,
    /// The fault to inject.
    pub fault: Fault,
}

/// How a hostile client behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Manner {
    /// Sends half a command and then nothing.
    Half,
    /// Sends bytes that are not RESP2.
    Garbage,
    /// Sends requests without end and never reads.
    Deaf,
    /// Connects and sends nothing.
    Mute,
    /// Repeats one request with the same id.
    SameId,
}

/// A network segment around an ingress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Leg {
    /// From the front to an ingress.
    Clients,
    /// From an ingress to its backends.
    Backends,
    /// From an ingress to discovery.
    Discovery,
}

/// How a network segment fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LegFault {
    /// Nothing passes in either direction, and connections stay open.
    Silent,
    /// Open connections are reset, and new ones right after accept.
    Reset,
    /// Bytes are delayed by this time, in microseconds.
    Slow(Micros),
}

/// How the count service fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CounterFault {
    /// Counts, but sends no answers until the fault ends.
    Silent,
    /// Rejects every call.
    Busy,
    /// Answers are delayed by this additional time, in microseconds.
    Slow(Micros),
    /// Stops, refuses connections, and restarts with all counts lost.
    Gone,
}

/// How the link from a requesting to an answering group member fails. See [`crate::links::Fault`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkFault {
    /// Nothing passes in either direction.
    Dropped,
    /// Open and new connections are closed at once.
    Refused,
    /// A connection is closed once this many request bytes have passed.
    Reset(u32),
    /// All bytes are delayed by this time, in microseconds.
    Late(Micros),
    /// Requests arrive, answers don't.
    OneWay,
}

/// A fault to inject. Lists have indexes of ingresses or backends, from 0; `lasts`, `down`, `every` and `delay` are
/// durations in microseconds.
#[allow(missing_docs)] // the doc of each variant covers its fields
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// Ingresses are killed (SIGKILL) and started again after `down`; `None` means never.
    Kill {
        ingresses: Vec<usize>,
        down: Option<Micros>,
    },
    /// Ingresses are asked to stop, one per interval `every`, and started again after they exit.
    Restart {
        ingresses: Vec<usize>,
        every: Micros,
        down: Micros,
    },
    /// Ingresses are paused for `lasts`, then resumed.
    Freeze {
        ingresses: Vec<usize>,
        lasts: Micros,
    },
    /// Ingresses are limited to `cores` for `lasts`.
    Throttle {
        ingresses: Vec<usize>,
        cores: f64,
        lasts: Micros,
    },
    /// Discovery moves to another address, and ingresses get a SIGHUP.
    Move { ingresses: Vec<usize> },
    /// Backends are listed as draining.
    Drain { backends: Vec<usize> },
    /// Backends are listed as up.
    Up { backends: Vec<usize> },
    /// Backends are removed from the endpoint list.
    Remove { backends: Vec<usize> },
    /// Backends stop and restart cold after `down` under the same name.
    Die { backends: Vec<usize>, down: Micros },
    /// Backends are drained, stop, and restart cold under a new name at the same address, one per interval `every`.
    Replace {
        backends: Vec<usize>,
        every: Micros,
        down: Micros,
    },
    /// Backends accept requests and send no answers.
    Hang { backends: Vec<usize>, lasts: Micros },
    /// Backends reset connections at this byte of a command; 0 means right after its last byte.
    Reset {
        backends: Vec<usize>,
        byte: u32,
        lasts: Micros,
    },
    /// Backends send corrupted answers.
    Spoil { backends: Vec<usize>, lasts: Micros },
    /// Backends send their answers byte by byte.
    Bytewise { backends: Vec<usize>, lasts: Micros },
    /// Backends send each answer twice.
    Echo { backends: Vec<usize>, lasts: Micros },
    /// Another program uses the share `factor` of the backends' capacity.
    Neighbour {
        backends: Vec<usize>,
        factor: f64,
        lasts: Micros,
    },
    /// Discovery accepts calls and sends no answers.
    DiscoverySilent {
        ingresses: Vec<usize>,
        lasts: Micros,
    },
    /// Discovery refuses connections.
    DiscoveryGone {
        ingresses: Vec<usize>,
        lasts: Micros,
    },
    /// Discovery reports changes late by `delay`.
    DiscoveryLate {
        ingresses: Vec<usize>,
        delay: Micros,
        lasts: Micros,
    },
    /// Messages between the two halves of the peers are lost.
    Split { lasts: Micros },
    /// Messages between peers are lost, repeated and delayed (and thus reordered).
    Lossy {
        loss: f64,
        repeat: f64,
        delay: Micros,
        lasts: Micros,
    },
    /// A few accounts send `rate` additional requests per second.
    Hot {
        accounts: u32,
        rate: f64,
        lasts: Micros,
    },
    /// `rate` requests per second, each from an account that sends only this one.
    Scan { rate: f64, lasts: Micros },
    /// Clients open and use `count` additional connections to each of the ingresses.
    Crowd {
        ingresses: Vec<usize>,
        count: u32,
        lasts: Micros,
    },
    /// `count` hostile clients connect to each of the ingresses.
    Hostile {
        ingresses: Vec<usize>,
        count: u32,
        manner: Manner,
        lasts: Micros,
    },
    /// A network segment around the ingresses fails.
    Leg {
        leg: Leg,
        fault: LegFault,
        ingresses: Vec<usize>,
        lasts: Micros,
    },
    /// Links from requesting to answering group members fail.
    Link {
        from: Vec<usize>,
        to: Vec<usize>,
        fault: LinkFault,
        lasts: Micros,
    },
    /// The count service fails.
    Counter { fault: CounterFault, lasts: Micros },
}

/// For each fault the required and the optional keys, besides `at` and `what`.
const KEYS: &[(&str, &[&str], &[&str])] = &[
    ("kill", &["ingress"], &["down"]),
    ("restart", &["ingress"], &["every", "down"]),
    ("freeze", &["ingress", "for"], &[]),
    ("throttle", &["ingress", "cores", "for"], &[]),
    ("move-discovery", &[], &["ingress"]),
    ("drain", &["backend"], &[]),
    ("up", &["backend"], &[]),
    ("remove", &["backend"], &[]),
    ("die", &["backend", "down"], &[]),
    ("replace", &["backend", "down"], &["every"]),
    ("hang", &["backend", "for"], &[]),
    ("reset", &["backend", "for"], &["byte"]),
    ("spoil", &["backend", "for"], &[]),
    ("bytewise", &["backend", "for"], &[]),
    ("echo", &["backend", "for"], &[]),
    ("neighbour", &["backend", "factor", "for"], &[]),
    ("discovery-silent", &["for"], &["ingress"]),
    ("discovery-gone", &["for"], &["ingress"]),
    ("discovery-late", &["for", "delay"], &["ingress"]),
    ("split", &["for"], &[]),
    ("lossy", &["for"], &["loss", "repeat", "delay"]),
    ("hot", &["accounts", "rate", "for"], &[]),
    ("scan", &["rate", "for"], &[]),
    ("crowd", &["count", "for"], &["ingress"]),
    ("hostile", &["count", "manner", "for"], &["ingress"]),
    ("leg-silent", &["leg", "for"], &["ingress"]),
    ("leg-reset", &["leg", "for"], &["ingress"]),
    ("leg-slow", &["leg", "delay", "for"], &["ingress"]),
    ("link", &["from", "to", "fault", "for"], &["byte", "delay"]),
    ("counter-silent", &["for"], &[]),
    ("counter-busy", &["for"], &[]),
    ("counter-slow", &["delay", "for"], &[]),
    ("counter-gone", &["for"], &[]),
];

/// Draws a share of the indexes below `count`, at least one, in ascending order.
fn draw_share(count: usize, share: f64, seed: u64) -> Vec<usize> {
    let mut all: Vec<usize> = (0..count).collect();
    fastrand::Rng::with_seed(seed ^ 0x5ec7).shuffle(&mut all);
    all.truncate(((count as f64 * share).round() as usize).clamp(1, count));
    all.sort_unstable();
    all
}

/// Formats indexes as `1, 2, 5`, or as a count if there are more than eight.
fn numbers(list: &[usize]) -> String {
    if list.len() > 8 {
        return format!("({} of them)", list.len());
    }
    list.iter()
        .map(usize::to_string)
        .collect::<Vec<_>>()
        .join(", ")
}

/// Describes the fault for the event log.
impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let s = |m: &Micros| *m as f64 / SECOND as f64;
        let n = |list: &Vec<usize>| numbers(list);
        match self {
            Fault::Kill {
                ingresses: i,
                down: Some(d),
            } => {
                write!(f, "ingress {} killed, back in {} s", n(i), s(d))
            }
            Fault::Kill {
                ingresses: i,
                down: None,
            } => write!(f, "ingress {} killed for good", n(i)),
            Fault::Restart { ingresses: i, .. } => write!(f, "planned restart of ingress {}", n(i)),
            Fault::Freeze {
                ingresses: i,
                lasts,
            } => {
                write!(f, "ingress {} stands still for {} s", n(i), s(lasts))
            }
            Fault::Throttle {
                ingresses: i,
                cores,
                lasts,
            } => {
                write!(f, "ingress {} has {cores} cores for {} s", n(i), s(lasts))
            }
            Fault::Move { ingresses: i } => {
                write!(f, "discovery moves, SIGHUP for ingress {}", n(i))
            }
            Fault::Drain { backends: b } => write!(f, "backend {} drains", n(b)),
            Fault::Up { backends: b } => write!(f, "backend {} is listed as up", n(b)),
            Fault::Remove { backends: b } => write!(f, "backend {} is listed no more", n(b)),
            Fault::Die { backends: b, down } => {
                write!(
                    f,
                    "backend {} stops and restarts cold after {} s",
                    n(b),
                    s(down)
                )
            }
            Fault::Replace { backends: b, .. } => write!(f, "backend {} will be replaced", n(b)),
            Fault::Hang { backends: b, lasts } => {
                write!(f, "backend {} is silent for {} s", n(b), s(lasts))
            }
            Fault::Reset {
                backends: b, lasts, ..
            } => {
                write!(f, "backend {} resets connections for {} s", n(b), s(lasts))
            }
            Fault::Spoil { backends: b, lasts } => {
                write!(f, "backend {} spoils answers for {} s", n(b), s(lasts))
            }
            Fault::Bytewise { backends: b, lasts } => {
                write!(
                    f,
                    "backend {} answers byte by byte for {} s",
                    n(b),
                    s(lasts)
                )
            }
            Fault::Echo { backends: b, lasts } => {
                write!(f, "backend {} answers twice for {} s", n(b), s(lasts))
            }
            Fault::Neighbour {
                backends: b,
                factor,
                lasts,
            } => {
                write!(
                    f,
                    "another program takes {factor} of backend {} for {} s",
                    n(b),
                    s(lasts)
                )
            }
            Fault::DiscoverySilent { lasts, .. } => {
                write!(f, "discovery is silent for {} s", s(lasts))
            }
            Fault::DiscoveryGone { lasts, .. } => write!(f, "discovery is gone for {} s", s(lasts)),
            Fault::DiscoveryLate { delay, lasts, .. } => {
                write!(f, "discovery is {} s late for {} s", s(delay), s(lasts))
            }
            Fault::Split { lasts } => write!(f, "the peers are split for {} s", s(lasts)),
            Fault::Lossy { loss, lasts, .. } => {
                write!(
                    f,
                    "messages between peers are lost ({loss}) and late for {} s",
                    s(lasts)
                )
            }
            Fault::Hot {
                accounts,
                rate,
                lasts,
            } => {
                write!(
                    f,
                    "{accounts} accounts ask {rate} a second on top for {} s",
                    s(lasts)
                )
            }
            Fault::Scan { rate, lasts } => {
                write!(
                    f,
                    "{rate} a second from accounts seen once, for {} s",
                    s(lasts)
                )
            }
            Fault::Crowd {
                ingresses: i,
                count,
                ..
            } => {
                write!(f, "{count} connections to ingress {}", n(i))
            }
            Fault::Hostile {
                ingresses: i,
                count,
                manner,
                ..
            } => {
                write!(
                    f,
                    "{count} hostile clients ({manner:?}) at ingress {}",
                    n(i)
                )
            }
            Fault::Link {
                from,
                to,
                fault,
                lasts,
            } => {
                write!(
                    f,
                    "the links from {} to {} fail ({fault:?}) for {} s",
                    n(from),
                    n(to),
                    s(lasts)
                )
            }
            Fault::Counter { fault, lasts } => {
                write!(f, "the count service fails ({fault:?}) for {} s", s(lasts))
            }
            Fault::Leg {
                leg,
                fault,
                ingresses: i,
                lasts,
            } => {
                write!(
                    f,
                    "the way to {leg:?} of ingress {} fails ({fault:?}) for {} s",
                    n(i),
                    s(lasts)
                )
            }
        }
    }
}
