//! Which connection goes first, whatever moved.

use super::{Kind, Lines, Micros, Standing, SPARE};
use proptest::prelude::{prop, prop_assert, prop_assert_eq, proptest};
use std::collections::BTreeMap;

const KINDS: [Kind; 4] = [Kind::HalfClosed, Kind::Silent, Kind::Half, Kind::Idle];

proptest! {
    /// Guards against one that is passed over, or taken though it has moved on, and against lines that only grow.
    #[test]
    fn the_oldest_is_the_oldest_whatever_moved(moves in prop::collection::vec((0usize..20, 0u8..6), 1..600)) {
        let mut lines = Lines::default();
        let mut stand: BTreeMap<usize, Standing> = BTreeMap::new();
        for (now, (key, what)) in moves.into_iter().enumerate() {
            let kind = KINDS.get(usize::from(what)).copied();
            let (from, to) = (stand.get(&key).copied(), kind.map(|k| (k, now as Micros)));
            match to {
                Some(to) => drop(stand.insert(key, to)),
                None => drop(stand.remove(&key)),
            }
            let at = stand.clone();
            lines.moved((key, 7), from, to, |k, _| at.get(&k).copied());
            for kind in KINDS {
                let of: Vec<_> = stand.iter().filter(|(_, s)| s.0 == kind).collect();
                prop_assert_eq!(lines.count(kind), of.len());
                let want = of.iter().min_by_key(|(_, s)| s.1).map(|(k, s)| (**k, s.1));
                prop_assert_eq!(lines.oldest(kind, |k, _| stand.get(&k).copied()), want);
                prop_assert!(lines.lines[kind as usize].len() <= 2 * 20 + SPARE + 1);
            }
        }
    }
}
