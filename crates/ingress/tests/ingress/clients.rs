//! Client connections: pipelining, errors, timeouts and disconnects.

use crate::support::{new_id, setup};
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};
use wrenfork_testbed::service_fixture::{
    call, call_of, command, leave, serve, served, until, Act, Backend, Client,
};

#[test]
fn a_request_whose_client_disconnected_is_cancelled() {
    let slow = Backend::start(|args| Act::Later(Duration::from_millis(300), served(args)));
    let ingress = setup(&[&slow]).start();
    let mut client = ingress.client();
    client.send(&call("refer", "r1", 5000));
    until("the request reaches the backend", || slow.count() == 1);
    leave(client);
    until("the attempt is cancelled", || {
        slow.seen.ended.load(Ordering::SeqCst) == 1
    });
    assert_eq!(
        ingress.client().ask(&call("refer", "r2", 5000)),
        "value of r2"
    );
}

#[test]
fn pipelined_requests_are_answered_in_their_order() {
    let backend = Backend::start(|args| match &args[2][..1] {
        "s" => Act::Later(Duration::from_millis(150), served(args)),
        _ => serve(args),
    });
    let ingress = setup(&[&backend]).start();
    let mut client = ingress.client();
    let invalid = command(&["GET", "x"]);
    client.send(
        &[
            call("save", "s1", 2000),
            call("quote", "q2", 900),
            invalid,
            command(&["PING"]),
        ]
        .concat(),
    );
    let answers: Vec<String> = (0..4).map(|_| client.answer()).collect();
    assert_eq!(
        answers,
        [
            "value of s1",
            "value of q2",
            "-ERR unknown command",
            "+PONG"
        ]
    );
    // More commands than the pipeline of a connection holds: all are answered, in order.
    let pings = 2000;
    client.send(&command(&["PING"]).repeat(pings));
    client.send(&call("quote", "q3", 900));
    (0..pings).for_each(|_| assert_eq!(client.answer(), "+PONG"));
    assert_eq!(client.answer(), "value of q3");
}

/// Guards against a pipeline that is not read again once it was full, which would leave requests in the kernel's
/// buffer.
#[test]
fn a_long_pipeline_is_read_to_its_end() {
    let slow = Backend::start(|args| Act::Later(Duration::from_millis(5), served(args)));
    let ingress = setup(&[&slow]).start();
    let mut client = ingress.client();
    let requests: Vec<u8> = (0..600)
        .flat_map(|n| call("save", &format!("s{n}"), 3000))
        .collect();
    client.send(&requests);
    for n in 0..600 {
        let answer = client.answer();
        assert!(
            answer == format!("value of s{n}") || answer.starts_with('-'),
            "{n}: {answer:?}"
        );
    }
    assert_eq!(client.ask(&command(&["PING"])), "+PONG");
}

#[test]
fn a_request_sent_byte_by_byte_is_served() {
    let backend = Backend::start(serve);
    let ingress = setup(&[&backend]).start();
    let mut client = ingress.client();
    for byte in call("save", "s1", 2500) {
        client.send(&[byte]);
        thread::sleep(Duration::from_micros(200));
    }
    assert_eq!(client.answer(), "value of s1");
}

#[test]
fn an_invalid_request_gets_an_error_and_its_connection_stays_open() {
    let backend = Backend::start(serve);
    let ingress = setup(&[&backend]).start();
    let mut client = ingress.client();
    let good = String::from_utf8(call("quote", "q1", 900)).unwrap();
    for (from, to) in [
        ("c=quote", "c=quota"),
        ("t=starter", "t=stopper"),
        ("d=900", "d=9x0"),
        ("units=1", "units=x"),
        ("first=0", "fifth=0"),
        ("CALL.GET", "CALL.PUT"),
    ] {
        let answer = client.ask(good.replace(from, to).as_bytes());
        assert!(answer.starts_with("-ERR"), "{to}: {answer}");
    }
    assert_eq!(client.ask(&call("quote", "q2", 900)), "value of q2");
    assert_eq!(backend.count(), 1, "an invalid request reached the backend");
}

