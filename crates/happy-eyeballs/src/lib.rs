//! A node may have several addresses: a Unix socket, IPv6, IPv4. This package says in what order they are tried ([`Book`])
//! and how connects race ([`Race`]), after the ideas of RFC 8305 (Happy Eyeballs). No I/O, no clock.
//!
//! Connects race, requests never do: a request is written once, to the connection that came up first. Whether what may have
//! run is sent again, over whatever address, is the decision module's alone.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;

/// Microseconds.
pub type Micros = u64;

/// The most addresses of a node; more are left out.
pub const MOST_ADDRESSES: usize = 8;
/// How long an address that failed comes after the others, and how often that doubles.
const REST: Micros = 1_000_000;
const MOST_DOUBLINGS: u32 = 6;
/// Between two connects of a race: a part of the time that a connect may take, within these bounds (RFC 8305, section 8).
const DELAY_PART: Micros = 4;
const DELAY: (Micros, Micros) = (10_000, 250_000);
/// The longest path of a socket, in bytes.
const MOST_PATH: usize = 100;

/// Where a node can be reached.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Address {
    /// An address and port.
    Tcp(SocketAddr),
    /// A socket's path.
    Unix(Arc<str>),
}

impl Address {
    /// Reads `IP:PORT` or `unix:` and an absolute path.
    ///
    /// # Errors
    ///
    /// With what is wrong, in words.
    pub fn read(text: &str) -> Result<Address, String> {
        match text.strip_prefix("unix:") {
            Some(path) if !path.starts_with('/') || path.ends_with('/') || path.contains('\0') => {
                Err(format!("\"{path}\" is no absolute path of a socket"))
            }
            Some(path) if path.len() > MOST_PATH => {
                Err(format!("a socket's path has {MOST_PATH} bytes at most"))
            }
            Some(path) => Ok(Address::Unix(path.into())),
            None => {
                let at: SocketAddr = text
                    .parse()
                    .map_err(|_| format!("\"{text}\" is neither IP:PORT nor unix:PATH"))?;
                if at.port() == 0 {
                    return Err(format!("\"{text}\" has no port"));
                }
                Ok(Address::Tcp(at))
            }
        }
    }

    /// Families are taken in turns: one that does not work on this machine must not cost more than one delay.
    fn family(&self) -> u8 {
        match self {
            Address::Unix(_) => 0,
            Address::Tcp(SocketAddr::V6(_)) => 1,
            Address::Tcp(SocketAddr::V4(_)) => 2,
        }
    }
}

impl std::fmt::Display for Address {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        match self {
            Address::Tcp(at) => write!(f, "{at}"),
            Address::Unix(path) => write!(f, "unix:{path}"),
        }
    }
}

/// How an address fared.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fared {
    /// It answered.
    Well,
    /// It refused, was not there, or did not come up in time.
    Unreached,
    /// It accepted a request and said nothing until its time was over.
    Silent,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct Line {
    place: Address,
    strikes: u32,
    rests_until: Micros,
}

/// The addresses of a node.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Book(Vec<Line>);

impl Book {
    /// Takes the addresses that are listed now, and keeps what is known of those that stay. Tells whether one went.
    pub fn update(&mut self, mut places: Vec<Address>) -> bool {
        places.truncate(MOST_ADDRESSES);
        let went = self.0.iter().any(|l| !places.contains(&l.place));
        let old = std::mem::take(&mut self.0);
        for place in places {
            if self.0.iter().all(|l| l.place != place) {
                let known = old.iter().find(|l| l.place == place).cloned();
                self.0.push(known.unwrap_or(Line {
                    place,
                    strikes: 0,
                    rests_until: 0,
                }));
            }
        }
        went
    }

    /// Whether an address is listed.
    pub fn has(&self, place: &Address) -> bool {
        self.0.iter().any(|l| l.place == *place)
    }

    /// The only address, where there is but one: nothing is to be put in order.
    pub fn only(&self) -> Option<&Address> {
        if let [line] = &self.0[..] {
            Some(&line.place)
        } else {
            None
        }
    }

