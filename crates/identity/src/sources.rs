//! Limits how many invalid tokens of one source are verified. Each one costs a signature check, so without a limit a flood of
//! invalid tokens costs more than the requests that are served. Cached tokens don't count, so that callers with a cached token
//! are still served when another caller at the same source sends invalid ones.

use std::collections::{HashMap, VecDeque};
use std::net::IpAddr;

/// A time in microseconds, on any clock that never goes back.
pub type Micros = u64;

/// How many invalid tokens of a source are verified in one burst.
const BURST: f64 = 20.0;
/// How many invalid tokens of a source are verified per second after the burst.
const RATE_PER_SECOND: f64 = 2.0;
/// How many sources are tracked; beyond that, the one that was added first is dropped.
const MAX_SOURCES: usize = 1_024;

/// The origin of a connection, as far as limits on invalid tokens go.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Source {
    /// An IPv4 address, or the upper 64 bits of an IPv6 address: whoever has one address of a /64 network can use all of them.
    Net(u64),
    /// A local user, by user ID.
    User(u32),
    /// The origin could not be determined; all such connections share one limit.
    Unknown,
}

impl Source {
    /// The source that an address belongs to. IPv4-mapped IPv6 addresses count as IPv4.
    pub fn of(address: IpAddr) -> Source {
        match address.to_canonical() {
            IpAddr::V4(v4) => Source::Net(u64::from(u32::from(v4))),
            // The top bit keeps IPv6 networks apart from all IPv4 addresses.
            IpAddr::V6(v6) => Source::Net((u128::from(v6) >> 64) as u64 | 1 << 63),
        }
    }
}

/// The sources that have sent invalid tokens, each with a token bucket of remaining verifications.
#[derive(Debug, Default)]
pub struct Sources {
    buckets: HashMap<Source, (f64, Micros)>,
    order: VecDeque<Source>,
}

impl Sources {
    /// Whether another token from this source may be verified.
    pub fn may_verify(&self, source: Source, now: Micros) -> bool {
        self.buckets
            .get(&source)
            .is_none_or(|bucket| refilled(*bucket, now) >= 1.0)
    }

    /// Records that a token from this source was invalid.
    pub fn record_failure(&mut self, source: Source, now: Micros) {
        if let Some(bucket) = self.buckets.get_mut(&source) {
            *bucket = (refilled(*bucket, now) - 1.0, now);
            return;
        }
        if self.buckets.len() >= MAX_SOURCES {
            if let Some(first) = self.order.pop_front() {
                self.buckets.remove(&first);
            }
        }
        self.buckets.insert(source, (BURST - 1.0, now));
        self.order.push_back(source);
    }
}

/// The verifications left in a bucket that had `left` of them at time `updated`.
fn refilled((left, updated): (f64, Micros), now: Micros) -> f64 {
    (left + now.saturating_sub(updated) as f64 / 1e6 * RATE_PER_SECOND).min(BURST)
}

#[cfg(test)]
mod tests {
    use super::{Source, Sources, MAX_SOURCES};

    /// Guards against verifying every token of a flood of invalid ones, and against one source using up the limit of another.
    #[test]
    fn invalid_tokens_are_limited_per_source() {
        let (mut sources, mut verified) = (Sources::default(), 0);
        let (failing, other) = (
            Source::of("10.0.0.1".parse().unwrap()),
            Source::of("10.0.0.2".parse().unwrap()),
        );
        for n in 0..10_000u64 {
            let now = n * 1_000; // 1000 tokens per second for 10 seconds
            if sources.may_verify(failing, now) {
                verified += 1;
                sources.record_failure(failing, now);
            }
            assert!(sources.may_verify(other, now));
        }
        assert!((38..=42).contains(&verified), "{verified}");
        assert!(
            sources.may_verify(failing, 20_000_000),
            "the bucket of the failing source is not refilled after 10 seconds"
        );
        for n in 0..5_000u64 {
            sources.record_failure(Source::Net(n << 8), 0);
        }
        assert_eq!(
            (sources.buckets.len(), sources.order.len()),
            (MAX_SOURCES, MAX_SOURCES)
        );
    }

    #[test]
    fn an_ipv6_network_is_one_source_distinct_from_ipv4() {
        let of = |t: &str| Source::of(t.parse().unwrap());
        assert_eq!(of("2001:db8::1"), of("2001:db8::ffff:1"));
        assert_ne!(of("2001:db8::1"), of("2001:db8:0:1::1"));
        assert_eq!(of("::ffff:10.0.0.1"), of("10.0.0.1"));
        assert_ne!(of("::1"), of("0.0.0.0"));
    }
}
