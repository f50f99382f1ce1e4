//! The actions as bytes of a form of their own, so that a name that changes in the program moves no
//! digest, and the digest over them.

use wrenfork_decision::{Action, Micros};

/// FNV-1a in 64 bits.
pub struct Digest(u64);

impl Default for Digest {
    fn default() -> Self {
        Digest(0xcbf2_9ce4_8422_2325)
    }
}

impl Digest {
    pub fn value(&self) -> u64 {
        self.0
    }

    pub fn note(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(0x0000_0100_0000_01b3);
        }
    }

    pub fn note_number(&mut self, number: u64) {
        self.note(&number.to_le_bytes());
    }

    /// An event that a gateway saw, and how many actions came of it.
    pub fn note_event(&mut self, gateway: u16, now: Micros, actions: usize) {
        self.note_number(u64::from(gateway));
        self.note_number(now);
        self.note_number(actions as u64);
    }

    pub fn note_action(&mut self, action: &Action) {
        let (code, numbers, bytes) = fields(action);
        self.note(&[code]);
        numbers.iter().for_each(|n| self.note_number(*n));
        self.note_number(bytes.len() as u64);
        self.note(&bytes);
    }
}

/// A code for the kind of an action, its numbers in their order, and its bytes.
fn fields(action: &Action) -> (u8, Vec<u64>, Vec<u8>) {
    let none = Vec::new;
    match action {
        Action::Send {
            id,
            backend,
            expires_at,
            start_by,
        } => (1, vec![id.0, backend.0, *expires_at, *start_by], none()),
        Action::Reject { id, retry_after } => (2, vec![id.0, *retry_after], none()),
        Action::Fail(id) => (3, vec![id.0], none()),
        Action::Cancel { id, attempt } => (4, vec![id.0, u64::from(*attempt)], none()),
        Action::SetTimer { delay, token } => (5, vec![*delay, u64::from(*token)], none()),
        Action::SendToPeer { to, bytes } => {
            let to = to.map_or(u64::MAX, |g| u64::from(g.0));
            (6, vec![to], bytes.clone())
        }
        Action::CheckHealth(backend) => (7, vec![backend.0], none()),
        Action::CloseIdleConnections(backend) => (8, vec![backend.0], none()),
        Action::WatchEndpoints(on) => (9, vec![u64::from(*on)], none()),
        Action::FetchEndpoints => (10, Vec::new(), none()),
        Action::AddToCounter {
            counter,
            delta,
            lifetime,
        } => (11, vec![*counter, delta.to_bits(), *lifetime], none()),
        Action::Log(text) => (12, Vec::new(), text.to_string().into_bytes()),
    }
}
