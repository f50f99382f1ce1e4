//! Which connection is closed for another.

use super::ConnectionTable;
use std::io::Read;
use std::os::unix::net::UnixStream;
use std::time::Duration;

#[test]
fn a_full_table_closes_the_connection_that_is_idle_for_longest() {
    let table = ConnectionTable::new(2);
    let pairs: Vec<_> = (0..4).map(|_| UnixStream::pair().unwrap()).collect();
    let mut peers = Vec::new();
    let mut admitted = Vec::new();
    for (near, far) in pairs {
        peers.push(far);
        admitted.push(table.admit(near));
        if let [Ok(first), ..] = &admitted[..] {
            if admitted.len() == 1 {
                first.set_busy();
            } else {
                first.set_idle();
            }
        }
        std::thread::sleep(Duration::from_millis(2));
    }
    // The first was busy when the third came, and the longest idle when the fourth did: the second was closed, then another.
    let open = table.ids();
    assert_eq!(open.len(), 2);
    assert!(open.contains(&4), "{open:?}");
    let closed = peers[1].read(&mut [0]).unwrap();
    assert_eq!(closed, 0, "the peer of a closed connection sees its end");
    let busy: Vec<_> = admitted.iter().flatten().collect();
    busy.iter().for_each(|connection| connection.set_busy());
    let (near, _far) = UnixStream::pair().unwrap();
    assert!(table.admit(near).is_err(), "all are busy");
    drop(admitted);
    assert!(table.ids().is_empty());
}
