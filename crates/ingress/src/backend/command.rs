//! The command that a connection to a backend writes for its attempt or health check.

use serde::{Deserialize, Serialize};
use wrenfork_wire::call::Body;

/// Capacity in bytes that an idle connection keeps for its next command.
const MAX_IDLE_CAPACITY: usize = 2 * 1024;

/// A command and how much of it is written. Empty, and thus completely written, while the connection is idle. The field order
/// is part of the handover format.
#[derive(Default, Serialize, Deserialize)]
pub(super) struct OutgoingCommand {
    /// The command, without a long body.
    pub(super) head: Vec<u8>,
    /// A long body, written after `head`.
    pub(super) body: Option<Body>,
    /// Number of bytes of `head` and `body` that are written to the socket.
    pub(super) written: usize,
}

impl OutgoingCommand {
    /// Replaces the command by the one that `generate` appends to an empty buffer; a long body is returned separately.
    pub(super) fn replace(&mut self, generate: impl FnOnce(&mut Vec<u8>) -> Option<Body>) {
        self.head.clear();
        self.written = 0;
        self.body = generate(&mut self.head);
    }

    /// Replaces the part before the long body, unless part of the command is written already.
    pub(super) fn replace_head(&mut self, generate: impl FnOnce(&mut Vec<u8>)) {
        if self.written == 0 {
            self.head.clear();
            generate(&mut self.head);
        }
    }

    /// Removes the command once its answer has arrived.
    pub(super) fn clear(&mut self) {
        self.replace(|_| None);
        self.head.shrink_to(MAX_IDLE_CAPACITY);
    }

    /// Whether the command is written completely.
    pub(super) fn is_written(&self) -> bool {
        self.written == self.head.len() + self.body.as_ref().map_or(0, Body::len)
    }

    /// The next bytes to write.
    pub(super) fn rest(&self) -> &[u8] {
        match (&self.body, self.written.checked_sub(self.head.len())) {
            (Some(body), Some(body_offset)) => &body.bytes()[body_offset..],
            _ => &self.head[self.written..],
        }
    }
}
