//! Parsing of client commands. `CALL.GET` and `CALL.POST` become requests for the decision module. `PING`, `AUTH`, malformed or
//! unknown commands and requests that can't be admitted are answered here.

use super::connection::{AnswerSlot, Origin};
use super::{ClientEvent, Clients};
use crate::authenticator::PresentedToken;
use crate::request_metrics::RequestEnd;
use std::ops::Range;
use wrenfork_decision::{Micros, RequestId};
use wrenfork_identity::Refusal;
use wrenfork_wire::call::{Call, CallError, MAX_COPIED_BODY};
use wrenfork_wire::resp;

/// Answer to a request that there is no capacity for. The request was not started, so the client may safely retry.
pub(super) const BUSY: &[u8] = b"-BUSY\r\n";
const PONG: &[u8] = b"+PONG\r\n";
const OK: &[u8] = b"+OK\r\n";
const UNKNOWN_COMMAND: &[u8] = b"-ERR unknown command\r\n";

impl Clients {
    /// Parses and handles all complete commands in a connection's input buffer. Returns false if reading from the connection must
    /// stop for now.
    pub(super) fn parse_commands(&mut self, key: usize, now: Micros) -> bool {
        self.parse_complete_commands(key, now) && self.request_grant(key, now)
    }

    fn parse_complete_commands(&mut self, key: usize, now: Micros) -> bool {
        let mut offset = 0;
        loop {
            let conn = &self.connections[key];
            if conn.must_pause_reading() || offset >= conn.buf.len() {
                break;
            }
            if !self.parse_command(key, &mut offset, now) {
                break;
            }
        }
        let conn = &mut self.connections[key];
        let must_pause = conn.must_pause_reading();
        if conn.closing && !must_pause {
            offset = conn.buf.len(); // the rest of a partial command is not read any more
            self.write_later(key);
        }
        self.remove_parsed_input(key, offset);
        !must_pause
    }

    /// Removes the first `length` bytes from a connection's input buffer.
    fn remove_parsed_input(&mut self, key: usize, length: usize) {
        let buf = &mut self.connections[key].buf;
        buf.drain(..length);
        if buf.is_empty() {
            *buf = Vec::new(); // frees the memory, as many connections are idle at a time
        }
    }

    /// Rejects the requests in a connection's input buffer, however many answers are pending. What is left of the buffer is a
    /// partial command.
    pub(super) fn reject_buffered_commands(&mut self, key: usize, now: Micros) {
        let rejecting = std::mem::replace(&mut self.rejecting, true);
        let mut offset = 0;
        while offset < self.connections[key].buf.len() && self.parse_command(key, &mut offset, now)
        {
        }
        self.rejecting = rejecting;
        self.remove_parsed_input(key, offset);
    }

    /// Parses and handles the command at `offset` of a connection's input buffer, and advances `offset` past the command. Returns
    /// false if it is not complete.
    fn parse_command(&mut self, key: usize, offset: &mut usize, now: Micros) -> bool {
        let conn = &mut self.connections[key];
        let length = match resp::command(&conn.buf[*offset..], &mut self.arguments) {
            Ok(None) => return false,
            Ok(Some(length)) => length,
            Err(error) => {
                conn.abort_command(&format!("protocol error: {error}"));
                *offset = 0; // the input buffer is empty now
                self.write_later(key);
                return true;
            }
        };
        conn.since = now.max(conn.since);
        conn.command_since = now.max(conn.command_since);
        let start = *offset;
        match self.parse_call(key, offset, length) {
            Some(Ok(call)) => {
                self.handle_call(key, call, now);
                return true;
            }
            Some(Err(error)) => {
                let mut text = Vec::new();
                resp::put_error(&mut text, &error.to_string());
                self.connections[key].answer_invalid(&text);
            }
            None => self.answer_non_request(key, start, now),
        }
        self.write_later(key);
        true
    }

    /// Parses a complete command, whose argument ranges are in `self.arguments`, as a request. Returns none if it is not a
    /// `CALL` command.
    fn parse_call(
        &mut self,
        key: usize,
        offset: &mut usize,
        length: usize,
    ) -> Option<Result<Call, CallError>> {
        let body = self.arguments.get(resp::BODY_INDEX);
        let body_length = body.map_or(0, Range::len);
        if body_length > resp::MAX_VALUE {
            let command = self.extract_long_command(key, *offset, length);
            return Call::read_long(command, &self.arguments, &self.vocabulary);
        }
        let command = &self.connections[key].buf[*offset..*offset + length];
        *offset += length;
        if body_length > MAX_COPIED_BODY {
            return Call::read_long(command.to_vec(), &self.arguments, &self.vocabulary);
        }
        Call::read(command, &self.arguments, &self.vocabulary)
    }

