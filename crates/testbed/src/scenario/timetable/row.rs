//! Checks a row of the timetable and converts it to a step.

use super::super::file::{Checks, Span};
use super::super::{Micros, SECOND};
use super::{
    draw_share, CounterFault, Fault, Leg, LegFault, LinkFault, Manner, OneOrMore, Row, Step, KEYS,
};
use std::ops::{Range, RangeInclusive};
use toml::Spanned;

/// Rates that a fault may have, in requests per second.
const RATES: RangeInclusive<f64> = 0.01..=20_000.0;
/// Numbers of processor cores that an ingress may be limited to.
const CORES: RangeInclusive<f64> = 0.01..=64.0;
/// Shares of a backend that another program may use.
const FACTORS: RangeInclusive<f64> = 0.0..=0.99;
/// Shares of anything.
const SHARES: RangeInclusive<f64> = 0.0..=1.0;
/// Numbers of clients or connections.
const COUNTS: RangeInclusive<u32> = 1..=20_000;
/// Numbers of accounts.
const ACCOUNTS: RangeInclusive<u32> = 1..=1_000;
/// How long a process is down unless the row says so.
const USUAL_DOWN: Micros = SECOND / 2;

/// What a scenario has, and the seed of its draws.
#[derive(Clone, Copy)]
pub(in super::super) struct Site {
    pub(in super::super) ingresses: u16,
    pub(in super::super) backends: usize,
    pub(in super::super) seed: u64,
}

/// The processes that a row names, as indexes from 0.
struct Targets {
    ingresses: Vec<usize>,
    from: Vec<usize>,
    to: Vec<usize>,
    backends: Vec<usize>,
}

/// The numbers in a row; each has a value also where the row has none.
#[derive(Clone, Copy)]
struct Numbers {
    rate: f64,
    cores: f64,
    factor: f64,
    loss: f64,
    repeat: f64,
    count: u32,
    accounts: u32,
}

/// The durations in a row, in microseconds; each has a value also where the row has none.
#[derive(Clone, Copy)]
struct Durations {
    lasts: Micros,
    delay: Micros,
    every: Micros,
    down: Micros,
}

impl Durations {
    fn of(row: &Row) -> Durations {
        let span = |span: &Option<Spanned<Span>>, absent| {
            span.as_ref().map_or(absent, |span| span.get_ref().0)
        };
        Durations {
            lasts: span(&row.lasts, 0),
            delay: span(&row.delay, 0),
            every: span(&row.every, 0),
            down: span(&row.down, USUAL_DOWN),
        }
    }
}

/// A row whose values are all valid.
struct ValidRow<'a> {
    row: &'a Row,
    targets: Targets,
    numbers: Numbers,
    durations: Durations,
    manner: Manner,
    leg: Leg,
    link_fault: LinkFault,
}

/// A word in a row, with its position in the file.
fn word(field: &Option<Spanned<String>>) -> Option<(&str, Range<usize>)> {
    let field = field.as_ref()?;
    Some((field.get_ref(), field.span()))
}

/// Checks a row and records its errors.
struct RowChecks<'a, 'c> {
    row: &'a Row,
    checks: &'a mut Checks<'c>,
    valid: bool,
}

impl RowChecks<'_, '_> {
    fn error(&mut self, span: Range<usize>, text: impl Into<String>) {
        self.checks.error(span, text);
        self.valid = false;
    }

    /// Checks that the row has the keys that its fault requires, and no others than it allows.
    fn check_keys(&mut self, required: &[&str], optional: &[&str]) {
        let what = self.row.what.get_ref().as_str();
        let given = self.row.given_keys();
        let accepts_share = required.contains(&"backend");
        for (key, span) in &given {
            let is_listed = required.contains(key) || optional.contains(key);
            let replaces_backend = *key == "share" && accepts_share;
            if !(is_listed || replaces_backend) {
                self.error(span.clone(), format!("\"{what}\" takes no {key}"));
            }
        }
        for key in required {
            let replaced_by_share = *key == "backend" && self.row.share.is_some();
            if !replaced_by_share && !given.iter().any(|given| given.0 == *key) {
                let or = if *key == "backend" { " or share" } else { "" };
                let span = self.row.what.span();
                self.error(span, format!("\"{what}\" needs {key}{or}"));
            }
        }
    }

