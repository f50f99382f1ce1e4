//! Exhaustive model checking of the consensus protocol with `stateright`.
//!
//! The model runs the acceptor, proposer and lease manager of this package. It has three voters; a proposer with a
//! change; a second proposer; requests and responses that are lost or delayed; a member that restarts with its store,
//! an older copy of it or an empty one; and a lease holder that may be isolated, suspended or late at any point. Time
//! advances in steps of a little over half a lease.
//!
//! The search must also find a violation in each variant of the protocol that lacks one safeguard: that shows that it
//! can.

mod actions;
mod group_model;
mod properties;

use group_model::{Bounds, GroupModel, SecondProposer, Variant};
use stateright::{Checker, HasDiscoveries, Model};
use std::time::Instant;

/// Whether to run the longer searches too, which take minutes and some GB of memory: `WRENFORK_SEARCH=long cargo test
/// --release -p wrenfork-consensus --test model -- --nocapture no_interleaving`
fn is_long_search() -> bool {
    std::env::var("WRENFORK_SEARCH").is_ok_and(|value| value == "long")
}

/// Outcome of a search.
struct SearchResult {
    states: usize,
    /// Properties that must always hold and were violated.
    violated: Vec<&'static str>,
    /// Properties that must be reached and were.
    reached: Vec<&'static str>,
}

fn search(world: GroupModel) -> SearchResult {
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
    SearchResult {
        states: checker.unique_state_count(),
        violated,
        reached,
    }
}

#[test]
fn no_interleaving_violates_a_property() {
    let short = [
        (SecondProposer::Recovers, Bounds::decisions(0)),
        (SecondProposer::ProposesOther, Bounds::decisions(0)),
        (SecondProposer::Absent, Bounds::leases(0, 0, 4)),
    ];
    let long = [
        (SecondProposer::Recovers, Bounds::decisions(1)),
        (SecondProposer::ProposesOther, Bounds::decisions(1)),
        (SecondProposer::Absent, Bounds::leases(1, 0, 3)),
        (SecondProposer::Recovers, Bounds::leases(0, 1, 3)),
    ];
    let long = long.into_iter().filter(|_| is_long_search());
    for (second, bounds) in short.into_iter().chain(long) {
        let start = Instant::now();
        let result = search(GroupModel::new(Variant::Complete, second, bounds));
        println!(
            "{second:?} {bounds:?}: {} states, reached {:?} in {:?}",
            result.states,
            result.reached,
            start.elapsed()
        );
        assert_eq!(result.violated, [""; 0], "{second:?} {bounds:?}");
    }
}

/// Guards against a search that finds nothing because it can't fail.
#[test]
fn each_removed_safeguard_leads_to_a_violation() {
    for (variant, second, bounds) in [
        (
            Variant::LosesVotes,
            SecondProposer::Recovers,
            Bounds::decisions(1),
        ),
        (
            Variant::IgnoresAccepted,
            SecondProposer::Recovers,
            Bounds::decisions(0),
        ),
        (
            Variant::TrustsOldCopies,
            SecondProposer::Recovers,
            Bounds::decisions(1),
        ),
        (
            Variant::VotesWithoutReplica,
            SecondProposer::Recovers,
            Bounds::decisions(1),
        ),
        (
            Variant::GrantsAll,
            SecondProposer::Absent,
            Bounds::leases(0, 0, 4),
        ),
        (
            Variant::SkipsLeaseWait,
            SecondProposer::Absent,
            Bounds::leases(0, 0, 4),
        ),
        (
            Variant::CountsFromResponse,
            SecondProposer::Absent,
            Bounds::leases(0, 0, 4),
        ),
    ] {
        let start = Instant::now();
        let result = search(GroupModel::new(variant, second, bounds));
        println!(
            "{variant:?}: {} states until violation of {:?} in {:?}",
            result.states,
            result.violated,
            start.elapsed()
        );
        assert!(
            !result.violated.is_empty(),
            "no violation found for {variant:?}"
        );
    }
}
