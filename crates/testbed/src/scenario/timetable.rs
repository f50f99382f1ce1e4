//! The timetable: what goes wrong when, and to whom.

use super::file::{Checks, Span};
use super::{Micros, SECOND};
use serde::de::{self, Deserializer, SeqAccess, Visitor};
use serde::Deserialize;
use std::fmt;
use toml::Spanned;

/// A row of the timetable as it is written. Which of the keys a row may have depends on `what`.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Row {
    at: Spanned<Span>,
    what: Spanned<String>,
    ingress: Option<Spanned<OneOrMore>>,
    backend: Option<Spanned<OneOrMore>>,
    /// In place of `backend`: this share of them, drawn by the seed.
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

/// A number from 0, or a list of them.
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

/// A fault that is due at a time after the first arrival.
#[derive(Clone, Debug)]
pub struct Step {
    /// When.
    pub at: Micros,
    /// What.
    pub fault: Fault,
}

/// How a hostile client behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Manner {
    /// Says half a command and no more.
    Half,
    /// Says what is no RESP2.
    Garbage,
    /// Asks without end and never reads.
    Deaf,
    /// Connects and says nothing.
    Mute,
    /// Asks for one request again and again under one id.
    SameId,
}

/// A leg of a request's way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Leg {
    /// From the front to an ingress.
    Clients,
    /// From an ingress to its backends.
    Backends,
    /// From an ingress to discovery.
    Discovery,
}

/// What goes wrong on a leg.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LegFault {
    /// Nothing passes in either direction, and connections stay open.
    Silent,
    /// Open connections are reset, and new ones right after they are accepted.
    Reset,
    /// What passes is late by so much.
    Slow(Micros),
}

/// How the count service fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CounterFault {
    /// It adds, and answers nothing until it is well again.
    Silent,
    /// It turns every call away.
    Busy,
    /// Its answers are late by so much more.
    Slow(Micros),
    /// It ends, refuses connections, and comes back with every number forgotten.
    Gone,
}

/// How a link from one member of a group that asks to another that answers fails. See [`crate::links::Fault`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkFault {
    /// Silence both ways.
    Dropped,
    /// Connections end at once.
    Refused,
    /// A connection ends once so many bytes were asked over it.
    Reset(u32),
    /// All that passes is late by so much.
    Late(Micros),
    /// Asks arrive, answers don't.
    OneWay,
}

/// What goes wrong. Lists name ingresses or backends by their number, from 0; `lasts`, `down`, `every` and `delay` are
/// spans of time.
#[allow(missing_docs)] // each field is explained with its variant
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// Ingresses are killed at once and started again after `down`, or never.
    Kill {
        ingresses: Vec<usize>,
        down: Option<Micros>,
    },
    /// Ingresses are told to stop, one every so often, and started again when they have ended.
    Restart {
        ingresses: Vec<usize>,
        every: Micros,
        down: Micros,
    },
    /// Ingresses stand still and go on.
    Freeze {
        ingresses: Vec<usize>,
        lasts: Micros,
    },
    /// Ingresses get so many cores for a while.
    Throttle {
        ingresses: Vec<usize>,
        cores: f64,
        lasts: Micros,
    },
    /// Discovery moves to another address, and ingresses are told by SIGHUP.
    Move { ingresses: Vec<usize> },
    /// Backends are listed as draining.
    Drain { backends: Vec<usize> },
    /// Backends are listed as up.
    Up { backends: Vec<usize> },
    /// Backends are listed no more.
    Remove { backends: Vec<usize> },
    /// Backends die and come back cold after `down`, under the same name.
    Die { backends: Vec<usize>, down: Micros },
    /// Backends are drained, die, and come back cold under a new name at the old address, one every so often.
    Replace {
        backends: Vec<usize>,
        every: Micros,
        down: Micros,
    },
    /// Backends take requests and answer none.
    Hang { backends: Vec<usize>, lasts: Micros },
    /// Backends reset connections at such a byte of a command; 0 stands for right behind its last.
    Reset {
        backends: Vec<usize>,
        byte: u32,
        lasts: Micros,
    },
    /// Backends spoil their answers.
    Spoil { backends: Vec<usize>, lasts: Micros },
    /// Backends' answers come byte by byte.
    Bytewise { backends: Vec<usize>, lasts: Micros },
    /// Backends send each answer twice.
    Echo { backends: Vec<usize>, lasts: Micros },
    /// Another program takes such a part of the backends.
    Neighbour {
        backends: Vec<usize>,
        factor: f64,
        lasts: Micros,
    },
    /// Discovery accepts calls and answers none.
    DiscoverySilent {
        ingresses: Vec<usize>,
        lasts: Micros,
    },
    /// Discovery refuses connections.
    DiscoveryGone {
        ingresses: Vec<usize>,
        lasts: Micros,
    },
    /// Discovery tells what is new so much later.
    DiscoveryLate {
        ingresses: Vec<usize>,
        delay: Micros,
        lasts: Micros,
    },
    /// Peers of one half hear nothing of the other half.
    Split { lasts: Micros },
    /// Messages between peers are lost, repeated and late (and so reordered).
    Lossy {
        loss: f64,
        repeat: f64,
        delay: Micros,
        lasts: Micros,
    },
    /// A few accounts ask for so many requests a second on top.
    Hot {
        accounts: u32,
        rate: f64,
        lasts: Micros,
    },
    /// Accounts that send one request each and are not seen again.
    Scan { rate: f64, lasts: Micros },
    /// Clients open so many more connections to each of the ingresses, and use them.
    Crowd {
        ingresses: Vec<usize>,
        count: u32,
        lasts: Micros,
    },
    /// Hostile clients.
    Hostile {
        ingresses: Vec<usize>,
        count: u32,
        manner: Manner,
        lasts: Micros,
    },
    /// A leg of the way fails.
    Leg {
        leg: Leg,
        fault: LegFault,
        ingresses: Vec<usize>,
        lasts: Micros,
    },
    /// Links from members that ask to members that answer fail.
    Link {
        from: Vec<usize>,
        to: Vec<usize>,
        fault: LinkFault,
        lasts: Micros,
    },
    /// The count service fails.
    Counter { fault: CounterFault, lasts: Micros },
}

