//! Backends that write their answers or read their requests slowly.

use socket2::{Domain, Socket, Type};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};
use wrenfork_testbed::service_fixture::{
    call, command, entry, until, Act, Backend, Ingress, Setup,
};

/// Length of a value that is not streamed, near the longest.
const SHORT_VALUE_BYTES: usize = 60_000;

fn setup(backends: &[&Backend]) -> Setup {
    Setup::of(env!("CARGO_BIN_EXE_wrenfork"), backends)
}

fn value(id: &str, length: usize) -> String {
    id.bytes().cycle().take(length).map(char::from).collect()
}

fn answer(args: &[String], length: usize) -> Vec<u8> {
    let value = value(&args[2], length);
    format!("*3\r\n${length}\r\n{value}\r\n$-1\r\n$-1\r\n").into_bytes()
}

/// Guards against an answer that is cut off while its backend is still writing it: it had half a second from its first byte.
#[test]
fn an_answer_that_is_written_slowly_is_served() {
    let lengths = [100, 20_000, SHORT_VALUE_BYTES, 65_536];
    for length in lengths {
        let backend = Backend::start(move |args| {
            let bytes = answer(args, length);
            Act::Pieces(bytes.len() / 8 + 1, Duration::from_millis(200), bytes)
        });
        let ingress = setup(&[&backend]).start();
        let served = ingress.client().ask(&call("refer", "r1", 5000));
        assert!(
            served == value("r1", length),
            "{length} bytes: {}",
            &served[..served.len().min(50)]
        );
        assert_eq!(backend.count(), 1);
    }
}

/// Guards against an answer that is cut off for a pause of the ingress itself: half of it had arrived before.
#[test]
fn an_answer_that_arrives_while_the_ingress_is_stopped_is_served() {
    let backend = Backend::start(|args| {
        let bytes = answer(args, SHORT_VALUE_BYTES);
        Act::Parts(bytes.len() / 2, Duration::from_millis(400), bytes)
    });
    let ingress = setup(&[&backend]).start();
    let mut client = ingress.client();
    client.send(&call("refer", "r1", 5000));
    until("the request reaches the backend", || backend.count() == 1);
    thread::sleep(Duration::from_millis(200));
    ingress.signal("STOP");
    thread::sleep(Duration::from_millis(1500));
    ingress.signal("CONT");
    let served = client.answer();
    assert!(
        served == value("r1", SHORT_VALUE_BYTES),
        "{}",
        &served[..served.len().min(50)]
    );
}

/// A backend that reads `bytes_per_second` of what it is sent, and answers once it has read a command of a given length. Returns its
/// address and the number of bytes that it has read.
fn start_slow_reader(
    bytes_per_second: usize,
    command_length: usize,
) -> (SocketAddr, Arc<AtomicUsize>) {
    const PIECES_PER_SECOND: usize = 20;
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    let bytes_per_piece = bytes_per_second / PIECES_PER_SECOND;
    socket.set_recv_buffer_size(2 * bytes_per_piece).unwrap();
    let address: SocketAddr = "127.0.0.1:0".parse().unwrap();
    socket.bind(&address.into()).unwrap();
    socket.listen(16).unwrap();
    let listener: TcpListener = socket.into();
    let at = listener.local_addr().unwrap();
    let count = Arc::new(AtomicUsize::new(0));
    let total = Arc::clone(&count);
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let total = Arc::clone(&total);
            thread::spawn(move || {
                let mut piece = vec![0; bytes_per_piece];
                let mut received = 0;
                while let Ok(bytes) = stream.read(&mut piece) {
                    if bytes == 0 {
                        return;
                    }
                    received += bytes;
                    total.fetch_add(bytes, Ordering::SeqCst);
                    if received >= command_length {
                        let _ = stream.write_all(b"*3\r\n$4\r\ndone\r\n$-1\r\n$-1\r\n");
                    }
                    thread::sleep(Duration::from_secs(1) / PIECES_PER_SECOND as u32);
                }
            });
        }
    });
    (at, count)
}

fn post(class: &str, id: &str, wait_ms: u32, length: usize) -> Vec<u8> {
    let options = format!("c={class},t=starter,d={wait_ms},k=00ff,units=1,spread=1,first=0");
    let body = value(id, length);
    command(&["CALL.POST", "00000000000000b1", id, &options, &body])
}

fn start_with_endpoint(at: SocketAddr) -> Ingress {
    let mut setup = setup(&[]);
    setup.known = vec![entry("s-0", at, "up")];
    setup.start()
}

/// Guards against a final answer that comes after its time, because a backend reads a large request slowly.
#[test]
fn a_request_that_its_backend_reads_slowly_is_answered_in_time() {
    const WAIT_MS: u32 = 1500;
    for class in ["refer", "save"] {
        for (number, length) in [60_000, 1 << 20, 4 << 20].into_iter().enumerate() {
            let (at, read_bytes) = start_slow_reader(200_000, usize::MAX);
            let ingress = start_with_endpoint(at);
            let mut client = ingress.client();
            let start = Instant::now();
            client.send(&post(class, &format!("b{number}"), WAIT_MS, length));
            let answer = client.answer();
            let elapsed = start.elapsed();
            assert!(answer.starts_with('-'), "{class}, {length}: {answer:?}");
            assert!(
                elapsed < Duration::from_millis(u64::from(WAIT_MS) + 50),
                "{class}, {length}: answered after {elapsed:?}"
            );
            assert!(read_bytes.load(Ordering::SeqCst) > 0);
        }
    }
}

/// Guards against a large request that is given up although its backend reads it in time.
#[test]
fn a_request_that_its_backend_reads_slowly_is_served() {
    let request = post("refer", "b1", 6000, 4 << 20);
    // The command is longer on its way to the backend or shorter by the digits of the time alone.
    let (at, _) = start_slow_reader(2_000_000, request.len() - 8);
    let ingress = start_with_endpoint(at);
    let start = Instant::now();
    assert_eq!(ingress.client().ask(&request), "done");
    assert!(start.elapsed() > Duration::from_millis(500));
}
