//! Clients that leave with requests under way: nothing of theirs is sent on, and no id runs twice.

use socket2::SockRef;
use std::collections::HashMap;
use std::io::Write;
use std::thread;
use std::time::Duration;
use wrenfork_testbed::service_fixture::{
    call, command, leave, serve, served, until, Act, Backend, Client, Setup,
};

/// After a client has left, no attempt for it may begin later than this.
const GRACE: Duration = Duration::from_millis(100);

fn setup(backends: &[&Backend]) -> Setup {
    Setup::of(env!("CARGO_BIN_EXE_wrenfork"), backends)
}

/// How a client leaves.
#[derive(Clone, Copy, Debug)]
enum Departure {
    /// It closes its connection.
    Close,
    /// It resets its connection.
    Reset,
}

fn depart(client: Client, departure: Departure) {
    if let Departure::Reset = departure {
        let socket = SockRef::from(&client.0);
        socket.set_linger(Some(Duration::ZERO)).unwrap();
    }
    leave(client);
}

/// A request with a body that has to wait for memory, or for its rest.
fn post(id: &str, length: usize) -> Vec<u8> {
    let options = "c=refer,t=starter,d=7000,units=1,spread=1,first=0";
    let body = "b".repeat(length);
    command(&["CALL.POST", "00000000000000b1", id, options, &body])
}

/// Guards against requests that are sent on after their client has left with much of them, or of its answers, still unread.
#[test]
fn nothing_is_sent_on_for_a_client_that_left_with_input_unread() {
    for departure in [Departure::Close, Departure::Reset] {
        for answer_bytes in [10, 30_000] {
            let backends = [(); 4].map(|()| {
                Backend::start(move |args| {
                    let value = "v".repeat(answer_bytes);
                    let answer = format!("*3\r\n${answer_bytes}\r\n{value}\r\n$-1\r\n$-1\r\n");
                    let _ = args;
                    Act::Later(Duration::from_millis(20), answer.into_bytes())
                })
            });
            let ingress = setup(&backends.each_ref()).start();
            let count = || backends.iter().map(Backend::count).sum::<usize>();
            let mut client = ingress.client();
            let requests: Vec<u8> = (0..3000)
                .flat_map(|n| call("refer", &format!("{departure:?}{answer_bytes}-{n}"), 7000))
                .collect();
            let mut writer = Client(client.0.try_clone().unwrap());
            let writing = thread::spawn(move || {
                let _ = writer.0.write_all(&requests);
            });
            until("some requests reach a backend", || count() >= 8);
            assert!(!client.answer().is_empty());
            let _ = client.0.shutdown(std::net::Shutdown::Both);
            let _ = writing.join();
            depart(client, departure);
            thread::sleep(GRACE);
            let sent = count();
            thread::sleep(Duration::from_millis(500));
            assert_eq!(count(), sent, "{departure:?}, {answer_bytes}");
            assert_eq!(
                ingress.client().ask(&command(&["PING"])),
                "+PONG",
                "{departure:?}"
            );
        }
    }
}

/// Guards against a request that is sent on after its client has left while its body waited for memory.
#[test]
fn nothing_is_sent_on_for_a_client_that_left_while_its_body_waited() {
    for departure in [Departure::Close, Departure::Reset] {
        let backend = Backend::start(serve);
        let mut setup = setup(&[&backend]);
        setup.memory_mb = 24;
        let ingress = setup.start();
        let (mut holder, mut waiting) = (ingress.client(), ingress.client());
        holder.send(&post("h1", 4 << 20)[..100_000]);
        thread::sleep(Duration::from_millis(50));
        waiting.send(&post("w1", 3 << 20)[..300_000]);
        thread::sleep(Duration::from_millis(50));
        depart(waiting, departure);
        leave(holder);
        thread::sleep(Duration::from_millis(300));
        assert_eq!(backend.count(), 0, "{departure:?}");
        assert_eq!(
            ingress.client().ask(&call("refer", "r1", 900)),
            "value of r1"
        );
    }
}

/// Guards against an id that runs twice, since it comes again after its client has left: on another connection, together with the
/// departure, or while the attempt is still out.
#[test]
fn an_id_that_comes_again_after_its_client_left_does_not_run_twice() {
    let backend = Backend::start(|args| Act::Later(Duration::from_millis(100), served(args)));
    let ingress = setup(&[&backend]).start();
    for (round, pause_ms) in [0, 20, 100, 300, 600, 900].into_iter().enumerate() {
        for departure in [Departure::Close, Departure::Reset] {
            let id = format!("{departure:?}{round}");
            let before = backend.count();
            let mut client = ingress.client();
            client.send(&call("refer", &id, 5000));
            until("the request reaches the backend", || {
                backend.count() > before
            });
            depart(client, departure);
            thread::sleep(Duration::from_millis(pause_ms));
            let answer = ingress.client().ask(&call("refer", &id, 5000));
            assert!(answer.starts_with("-ERR"), "{id}: {answer}");
        }
    }
    let mut runs: HashMap<String, usize> = HashMap::new();
    for command in backend.seen.commands.lock().unwrap().iter() {
        *runs.entry(command[2].clone()).or_default() += 1;
    }
    assert!(runs.values().all(|runs| *runs == 1), "{runs:?}");
}
