//! Identity of programs, and the compatibility check of two builds.

use proptest::prelude::{prop_assert_eq, proptest};
use proptest::test_runner::{Config, RngSeed};
use wrenfork_compatibility::{
    check_compatibility, CompatibilityReport, FormatVersions, Program, VersionRange,
};

fn versions(version: &str) -> FormatVersions {
    let range = VersionRange::new(2, 3);
    FormatVersions {
        version: version.into(),
        peers: range,
        control: range,
        group_states: range,
        store: range,
        handover: range,
    }
}

#[test]
fn programs_are_identified_by_their_digest() {
    let hex = "ab".repeat(32);
    let program = Program::parse(&format!("r-1@{hex}")).unwrap();
    assert_eq!(program, Program::parse(&format!("other@{hex}")).unwrap());
    assert_eq!(program.to_string(), format!("r-1@{hex}"));
    assert_eq!(
        serde_json::from_str::<Program>(&serde_json::to_string(&program).unwrap()).unwrap(),
        program
    );
    for invalid in [
        "",
        "r-1",
        "@",
        &format!("@{hex}"),
        &format!("r@{}", &hex[1..]),
        &format!("r@{}G", &hex[1..]),
    ] {
        assert!(
            Program::parse(invalid)
                .unwrap_err()
                .to_string()
                .contains("NAME@SHA256"),
            "{invalid}"
        );
    }
}

#[test]
fn irreversible_rollout_is_rejected_and_lost_handover_is_reported() {
    let old = versions("r-1");
    assert_eq!(
        check_compatibility(&old, &versions("r-2")),
        CompatibilityReport::default()
    );
    let report_for = |change: &dyn Fn(&mut FormatVersions)| {
        let mut new = versions("r-2");
        change(&mut new);
        check_compatibility(&old, &new)
    };
    let newer = VersionRange::new(3, 4);
    let store = report_for(&|versions| versions.store = newer);
    assert_eq!(store.incompatible.len(), 1);
    assert!(
        store.incompatible[0]
            .to_string()
            .contains("could not be taken back"),
        "{store:?}"
    );
    let peers = report_for(&|versions| versions.peers = newer);
    assert_eq!(peers.incompatible.len(), 1);
    assert_eq!(
        peers.incompatible[0].to_string(),
        "peers' messages: r-2 writes 4, and r-1 reads 2 to 3"
    );
    assert_eq!(
        report_for(&|versions| versions.control = VersionRange::new(4, 4))
            .incompatible
            .len(),
        2
    );
    assert_eq!(
        report_for(&|versions| versions.group_states = newer)
            .incompatible
            .len(),
        1
    );
    // A handover state is written in the version that the successor requests: a handover works if the ranges overlap.
    assert_eq!(
        report_for(&|versions| versions.handover = newer),
        CompatibilityReport::default()
    );
    let without_handover = report_for(&|versions| versions.handover = VersionRange::new(4, 5));
    assert!(
        without_handover.incompatible.is_empty()
            && without_handover.degraded[0]
                .to_string()
                .contains("begins anew"),
        "{without_handover:?}"
    );
}

proptest! {
    #![proptest_config(Config { rng_seed: RngSeed::Fixed(8), failure_persistence: None, ..Config::default() })]

    /// Guards against a rollout that cannot be reverted: if one direction is allowed, the other one is too.
    #[test]
    fn allowed_rollouts_can_be_reverted(ranges in proptest::collection::vec((1u32..5, 0u32..4), 10)) {
        let range = |n: usize| VersionRange::new(ranges[n].0, ranges[n].0 + ranges[n].1);
        let versions_at = |at: usize| FormatVersions {
            version: "r".into(), peers: range(at), control: range(at + 1), group_states: range(at + 2),
            store: range(at + 3), handover: range(at + 4),
        };
        let (forward, backward) = (check_compatibility(&versions_at(0), &versions_at(5)), check_compatibility(&versions_at(5), &versions_at(0)));
        prop_assert_eq!(forward.incompatible.is_empty(), backward.incompatible.is_empty());
        prop_assert_eq!(forward.degraded.is_empty(), backward.degraded.is_empty());
    }
}