/// Guards against requests that the decision module would count in a customer's record although backends refuse them.
#[test]
fn values_out_of_range_reach_no_backend() {
    let backend = Backend::start(serve);
    let mut setup = setup(&[&backend]);
    setup.settings = setup
        .settings
        .replace("\"post_paid\"", "\"most_units\":4,\"post_paid\"");
    let ingress = setup.start();
    let good = String::from_utf8(call_of(4711, "quote", "q1", 900)).unwrap();
    for (from, to) in [
        ("units=1", "units=0"),
        ("units=1", "units=9"),
        ("spread=1", "spread=0"),
        ("spread=1", "spread=2"),
        ("first=0", "first=1"),
    ] {
        let answer = ingress.client().ask(good.replace(from, to).as_bytes());
        assert!(answer.starts_with("-ERR"), "{to}: {answer}");
    }
    assert_eq!(ingress.client().ask(good.as_bytes()), "value of q1");
    assert_eq!(backend.count(), 1);
}

/// Guards against a second request under an open id: backends would take it for another attempt of the first.
#[test]
fn a_duplicate_id_is_refused_and_the_first_request_completes() {
    let backend = Backend::start(|args| Act::Later(Duration::from_millis(400), served(args)));
    let ingress = setup(&[&backend]).start();
    let mut first = ingress.client();
    first.send(&call("refer", "r1", 4000));
    until("the request reaches the backend", || backend.count() == 1);
    for id in ["r1", "r1"] {
        let answer = ingress.client().ask(&call("refer", id, 4000));
        assert!(answer.starts_with("-ERR"), "{answer}");
    }
    assert_eq!(first.answer(), "value of r1");
    // The same id is refused for a moment after the answer too.
    assert!(ingress
        .client()
        .ask(&call("refer", "r1", 4000))
        .starts_with("-ERR"));
    assert_eq!(
        ingress.client().ask(&call("refer", "r2", 4000)),
        "value of r2"
    );
    assert_eq!(backend.count(), 2);
}

/// Guards against a client that sends invalid commands without end.
#[test]
fn a_connection_with_many_invalid_commands_is_closed() {
    let backend = Backend::start(serve);
    let ingress = setup(&[&backend]).start();
    let mut client = ingress.client();
    client.send(&[call("quote", "q1", 900), command(&["GET", "x"]).repeat(300)].concat());
    assert_eq!(client.answer(), "value of q1");
    let errors = (0..300)
        .take_while(|_| client.answer().starts_with("-ERR"))
        .count();
    assert!((1..20).contains(&errors), "{errors} errors");
    assert_eq!(
        ingress.client().ask(&call("quote", "q2", 900)),
        "value of q2"
    );
}

/// Guards against descriptors held by clients that send nothing or never a complete command: each gets an error or a
/// close within 3 s. A client that has sent a command may stay idle.
#[test]
fn clients_that_send_no_complete_command_are_closed() {
    let ingress = setup(&[]).start();
    let (mut active, mut silent, mut partial) =
        (ingress.client(), ingress.client(), ingress.client());
    let start = Instant::now();
    assert_eq!(active.ask(&command(&["PING"])), "+PONG");
    partial.send(b"*4\r\n$8\r\nCALL");
    assert!(partial.answer().starts_with("-ERR"));
    assert!(partial.ended() && silent.ended());
    assert!(
        start.elapsed() < Duration::from_secs(5),
        "closing the connections took {:?}",
        start.elapsed()
    );
    assert_eq!(active.ask(&command(&["PING"])), "+PONG");
    // A partial command is timed from its first byte, not from the last command.
    let ping = command(&["PING"]);
    active.send(&ping[..5]);
    thread::sleep(Duration::from_millis(1200));
    assert_eq!(active.ask(&ping[5..]), "+PONG");
}

