//! The lease clock is monotonic.

use std::time::Duration;
use wrenfork_control_plane::clock::now;

#[test]
fn clock_is_nonzero_and_never_goes_back() {
    let first = now();
    assert!(first > Duration::ZERO && now() >= first);
}
