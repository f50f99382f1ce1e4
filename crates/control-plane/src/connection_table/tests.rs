//! Which connection a full table closes to admit a new one.

use super::ConnectionTable;
use std::io::Read;
use std::os::unix::net::UnixStream;
use std::time::Duration;

#[test]
fn full_table_closes_the_longest_idle_connection() {
    let table = ConnectionTable::new(2);
    let pairs: Vec<_> = (0..4).map(|_| UnixStream::pair().unwrap()).collect();
    let mut peers = Vec::new();
    let mut admitted = Vec::new();
    for (server_end, client_end) in pairs {
        peers.push(client_end);
        admitted.push(table.admit(server_end));
        if let [Ok(first), ..] = &admitted[..] {
            if admitted.len() == 1 {
                first.set_busy();
            } else {
                first.set_idle();
            }
        }
        std::thread::sleep(Duration::from_millis(2));
    }
    // Connection 1 was busy when connection 3 arrived, so connection 2 was closed; another was closed for connection 4.
    let open = table.ids();
    assert_eq!(open.len(), 2);
    assert!(open.contains(&4), "{open:?}");
    let closed = peers[1].read(&mut [0]).unwrap();
    assert_eq!(
        closed, 0,
        "the peer of a closed connection must read the end of the stream"
    );
    let connections: Vec<_> = admitted.iter().flatten().collect();
    connections
        .iter()
        .for_each(|connection| connection.set_busy());
    let (server_end, _client_end) = UnixStream::pair().unwrap();
    assert!(
        table.admit(server_end).is_err(),
        "a full table with only busy connections must reject a new one"
    );
    drop(admitted);
    assert!(table.ids().is_empty());
}