    /// The indexes that a key lists; all below `count` without it.
    fn indexes(
        &mut self,
        field: &Option<Spanned<OneOrMore>>,
        count: usize,
        kind: &str,
    ) -> Vec<usize> {
        let Some(field) = field else {
            return (0..count).collect();
        };
        let numbers = &field.get_ref().0;
        if let Some(n) = numbers.iter().find(|n| **n >= count as u64) {
            let last = count - 1;
            let text = format!("there is no {kind} {n}: they are numbered from 0 to {last}");
            self.error(field.span(), text);
        }
        if numbers.is_empty() {
            self.error(field.span(), format!("names no {kind}"));
        }
        let numbers = numbers.iter().map(|n| *n as usize);
        numbers.filter(|n| *n < count).collect()
    }

    fn targets(&mut self, site: Site) -> Targets {
        let row = self.row;
        let ingresses = usize::from(site.ingresses);
        Targets {
            ingresses: self.indexes(&row.ingress, ingresses, "ingress"),
            from: self.indexes(&row.from, ingresses, "ingress"),
            to: self.indexes(&row.to, ingresses, "ingress"),
            backends: self.backends(site),
        }
    }

    fn backends(&mut self, site: Site) -> Vec<usize> {
        let row = self.row;
        let listed = self.indexes(&row.backend, site.backends, "backend");
        let Some(share) = &row.share else {
            return listed;
        };
        if row.backend.is_some() || !SHARES.contains(share.get_ref()) {
            let text = "share is from 0 to 1, and stands in place of backend";
            self.error(share.span(), text);
        }
        let share = share.get_ref().clamp(*SHARES.start(), *SHARES.end());
        draw_share(site.backends, share, site.seed ^ row.at.get_ref().0)
    }

    fn number(
        &mut self,
        field: &Option<Spanned<f64>>,
        allowed: &RangeInclusive<f64>,
        absent: f64,
    ) -> f64 {
        let Some(field) = field else { return absent };
        let n = *field.get_ref();
        if !allowed.contains(&n) {
            let (low, high) = (allowed.start(), allowed.end());
            let text = format!("this is from {low} to {high}, not {n}");
            self.error(field.span(), text);
        }
        n
    }

    /// A whole number, 1 without its key.
    fn count(
        &mut self,
        field: &Option<Spanned<u32>>,
        allowed: &RangeInclusive<u32>,
        key: &str,
    ) -> u32 {
        let Some(field) = field else { return 1 };
        if !allowed.contains(field.get_ref()) {
            let (low, high) = (allowed.start(), allowed.end());
            self.error(field.span(), format!("{key} is from {low} to {high}"));
        }
        *field.get_ref()
    }

    fn numbers(&mut self) -> Numbers {
        let row = self.row;
        Numbers {
            rate: self.number(&row.rate, &RATES, 1.0),
            cores: self.number(&row.cores, &CORES, 1.0),
            factor: self.number(&row.factor, &FACTORS, 0.5),
            loss: self.number(&row.loss, &SHARES, 0.0),
            repeat: self.number(&row.repeat, &SHARES, 0.0),
            count: self.count(&row.count, &COUNTS, "count"),
            accounts: self.count(&row.accounts, &ACCOUNTS, "accounts"),
        }
    }

    fn manner(&mut self) -> Option<Manner> {
        Some(match word(&self.row.manner) {
            None | Some(("half", _)) => Manner::Half,
            Some(("garbage", _)) => Manner::Garbage,
            Some(("deaf", _)) => Manner::Deaf,
            Some(("mute", _)) => Manner::Mute,
            Some(("same-id", _)) => Manner::SameId,
            Some((other, span)) => {
                let known = "half, garbage, deaf, mute or same-id";
                self.error(span, format!("a manner is {known}, not {other}"));
                return None;
            }
        })
    }

