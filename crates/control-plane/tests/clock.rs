//! The clock of leases.

use std::time::Duration;
use wrenfork_control_plane::clock::now;

#[test]
fn the_clock_advances_and_never_goes_back() {
    let first = now();
    assert!(first > Duration::ZERO && now() >= first);
}
