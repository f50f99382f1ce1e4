//! Messages between ingresses.

use crate::support::setup;
use std::net::UdpSocket;
use std::time::{Duration, Instant};
use wrenfork_testbed::service_fixture::{call, free_address, serve, until, Backend, WAIT_LIMIT};

/// A socket that is read for 0.1 s.
fn udp() -> UdpSocket {
    let socket = UdpSocket::bind(free_address()).unwrap();
    let timeout = Duration::from_millis(100);
    socket.set_read_timeout(Some(timeout)).unwrap();
    socket
}

#[test]
fn only_peers_are_believed_and_messages_are_short() {
    let backend = Backend::start(serve);
    let mut setup = setup(&[&backend]);
    let (peer, stranger, own) = (udp(), udp(), free_address());
    setup.settings = setup.settings.replace(
        "\"may_probe\":true,\"peers\":false",
        "\"may_probe\":true,\"peers\":true",
    );
    setup.settings = setup
        .settings
        .replace("\"n_instances\":1", "\"n_instances\":2");
    setup.more = format!(
        r#""peer_listen":"{own}","peers":["{own}","{}"],"peers_all":"{}","#,
        peer.local_addr().unwrap(),
        peer.local_addr().unwrap()
    );
    let ingress = setup.start();
    let hear = |socket: &UdpSocket| {
        let mut buf = [0; 2000];
        socket.recv_from(&mut buf).ok().map(|(n, from)| {
            assert!(from == own && n <= 256, "{n} bytes from {from}");
            buf[..n].to_vec()
        })
    };
    // A request of a customer with both for gateways: its use is told to the other one.
    let mut client = ingress.client();
    let asked = String::from_utf8(call("quote", "q1", 900))
        .unwrap()
        .replace("spread=1", "spread=2");
    let start = Instant::now();
    client.send(asked.as_bytes());
    let mut told = None;
    until("the peer is told", || {
        told = hear(&peer).filter(|m| m[1] & 3 == 0 && m[8] > 0);
        told.is_some() || start.elapsed() > WAIT_LIMIT
    });
    assert_eq!(client.answer(), "value of q1");
    // The same message, asking for news, brings an answer if it comes from the peer, and only then.
    let mut question = told.unwrap();
    let first = 9 + 4 * usize::from(question[1] >> 2);
    question[first + 8] |= 2;
    let answered = |from: &UdpSocket, bytes: &[u8]| {
        from.send_to(bytes, own).unwrap();
        (0..5).filter_map(|_| hear(&peer)).any(|m| m[1] & 3 == 1)
    };
    while hear(&peer).is_some() {}
    assert!(!answered(&stranger, &question), "a stranger was believed");
    assert!(
        !answered(&peer, &question[..question.len() - 1]),
        "half a message was believed"
    );
    assert!(
        !answered(&peer, &[&question[..], &[0; 1000]].concat()),
        "a long message was believed"
    );
    assert!(answered(&peer, &question), "the peer was not heard");
    assert_eq!(client.ask(&call("quote", "q2", 900)), "value of q2");
}
