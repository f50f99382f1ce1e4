//! Memberships: validity, overlapping majorities and the length of leases.

use proptest::prelude::{prop_assert, prop_assert_eq, proptest};
use wrenfork_consensus::membership::{
    Member, MemberRole, Membership, MembershipError, ReplicaId, MAX_MEMBERS,
};

fn seat(name: &str, folder: ReplicaId, votes: bool) -> Member {
    Member {
        name: name.into(),
        replica: folder,
        role: MemberRole::Ingress,
        votes,
    }
}

fn roster(votes: usize) -> Membership {
    let seats = (0..votes)
        .map(|n| seat(&format!("n{n}"), n as u64 + 1, true))
        .collect();
    Membership::new(1, 1_500, seats).unwrap()
}

#[test]
fn what_no_group_can_be_is_refused_with_its_reason() {
    let err = |ms, seats| Membership::new(1, ms, seats).unwrap_err();
    assert_eq!(err(1_500, vec![]), MembershipError::NoVoter);
    assert_eq!(
        err(1_500, vec![seat("a", 1, false)]),
        MembershipError::NoVoter
    );
    let twice = vec![seat("a", 1, true), seat("a", 2, true)];
    assert_eq!(err(1_500, twice), MembershipError::Duplicate("a".into()));
    assert_eq!(
        err(100, vec![seat("a", 1, true)]),
        MembershipError::LeaseOutOfRange(100)
    );
    let witness = Member {
        role: MemberRole::Witness,
        ..seat("w", 1, true)
    };
    assert_eq!(err(1_500, vec![witness]), MembershipError::NoIngress);
    let many = (0..MAX_MEMBERS as u64 + 1)
        .map(|n| seat(&n.to_string(), n, true))
        .collect();
    assert_eq!(err(1_500, many), MembershipError::TooMany(MAX_MEMBERS + 1));
    let three = roster(3);
    assert_eq!(
        three.with_member(seat("n1", 9, true)),
        Err(MembershipError::AlreadyMember("n1".into()))
    );
    assert_eq!(
        three.without_member("n7"),
        Err(MembershipError::UnknownMember("n7".into()))
    );
    assert_eq!(
        three.with_vote("n7", Some(1)),
        Err(MembershipError::UnknownMember("n7".into()))
    );
    assert!(
        !three.counts_vote("n0", 2) && three.counts_vote("n0", 1) && !three.counts_vote("n9", 1)
    );
}

proptest! {
    /// What a change of the roster rests on: one seat at a time keeps old and new majorities overlapping, and a vote
    /// of a lost folder is nobody's.
    #[test]
    fn one_seat_at_a_time_keeps_majorities_overlapping(votes in 1usize..12, at in 0usize..12) {
        let old = roster(votes);
        let name = format!("n{}", at % votes);
        prop_assert!(old.majorities_overlap(&old.with_member(seat("new", 99, true)).unwrap()));
        if votes > 1 {
            prop_assert!(old.majorities_overlap(&old.without_member(&name).unwrap()));
            let without = old.with_vote(&name, None).unwrap();
            prop_assert!(old.majorities_overlap(&without));
            prop_assert!(without.majorities_overlap(&without.with_vote(&name, Some(77)).unwrap()));
            // In one step it is one vote less and one more: of three, two that lost nothing and two that did not meet.
            prop_assert_eq!(old.majorities_overlap(&old.with_vote(&name, Some(77)).unwrap()), votes % 2 == 0);
        }
    }

    /// Whoever holds a lease by the slowest clock that is allowed has let it go when the fastest says so.
    #[test]
    fn a_lease_is_surely_out_after_the_wait_for_any_allowed_drift(ms in 300u64..60_000, slow in 0u32..=10, fast in 0u32..=10) {
        let roster = Membership { lease_ms: ms, ..roster(3) };
        let held = roster.lease().as_secs_f64() / (1.0 - f64::from(slow) / 1_000.0);
        let waited = roster.lease_expiry_bound().as_secs_f64() / (1.0 + f64::from(fast) / 1_000.0);
        prop_assert!(waited >= held, "{waited} {held}");
    }
}
