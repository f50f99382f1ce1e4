//! How many tokens that turn out bad a source may have checked: each costs a signature check, and a caller that fails costs less
//! than one that is served only as long as such checks are few. What is cached is not counted, so that a source with
//! honest callers among others still serves those that were here before.

use std::collections::{HashMap, VecDeque};
use std::net::IpAddr;

/// Microseconds.
pub type Micros = u64;

/// Bad tokens that a source may show at once, and in a second after that.
const BURST: f64 = 20.0;
const RATE: f64 = 2.0;
/// Sources that are remembered; of more, the one that was noticed first is forgotten.
const MOST: usize = 1_024;

/// Where a connection comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Source {
    /// An IPv4 address, or the first half of an IPv6 one: whoever has one address there has them all.
    Net(u64),
    /// A user of this machine.
    User(u32),
    /// Nothing is known of it.
    Unknown,
}

impl Source {
    /// Of an address.
    pub fn of(address: IpAddr) -> Source {
        match address.to_canonical() {
            IpAddr::V4(v4) => Source::Net(u64::from(u32::from(v4))),
            // The lowest bit keeps these apart from all of IPv4.
            IpAddr::V6(v6) => Source::Net((u128::from(v6) >> 64) as u64 | 1 << 63),
        }
    }
}

/// Sources that have failed.
#[derive(Debug, Default)]
pub struct Sources {
    left: HashMap<Source, (f64, Micros)>,
    order: VecDeque<Source>,
}

impl Sources {
    /// Whether one more token from there is checked.
    pub fn may(&self, source: Source, now: Micros) -> bool {
        self.left
            .get(&source)
            .is_none_or(|l| filled(*l, now) >= 1.0)
    }

    /// One from there turned out bad.
    pub fn failed(&mut self, source: Source, now: Micros) {
        if let Some(left) = self.left.get_mut(&source) {
            *left = (filled(*left, now) - 1.0, now);
            return;
        }
        if self.left.len() >= MOST {
            if let Some(first) = self.order.pop_front() {
                self.left.remove(&first);
            }
        }
        self.left.insert(source, (BURST - 1.0, now));
        self.order.push_back(source);
    }
}

fn filled((left, at): (f64, Micros), now: Micros) -> f64 {
    (left + now.saturating_sub(at) as f64 / 1e6 * RATE).min(BURST)
}

#[cfg(test)]
mod tests {
    use super::{Source, Sources, MOST};

    /// Guards against a flood of bad tokens that has each of them checked, and one source that shuts out another.
    #[test]
    fn a_source_has_few_bad_tokens_checked_and_no_other_suffers_for_it() {
        let (mut sources, mut checked) = (Sources::default(), 0);
        let (bad, good) = (
            Source::of("10.0.0.1".parse().unwrap()),
            Source::of("10.0.0.2".parse().unwrap()),
        );
        for n in 0..10_000u64 {
            let now = n * 1_000; // ten seconds, a thousand a second
            if sources.may(bad, now) {
                checked += 1;
                sources.failed(bad, now);
            }
            assert!(sources.may(good, now));
        }
        assert!((38..=42).contains(&checked), "{checked}");
        assert!(sources.may(bad, 20_000_000), "it may try again later");
        for n in 0..5_000u64 {
            sources.failed(Source::Net(n << 8), 0);
        }
        assert_eq!((sources.left.len(), sources.order.len()), (MOST, MOST));
    }

    #[test]
    fn one_net_of_version_6_is_one_source_and_none_of_version_4() {
        let of = |t: &str| Source::of(t.parse().unwrap());
        assert_eq!(of("2001:db8::1"), of("2001:db8::ffff:1"));
        assert_ne!(of("2001:db8::1"), of("2001:db8:0:1::1"));
        assert_eq!(of("::ffff:10.0.0.1"), of("10.0.0.1"));
        assert_ne!(of("::1"), of("0.0.0.0"));
    }
}
