//! Checks the eviction queues against a map of the states of all connections.

use super::{
    ConnectionId, EvictionQueues, IdleKind, IdleState, OldestConnection, MAX_EXTRA_STALE_ENTRIES,
};
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
    /// Guards against skipping the oldest connection, returning one that has left the state, and queues that grow without bound.
    #[test]
    fn oldest_connection_is_found_after_any_state_changes(changes in prop::collection::vec((0usize..20, 0u8..6), 1..600)) {
        let mut queues = EvictionQueues::default();
        let mut states: BTreeMap<usize, IdleState> = BTreeMap::new();
        for (now, (key, kind_index)) in changes.into_iter().enumerate() {
            let since = now as Micros;
            let from = states.get(&key).copied();
            let kind = KINDS.get(usize::from(kind_index)).copied();
            let to = kind.map(|kind| IdleState { kind, since });
            match to {
                Some(to) => drop(states.insert(key, to)),
                None => drop(states.remove(&key)),
            }
            let connection = ConnectionId { key, serial: 7 };
            queues.update(connection, from, to, |id| states.get(&id.key).copied());
            for kind in KINDS {
                let in_state: Vec<_> = states.iter().filter(|(_, state)| state.kind == kind).collect();
                prop_assert_eq!(queues.count(kind), in_state.len());
                let expected = in_state.iter().min_by_key(|(_, state)| state.since);
                let expected = expected.map(|(key, state)| OldestConnection { key: **key, since: state.since });
                prop_assert_eq!(queues.oldest(kind, |id| states.get(&id.key).copied()), expected);
                prop_assert!(queues.queues[kind as usize].len() <= 2 * 20 + MAX_EXTRA_STALE_ENTRIES + 1);
            }
        }
    }
}
