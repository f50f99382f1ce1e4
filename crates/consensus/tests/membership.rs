//! Tests of memberships: validation, overlapping majorities and the expiry of leases.

use proptest::prelude::{prop_assert, prop_assert_eq, proptest};
use wrenfork_consensus::membership::{
    Member, MemberRole, Membership, MembershipError, ReplicaId, MAX_MEMBERS,
};

fn member(name: &str, replica: ReplicaId, votes: bool) -> Member {
    Member {
        name: name.into(),
        replica,
        role: MemberRole::Ingress,
        votes,
    }
}

fn membership(votes: usize) -> Membership {
    let members = (0..votes)
        .map(|n| member(&format!("n{n}"), n as u64 + 1, true))
        .collect();
    Membership::new(1, 1_500, members).unwrap()
}

#[test]
fn invalid_membership_is_rejected_with_the_reason() {
    let error = |ms, members| Membership::new(1, ms, members).unwrap_err();
    assert_eq!(error(1_500, vec![]), MembershipError::NoVoter);
    assert_eq!(
        error(1_500, vec![member("a", 1, false)]),
        MembershipError::NoVoter
    );
    let duplicate = vec![member("a", 1, true), member("a", 2, true)];
    assert_eq!(
        error(1_500, duplicate),
        MembershipError::Duplicate("a".into())
    );
    assert_eq!(
        error(100, vec![member("a", 1, true)]),
        MembershipError::LeaseOutOfRange(100)
    );
    let witness = Member {
        role: MemberRole::Witness,
        ..member("w", 1, true)
    };
    assert_eq!(error(1_500, vec![witness]), MembershipError::NoIngress);
    let too_many = (0..MAX_MEMBERS as u64 + 1)
        .map(|n| member(&n.to_string(), n, true))
        .collect();
    assert_eq!(
        error(1_500, too_many),
        MembershipError::TooMany(MAX_MEMBERS + 1)
    );
    let three = membership(3);
    assert_eq!(
        three.with_member(member("n1", 9, true)),
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
    /// Majorities of the old and the new membership overlap if one vote is added or removed. Moving a vote to another
    /// replica in one step removes one vote and adds another, after which they need not overlap.
    #[test]
    fn majorities_overlap_if_one_vote_changes(votes in 1usize..12, at in 0usize..12) {
        let old = membership(votes);
        let name = format!("n{}", at % votes);
        prop_assert!(old.majorities_overlap(&old.with_member(member("new", 99, true)).unwrap()));
        if votes > 1 {
            prop_assert!(old.majorities_overlap(&old.without_member(&name).unwrap()));
            let without = old.with_vote(&name, None).unwrap();
            prop_assert!(old.majorities_overlap(&without));
            prop_assert!(without.majorities_overlap(&without.with_vote(&name, Some(77)).unwrap()));
            // With an odd number of voters, a majority of the old votes and one of the new votes can share no vote.
            prop_assert_eq!(old.majorities_overlap(&old.with_vote(&name, Some(77)).unwrap()), votes % 2 == 0);
        }
    }

    /// A holder with the slowest allowed clock has lost its lease when the bound has passed by the fastest allowed
    /// clock.
    #[test]
    fn lease_expires_within_the_bound_for_any_allowed_drift(ms in 300u64..60_000, slow in 0u32..=10, fast in 0u32..=10) {
        let membership = Membership { lease_ms: ms, ..membership(3) };
        let held = membership.lease().as_secs_f64() / (1.0 - f64::from(slow) / 1_000.0);
        let waited = membership.lease_expiry_bound().as_secs_f64() / (1.0 + f64::from(fast) / 1_000.0);
        prop_assert!(waited >= held, "waited {waited} s, lease held for {held} s");
    }
}
