//! A client pipelines three requests and reads slowly. The answer to the first has arrived whole from its backend; the backend
//! of the second resets its connection in the middle of its answer. The first must still reach the client whole.

#[path = "../standin-2.rs"]
mod standin;

use standin::{
    backend, call, endpoints, fail, options, pause, served, set_linger_zero, start_ingress,
    trouble, Ingress, Reader, Record, Settings, BROKEN, HELD,
};
use std::io::Write;
use std::time::{Duration, Instant};

/// Size of the first answer: well below the 4 MiB that the pages allow.
const FIRST_BYTES: usize = 1 << 20;
/// Size of the second answer, and how much of it comes before the reset.
const SECOND_BYTES: usize = 256 * 1024;
const SECOND_BEGUN: usize = 100 * 1024;
/// A client reads at most 64 KiB in this time: the first answer takes it about a second.
const PACE: Duration = Duration::from_millis(60);
/// How many clients do so, one after the other.
const CLIENTS: usize = 5;

fn value(id: &str, length: usize) -> Vec<u8> {
    let mut text = format!("value for {id} ").into_bytes();
    text.resize(length, b'.');
    text
}

fn main() {
    let record = Record::create();
    let disrupted = trouble();
    let log = record.clone();
    let addresses: Vec<_> = (0..4)
        .map(|n| {
            let log = log.clone();
            backend(move |request, out| {
                log.line(format!("backend {n} runs {}", request.id));
                let (length, cut) = match request.id.as_bytes().first() {
                    Some(b'a') => (FIRST_BYTES, None),
                    Some(b'b') => (SECOND_BYTES, disrupted.then_some(SECOND_BEGUN)),
                    _ => (100, None),
                };
                if request.id.starts_with('b') {
                    pause(150); // the first answer is through by then
                }
                let answer = served(&value(&request.id, length));
                let Some(cut) = cut else {
                    let whole = out.write_all(&answer).is_ok();
                    log.line(format!(
                        "backend {n} has written the answer to {}: {whole}",
                        request.id
                    ));
                    return whole;
                };
                let _ = out.write_all(&answer[..cut]);
                pause(400);
                log.line(format!(
                    "backend {n} resets its connection after {cut} of {} bytes for {}",
                    answer.len(),
                    request.id
                ));
                reset(out);
                false
            })
        })
        .collect();
    let ingress = start_ingress(&endpoints("s-", &addresses), &Settings::default(), &record);
    let mut lost = 0;
    for n in 0..CLIENTS {
        lost += usize::from(!first_answer_is_whole(&ingress, n, &record));
    }
    ingress.log_to(&record);
    drop(ingress);
    record.say(format!(
        "{lost} of {CLIENTS} requests whose answer their backend had given whole were not answered whole"
    ));
    std::process::exit(if lost > 0 { BROKEN } else { HELD });
}

/// Closes a backend's connection with a reset instead of an orderly end.
fn reset(stream: &std::net::TcpStream) {
    set_linger_zero(stream);
}

fn first_answer_is_whole(ingress: &Ingress, n: usize, record: &Record) -> bool {
    let stream = ingress.connect();
    let _ = stream.set_read_timeout(Some(Duration::from_secs(9)));
    let mut reader = Reader::new(stream.try_clone().unwrap());
    let mut out = &stream;
    let [a, b, c] = ["a", "b", "c"].map(|letter| format!("{letter}{n:015x}"));
    let options = options("lender-referral", 8000);
    let begun = Instant::now();
    let two = [
        call("CALL.POST", &a, &options, Some(b"x")),
        call("CALL.POST", &b, &options, Some(b"x")),
    ]
    .concat();
    if out.write_all(&two).is_err() {
        fail("the client could not write");
    }
    record.line(format!("client {n} sends {a} and {b}"));
    let (mut writer, third, log) = (stream.try_clone().unwrap(), c.clone(), record.clone());
    let third_options = options.clone();
    let later = std::thread::spawn(move || {
        pause(300);
        let _ = writer.write_all(&call("CALL.POST", &third, &third_options, Some(b"x")));
        log.line(format!("client {n} sends {third}"));
    });
    reader.pace = PACE;
    let answer = reader.value();
    let _ = later.join();
    let elapsed = begun.elapsed().as_millis();
    let whole = match &answer {
        Ok(answer) => {
            record.line(format!(
                "client {n}: {a} after {elapsed} ms: {}",
                answer.short()
            ));
            answer.served() == Some(&value(&a, FIRST_BYTES)[..])
        }
        Err(error) => {
            record.line(format!(
                "client {n}: {a} after {elapsed} ms: NOT ANSWERED WHOLE: {error}"
            ));
            false
        }
    };
    for id in [&b, &c] {
        match reader.value() {
            Ok(answer) => record.line(format!("client {n}: {id}: {}", answer.short())),
            Err(error) => {
                record.line(format!("client {n}: {id}: {error}"));
                break;
            }
        }
    }
    whole
}
