//! Messages between ingresses.

use crate::support::setup;
use std::net::UdpSocket;
use std::time::{Duration, Instant};
use wrenfork_testbed::service_fixture::{call, free_address, serve, until, Backend, WAIT_LIMIT};

/// A UDP socket with a read timeout of 0.1 s.
fn udp_socket() -> UdpSocket {
    let socket = UdpSocket::bind(free_address()).unwrap();
    let timeout = Duration::from_millis(100);
    socket.set_read_timeout(Some(timeout)).unwrap();
    socket
}

#[test]
fn only_valid_messages_from_peers_are_answered_and_messages_are_short() {
    let backend = Backend::start(serve);
    let mut setup = setup(&[&backend]);
    let (peer, stranger, own_address) = (udp_socket(), udp_socket(), free_address());
    setup.settings = setup.settings.replace(
        "\"may_probe\":true,\"peers\":false",
        "\"may_probe\":true,\"peers\":true",
    );
    setup.settings = setup
        .settings
        .replace("\"n_instances\":1", "\"n_instances\":2");
    setup.more = format!(
        r#""peer_listen":"{own_address}","peers":["{own_address}","{}"],"peers_all":"{}","#,
        peer.local_addr().unwrap(),
        peer.local_addr().unwrap()
    );
    let ingress = setup.start();
    let receive = |socket: &UdpSocket| {
        let mut buf = [0; 2000];
        socket.recv_from(&mut buf).ok().map(|(n, from)| {
            assert!(from == own_address && n <= 256, "{n} bytes from {from}");
            buf[..n].to_vec()
        })
    };
    // A request of a customer that both gateways serve: its usage is sent to the peer.
    let mut client = ingress.client();
    let request = String::from_utf8(call("quote", "q1", 900))
        .unwrap()
        .replace("spread=1", "spread=2");
    let start = Instant::now();
    client.send(request.as_bytes());
    let mut usage_message = None;
    until("the peer receives a usage message", || {
        usage_message = receive(&peer).filter(|m| m[1] & 3 == 0 && m[8] > 0);
        usage_message.is_some() || start.elapsed() > WAIT_LIMIT
    });
    assert_eq!(client.answer(), "value of q1");
    // The same message with the query bit set is answered if it comes from the peer, and otherwise ignored.
    let mut query = usage_message.unwrap();
    let header_len = 9 + 4 * usize::from(query[1] >> 2);
    query[header_len + 8] |= 2;
    let answered = |from: &UdpSocket, bytes: &[u8]| {
        from.send_to(bytes, own_address).unwrap();
        (0..5).filter_map(|_| receive(&peer)).any(|m| m[1] & 3 == 1)
    };
    while receive(&peer).is_some() {}
    assert!(
        !answered(&stranger, &query),
        "a query from an unknown address was answered"
    );
    assert!(
        !answered(&peer, &query[..query.len() - 1]),
        "a truncated query was answered"
    );
    assert!(
        !answered(&peer, &[&query[..], &[0; 1000]].concat()),
        "an oversized query was answered"
    );
    assert!(
        answered(&peer, &query),
        "the query of the peer was not answered"
    );
    assert_eq!(client.ask(&call("quote", "q2", 900)), "value of q2");
}
