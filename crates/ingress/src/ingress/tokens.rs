//! Tokens under which sockets are registered with the poll.

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
/// The first token of the operators' connections.
const FIRST_OPERATOR: usize = 8;
/// The first token of client and backend connections. They alternate from here: even offsets are clients, odd ones backends.
const FIRST_CONNECTION: usize = FIRST_OPERATOR + MAX_OPERATORS;

/// The source of a readiness event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EventSource {
    /// The listening socket for clients.
    Listener,
    /// The process signals.
    Signals,
    /// The connection to discovery.
    Discovery,
    /// The socket to the peers.
    Peers,
    /// The connection to the count service.
    Counter,
    /// The waker by which control threads wake the event loop.
    Control,
    /// The listening socket for operators.
    Management,
    /// The listening socket for the successor.
    Handover,
    /// An operator's connection, by its key.
    Operator(usize),
    /// A client connection, by its key.
    Client(usize),
    /// A connection to a backend, by its key.
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
                let offset = token - FIRST_CONNECTION;
                if offset.is_multiple_of(2) {
                    EventSource::Client(offset / 2)
                } else {
                    EventSource::Backend(offset / 2)
                }
            }
        }
    }
}

/// The token for the operator's connection with this key.
pub(super) fn operator_token(key: usize) -> Token {
    Token(FIRST_OPERATOR + key)
}

/// The token for the client connection with this key.
pub(super) fn client_token(key: usize) -> Token {
    Token(FIRST_CONNECTION + 2 * key)
}

/// The token for the backend connection with this key.
pub(super) fn backend_token(key: usize) -> Token {
    Token(FIRST_CONNECTION + 1 + 2 * key)
}
