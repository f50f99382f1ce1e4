//! Guards against unintended changes of decisions. Seeded runs of different deployments are
//! compared by the digests of all their actions and of the states they stored. A change that
//! intends to alter decisions updates the constants here and explains why.
//!
//! The digests of the stored states depend on the last bit of each float, as computed by `exp` on a
//! machine with FMA.

mod simulation;

use simulation::{scenarios, steps_of, Counts, Simulation};

/// The digest of the actions of a run, and the digest of the states that it stored.
type Digests = (u64, u64);

const EXPECTED: [(&str, Digests); 6] = [
    (
        "few gateways",
        (0x7dfe_1786_38d1_93f8, 0x4c7a_2f64_db85_367f),
    ),
    (
        "one gateway that polls discovery",
        (0xfdf0_eb12_e789_7e2f, 0xe219_2f31_8384_15cc),
    ),
    (
        "a hundred gateways",
        (0xd60d_1431_caae_ec5a, 0x4873_af09_550f_b4e9),
    ),
    (
        "pools with fallback",
        (0x6b93_1191_791f_3546, 0xb08c_0287_0f26_9e4f),
    ),
    (
        "post-paid, nothing is cancelled",
        (0xb1b9_332c_3bd7_2eff, 0x4bee_82fc_68c8_5781),
    ),
    (
        "sixty gateways, pools, many plans, long warm-up",
        (0x3b40_6445_382e_4971, 0x8bf8_ed14_0187_bc87),
    ),
];

#[test]
fn seeded_runs_match_the_recorded_digests() {
    let mut digests = Vec::new();
    let mut total = Counts::default();
    for scenario in scenarios::all() {
        let (name, steps) = (scenario.name, steps_of(&scenario));
        let mut run = Simulation::new(scenario);
        run.run(steps);
        println!("{name}: {steps} steps, {:?}", run.counts);
        add(&mut total, &run.counts);
        digests.push((name, run.digests()));
    }
    println!("total: {total:?}");
    let format_digests = |list: &[(&str, Digests)]| -> Vec<String> {
        let line = |(name, (actions, states)): &(&str, Digests)| {
            format!("(\"{name}\", (0x{actions:016x}, 0x{states:016x})),")
        };
        list.iter().map(line).collect()
    };
    assert_eq!(format_digests(&digests), format_digests(&EXPECTED));
}

/// A digest would not detect changes to a kind of action that never occurs in the runs.
#[test]
fn seeded_runs_cover_every_kind_of_action() {
    let mut total = Counts::default();
    for scenario in scenarios::all() {
        let steps = steps_of(&scenario);
        let mut run = Simulation::new(scenario);
        run.run(steps);
        add(&mut total, &run.counts);
    }
    let min_counts = [
        ("sends", total.sends, 10_000),
        ("retries", total.retries, 500),
        ("hedges", total.hedges, 50),
        ("rejections", total.rejections, 2_000),
        ("failures", total.failures, 100),
        ("cancels", total.cancels, 50),
        ("messages", total.messages, 2_000),
        ("watches", total.watches, 10),
        ("logs", total.logs, 30),
        ("restarts", total.restarts, 30),
        ("restores", total.restores, 100),
        ("stalls", total.stalls, 50),
    ];
    for (name, count, min_count) in min_counts {
        assert!(
            count >= min_count,
            "{name}: {count} in all runs, expected at least {min_count}"
        );
    }
}

/// Adds `counts` to `total`.
fn add(total: &mut Counts, counts: &Counts) {
    total.sends += counts.sends;
    total.retries += counts.retries;
    total.hedges += counts.hedges;
    total.rejections += counts.rejections;
    total.failures += counts.failures;
    total.cancels += counts.cancels;
    total.messages += counts.messages;
    total.watches += counts.watches;
    total.logs += counts.logs;
    total.restarts += counts.restarts;
    total.restores += counts.restores;
    total.stalls += counts.stalls;
}
