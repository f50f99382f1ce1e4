//! Commands of clients: `CALL.GET` and `CALL.POST` are requests for the decision module; `PING` and `AUTH` are answered here, as is
//! whatever is no command or can't be admitted.

use super::connection::{AnswerSlot, Origin};
use super::{ClientEvent, Clients};
use crate::authenticator::PresentedToken;
use crate::request_metrics::RequestEnd;
use wrenfork_decision::{Micros, RequestId};
use wrenfork_identity::Refusal;
use wrenfork_wire::call::{Call, CallError};
use wrenfork_wire::resp;

/// The answer to a request without capacity for it: a retry is harmless.
const BUSY: &[u8] = b"-BUSY\r\n";
const PONG: &[u8] = b"+PONG\r\n";
const OK: &[u8] = b"+OK\r\n";
const UNKNOWN_COMMAND: &[u8] = b"-ERR unknown command\r\n";

/// What parsing came to.
enum Parsed {
    /// There is no complete command.
    Incomplete,
    /// Something that was answered, or is to be.
    Handled,
    /// A request behind which the connection is closed, once all that came with it is answered.
    HandledLast,
}

impl Clients {
    /// Takes the complete commands out of what a connection has sent; false if it is not to be read now.
    pub(super) fn take_commands(&mut self, key: usize, now: Micros) -> bool {
        self.take_complete_commands(key, now) && self.request_grant(key)
    }

    fn take_complete_commands(&mut self, key: usize, now: Micros) -> bool {
        let mut at = 0;
        let mut last = false;
        loop {
            let c = &self.connections[key];
            if c.closing || c.is_full() || at >= c.buf.len() {
                break;
            }
            match self.take_command(key, &mut at, now) {
                Parsed::Incomplete => break,
                Parsed::Handled => {}
                Parsed::HandledLast => last = true,
            }
        }
        let c = &mut self.connections[key];
        c.closing |= last;
        if c.closing {
            at = c.buf.len(); // what follows the last command that is answered is not parsed
        }
        c.buf.drain(..at);
        if c.buf.is_empty() {
            c.buf = Vec::new(); // there are many that wait: none keeps more than it needs
        }
        !c.is_full()
    }

    /// Takes the command that begins `at` a place of what a connection has sent.
    fn take_command(&mut self, key: usize, at: &mut usize, now: Micros) -> Parsed {
        let c = &mut self.connections[key];
        let length = match resp::command(&c.buf[*at..], &mut self.arguments) {
            Ok(None) => return Parsed::Incomplete,
            Ok(Some(length)) => length,
            Err(error) => {
                c.answer_error(&format!("protocol error: {error}"));
                c.closing = true;
                *at = c.buf.len();
                self.write_later(key);
                return Parsed::Handled;
            }
        };
        c.since = now.max(c.since);
        c.command_since = now.max(c.command_since);
        let start = *at;
        match self.read_call(key, at, length) {
            Some(Ok(call)) => return self.take_call(key, call, now),
            Some(Err(error)) => {
                let c = &mut self.connections[key];
                c.answer_error(&error.to_string());
                c.count_error();
            }
            None => self.answer_other(key, start, now),
        }
        self.write_later(key);
        Parsed::Handled
    }

    /// Reads a complete command, whose arguments have been found, as a request; none if it is another one.
    fn read_call(
        &mut self,
        key: usize,
        at: &mut usize,
        length: usize,
    ) -> Option<Result<Call, CallError>> {
        let body = self.arguments.get(resp::BODY_INDEX);
        if body.is_some_and(|body| body.len() > resp::MAX_VALUE) {
            let command = self.take_long_command(key, *at, length);
            return Call::read_long(command, &self.arguments, &self.vocabulary);
        }
        let command = &self.connections[key].buf[*at..*at + length];
        *at += length;
        Call::read(command, &self.arguments, &self.vocabulary)
    }

    /// A command with a long body is kept as it came; what stands behind it is moved instead.
    fn take_long_command(&mut self, key: usize, at: usize, length: usize) -> Vec<u8> {
        let c = &mut self.connections[key];
        let mut command = c.buf.split_off(at);
        c.buf.extend_from_slice(&command[length..]);
        command.truncate(length);
        self.granted -= std::mem::take(&mut c.granted);
        command
    }

