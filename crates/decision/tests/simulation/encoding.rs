//! Encodes actions as bytes, and computes a digest of them. The encoding is independent of names in
//! the program, so that a rename changes no digest.

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

    pub fn add(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(0x0000_0100_0000_01b3);
        }
    }

    pub fn add_number(&mut self, number: u64) {
        self.add(&number.to_le_bytes());
    }

    /// Adds an event handled by a gateway, with the number of resulting actions.
    pub fn add_event(&mut self, gateway: u16, now: Micros, actions: usize) {
        self.add_number(u64::from(gateway));
        self.add_number(now);
        self.add_number(actions as u64);
    }

    pub fn add_action(&mut self, action: &Action) {
        let (code, numbers, bytes) = fields(action);
        self.add(&[code]);
        numbers.iter().for_each(|n| self.add_number(*n));
        self.add_number(bytes.len() as u64);
        self.add(&bytes);
    }
}

/// Returns a code for the kind of action, its numeric fields in order, and its bytes.
fn fields(action: &Action) -> (u8, Vec<u64>, Vec<u8>) {
    let no_bytes = Vec::new;
    match action {
        Action::Send {
            id,
            backend,
            expires_at,
            start_by,
        } => (1, vec![id.0, backend.0, *expires_at, *start_by], no_bytes()),
        Action::Reject { id, retry_after } => (2, vec![id.0, *retry_after], no_bytes()),
        Action::Fail(id) => (3, vec![id.0], no_bytes()),
        Action::Cancel { id, attempt } => (4, vec![id.0, u64::from(*attempt)], no_bytes()),
        Action::SetTimer { delay, token } => (5, vec![*delay, u64::from(*token)], no_bytes()),
        Action::SendToPeer { to, bytes } => {
            let to = to.map_or(u64::MAX, |g| u64::from(g.0));
            (6, vec![to], bytes.clone())
        }
        Action::CheckHealth(backend) => (7, vec![backend.0], no_bytes()),
        Action::CloseIdleConnections(backend) => (8, vec![backend.0], no_bytes()),
        Action::WatchEndpoints(enabled) => (9, vec![u64::from(*enabled)], no_bytes()),
        Action::FetchEndpoints => (10, Vec::new(), no_bytes()),
        Action::AddToCounter {
            counter,
            delta,
            lifetime,
        } => (11, vec![*counter, delta.to_bits(), *lifetime], no_bytes()),
        Action::Log(event) => (12, Vec::new(), event.to_string().into_bytes()),
    }
}
