//! Why a handover, or the taking of a listener, fails.

use std::fmt;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::path::PathBuf;

/// Why a handover fails, or the lending of the listener. Each message is for the log of the process that gets it.
#[derive(Debug, thiserror::Error)]
pub enum HandoverError {
    /// The connection breaks, or nothing comes in time.
    #[error("{step}: {}", ConnectionFailure(source))]
    Connection {
        /// What was to be read or written.
        step: &'static str,
        /// The error.
        source: io::Error,
    },
    /// The socket can't be connected to.
    #[error("{}: {source}", path.display())]
    Connect {
        /// The socket's path.
        path: PathBuf,
        /// The error.
        source: io::Error,
    },
    /// The timeouts of the connection can't be set.
    #[error("cannot wait: {0}")]
    Timeouts(#[source] io::Error),
    /// The system does not say whose process is at the other end.
    #[error("cannot tell who is there: {0}")]
    UnknownPeer(#[source] io::Error),
    /// Another user's process is at the other end.
    #[error("a process of user {0} is there")]
    OtherUser(u32),
    /// The caller speaks another protocol.
    #[error("it speaks another version of the channel")]
    OtherProtocol,
    /// The caller reads states of a layout that is not written here.
    #[error("it reads states of layout {wanted}, this one writes up to {highest}")]
    UnknownLayout {
        /// What it reads.
        wanted: u32,
        /// The highest layout that is written here.
        highest: u32,
    },
    /// The successor rejects the state.
    #[error("it does not take the state: {0}")]
    StateRejected(String),
    /// The predecessor gives no state.
    #[error("it gives no state: {0}")]
    NoState(String),
    /// The state is too large.
    #[error("a state of {length} bytes, {limit} at most")]
    StateTooLarge {
        /// Bytes of the state.
        length: u64,
        /// The most that are taken.
        limit: usize,
    },
    /// The state is cut, or not what its digest says.
    #[error("the state is not whole")]
    StateDamaged,
    /// Another word came than the one that ends the handover.
    #[error("yours: another word came")]
    UnexpectedWord,
    /// Descriptors can't be sent.
    #[error("descriptors: {0}")]
    Descriptors(#[source] io::Error),
    /// The listener can't be lent.
    #[error("the listener: {0}")]
    Lend(#[source] io::Error),
    /// The process that serves lends no listener.
    #[error("it lends no listener")]
    NoListener,
}

impl HandoverError {
    /// The connection failed in that step.
    pub(crate) fn connection(step: &'static str) -> impl Fn(io::Error) -> HandoverError {
        move |source| HandoverError::Connection { step, source }
    }
}

/// An error of a connection, in words.
struct ConnectionFailure<'a>(&'a io::Error);

impl fmt::Display for ConnectionFailure<'_> {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self.0.kind() {
            ErrorKind::WouldBlock | ErrorKind::TimedOut => f.write_str("no word in time"),
            ErrorKind::UnexpectedEof => f.write_str("the other process is gone"),
            _ => write!(f, "{}", self.0),
        }
    }
}

/// Why the listener that the platform passes can't be taken.
#[derive(Debug, thiserror::Error)]
#[error("LB_PASSED_SOCKET: descriptor {number}: {problem}")]
pub struct PassedListenerError {
    /// The descriptor's number, as it was written.
    pub number: String,
    /// What is wrong with it.
    #[source]
    pub problem: PassedListenerProblem,
}

/// What is wrong with a passed listener.
#[derive(Debug, thiserror::Error)]
pub enum PassedListenerProblem {
    /// The text is no number of a descriptor behind the standard streams.
    #[error("not a number of a passed descriptor")]
    NotANumber,
    /// No descriptor has the number.
    #[error("there is none")]
    Missing,
    /// The socket does not listen.
    #[error("it does not listen")]
    NotListening,
    /// The socket listens at another address.
    #[error("it listens at {actual}, not at {expected}")]
    OtherAddress {
        /// Where it listens.
        actual: SocketAddr,
        /// Where it is to listen.
        expected: SocketAddr,
    },
    /// It is no TCP socket, or the system refuses a step.
    #[error("{0}")]
    Io(#[from] io::Error),
}
