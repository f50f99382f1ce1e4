//! Counts of requests that lost their answers because this process closed the client's connection.

use super::connection::ClientConnection;

/// Why this process closed a connection on which answers were due.
#[derive(Clone, Copy, Debug)]
pub(super) enum CloseReason {
    /// A streamed answer broke off after part of it was forwarded.
    BrokenStream,
    /// The connection held the most memory while the limit was exceeded.
    Memory,
    /// The client did not read its answers.
    Unread,
}

/// Number of requests since the start of the process that lost their answers, by reason.
#[derive(Clone, Copy, Debug, Default)]
pub struct LostAnswers {
    /// A streamed answer before them on their connection, or their own, broke off.
    pub broken_stream: u64,
    /// Their connection was closed to free memory.
    pub memory: u64,
    /// Their client did not read its answers.
    pub unread: u64,
}

impl LostAnswers {
    /// Counts the answers due on a connection that is about to be closed. Answers in its output buffer that are not written
    /// completely count as one.
    pub(super) fn record<S>(&mut self, reason: CloseReason, conn: &ClientConnection<S>) {
        let count = match reason {
            CloseReason::BrokenStream => &mut self.broken_stream,
            CloseReason::Memory => &mut self.memory,
            CloseReason::Unread => &mut self.unread,
        };
        let has_unwritten_answer = conn.written < conn.out.len() && !conn.stream_begun;
        *count += conn.answers.len() as u64 + u64::from(has_unwritten_answer);
    }
}
