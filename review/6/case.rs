//! A small share of the backends' answers is followed by a second copy some milliseconds late, sent while nothing waits on the
//! connection; some requests are turned away, as by a full queue. No client may be served with the value of another request, and no
//! request of a class that must not run twice may run twice.

#[path = "../lib-2/standin.rs"]
mod standin;

use standin::*;
use std::collections::HashMap;
use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::mpsc::{channel, Sender};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// One way between two halls: the pages say 0.7 to 1.3 ms.
const ONE_WAY: Duration = Duration::from_millis(1);
/// How much later than the answer its second copy is sent.
const LATE: Duration = Duration::from_millis(3);
/// Work of a request.
const WORK: Duration = Duration::from_millis(5);
/// One answer in so many has a second copy.
const ONE_IN: u64 = 40;
/// How long a busy backend takes to turn a request away.
const TURNING_AWAY: Duration = Duration::from_millis(5);
/// One request in so many is turned away, with or without the disruption.
const TURNED_AWAY_ONE_IN: u64 = 15;
const CLIENTS: u64 = 6;
const SECONDS: u64 = 30;

/// What a backend's connection has to write, and when.
type Outgoing = (Instant, Vec<u8>);

fn wait_until(at: Instant) {
    std::thread::sleep(at.saturating_duration_since(Instant::now()));
}

/// The writing half of a connection, with the delay of the way back.
fn writer(mut stream: TcpStream) -> Sender<Outgoing> {
    let (sender, queue) = channel::<Outgoing>();
    std::thread::spawn(move || {
        for (sent_at, bytes) in queue {
            wait_until(sent_at + ONE_WAY);
            if stream.write_all(&bytes).is_err() {
                return;
            }
        }
    });
    sender
}

/// What the backends count together.
#[derive(Default)]
struct Counts {
    requests: AtomicU64,
    answers: AtomicU64,
    copies: AtomicU64,
    runs: Mutex<HashMap<String, u32>>,
}

/// A backend behind a network with a delay: `ONE_WAY` each way.
fn distant_backend(n: usize, counts: Arc<Counts>, record: Record) -> std::net::SocketAddr {
    let writers: Mutex<Vec<(std::net::SocketAddr, Sender<Outgoing>, Arc<AtomicUsize>)>> = Mutex::new(Vec::new());
    backend(move |request, out| {
        let peer = out.peer_addr().unwrap();
        let (sender, arrivals) = {
            let mut writers = writers.lock().unwrap();
            match writers.iter().find(|(address, ..)| *address == peer) {
                Some((_, sender, arrivals)) => (sender.clone(), arrivals.clone()),
                None => {
                    let made = (writer(out.try_clone().unwrap()), Arc::new(AtomicUsize::new(0)));
                    writers.push((peer, made.0.clone(), made.1.clone()));
                    made
                }
            }
        };
        std::thread::sleep(ONE_WAY); // the way of the request
        let arrived = arrivals.fetch_add(1, Ordering::SeqCst) + 1;
        if counts.requests.fetch_add(1, Ordering::SeqCst) % TURNED_AWAY_ONE_IN == TURNED_AWAY_ONE_IN - 1 {
            std::thread::sleep(TURNING_AWAY);
            record.line(format!("backend {n} turns {} away", request.id));
            return sender.send((Instant::now(), b"-BUSY\r\n".to_vec())).is_ok();
        }
        record.line(format!("backend {n} runs {}", request.id));
        *counts.runs.lock().unwrap().entry(request.id.clone()).or_default() += 1;
        std::thread::sleep(WORK);
        let answer = served(format!("value for {}", request.id).as_bytes());
        let sent_at = Instant::now();
        if sender.send((sent_at, answer.clone())).is_err() {
            return false;
        }
        let count = counts.answers.fetch_add(1, Ordering::SeqCst);
        if trouble() && count % ONE_IN == ONE_IN - 1 {
            let (counts, record, id) = (counts.clone(), record.clone(), request.id.clone());
            std::thread::spawn(move || {
                wait_until(sent_at + LATE);
                // Only if nothing else waits on the connection.
                if arrivals.load(Ordering::SeqCst) == arrived && sender.send((Instant::now(), answer)).is_ok() {
                    counts.copies.fetch_add(1, Ordering::SeqCst);
                    record.line(format!("backend {n} sends a second copy of the answer to {id}"));
                }
            });
        }
        true
    })
}

fn main() {
    let record = Record::create();
    let counts = Arc::new(Counts::default());
    let addresses: Vec<_> = (0..2)
        .map(|n| distant_backend(n, counts.clone(), record.clone()))
        .collect();
    let ingress = start_ingress(&endpoints("s-", &addresses), &Settings::default(), &record);
    let until = Instant::now() + Duration::from_secs(SECONDS);
    let clients: Vec<_> = (0..CLIENTS)
        .map(|n| {
            let (stream, record) = (ingress.connect(), record.clone());
            std::thread::spawn(move || client(n, stream, until, &record))
        })
        .collect();
    let (mut sent, mut right, mut foreign) = (0, 0, 0);
    for client in clients {
        let of_client = client.join().unwrap_or_else(|_| fail("a client failed"));
        sent += of_client.0;
        right += of_client.1;
        foreign += of_client.2;
    }
    ingress.log_to(&record);
    drop(ingress);
    let runs = counts.runs.lock().unwrap();
    let mut twice = 0;
    for (id, times) in runs.iter().filter(|(_, times)| **times > 1) {
        twice += 1;
        record.line(format!("{id} ran {times} times"));
    }
    record.say(format!(
        "{sent} requests, {} answers of backends, {} second copies; {right} served with their own value, {foreign} with another's, {twice} ran twice",
        counts.answers.load(Ordering::SeqCst),
        counts.copies.load(Ordering::SeqCst)
    ));
    if right == 0 {
        fail("nothing was served");
    }
    std::process::exit(if foreign + twice > 0 { BROKEN } else { HELD });
}

/// Sends requests with pauses of 4 to 12 ms; returns how many were sent, served rightly and served with a foreign value.
fn client(n: u64, mut stream: TcpStream, until: Instant, record: &Record) -> (u64, u64, u64) {
    let _ = stream.set_read_timeout(Some(Duration::from_secs(10)));
    let mut reader = Reader::new(stream.try_clone().unwrap());
    let (mut sent, mut right, mut foreign) = (0, 0, 0);
    let options = options("lender-referral", 8000);
    let mut random = 0x9E37_79B9_7F4A_7C15_u64.wrapping_mul(n + 1);
    while Instant::now() < until {
        let id = format!("{n:02x}{sent:014x}");
        sent += 1;
        record.line(format!("client {n} sends {id}"));
        if stream.write_all(&call("CALL.POST", &id, &options, Some(b"x"))).is_err() {
            fail("a client's connection ended");
        }
        let Ok(answer) = reader.value() else {
            fail("a client's connection ended");
        };
        let wanted = format!("value for {id}");
        match answer.served() {
            Some(value) if value == wanted.as_bytes() => {
                right += 1;
                record.line(format!("client {n}: {id} was served with its own value"));
            }
            Some(value) => {
                foreign += 1;
                record.line(format!("client {n}: {id} was served with {:?}", String::from_utf8_lossy(value)));
            }
            None => record.line(format!("client {n}: {id}: {}", answer.short())),
        }
        random ^= random << 13;
        random ^= random >> 7;
        random ^= random << 17;
        std::thread::sleep(Duration::from_micros(4_000 + random % 8_000));
    }
    (sent, right, foreign)
}
