//! The memory that connections hold together: bounds for each are none for all, so those that hold most are ended beyond the
//! bound, and long bodies are read only once they have been granted what they take.

use super::connection::ClientConnection;
use super::eviction::ConnectionId;
use super::Clients;
use wrenfork_decision::Micros;
use wrenfork_wire::resp;

impl Clients {
    /// Bytes of answers for which there is room: what is left of half of what connections may hold.
    pub fn spare_memory(&self) -> usize {
        (self.max_memory / 2).saturating_sub(self.memory_used)
    }

    /// Counts what a connection holds. Beyond the bound, the one with the longest partial command is told so and closed, or else
    /// the one that has most to read.
    pub(super) fn enforce_memory(&mut self, key: usize) {
        let Some(c) = self.connections.get_mut(key) else {
            return;
        };
        c.recount(&mut self.memory_used);
        while self.memory_used > self.max_memory {
            let order = |c: &ClientConnection| (c.ungranted_input(), c.counted_memory);
            let connections = self.connections.iter_mut();
            let Some((key, c)) = connections.max_by_key(|(_, c)| order(c)) else {
                return;
            };
            if c.buf.is_empty() {
                self.remove(key);
                continue;
            }
            c.abort_command("no memory for the rest of a command");
            c.recount(&mut self.memory_used);
            self.write_later(key);
        }
    }

    /// Has a long body wait until it has the memory that it takes; false if it is not to be read now.
    pub(super) fn request_grant(&mut self, key: usize) -> bool {
        let c = &mut self.connections[key];
        if c.granted > 0 || c.buf.is_empty() || c.closing {
            return true;
        }
        let Some(length) = resp::long_command(&c.buf, &mut self.arguments) else {
            return true;
        };
        if length > self.max_memory {
            c.abort_command("the body is longer than there is memory for");
            self.write_later(key);
            return true;
        }
        if !std::mem::replace(&mut c.waits_for_grant, true) {
            let serial = c.serial;
            self.grant_queue.push_back(ConnectionId { key, serial });
        }
        false
    }

    /// Grants memory to long bodies in the order in which they came, as far as it goes beside that of the open requests.
    pub fn grant_memory(&mut self, requests_memory: usize, now: Micros) {
        while let Some(ConnectionId { key, serial }) = self.grant_queue.front().copied() {
            let c = self.connections.get_mut(key);
            let c = c.filter(|c| c.serial == serial && c.waits_for_grant);
            let length = c
                .as_ref()
                .and_then(|c| resp::long_command(&c.buf, &mut self.arguments));
            if let (Some(c), Some(length)) = (c, length) {
                if requests_memory + self.granted + length > self.max_memory {
                    return;
                }
                self.granted += length;
                c.granted = length;
                c.granted_at = now;
                c.command_since = now.max(c.command_since);
                c.waits_for_grant = false;
                c.stalled = false;
                c.buf.reserve_exact(length.saturating_sub(c.buf.len()));
                c.recount(&mut self.memory_used);
                self.read_later(key);
            }
            self.grant_queue.pop_front();
        }
    }
}
