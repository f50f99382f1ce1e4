//! Tests of the memory that the output buffer of a client connection takes.

use super::{ClientConnection, MAX_DOUBLED_OUTPUT, OUTPUT_RESERVE};

const SHORT_ANSWER: &[u8] = b"$11\r\nvalue of q1\r\n";
/// Size of the longest answer, in bytes.
const LONG_ANSWER_BYTES: usize = 4 << 20;

/// A connection with an answer of maximum length in its output buffer.
fn connection_with_long_output() -> ClientConnection<()> {
    let mut connection = ClientConnection::new((), 1, 0);
    connection.out = vec![b'x'; LONG_ANSWER_BYTES];
    connection
}

/// Guards against a short answer that doubles the memory of a long one before it, so that the connection is closed because it
/// holds the most memory.
#[test]
fn a_short_answer_behind_a_long_one_takes_little_memory() {
    let mut connection = connection_with_long_output();
    let mut total = 0;
    connection.recount(&mut total);
    assert_eq!(total, LONG_ANSWER_BYTES);
    for _ in 0..256 {
        connection.queue_answer(SHORT_ANSWER);
    }
    connection.recount(&mut total);
    let added = total - LONG_ANSWER_BYTES;
    assert!(
        added <= 256 * SHORT_ANSWER.len() + OUTPUT_RESERVE,
        "{added} bytes for 256 short answers"
    );
    assert_eq!(
        connection.out.len(),
        LONG_ANSWER_BYTES + 256 * SHORT_ANSWER.len()
    );
}

/// Guards against memory that a client holds for what it has already read.
#[test]
fn the_written_part_of_a_long_output_is_freed() {
    let mut connection = connection_with_long_output();
    connection.out[LONG_ANSWER_BYTES - 1] = b'y';
    connection.written = LONG_ANSWER_BYTES / 2 - 1;
    connection.free_written_output();
    assert_eq!(connection.out.capacity(), LONG_ANSWER_BYTES);
    connection.written = LONG_ANSWER_BYTES - MAX_DOUBLED_OUTPUT;
    connection.free_written_output();
    assert_eq!(
        (connection.written, connection.out.len()),
        (0, MAX_DOUBLED_OUTPUT)
    );
    assert_eq!(connection.out.capacity(), MAX_DOUBLED_OUTPUT);
    assert_eq!(connection.out.last(), Some(&b'y'));
}
