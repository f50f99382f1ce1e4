//! Which connection goes first, whatever moved.

use super::{ConnectionId, EvictionQueues, IdleKind, IdleState, OldestConnection, SPARE};
use proptest::prelude::{prop, prop_assert, prop_assert_eq, proptest};
use std::collections::BTreeMap;
use wrenfork_decision::Micros;

const KINDS: [IdleKind; 4] = [
    IdleKind::HalfClosed,
    IdleKind::Silent,
    IdleKind::PartialCommand,
    IdleKind::BetweenRequests,
];

proptest! {
    /// Guards against one that is passed over, or taken though it has moved on, and against queues that only grow.
    #[test]
    fn the_oldest_is_the_oldest_whatever_moved(moves in prop::collection::vec((0usize..20, 0u8..6), 1..600)) {
        let mut queues = EvictionQueues::default();
        let mut states: BTreeMap<usize, IdleState> = BTreeMap::new();
        for (now, (key, what)) in moves.into_iter().enumerate() {
            let since = now as Micros;
            let from = states.get(&key).copied();
            let kind = KINDS.get(usize::from(what)).copied();
            let to = kind.map(|kind| IdleState { kind, since });
            match to {
                Some(to) => drop(states.insert(key, to)),
                None => drop(states.remove(&key)),
            }
            let connection = ConnectionId { key, serial: 7 };
            queues.update(connection, from, to, |c| states.get(&c.key).copied());
            for kind in KINDS {
                let of: Vec<_> = states.iter().filter(|(_, s)| s.kind == kind).collect();
                prop_assert_eq!(queues.count(kind), of.len());
                let want = of.iter().min_by_key(|(_, s)| s.since);
                let want = want.map(|(key, s)| OldestConnection { key: **key, since: s.since });
                prop_assert_eq!(queues.oldest(kind, |c| states.get(&c.key).copied()), want);
                prop_assert!(queues.queues[kind as usize].len() <= 2 * 20 + SPARE + 1);
            }
        }
    }
}
