//! The stored state of a gateway, byte by byte: it is positional, and the next build reads what
//! this one wrote.
//!
//! `tests/golden/` has states that a build wrote in the middle of seeded runs. They are written
//! anew only by hand:
//!
//!     WRITE_GOLDEN=1 cargo test -p wrenfork-decision --test golden -- --ignored

mod simulation;
mod stored;

use simulation::scenarios::Scenario;
use simulation::{scenarios, Simulation};
use std::collections::BTreeSet;
use std::path::PathBuf;
use stored::Stored;
use wrenfork_decision::Gateway;

/// The states: the file, the scenario's place, the steps of its run, and the place of the gateway
/// in it.
const STATES: [(&str, usize, usize, usize); 3] = [
    ("few-gateways.state", 0, 9_580, 0),
    ("pools.state", 3, 8_300, 0),
    ("many-gateways.state", 5, 5_550, 3),
];

fn path(file: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("tests/golden")
        .join(file)
}

fn read(file: &str) -> Vec<u8> {
    std::fs::read(path(file)).unwrap()
}

fn scenario(at: usize) -> Scenario {
    scenarios::all().swap_remove(at)
}

fn state_of_the_run((_, place, steps, gateway): (&str, usize, usize, usize)) -> Vec<u8> {
    let mut run = Simulation::new(scenario(place));
    run.run(steps);
    run.stored(gateway)
}

/// Two fields that change places go unseen when a state is only read and written back: so the run
/// must give the bytes.
#[test]
fn a_seeded_run_stores_the_golden_state() {
    for state in STATES {
        let (golden, now) = (read(state.0), state_of_the_run(state));
        let differs = golden.iter().zip(&now).position(|(a, b)| a != b);
        assert_eq!(differs, None, "{}: the first byte that differs", state.0);
        assert_eq!(golden.len(), now.len(), "{}", state.0);
    }
}

#[test]
fn a_golden_state_is_read_and_stored_to_the_same_bytes() {
    for (file, ..) in STATES {
        let golden = read(file);
        let gateway: Gateway = postcard::from_bytes(&golden).unwrap();
        assert!(postcard::to_stdvec(&gateway).unwrap() == golden, "{file}");
    }
}

#[test]
fn a_golden_state_has_the_layout_that_is_written_down_for_it() {
    for (file, ..) in STATES {
        let golden = read(file);
        let (stored, rest) = postcard::take_from_bytes::<Stored>(&golden).unwrap();
        assert!(rest.is_empty(), "{file}: {} bytes too many", rest.len());
        assert!(postcard::to_stdvec(&stored).unwrap() == golden, "{file}");
    }
}

#[test]
fn the_golden_states_together_fill_every_part() {
    let mut filled = BTreeSet::new();
    let mut all = BTreeSet::new();
    for (file, ..) in STATES {
        let stored: Stored = postcard::from_bytes(&read(file)).unwrap();
        all.extend(stored.parts().into_iter().map(|(name, _)| name));
        filled.extend(stored.filled());
    }
    let empty: Vec<_> = all.difference(&filled).collect();
    assert!(empty.is_empty(), "nothing golden for: {empty:?}");
}

/// A state that is cut short is an error, not a panic and not a gateway.
#[test]
fn a_golden_state_that_is_cut_is_not_read() {
    let golden = read(STATES[0].0);
    for end in (0..golden.len()).step_by(97) {
        assert!(postcard::from_bytes::<Gateway>(&golden[..end]).is_err());
    }
}

#[test]
#[ignore = "writes the golden files, by hand and with WRITE_GOLDEN=1 only"]
fn write_the_golden_states() {
    assert_eq!(std::env::var("WRITE_GOLDEN").as_deref(), Ok("1"));
    for state in STATES {
        std::fs::write(path(state.0), state_of_the_run(state)).unwrap();
    }
}

/// Finds moments of the runs that together fill every part, to choose [`STATES`] from.
#[test]
#[ignore = "a search for moments, only to choose the states anew"]
fn find_well_filled_states() {
    let mut moments = Vec::new();
    let mut lacking = BTreeSet::new();
    for (place, scenario) in scenarios::all().into_iter().enumerate() {
        let gateways = scenario.running.len();
        let mut run = Simulation::new(scenario);
        for step in (10..10_000).step_by(10) {
            run.run(10);
            for gateway in 0..gateways {
                let stored: Stored = postcard::from_bytes(&run.stored(gateway)).unwrap();
                lacking.extend(stored.parts().into_iter().map(|p| p.0));
                moments.push((stored.filled(), place, step, gateway));
            }
        }
    }
    while !lacking.is_empty() {
        let gain = |filled: &BTreeSet<_>| filled.intersection(&lacking).count();
        let best = moments.iter().max_by_key(|m| gain(&m.0)).unwrap();
        println!("{:?}: {} parts", (best.1, best.2, best.3), gain(&best.0));
        if gain(&best.0) == 0 {
            println!("never filled: {lacking:?}");
            return;
        }
        lacking = &lacking - &best.0;
    }
}