    /// The addresses, best first: those that have not failed of late, families in turns and within one as listed, then
    /// those that have, the one that rests shortest first.
    pub fn order(&self, now: Micros) -> Vec<Address> {
        let rests = |l: &&Line| now < l.rests_until;
        let mut families: [Vec<&Line>; 3] = Default::default();
        for line in self.0.iter().filter(|l| !rests(l)) {
            families[usize::from(line.place.family())].push(line);
        }
        let longest = families.iter().map(Vec::len).max().unwrap_or(0);
        let turns =
            (0..longest).flat_map(|n| families.iter().filter_map(move |f| f.get(n).copied()));
        let mut order: Vec<Address> = turns.map(|l| l.place.clone()).collect();
        let mut resting: Vec<&Line> = self.0.iter().filter(rests).collect();
        resting.sort_by_key(|l| l.rests_until);
        order.extend(resting.into_iter().map(|l| l.place.clone()));
        order
    }

    /// Notes how an address fared.
    pub fn note(&mut self, place: &Address, fared: Fared, now: Micros) {
        let Some(line) = self.0.iter_mut().find(|l| l.place == *place) else {
            return;
        };
        match fared {
            Fared::Well => (line.strikes, line.rests_until) = (0, 0),
            Fared::Unreached | Fared::Silent => {
                line.rests_until = now + (REST << line.strikes.min(MOST_DOUBLINGS));
                line.strikes = line.strikes.saturating_add(1);
            }
        }
    }
}

/// What a race wants next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Next {
    /// A connect to this address begins now.
    Begin(Address),
    /// Nothing before this time, unless a connect fails.
    Wait(Micros),
    /// Every address has been tried; those that are under way may still come up.
    Nothing,
}

/// Connects to the addresses of one node for one request: each begins a delay after the one before it, or at once if that
/// one failed.
#[derive(Clone, Debug)]
pub struct Race {
    /// Those that are still to be tried, the next one last.
    left: Vec<Address>,
    delay: Micros,
    next_at: Micros,
}

impl Race {
    /// Over addresses in their order, each of which may take so long to come up.
    pub fn new(mut order: Vec<Address>, within: Micros, now: Micros) -> Race {
        order.reverse();
        Race {
            left: order,
            delay: (within / DELAY_PART).clamp(DELAY.0, DELAY.1),
            next_at: now,
        }
    }

    /// What is to be done now.
    pub fn next(&mut self, now: Micros) -> Next {
        if self.left.is_empty() {
            return Next::Nothing;
        }
        if now < self.next_at {
            return Next::Wait(self.next_at);
        }
        self.next_at = now + self.delay;
        self.left.pop().map_or(Next::Nothing, Next::Begin)
    }

    /// When the next address is due; none where all have been tried.
    pub fn due(&self) -> Option<Micros> {
        (!self.left.is_empty()).then_some(self.next_at)
    }

    /// A connect has failed: the next one need not wait.
    pub fn failed(&mut self, now: Micros) {
        self.next_at = now;
    }
}

#[cfg(test)]
mod tests {
    use super::{Address, Book, Fared, Micros, Next, Race, MOST_ADDRESSES, REST};
    use proptest::prelude::{prop_assert, prop_assert_eq, proptest};

    fn place(text: &str) -> Address {
        Address::read(text).unwrap()
    }

    fn book(places: &[&str]) -> Book {
        let mut book = Book::default();
        book.update(places.iter().map(|t| place(t)).collect());
        book
    }

    fn order(book: &Book, now: Micros) -> Vec<String> {
        book.order(now).iter().map(Address::to_string).collect()
    }

    #[test]
    fn what_is_no_address_is_told() {
        for text in [
            "",
            "localhost:80",
            "127.0.0.1",
            "127.0.0.1:0",
            "unix:",
            "unix:run/x",
            "unix:/run/",
            "[::1]:0",
        ] {
            assert!(Address::read(text).is_err(), "{text}");
        }
        assert!(Address::read(&format!("unix:/{}", "x".repeat(100))).is_err());
        for text in ["127.0.0.1:9", "[::1]:9", "unix:/run/x"] {
            assert_eq!(place(text).to_string(), text);
        }
    }

