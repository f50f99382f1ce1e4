//! Errors of the handover and of taking a passed listener.

use std::fmt;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::path::PathBuf;

/// Why a handover or the lending of the listener failed. The messages describe the other process from the point of view of the
/// process that logs them.
#[derive(Debug, thiserror::Error)]
pub enum HandoverError {
    /// The connection failed or timed out.
    #[error("{step}: {}", ConnectionFailure(source))]
    Connection {
        /// The message that was being read or written.
        step: &'static str,
        /// The underlying I/O error.
        source: io::Error,
    },
    /// Connecting to the socket failed.
    #[error("cannot connect to {}: {source}", path.display())]
    Connect {
        /// The socket's path.
        path: PathBuf,
        /// The underlying I/O error.
        source: io::Error,
    },
    /// Setting the timeouts of the connection failed.
    #[error("cannot set the timeouts of the connection: {0}")]
    Timeouts(#[source] io::Error),
    /// The credentials of the peer can't be read.
    #[error("cannot read the peer's credentials: {0}")]
    UnknownPeer(#[source] io::Error),
    /// The peer runs as another user; the number is that user's id.
    #[error("the peer runs as another user (uid {0})")]
    OtherUser(u32),
    /// The caller uses another protocol or protocol version.
    #[error("the caller uses another protocol version")]
    OtherProtocol,
    /// The caller asked for a state layout that this process does not write.
    #[error(
        "the caller asks for state layout {wanted}, this process writes layouts up to {highest}"
    )]
    UnknownLayout {
        /// The layout that the caller asked for.
        wanted: u32,
        /// The highest layout that this process writes.
        highest: u32,
    },
    /// The successor rejected the state; the string is its reason.
    #[error("the successor rejected the state: {0}")]
    StateRejected(String),
    /// The predecessor did not send a state; the string is its reason.
    #[error("the predecessor offers no state: {0}")]
    NoState(String),
    /// The state exceeds the size limit.
    #[error("the state has {length} bytes, at most {limit} are accepted")]
    StateTooLarge {
        /// Size of the state in bytes.
        length: u64,
        /// Maximum accepted size in bytes.
        limit: usize,
    },
    /// The state is truncated or does not match its digest.
    #[error("the state is truncated or does not match its digest")]
    StateDamaged,
    /// The predecessor sent another message in place of the ownership message.
    #[error("ownership: the predecessor sent an unexpected message")]
    UnexpectedMessage,
    /// Sending descriptors failed.
    #[error("cannot send descriptors: {0}")]
    Descriptors(#[source] io::Error),
    /// Sending the listener to the supervisor failed.
    #[error("cannot lend the listener: {0}")]
    Lend(#[source] io::Error),
    /// The serving process did not send its listener.
    #[error("the serving process did not lend its listener")]
    NoListener,
}

impl HandoverError {
    /// Maps an I/O error to a failure of the connection at `step`.
    pub(crate) fn connection(step: &'static str) -> impl Fn(io::Error) -> HandoverError {
        move |source| HandoverError::Connection { step, source }
    }
}

/// Formats an I/O error of a connection.
struct ConnectionFailure<'a>(&'a io::Error);

impl fmt::Display for ConnectionFailure<'_> {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self.0.kind() {
            ErrorKind::WouldBlock | ErrorKind::TimedOut => {
                f.write_str("timed out waiting for the other process")
            }
            ErrorKind::UnexpectedEof => f.write_str("the other process closed the connection"),
            _ => write!(f, "{}", self.0),
        }
    }
}

/// Why the listener passed by the platform can't be used.
#[derive(Debug, thiserror::Error)]
#[error("LB_PASSED_SOCKET: descriptor {number}: {problem}")]
pub struct PassedListenerError {
    /// The descriptor number as given in the setting.
    pub number: String,
    /// What is wrong with the descriptor.
    #[source]
    pub problem: PassedListenerProblem,
}

/// What is wrong with a passed descriptor.
#[derive(Debug, thiserror::Error)]
pub enum PassedListenerProblem {
    /// The text is not a number in the accepted range, which starts after the standard streams.
    #[error("not a valid descriptor number")]
    NotANumber,
    /// No descriptor with this number is open.
    #[error("no such descriptor")]
    Missing,
    /// The socket is not in the listening state.
    #[error("the socket is not listening")]
    NotListening,
    /// The socket listens at another address.
    #[error("the socket listens at {actual}, not at {expected}")]
    OtherAddress {
        /// The address of the socket.
        actual: SocketAddr,
        /// The configured address.
        expected: SocketAddr,
    },
    /// The descriptor is not a TCP socket, or a system call failed.
    #[error("{0}")]
    Io(#[from] io::Error),
}