/// The keys that each fault takes besides `at` and `what`: those it needs, and those it may have.
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

fn draw_share(count: usize, share: f64, seed: u64) -> Vec<usize> {
    let mut all: Vec<usize> = (0..count).collect();
    fastrand::Rng::with_seed(seed ^ 0x5ec7).shuffle(&mut all);
    all.truncate(((count as f64 * share).round() as usize).clamp(1, count));
    all.sort_unstable();
    all
}

impl Row {
    /// Turns a row into what it means; what is wrong with it is noted, and nothing comes of it.
    pub(super) fn check(
        self,
        ingresses: u16,
        backends: usize,
        seed: u64,
        c: &mut Checks,
    ) -> Option<Step> {
        let what = self.what.get_ref().as_str();
        let Some((_, needs, may)) = KEYS.iter().find(|k| k.0 == what) else {
            let known: Vec<&str> = KEYS.iter().map(|k| k.0).collect();
            c.wrong(
                self.what.span(),
                format!("there is no fault \"{what}\"; known: {}", known.join(", ")),
            );
            return None;
        };
        let mut good = true;
        let mut given: Vec<(&str, std::ops::Range<usize>)> = Vec::new();
        macro_rules! note {
            ($($key:expr => $field:ident),* $(,)?) => {
                $(given.extend(self.$field.as_ref().map(|s| ($key, s.span())));)*
            };
        }
        note!("ingress" => ingress, "backend" => backend, "share" => share, "for" => lasts, "down" => down,
              "delay" => delay, "every" => every, "byte" => byte, "factor" => factor, "cores" => cores,
              "rate" => rate, "loss" => loss, "repeat" => repeat, "accounts" => accounts, "count" => count,
              "manner" => manner, "leg" => leg, "from" => from, "to" => to, "fault" => fault);
        let takes_backends = needs.contains(&"backend");
        for (key, span) in &given {
            let fits =
                needs.contains(key) || may.contains(key) || (*key == "share" && takes_backends);
            if !fits {
                c.wrong(span.clone(), format!("\"{what}\" takes no {key}"));
                good = false;
            }
        }
        for need in needs.iter() {
            let instead = *need == "backend" && self.share.is_some();
            if !instead && !given.iter().any(|g| g.0 == *need) {
                let or = if *need == "backend" { " or share" } else { "" };
                c.wrong(self.what.span(), format!("\"{what}\" needs {need}{or}"));
                good = false;
            }
        }
        let mut list = |field: &Option<Spanned<OneOrMore>>, count: usize, kind: &str| {
            let Some(field) = field else {
                return (0..count).collect();
            };
            let numbers = field.get_ref().0.clone();
            if let Some(n) = numbers.iter().find(|n| **n >= count as u64) {
                c.wrong(
                    field.span(),
                    format!(
                        "there is no {kind} {n}: they are numbered from 0 to {}",
                        count - 1
                    ),
                );
                good = false;
            }
            if numbers.is_empty() {
                c.wrong(field.span(), format!("names no {kind}"));
                good = false;
            }
            numbers
                .into_iter()
                .map(|n| n as usize)
                .filter(|n| *n < count)
                .collect::<Vec<_>>()
        };
        let on = list(&self.ingress, usize::from(ingresses), "ingress");
        let (from, to) = (
            list(&self.from, usize::from(ingresses), "ingress"),
            list(&self.to, usize::from(ingresses), "ingress"),
        );
        let mut of = list(&self.backend, backends, "backend");
        if let Some(share) = &self.share {
            if self.backend.is_some() || !(0.0..=1.0).contains(share.get_ref()) {
                c.wrong(
                    share.span(),
                    "share is from 0 to 1, and stands in place of backend",
                );
                good = false;
            }
            of = draw_share(
                backends,
                share.get_ref().clamp(0.0, 1.0),
                seed ^ self.at.get_ref().0,
            );
        }
        let mut number = |field: &Option<Spanned<f64>>, low: f64, high: f64, absent: f64| {
            let Some(field) = field else { return absent };
            let n = *field.get_ref();
            if !(low..=high).contains(&n) {
                c.wrong(
                    field.span(),
                    format!("this is from {low} to {high}, not {n}"),
                );
                good = false;
            }
            n
        };
        let (rate, cores) = (
            number(&self.rate, 0.01, 20_000.0, 1.0),
            number(&self.cores, 0.01, 64.0, 1.0),
        );
        let factor = number(&self.factor, 0.0, 0.99, 0.5);
        let (loss, repeat) = (
            number(&self.loss, 0.0, 1.0, 0.0),
            number(&self.repeat, 0.0, 1.0, 0.0),
        );
        let count = self.count.as_ref().map_or(1, |s| *s.get_ref());
        if let Some(s) = self
            .count
            .as_ref()
            .filter(|s| !(1..=20_000).contains(s.get_ref()))
        {
            c.wrong(s.span(), "count is from 1 to 20000");
            good = false;
        }
        let accounts = self.accounts.as_ref().map_or(1, |s| *s.get_ref());
        if let Some(s) = self
            .accounts
            .as_ref()
            .filter(|s| !(1..=1_000).contains(s.get_ref()))
        {
            c.wrong(s.span(), "accounts is from 1 to 1000");
            good = false;
        }
        let manner = match self
            .manner
            .as_ref()
            .map(|s| (s.get_ref().as_str(), s.span()))
        {
            None | Some(("half", _)) => Manner::Half,
            Some(("garbage", _)) => Manner::Garbage,
            Some(("deaf", _)) => Manner::Deaf,
            Some(("mute", _)) => Manner::Mute,
            Some(("same-id", _)) => Manner::SameId,
            Some((other, span)) => {
                c.wrong(
                    span,
                    format!("a manner is half, garbage, deaf, mute or same-id, not {other}"),
                );
                return None;
            }
        };
        let leg = match self.leg.as_ref().map(|s| (s.get_ref().as_str(), s.span())) {
            None | Some(("backends", _)) => Leg::Backends,
            Some(("clients", _)) => Leg::Clients,
            Some(("discovery", _)) => Leg::Discovery,
            Some((other, span)) => {
                c.wrong(
                    span,
                    format!("a leg is clients, backends or discovery, not {other}"),
                );
                return None;
            }
        };
        let needed = match self.fault.as_ref().map(|f| f.get_ref().as_str()) {
            Some("reset") => Some(("byte", self.byte.is_some())),
            Some("late") => Some(("delay", self.delay.is_some())),
            _ => None,
        };
        if let (Some((key, false)), Some(fault)) = (needed, &self.fault) {
            c.wrong(fault.span(), format!("this fault needs {key}"));
            good = false;
        }
        if !good {
            return None;
        }
        let span = |s: &Option<Spanned<Span>>, absent| s.as_ref().map_or(absent, |s| s.get_ref().0);
        let lasts = span(&self.lasts, 0);
        let (delay, every) = (span(&self.delay, 0), span(&self.every, 0));
        let down = span(&self.down, SECOND / 2);
        let link = match self
            .fault
            .as_ref()
            .map(|f| (f.get_ref().as_str(), f.span()))
        {
            None | Some(("dropped", _)) => LinkFault::Dropped,
            Some(("refused", _)) => LinkFault::Refused,
            Some(("reset", _)) => LinkFault::Reset(self.byte.as_ref().map_or(0, |b| *b.get_ref())),
            Some(("late", _)) => LinkFault::Late(delay),
            Some(("one-way", _)) => LinkFault::OneWay,
            Some((other, span)) => {
                c.wrong(
                    span,
                    format!("a fault is dropped, refused, reset, late or one-way, not {other}"),
                );
                return None;
            }
        };
        let fault = match what {
            "link" => Fault::Link {
                from,
                to,
                fault: link,
                lasts,
            },
            "kill" => Fault::Kill {
                ingresses: on,
                down: self.down.as_ref().map(|s| s.get_ref().0),
            },
            "restart" => Fault::Restart {
                ingresses: on,
                every,
                down,
            },
            "freeze" => Fault::Freeze {
                ingresses: on,
                lasts,
            },
            "throttle" => Fault::Throttle {
                ingresses: on,
                cores,
                lasts,
            },
            "move-discovery" => Fault::Move { ingresses: on },
            "drain" => Fault::Drain { backends: of },
            "up" => Fault::Up { backends: of },
            "remove" => Fault::Remove { backends: of },
            "die" => Fault::Die { backends: of, down },
            "replace" => Fault::Replace {
                backends: of,
                every,
                down,
            },
            "hang" => Fault::Hang {
                backends: of,
                lasts,
            },
            "reset" => Fault::Reset {
                backends: of,
                byte: self.byte.map_or(0, |b| *b.get_ref()),
                lasts,
            },
            "spoil" => Fault::Spoil {
                backends: of,
                lasts,
            },
            "bytewise" => Fault::Bytewise {
                backends: of,
                lasts,
            },
            "echo" => Fault::Echo {
                backends: of,
                lasts,
            },
            "neighbour" => Fault::Neighbour {
                backends: of,
                factor,
                lasts,
            },
            "discovery-silent" => Fault::DiscoverySilent {
                ingresses: on,
                lasts,
            },
            "discovery-gone" => Fault::DiscoveryGone {
                ingresses: on,
                lasts,
            },
            "discovery-late" => Fault::DiscoveryLate {
                ingresses: on,
                delay,
                lasts,
            },
            "split" => Fault::Split { lasts },
            "lossy" => Fault::Lossy {
                loss,
                repeat,
                delay,
                lasts,
            },
            "hot" => Fault::Hot {
                accounts,
                rate,
                lasts,
            },
            "scan" => Fault::Scan { rate, lasts },
            "crowd" => Fault::Crowd {
                ingresses: on,
                count,
                lasts,
            },
            "hostile" => Fault::Hostile {
                ingresses: on,
                count,
                manner,
                lasts,
            },
            "leg-silent" => Fault::Leg {
                leg,
                fault: LegFault::Silent,
                ingresses: on,
                lasts,
            },
            "counter-silent" => Fault::Counter {
                fault: CounterFault::Silent,
                lasts,
            },
            "counter-busy" => Fault::Counter {
                fault: CounterFault::Busy,
                lasts,
            },
            "counter-slow" => Fault::Counter {
                fault: CounterFault::Slow(delay),
                lasts,
            },
            "counter-gone" => Fault::Counter {
                fault: CounterFault::Gone,
                lasts,
            },
            "leg-reset" => Fault::Leg {
                leg,
                fault: LegFault::Reset,
                ingresses: on,
                lasts,
            },
            _ => Fault::Leg {
                leg,
                fault: LegFault::Slow(delay),
                ingresses: on,
                lasts,
            },
        };
        Some(Step {
            at: self.at.get_ref().0,
            fault,
        })
    }
}

/// A list of numbers for people: `1, 2, 5`, or how many where there are many.
fn numbers(list: &[usize]) -> String {
    if list.len() > 8 {
        return format!("({} of them)", list.len());
    }
    list.iter()
        .map(usize::to_string)
        .collect::<Vec<_>>()
        .join(", ")
}

/// What goes wrong, in plain words.
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
                write!(f, "backend {} dies, back in {} s", n(b), s(down))
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
