//! Client and backend connections over TCP or a Unix socket, with the same interface for reading, writing and polling.

use mio::event::Source;
use mio::net::{TcpListener, TcpStream, UnixListener, UnixStream};
use mio::{Interest, Registry, Token};
use rustix::net::sockopt::socket_peercred;
use std::cell::Cell;
use std::io::{self, ErrorKind, Read, Write};
use std::net::Shutdown;
use std::os::fd::OwnedFd;
use wrenfork_happy_eyeballs::Address;
use wrenfork_identity::sources::Source as ClientSource;

/// Listening socket for clients.
pub enum Listener {
    /// TCP socket.
    Tcp(TcpListener),
    /// Unix socket, with the users that may connect.
    Unix(UnixListener, PeerCredentialFilter),
}

/// Restricts the users that may connect to a Unix socket.
#[derive(Default)]
pub struct PeerCredentialFilter {
    /// Allowed user ids; if empty, the file mode of the socket decides.
    users: Vec<u32>,
    /// Number of rejected connections.
    rejected: Cell<u64>,
}

impl PeerCredentialFilter {
    /// Whether the peer process runs as an allowed user, according to the kernel.
    fn allows(&self, stream: &UnixStream) -> bool {
        if self.users.is_empty() {
            return true;
        }
        let user = socket_peercred(stream).map(|peer| peer.uid.as_raw());
        if user.is_ok_and(|user| self.users.contains(&user)) {
            return true;
        }
        let rejected = self.rejected.get() + 1;
        self.rejected.set(rejected);
        // Log only the 1st, 2nd, 4th, 8th, ... rejection, so that repeated attempts cannot flood the log.
        if rejected.is_power_of_two() {
            let user = user.map_or("unknown".into(), |user| user.to_string());
            tracing::warn!(
                rejected,
                user,
                "listen: connection rejected, this user may not connect"
            );
        }
        false
    }
}

/// A connection of a client or to a backend.
pub enum Stream {
    /// TCP socket.
    Tcp(TcpStream),
    /// Unix socket.
    Unix(UnixStream),
}

/// Whether an error only means that the socket is not connected yet or would block; poll reports it when it is ready.
pub fn is_not_ready(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        ErrorKind::WouldBlock | ErrorKind::NotConnected
    )
}

impl Listener {
    /// Creates a Unix listener that only the users with these ids may connect to; if `users` is empty, the file mode decides.
    pub fn unix(listener: UnixListener, users: Vec<u32>) -> Listener {
        Listener::Unix(
            listener,
            PeerCredentialFilter {
                users,
                rejected: Cell::new(0),
            },
        )
    }

    /// Accepts a connection.
    ///
    /// # Errors
    ///
    /// If none is waiting, or the user may not connect and was disconnected ([`ErrorKind::PermissionDenied`]).
    pub fn accept(&self) -> io::Result<Stream> {
        match self {
            Listener::Tcp(listener) => {
                let (stream, _) = listener.accept()?;
                let _ = stream.set_nodelay(true); // each answer is one write, so delaying it gains nothing
                Ok(Stream::Tcp(stream))
            }
            Listener::Unix(listener, filter) => {
                let (stream, _) = listener.accept()?;
                if filter.allows(&stream) {
                    Ok(Stream::Unix(stream))
                } else {
                    Err(ErrorKind::PermissionDenied.into())
                }
            }
        }
    }
}

impl Stream {
    /// Starts connecting to an address without blocking.
    pub fn connect(address: &Address) -> io::Result<Stream> {
        match address {
            Address::Tcp(address) => {
                let stream = TcpStream::connect(*address)?;
                // With Nagle's algorithm the second of two small writes would wait for the acknowledgement of the first.
                let _ = stream.set_nodelay(true);
                Ok(Stream::Tcp(stream))
            }
            Address::Unix(path) => UnixStream::connect(&**path).map(Stream::Unix),
        }
    }

    /// Returns the descriptor, for handover to the successor.
    pub fn into_descriptor(self) -> OwnedFd {
        match self {
            Stream::Tcp(stream) => stream.into(),
            Stream::Unix(stream) => stream.into(),
        }
    }

    /// Creates a TCP connection from a descriptor that the predecessor handed over.
    pub fn from_tcp_descriptor(descriptor: OwnedFd) -> Stream {
        Stream::Tcp(TcpStream::from_std(descriptor.into()))
    }

    /// Creates a connection to `address` from a descriptor that the predecessor handed over.
    pub fn from_descriptor(address: &Address, descriptor: OwnedFd) -> Stream {
        match address {
            Address::Tcp(_) => Stream::from_tcp_descriptor(descriptor),
            Address::Unix(_) => Stream::Unix(UnixStream::from_std(descriptor.into())),
        }
    }

    /// Whether the connection is established.
    pub fn is_connected(&self) -> bool {
        match self {
            Stream::Tcp(stream) => stream.peer_addr().is_ok(),
            Stream::Unix(stream) => stream.peer_addr().is_ok(),
        }
    }

    /// The source of a client connection, by which failed authentications are limited.
    pub fn client_source(&self) -> ClientSource {
        match self {
            Stream::Tcp(stream) => match stream.peer_addr() {
                Ok(address) => ClientSource::of(address.ip()),
                Err(_) => ClientSource::Unknown,
            },
            Stream::Unix(stream) => match socket_peercred(stream) {
                Ok(peer) => ClientSource::User(peer.uid.as_raw()),
                Err(_) => ClientSource::Unknown,
            },
        }
    }

    /// Shuts down one or both directions.
    pub fn shutdown(&self, how: Shutdown) -> io::Result<()> {
        match self {
            Stream::Tcp(stream) => stream.shutdown(how),
            Stream::Unix(stream) => stream.shutdown(how),
        }
    }
}

impl Read for Stream {
    fn read(&mut self, buf: &mut [u8]) -> io::Result<usize> {
        match self {
            Stream::Tcp(stream) => stream.read(buf),
            Stream::Unix(stream) => stream.read(buf),
        }
    }
}

impl Write for Stream {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        match self {
            Stream::Tcp(stream) => stream.write(buf),
            Stream::Unix(stream) => stream.write(buf),
        }
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Implements [`Source`] for an enum by delegating to the socket in each variant.
macro_rules! impl_source {
    ($($type:ident),*) => {$(
        impl Source for $type {
            fn register(&mut self, registry: &Registry, token: Token, interests: Interest) -> io::Result<()> {
                match self {
                    $type::Tcp(socket) => socket.register(registry, token, interests),
                    $type::Unix(socket, ..) => socket.register(registry, token, interests),
                }
            }

            fn reregister(&mut self, registry: &Registry, token: Token, interests: Interest) -> io::Result<()> {
                match self {
                    $type::Tcp(socket) => socket.reregister(registry, token, interests),
                    $type::Unix(socket, ..) => socket.reregister(registry, token, interests),
                }
            }

            fn deregister(&mut self, registry: &Registry) -> io::Result<()> {
                match self {
                    $type::Tcp(socket) => socket.deregister(registry),
                    $type::Unix(socket, ..) => socket.deregister(registry),
                }
            }
        }
    )*};
}

impl_source!(Listener, Stream);
