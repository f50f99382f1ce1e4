//! Byte-for-byte checks of a gateway's stored state. Its fields are identified by position only, and
//! the next build must be able to read it.
//!
//! `tests/golden/` contains states from the middle of seeded runs. They are rewritten only by hand:
//!
//!     WRITE_GOLDEN=1 cargo test -p wrenfork-decision --test golden -- --ignored

mod simulation;
mod stored_layout;

use simulation::scenarios::Scenario;
use simulation::{scenarios, Simulation};
use std::collections::BTreeSet;
use std::path::PathBuf;
use stored_layout::StoredGateway;
use wrenfork_decision::Gateway;

/// The golden states: file name, index of the scenario, number of steps, and index of the gateway
/// in the run.
const STATES: [(&str, usize, usize, usize); 3] = [
    ("few-gateways.state", 0, 9_580, 0),
    ("pools.state", 3, 8_300, 0),
    ("many-gateways.state", 5, 5_550, 3),
];

fn golden_path(file: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("tests/golden")
        .join(file)
}

fn read_golden(file: &str) -> Vec<u8> {
    std::fs::read(golden_path(file)).unwrap()
}

fn scenario(index: usize) -> Scenario {
    scenarios::all().swap_remove(index)
}

fn state_of_run((_, scenario_index, steps, gateway): (&str, usize, usize, usize)) -> Vec<u8> {
    let mut run = Simulation::new(scenario(scenario_index));
    run.run(steps);
    run.stored(gateway)
}

/// Guards against two fields of the same type that swap positions. A round trip would not detect
/// that, so seeded runs must produce the same bytes.
#[test]
fn seeded_runs_store_the_golden_states() {
    for state in STATES {
        let (golden, current) = (read_golden(state.0), state_of_run(state));
        let differs = golden.iter().zip(&current).position(|(a, b)| a != b);
        assert_eq!(differs, None, "{}: offset of the first difference", state.0);
        assert_eq!(
            golden.len(),
            current.len(),
            "{}: length of the state",
            state.0
        );
    }
}

#[test]
fn golden_states_are_stored_again_to_the_same_bytes() {
    for (file, ..) in STATES {
        let golden = read_golden(file);
        let gateway: Gateway = postcard::from_bytes(&golden).unwrap();
        assert!(
            postcard::to_stdvec(&gateway).unwrap() == golden,
            "{file} changes when it is stored again"
        );
    }
}

#[test]
fn golden_states_match_the_described_layout() {
    for (file, ..) in STATES {
        let golden = read_golden(file);
        let (stored, rest) = postcard::take_from_bytes::<StoredGateway>(&golden).unwrap();
        assert!(rest.is_empty(), "{file}: {} bytes left over", rest.len());
        assert!(
            postcard::to_stdvec(&stored).unwrap() == golden,
            "{file} changes when it is stored again"
        );
    }
}

#[test]
fn golden_states_together_have_every_optional_content() {
    let mut present = BTreeSet::new();
    let mut all = BTreeSet::new();
    for (file, ..) in STATES {
        let stored: StoredGateway = postcard::from_bytes(&read_golden(file)).unwrap();
        all.extend(stored.features().into_iter().map(|(name, _)| name));
        present.extend(stored.present_features());
    }
    let missing: Vec<_> = all.difference(&present).collect();
    assert!(missing.is_empty(), "no golden state has: {missing:?}");
}

/// Guards against a truncated state that panics or is accepted.
#[test]
fn truncated_golden_state_is_rejected() {
    let golden = read_golden(STATES[0].0);
    for end in (0..golden.len()).step_by(97) {
        assert!(
            postcard::from_bytes::<Gateway>(&golden[..end]).is_err(),
            "state truncated to {end} bytes was accepted"
        );
    }
}

#[test]
#[ignore = "rewrites the golden files; run by hand with WRITE_GOLDEN=1"]
fn write_the_golden_states() {
    assert_eq!(std::env::var("WRITE_GOLDEN").as_deref(), Ok("1"));
    for state in STATES {
        std::fs::write(golden_path(state.0), state_of_run(state)).unwrap();
    }
}

/// Finds states of the runs that together have all optional contents, to choose [`STATES`] from.
#[test]
#[ignore = "a search used only to choose new golden states"]
fn find_states_with_all_contents() {
    let mut candidates = Vec::new();
    let mut uncovered = BTreeSet::new();
    for (scenario_index, scenario) in scenarios::all().into_iter().enumerate() {
        let gateways = scenario.running.len();
        let mut run = Simulation::new(scenario);
        for step in (10..10_000).step_by(10) {
            run.run(10);
            for gateway in 0..gateways {
                let stored: StoredGateway = postcard::from_bytes(&run.stored(gateway)).unwrap();
                uncovered.extend(stored.features().into_iter().map(|(name, _)| name));
                candidates.push((stored.present_features(), scenario_index, step, gateway));
            }
        }
    }
    while !uncovered.is_empty() {
        let gain = |present: &BTreeSet<_>| present.intersection(&uncovered).count();
        let best = candidates.iter().max_by_key(|c| gain(&c.0)).unwrap();
        println!(
            "{:?}: {} new contents",
            (best.1, best.2, best.3),
            gain(&best.0)
        );
        if gain(&best.0) == 0 {
            println!("never present: {uncovered:?}");
            return;
        }
        uncovered = &uncovered - &best.0;
    }
}