    #[test]
    fn families_take_turns_and_what_failed_comes_last_for_a_while() {
        let mut b = book(&[
            "127.0.0.1:1",
            "127.0.0.2:1",
            "[::1]:1",
            "unix:/a",
            "[::2]:1",
        ]);
        assert_eq!(
            order(&b, 0),
            [
                "unix:/a",
                "[::1]:1",
                "127.0.0.1:1",
                "[::2]:1",
                "127.0.0.2:1"
            ]
        );
        b.note(&place("unix:/a"), Fared::Unreached, 0);
        b.note(&place("[::1]:1"), Fared::Silent, 0);
        b.note(&place("[::1]:1"), Fared::Silent, 0);
        assert_eq!(
            order(&b, 1),
            [
                "[::2]:1",
                "127.0.0.1:1",
                "127.0.0.2:1",
                "unix:/a",
                "[::1]:1"
            ]
        );
        assert_eq!(order(&b, REST)[0], "unix:/a", "it rested for its time");
        b.note(&place("[::1]:1"), Fared::Well, REST);
        assert_eq!(order(&b, REST)[1], "[::1]:1", "it answered");
        assert!(!b.update(vec![
            place("[::1]:1"),
            place("unix:/a"),
            place("unix:/b"),
            place("127.0.0.1:1"),
            place("127.0.0.2:1"),
            place("[::2]:1")
        ]));
        assert!(
            b.update(vec![place("unix:/b")]) && b.only().is_some() && !b.has(&place("unix:/a"))
        );
    }

    #[test]
    fn a_race_begins_one_after_the_other_and_at_once_behind_a_failure() {
        let mut race = Race::new(
            book(&["127.0.0.1:1", "[::1]:1", "unix:/a"]).order(0),
            200_000,
            5,
        );
        assert_eq!(race.next(5), Next::Begin(place("unix:/a")));
        assert_eq!(race.next(6), Next::Wait(50_005));
        race.failed(7);
        assert_eq!(race.next(7), Next::Begin(place("[::1]:1")));
        assert_eq!(race.next(50_006), Next::Wait(50_007));
        assert_eq!(race.next(50_007), Next::Begin(place("127.0.0.1:1")));
        assert_eq!(race.next(99_999), Next::Nothing);
    }

    proptest! {
        /// Guards against an address that is forgotten, or tried twice in one race.
        #[test]
        fn every_address_is_in_the_order_once(
            list in proptest::collection::vec((0u8..3, 0u8..6), 0..12),
            events in proptest::collection::vec((0usize..12, 0u8..3, 0u64..200_000_000), 0..40),
            now in 0u64..400_000_000,
        ) {
            let of = |(family, n): &(u8, u8)| match family {
                0 => place(&format!("unix:/{n}")),
                1 => place(&format!("[::{n}]:9")),
                _ => place(&format!("127.0.0.{n}:9")),
            };
            let places: Vec<Address> = list.iter().map(of).collect();
            let mut book = Book::default();
            book.update(places.clone());
            for (n, fared, at) in events {
                let fared = [Fared::Well, Fared::Unreached, Fared::Silent][usize::from(fared)];
                if let Some(place) = places.get(n) {
                    book.note(place, fared, at);
                }
            }
            let mut first = Vec::new();
            for place in places.iter().take(MOST_ADDRESSES) {
                if !first.contains(place) {
                    first.push(place.clone());
                }
            }
            let (mut order, mut want) = (book.order(now), first);
            let mut race = Race::new(order.clone(), 1, now);
            let mut begun = Vec::new();
            let mut at = now;
            loop {
                match race.next(at) {
                    Next::Begin(place) => begun.push(place),
                    Next::Wait(until) => { prop_assert!(until > at); at = until; }
                    Next::Nothing => break,
                }
            }
            prop_assert_eq!(&begun, &order);
            order.sort();
            want.sort();
            prop_assert_eq!(order, want);
        }
    }
}
