//! The consensus protocol by exhaustive search (`stateright`): three voters, a proposer with a change, a second proposer,
//! messages that are lost or delayed either way, a member that restarts with its store, an old copy of it or none, and the
//! leases of one member that may be isolated, suspended or late at any point.
//!
//! The acceptor, proposer and lease manager of the package itself are searched. Time goes in steps of a little over half a
//! lease. Each guard that is left out on purpose must be found out, or the search shows nothing.

mod actions;
mod properties;
mod world;

use stateright::{Checker, HasDiscoveries, Model};
use std::time::Instant;
use world::{Bounds, Second, Variant, World};

/// The longer searches, which take minutes and some GB: `WRENFORK_SEARCH=long cargo test --release -p wrenfork-consensus --test
/// model -- --nocapture no_interleaving`
fn long() -> bool {
    std::env::var("WRENFORK_SEARCH").is_ok_and(|n| n == "long")
}

/// What a search found.
struct Found {
    states: usize,
    /// Properties that must always hold, and don't.
    violated: Vec<&'static str>,
    /// Properties that must hold sometimes, and do.
    reached: Vec<&'static str>,
}

fn search(world: World) -> Found {
    let threads = std::thread::available_parallelism().map_or(1, usize::from);
    let complete = world.variant == Variant::Complete;
    let checker = world.checker().threads(threads);
    let checker = if complete {
        checker
    } else {
        checker.finish_when(HasDiscoveries::AnyFailures)
    };
    let checker = checker.spawn_bfs().join();
    let discoveries = checker.discoveries().into_keys();
    let (reached, violated) = discoveries.partition(|name| properties::REACHABLE.contains(name));
    Found {
        states: checker.unique_state_count(),
        violated,
        reached,
    }
}

#[test]
fn no_interleaving_lets_anybody_serve_under_what_was_given_up() {
    let short = [
        (Second::Recovers, Bounds::decisions(0)),
        (Second::Another, Bounds::decisions(0)),
        (Second::Nothing, Bounds::leases(0, 0, 4)),
    ];
    let more = [
        (Second::Recovers, Bounds::decisions(1)),
        (Second::Another, Bounds::decisions(1)),
        (Second::Nothing, Bounds::leases(1, 0, 3)),
        (Second::Recovers, Bounds::leases(0, 1, 3)),
    ];
    let more = more.into_iter().filter(|_| long());
    for (second, bounds) in short.into_iter().chain(more) {
        let start = Instant::now();
        let found = search(World::new(Variant::Complete, second, bounds));
        println!(
            "{second:?} {bounds:?}: {} states, {:?} in {:?}",
            found.states,
            found.reached,
            start.elapsed()
        );
        assert_eq!(found.violated, [""; 0], "{second:?}");
    }
}

/// The search must be able to fail: each guard that is left out is found out.
#[test]
fn what_is_left_out_is_found_out() {
    for (variant, second, bounds) in [
        (
            Variant::NothingStored,
            Second::Recovers,
            Bounds::decisions(1),
        ),
        (
            Variant::IgnoresAccepted,
            Second::Recovers,
            Bounds::decisions(0),
        ),
        (
            Variant::TrustsReplicas,
            Second::Recovers,
            Bounds::decisions(1),
        ),
        (
            Variant::VotesWithoutState,
            Second::Recovers,
            Bounds::decisions(1),
        ),
        (Variant::GrantsAll, Second::Nothing, Bounds::leases(0, 0, 4)),
        (Variant::NoWait, Second::Nothing, Bounds::leases(0, 0, 4)),
        (
            Variant::CountsFromResponse,
            Second::Nothing,
            Bounds::leases(0, 0, 4),
        ),
    ] {
        let start = Instant::now();
        let found = search(World::new(variant, second, bounds));
        println!(
            "{variant:?}: {} states until {:?} in {:?}",
            found.states,
            found.violated,
            start.elapsed()
        );
        assert!(!found.violated.is_empty(), "{variant:?} was not found out");
    }
}
