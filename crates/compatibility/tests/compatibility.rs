//! Programs, and what two builds may do side by side.

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
fn a_program_is_known_by_its_file() {
    let hex = "ab".repeat(32);
    let one = Program::parse(&format!("r-1@{hex}")).unwrap();
    assert_eq!(one, Program::parse(&format!("other@{hex}")).unwrap());
    assert_eq!(one.to_string(), format!("r-1@{hex}"));
    assert_eq!(
        serde_json::from_str::<Program>(&serde_json::to_string(&one).unwrap()).unwrap(),
        one
    );
    for bad in [
        "",
        "r-1",
        "@",
        &format!("@{hex}"),
        &format!("r@{}", &hex[1..]),
        &format!("r@{}G", &hex[1..]),
    ] {
        assert!(
            Program::parse(bad)
                .unwrap_err()
                .to_string()
                .contains("NAME@SHA256"),
            "{bad}"
        );
    }
}

#[test]
fn what_could_not_be_taken_back_is_refused_and_what_is_lost_is_told() {
    let old = versions("r-1");
    assert_eq!(
        check_compatibility(&old, &versions("r-2")),
        CompatibilityReport::default()
    );
    let found = |change: &dyn Fn(&mut FormatVersions)| {
        let mut new = versions("r-2");
        change(&mut new);
        check_compatibility(&old, &new)
    };
    let newer = VersionRange::new(3, 4);
    let store = found(&|s| s.store = newer);
    assert_eq!(store.incompatible.len(), 1);
    assert!(
        store.incompatible[0]
            .to_string()
            .contains("could not be taken back"),
        "{store:?}"
    );
    let peers = found(&|s| s.peers = newer);
    assert_eq!(peers.incompatible.len(), 1);
    assert_eq!(
        peers.incompatible[0].to_string(),
        "peers' messages: r-2 writes 4, and r-1 reads 2 to 3"
    );
    assert_eq!(
        found(&|s| s.control = VersionRange::new(4, 4))
            .incompatible
            .len(),
        2
    );
    assert_eq!(found(&|s| s.group_states = newer).incompatible.len(), 1);
    // A state is written as it is asked for: neighbours hand over, others begin anew.
    assert_eq!(
        found(&|s| s.handover = newer),
        CompatibilityReport::default()
    );
    let lost = found(&|s| s.handover = VersionRange::new(4, 5));
    assert!(
        lost.incompatible.is_empty() && lost.degraded[0].to_string().contains("begins anew"),
        "{lost:?}"
    );
}

proptest! {
    #![proptest_config(Config { rng_seed: RngSeed::Fixed(8), failure_persistence: None, ..Config::default() })]

    /// Guards against a rollout that goes one way alone: where it may begin, its way back may as well.
    #[test]
    fn whoever_may_go_may_go_back(ranges in proptest::collection::vec((1u32..5, 0u32..4), 10)) {
        let range = |n: usize| VersionRange::new(ranges[n].0, ranges[n].0 + ranges[n].1);
        let of = |at: usize| FormatVersions {
            version: "r".into(), peers: range(at), control: range(at + 1), group_states: range(at + 2),
            store: range(at + 3), handover: range(at + 4),
        };
        let (there, back) = (check_compatibility(&of(0), &of(5)), check_compatibility(&of(5), &of(0)));
        prop_assert_eq!(there.incompatible.is_empty(), back.incompatible.is_empty());
        prop_assert_eq!(there.degraded.is_empty(), back.degraded.is_empty());
    }
}
