//! Decides which answers stay unread at their backends while memory is short. They wait until other clients have read theirs, at
//! most until the deadline of their request.

use super::Ingress;
use crate::variant::Variant;

impl<V: Variant> Ingress<V> {
    /// Whether the answer that has arrived on a backend connection may be read now. It may not if too much memory is taken by
    /// answers that are being received, or if clients hold much memory and the one it is for has not read the earlier ones.
    pub(super) fn may_read_answer(&mut self, key: usize) -> bool {
        let clients_short = self.clients.is_memory_short();
        self.backends.set_clients_short(clients_short);
        let answers_fit = self.backends.fits_another_answer();
        if answers_fit && !clients_short {
            return true;
        }
        let Some(id) = self.backends.unread_answer(key) else {
            return true;
        };
        let open = self.requests.get(id);
        answers_fit && !open.is_some_and(|open| self.clients.is_congested(open.origin))
    }

    /// Resumes answers that were left unread and that memory is available for now.
    pub(super) fn resume_deferred_answers(&mut self) {
        for key in self.backends.take_deferred(self.now) {
            let may_read = self.may_read_answer(key);
            let now = self.clock.now();
            self.backends.resume_reading(key, now, may_read);
            self.process_events();
        }
    }
}