    fn leg(&mut self) -> Option<Leg> {
        Some(match word(&self.row.leg) {
            None | Some(("backends", _)) => Leg::Backends,
            Some(("clients", _)) => Leg::Clients,
            Some(("discovery", _)) => Leg::Discovery,
            Some((other, span)) => {
                let known = "clients, backends or discovery";
                self.error(span, format!("a leg is {known}, not {other}"));
                return None;
            }
        })
    }

    /// Checks that a link's fault has the key that it needs.
    fn check_link_keys(&mut self) {
        let Some((fault, span)) = word(&self.row.fault) else {
            return;
        };
        let missing = match fault {
            "reset" if self.row.byte.is_none() => "byte",
            "late" if self.row.delay.is_none() => "delay",
            _ => return,
        };
        self.error(span, format!("this fault needs {missing}"));
    }

    fn link_fault(&mut self, delay: Micros) -> Option<LinkFault> {
        Some(match word(&self.row.fault) {
            None | Some(("dropped", _)) => LinkFault::Dropped,
            Some(("refused", _)) => LinkFault::Refused,
            Some(("reset", _)) => LinkFault::Reset(self.row.byte()),
            Some(("late", _)) => LinkFault::Late(delay),
            Some(("one-way", _)) => LinkFault::OneWay,
            Some((other, span)) => {
                let known = "dropped, refused, reset, late or one-way";
                self.error(span, format!("a fault is {known}, not {other}"));
                return None;
            }
        })
    }
}

impl ValidRow<'_> {
    fn fault(&self) -> Fault {
        let fault = self.ingress_fault().or_else(|| self.backend_fault());
        let fault = fault.or_else(|| self.discovery_fault());
        let fault = fault.or_else(|| self.client_fault());
        fault.unwrap_or_else(|| self.network_fault())
    }

    fn ingress_fault(&self) -> Option<Fault> {
        let ingresses = self.targets.ingresses.clone();
        let Durations {
            lasts, every, down, ..
        } = self.durations;
        Some(match self.row.what.get_ref().as_str() {
            "kill" => Fault::Kill {
                ingresses,
                down: self.row.down.as_ref().map(|span| span.get_ref().0),
            },
            "restart" => Fault::Restart {
                ingresses,
                every,
                down,
            },
            "freeze" => Fault::Freeze { ingresses, lasts },
            "throttle" => Fault::Throttle {
                ingresses,
                cores: self.numbers.cores,
                lasts,
            },
            _ => return None,
        })
    }

    fn backend_fault(&self) -> Option<Fault> {
        let backends = self.targets.backends.clone();
        let Durations {
            lasts, every, down, ..
        } = self.durations;
        Some(match self.row.what.get_ref().as_str() {
            "drain" => Fault::Drain { backends },
            "up" => Fault::Up { backends },
            "remove" => Fault::Remove { backends },
            "die" => Fault::Die { backends, down },
            "replace" => Fault::Replace {
                backends,
                every,
                down,
            },
            "hang" => Fault::Hang { backends, lasts },
            "reset" => Fault::Reset {
                backends,
                byte: self.row.byte(),
                lasts,
            },
            "spoil" => Fault::Spoil { backends, lasts },
            "bytewise" => Fault::Bytewise { backends, lasts },
            "echo" => Fault::Echo { backends, lasts },
            "neighbour" => Fault::Neighbour {
                backends,
                factor: self.numbers.factor,
                lasts,
            },
            _ => return None,
        })
    }

    fn discovery_fault(&self) -> Option<Fault> {
        let ingresses = self.targets.ingresses.clone();
        let Durations { lasts, delay, .. } = self.durations;
        Some(match self.row.what.get_ref().as_str() {
            "move-discovery" => Fault::Move { ingresses },
            "discovery-silent" => Fault::DiscoverySilent { ingresses, lasts },
            "discovery-gone" => Fault::DiscoveryGone { ingresses, lasts },
            "discovery-late" => Fault::DiscoveryLate {
                ingresses,
                delay,
                lasts,
            },
            _ => return None,
        })
    }

    fn client_fault(&self) -> Option<Fault> {
        let ingresses = self.targets.ingresses.clone();
        let lasts = self.durations.lasts;
        let Numbers {
            rate,
            count,
            accounts,
            ..
        } = self.numbers;
        Some(match self.row.what.get_ref().as_str() {
            "hot" => Fault::Hot {
                accounts,
                rate,
                lasts,
            },
            "scan" => Fault::Scan { rate, lasts },
            "crowd" => Fault::Crowd {
                ingresses,
                count,
                lasts,
            },
            "hostile" => Fault::Hostile {
                ingresses,
                count,
                manner: self.manner,
                lasts,
            },
            _ => return None,
        })
    }

    /// The fault of a network segment, of messages between peers, or of the count service.
    fn network_fault(&self) -> Fault {
        let Durations { lasts, delay, .. } = self.durations;
        let leg = |fault| Fault::Leg {
            leg: self.leg,
            fault,
            ingresses: self.targets.ingresses.clone(),
            lasts,
        };
        let counter = |fault| Fault::Counter { fault, lasts };
        match self.row.what.get_ref().as_str() {
            "link" => Fault::Link {
                from: self.targets.from.clone(),
                to: self.targets.to.clone(),
                fault: self.link_fault,
                lasts,
            },
            "split" => Fault::Split { lasts },
            "lossy" => Fault::Lossy {
                loss: self.numbers.loss,
                repeat: self.numbers.repeat,
                delay,
                lasts,
            },
            "counter-silent" => counter(CounterFault::Silent),
            "counter-busy" => counter(CounterFault::Busy),
            "counter-slow" => counter(CounterFault::Slow(delay)),
            "counter-gone" => counter(CounterFault::Gone),
            "leg-silent" => leg(LegFault::Silent),
            "leg-reset" => leg(LegFault::Reset),
            _ => leg(LegFault::Slow(delay)),
        }
    }
}

