//! The tokens by which sockets are registered with the poll.

use crate::management::MAX_CONNECTIONS as MAX_OPERATORS;
use mio::Token;

pub(super) const LISTENER: Token = Token(0);
pub(super) const SIGNALS: Token = Token(1);
pub(super) const DISCOVERY: Token = Token(2);
pub(super) const PEERS: Token = Token(3);
pub(super) const COUNTER: Token = Token(4);
pub(super) const CONTROL: Token = Token(5);
pub(super) const MANAGEMENT: Token = Token(6);
pub(super) const HANDOVER: Token = Token(7);
/// From here on, the operators' connections.
const FIRST_OPERATOR: usize = 8;
/// From here on, even tokens are clients and odd ones backends.
const FIRST_CONNECTION: usize = FIRST_OPERATOR + MAX_OPERATORS;

/// What a readiness event is of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EventSource {
    /// The clients' listener.
    Listener,
    /// The signals of the process.
    Signals,
    /// The connection to discovery.
    Discovery,
    /// The socket to the peers.
    Peers,
    /// The connection to the count service.
    Counter,
    /// The waker of the control threads.
    Control,
    /// The operators' listener.
    Management,
    /// The listener for the next process.
    Handover,
    /// The operator's connection with this key.
    Operator(usize),
    /// The client connection with this key.
    Client(usize),
    /// The connection to a backend with this key.
    Backend(usize),
}

impl From<Token> for EventSource {
    fn from(token: Token) -> EventSource {
        match token {
            LISTENER => EventSource::Listener,
            SIGNALS => EventSource::Signals,
            DISCOVERY => EventSource::Discovery,
            PEERS => EventSource::Peers,
            COUNTER => EventSource::Counter,
            CONTROL => EventSource::Control,
            MANAGEMENT => EventSource::Management,
            HANDOVER => EventSource::Handover,
            Token(token) if token < FIRST_CONNECTION => {
                EventSource::Operator(token - FIRST_OPERATOR)
            }
            Token(token) => {
                let number = token - FIRST_CONNECTION;
                if number.is_multiple_of(2) {
                    EventSource::Client(number / 2)
                } else {
                    EventSource::Backend(number / 2)
                }
            }
        }
    }
}

/// The token of an operator's connection.
pub(super) fn operator_token(key: usize) -> Token {
    Token(FIRST_OPERATOR + key)
}

/// The token of a client connection.
pub(super) fn client_token(key: usize) -> Token {
    Token(FIRST_CONNECTION + 2 * key)
}

/// The token of a connection to a backend.
pub(super) fn backend_token(key: usize) -> Token {
    Token(FIRST_CONNECTION + 1 + 2 * key)
}
