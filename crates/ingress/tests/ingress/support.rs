//! Helpers shared by the tests in this folder.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;
use wrenfork_testbed::service_fixture::{call, Backend, Ingress, Setup};

/// A setup with the program as built for the tests.
pub fn setup(backends: &[&Backend]) -> Setup {
    Setup::of(env!("CARGO_BIN_EXE_wrenfork"), backends)
}

/// Whether a request was rejected before it ran.
pub fn is_rejected(answer: &str) -> bool {
    answer.starts_with("-BUSY")
}

/// A new request id on each call.
pub fn new_id() -> String {
    static NEXT: AtomicUsize = AtomicUsize::new(1);
    format!("n{}", NEXT.fetch_add(1, Ordering::Relaxed))
}

/// Sends two requests at a time until `wanted` has received one, and returns the answer to that one. Sent one after the
/// other, they might all go to the backend that answered first.
pub fn answer_through(ingress: &Ingress, class: &str, wanted: &Backend) -> String {
    let (mut client, before) = (ingress.client(), wanted.count());
    for _ in 0..200 {
        let ids = [new_id(), new_id()];
        client.send(&ids.clone().map(|id| call(class, &id, 1500)).concat());
        let answers = ids.map(|id| (client.answer(), id));
        let received_id = wanted
            .seen
            .commands
            .lock()
            .unwrap()
            .get(before)
            .map(|c| c[2].clone());
        if let Some((answer, _)) = answers
            .iter()
            .find(|(_, id)| Some(id) == received_id.as_ref())
        {
            return answer.clone();
        }
        answers
            .iter()
            .for_each(|(answer, id)| assert_eq!(*answer, format!("value of {id}")));
        thread::sleep(Duration::from_millis(5));
    }
    panic!("none of 400 requests was sent to the wanted backend");
}