/// Guards against an error answer that is lost to a reset because the client is still sending when the connection is
/// closed.
#[test]
fn a_huge_value_is_refused_while_it_is_being_sent() {
    let ingress = setup(&[]).start();
    let mut client = ingress.client();
    client.send(b"*1\r\n$60000000\r\n");
    for _ in 0..60 {
        client.send(&[b'x'; 1_000_000]);
    }
    assert!(client.answer().starts_with("-ERR protocol error"));
    assert_eq!(ingress.client().ask(&command(&["PING"])), "+PONG");
}

/// Guards against memory limits that hold per connection but not in total: 150 partial commands of 60 kB each.
#[test]
fn partial_commands_stay_within_the_memory_limit_in_total() {
    let backend = Backend::start(serve);
    let mut setup = setup(&[&backend]);
    setup.memory_mb = 16;
    let ingress = setup.start();
    let partial = [&b"*2\r\n$65536\r\n"[..], &[b'x'; 60_000]].concat();
    let mut clients: Vec<Client> = (0..150).map(|_| ingress.client()).collect();
    clients
        .iter_mut()
        .for_each(|c| drop(std::io::Write::write_all(&mut c.0, &partial)));
    let answer = ingress.client().ask(&call("quote", "q1", 2000));
    assert_eq!(answer, "value of q1");
    let status = std::fs::read_to_string(format!("/proc/{}/status", ingress.child.id())).unwrap();
    let peak = status
        .lines()
        .find_map(|l| l.strip_prefix("VmHWM:"))
        .unwrap();
    let peak: usize = peak.trim().trim_end_matches(" kB").parse().unwrap();
    assert!(peak < 14_000, "peak of {peak} kB resident");
}

#[test]
fn malformed_input_gets_an_error_and_a_close_after_earlier_answers() {
    let backend = Backend::start(|args| Act::Later(Duration::from_millis(100), served(args)));
    let ingress = setup(&[&backend]).start();
    for invalid in [
        "PING\r\n",
        "*1\r\n$70000\r\n",
        "*2000000000\r\n",
        "*1\r\n$-1\r\n",
        "*1\r\n$4\r\nPINGxx",
        "\0\0\0",
    ] {
        let (mut client, id) = (ingress.client(), new_id());
        client.send(&call("quote", &id, 900));
        // More unread bytes than the kernel discards without a reset at a close.
        client.send(&[invalid.as_bytes(), &[b'x'; 40_000]].concat());
        assert_eq!(client.answer(), format!("value of {id}"), "{invalid:?}");
        assert!(
            client.answer().starts_with("-ERR protocol error"),
            "{invalid:?}"
        );
        assert!(client.ended(), "{invalid:?}");
    }
    assert_eq!(ingress.client().ask(&command(&["PING"])), "+PONG");
}

/// Guards against sending requests that no client waits for: after a stall, the ingress finds requests followed
/// directly by the end of their connection.
#[test]
fn a_request_whose_client_disconnected_before_it_was_read_reaches_no_backend() {
    let backend = Backend::start(serve);
    let ingress = setup(&[&backend]).start();
    let mut other = ingress.client();
    // An idle connection to the backend, on which the next request could be written at once.
    assert_eq!(other.ask(&call("quote", "q1", 900)), "value of q1");
    std::thread::sleep(Duration::from_millis(20));
    let mut disconnecting = ingress.client();
    assert_eq!(disconnecting.ask(&command(&["PING"])), "+PONG");
    ingress.signal("STOP");
    disconnecting.send(&call("refer", "r1", 5000));
    leave(disconnecting);
    ingress.signal("CONT");
    assert_eq!(other.ask(&call("quote", "q2", 900)), "value of q2");
    let ids: Vec<String> = backend
        .seen
        .commands
        .lock()
        .unwrap()
        .iter()
        .map(|c| c[2].clone())
        .collect();
    assert_eq!(ids, ["q1", "q2"]);
}