    /// Takes a command with a long body out of the input buffer without copying it; the shorter input after it is copied instead.
    /// Releases the connection's memory grant.
    fn extract_long_command(&mut self, key: usize, offset: usize, length: usize) -> Vec<u8> {
        let conn = &mut self.connections[key];
        let mut command = conn.buf.split_off(offset);
        conn.buf.extend_from_slice(&command[length..]);
        command.truncate(length);
        self.granted -= std::mem::take(&mut conn.granted);
        command
    }

    /// Answers a command that is not a request. `start` is its offset in the connection's input buffer.
    fn answer_non_request(&mut self, key: usize, start: usize, now: Micros) {
        let conn = &mut self.connections[key];
        let command = conn.buf.get(start..).unwrap_or_default();
        let verb = command.get(self.arguments[0].clone()).unwrap_or_default();
        if verb.eq_ignore_ascii_case(b"PING") {
            return self.answer_ping(key);
        }
        let accepts_auth = self.authenticator.is_some() && self.arguments.len() == 2;
        if accepts_auth && verb.eq_ignore_ascii_case(b"AUTH") {
            return self.answer_auth(key, start, now);
        }
        conn.answer_invalid(UNKNOWN_COMMAND);
    }

    /// Rejects a request that can't be admitted; queues any other for the event loop.
    fn handle_call(&mut self, key: usize, mut call: Call, now: Micros) {
        let class = call.request.class;
        let conn = &mut self.connections[key];
        conn.queue_withheld_errors();
        if conn.surplus {
            conn.unsaved.rejected_as_surplus = true;
            return self.reject_call(key, class, BUSY);
        }
        if self.rejecting {
            return self.reject_call(key, class, BUSY);
        }
        if !self.admission.admits() {
            let rejection = self.admission.rejection();
            return self.reject_call(key, class, &rejection);
        }
        if let Err(refusal) = self.authorize(key, &mut call, now) {
            self.deny(key, &refusal);
            let end = ClientEvent::EndedEarly(class, RequestEnd::Failed);
            return self.events.push_back(end);
        }
        let conn = &mut self.connections[key];
        self.last_request += 1;
        let id = RequestId(self.last_request);
        let origin = Origin {
            key,
            serial: conn.serial,
            index: conn.first_index + conn.answers.len() as u64,
        };
        conn.errors = 0;
        conn.answers.push_back(AnswerSlot::Waiting(id));
        // The client's time counts from the moment at which it may have sent the last byte.
        let sent_at = conn.unsaved.body_sent_at.take().unwrap_or(now);
        call.wait = call.wait.saturating_sub(now.saturating_sub(sent_at));
        let event = ClientEvent::Request(id, origin, call);
        self.events.push_back(event);
    }

    /// Rejects a request with the given answer.
    fn reject_call(&mut self, key: usize, class: u8, answer: &[u8]) {
        let end = ClientEvent::EndedEarly(class, RequestEnd::Rejected);
        self.events.push_back(end);
        self.connections[key].queue_answer(answer);
        self.write_later(key);
    }

    /// Checks that the client may send this request. Every request passes if authentication is off.
    fn authorize(&mut self, key: usize, call: &mut Call, now: Micros) -> Result<(), Refusal> {
        let token = call.take_token();
        let Some(authenticator) = &mut self.authenticator else {
            return Ok(());
        };
        let conn = &mut self.connections[key];
        let presented = token.as_deref().map(|token| PresentedToken {
            token,
            source: conn.stream.client_source(),
        });
        authenticator.authorize(&mut conn.caller, presented, &call.request, now)
    }

    fn answer_ping(&mut self, key: usize) {
        let conn = &mut self.connections[key];
        conn.queue_withheld_errors();
        if self.admission.admits() {
            conn.queue_answer(PONG);
        } else {
            conn.queue_answer(&self.admission.rejection());
        }
        conn.errors = 0;
    }

    fn answer_auth(&mut self, key: usize, start: usize, now: Micros) {
        let Some(authenticator) = &mut self.authenticator else {
            return;
        };
        let conn = &mut self.connections[key];
        conn.queue_withheld_errors();
        let token = &conn.buf[start..][self.arguments[1].clone()];
        let source = conn.stream.client_source();
        match authenticator.authenticate(PresentedToken { token, source }, now) {
            Ok(caller) => {
                conn.caller = Some(caller);
                conn.queue_answer(OK);
                conn.errors = 0;
            }
            Err(refusal) => {
                // A failed AUTH also drops the earlier identity, since the client asked to change it.
                conn.caller = None;
                self.deny(key, &refusal);
            }
        }
    }

    fn deny(&mut self, key: usize, refusal: &Refusal) {
        let conn = &mut self.connections[key];
        conn.queue_answer(format!("-DENIED {refusal}\r\n").as_bytes());
        conn.count_error();
        self.write_later(key);
    }
}