impl Row {
    /// Checks a row and converts it to a step; errors are recorded in `checks`, and the result is `None`.
    pub(in super::super) fn check(self, site: Site, checks: &mut Checks) -> Option<Step> {
        let what = self.what.get_ref().as_str();
        let Some((_, required, optional)) = KEYS.iter().find(|keys| keys.0 == what) else {
            let known: Vec<&str> = KEYS.iter().map(|keys| keys.0).collect();
            let known = known.join(", ");
            let text = format!("there is no fault \"{what}\"; known: {known}");
            checks.error(self.what.span(), text);
            return None;
        };
        let mut row = RowChecks {
            row: &self,
            checks,
            valid: true,
        };
        row.check_keys(required, optional);
        let targets = row.targets(site);
        let numbers = row.numbers();
        let manner = row.manner()?;
        let leg = row.leg()?;
        row.check_link_keys();
        if !row.valid {
            return None;
        }
        let durations = Durations::of(&self);
        let link_fault = row.link_fault(durations.delay)?;
        let valid = ValidRow {
            row: &self,
            targets,
            numbers,
            durations,
            manner,
            leg,
            link_fault,
        };
        Some(Step {
            at: self.at.get_ref().0,
            fault: valid.fault(),
        })
    }

    fn byte(&self) -> u32 {
        self.byte.as_ref().map_or(0, |byte| *byte.get_ref())
    }

    /// The keys in the row besides `at` and `what`, with their positions in the file.
    fn given_keys(&self) -> Vec<(&'static str, Range<usize>)> {
        let mut given = Vec::new();
        macro_rules! collect {
            ($($key:expr => $field:ident),* $(,)?) => {
                $(given.extend(self.$field.as_ref().map(|value| ($key, value.span())));)*
            };
        }
        collect!("ingress" => ingress, "backend" => backend, "share" => share, "for" => lasts, "down" => down,
            "delay" => delay, "every" => every, "byte" => byte, "factor" => factor, "cores" => cores,
            "rate" => rate, "loss" => loss, "repeat" => repeat, "accounts" => accounts, "count" => count,
            "manner" => manner, "leg" => leg, "from" => from, "to" => to, "fault" => fault);
        given
    }
}