    /// Answers a command that is no request, and that begins at `start` of what a connection has sent.
    fn answer_other(&mut self, key: usize, start: usize, now: Micros) {
        let c = &mut self.connections[key];
        let command = c.buf.get(start..).unwrap_or_default();
        let verb = command.get(self.arguments[0].clone()).unwrap_or_default();
        if verb.eq_ignore_ascii_case(b"PING") {
            return self.answer_ping(key);
        }
        let authenticates = self.authenticator.is_some() && self.arguments.len() == 2;
        if authenticates && verb.eq_ignore_ascii_case(b"AUTH") {
            return self.answer_auth(key, start, now);
        }
        c.answer_now(UNKNOWN_COMMAND);
        c.count_error();
    }

    /// A request: rejected here where it can't be admitted, else one for the event loop.
    fn take_call(&mut self, key: usize, mut call: Call, now: Micros) -> Parsed {
        let class = call.request.class;
        if self.connections[key].surplus {
            self.reject_call(key, class, BUSY);
            return Parsed::HandledLast;
        }
        if self.rejecting {
            self.reject_call(key, class, BUSY);
            return Parsed::Handled;
        }
        if !self.admission.admits() {
            let rejection = self.admission.rejection();
            self.reject_call(key, class, &rejection);
            return Parsed::Handled;
        }
        if let Err(refusal) = self.authorize(key, &mut call, now) {
            self.deny(key, &refusal);
            let end = ClientEvent::EndedEarly(class, RequestEnd::Failed);
            self.events.push_back(end);
            return Parsed::Handled;
        }
        let c = &mut self.connections[key];
        self.last_request += 1;
        let id = RequestId(self.last_request);
        let origin = Origin {
            key,
            serial: c.serial,
            index: c.first_index + c.answers.len() as u64,
        };
        c.errors = 0;
        c.answers.push_back(AnswerSlot::Waiting(id));
        let event = ClientEvent::Request(id, origin, call);
        self.events.push_back(event);
        Parsed::Handled
    }

    /// Answers a request that can't be admitted.
    fn reject_call(&mut self, key: usize, class: u8, answer: &[u8]) {
        let end = ClientEvent::EndedEarly(class, RequestEnd::Rejected);
        self.events.push_back(end);
        self.connections[key].answer_now(answer);
        self.write_later(key);
    }

    /// Whether a client may send a request, where clients are authenticated.
    fn authorize(&mut self, key: usize, call: &mut Call, now: Micros) -> Result<(), Refusal> {
        let token = call.take_token();
        let Some(authenticator) = &mut self.authenticator else {
            return Ok(());
        };
        let c = &mut self.connections[key];
        let presented = token.as_deref().map(|token| PresentedToken {
            token,
            source: c.stream.client_source(),
        });
        authenticator.authorize(&mut c.caller, presented, &call.request, now)
    }

    fn answer_ping(&mut self, key: usize) {
        let c = &mut self.connections[key];
        if self.admission.admits() {
            c.answer_now(PONG);
        } else {
            c.answer_now(&self.admission.rejection());
        }
        c.errors = 0;
    }

    fn answer_auth(&mut self, key: usize, start: usize, now: Micros) {
        let Some(authenticator) = &mut self.authenticator else {
            return;
        };
        let c = &mut self.connections[key];
        let token = &c.buf[start..][self.arguments[1].clone()];
        let source = c.stream.client_source();
        match authenticator.authenticate(PresentedToken { token, source }, now) {
            Ok(caller) => {
                c.caller = Some(caller);
                c.answer_now(OK);
                c.errors = 0;
            }
            Err(refusal) => {
                // What it had proved before holds no longer: it wants to be somebody else.
                c.caller = None;
                self.deny(key, &refusal);
            }
        }
    }

    fn deny(&mut self, key: usize, refusal: &Refusal) {
        let c = &mut self.connections[key];
        c.answer_now(format!("-DENIED {refusal}\r\n").as_bytes());
        c.count_error();
        self.write_later(key);
    }
}
