//! Connections of clients and to backends: over TCP or a Unix socket. Both are read, written and polled alike.

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

/// A listener for clients.
pub enum Listener {
    /// Over TCP.
    Tcp(TcpListener),
    /// At a Unix socket, for certain users.
    Unix(UnixListener, PeerCredentialFilter),
}

/// Which users may connect to a Unix socket.
#[derive(Default)]
pub struct PeerCredentialFilter {
    /// Users by their numbers; whoever the socket's mode lets in where none are named.
    users: Vec<u32>,
    /// How many connections were rejected.
    rejected: Cell<u64>,
}

impl PeerCredentialFilter {
    /// Whether the process behind a connection is one of these users', as the kernel says.
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
        // Whoever goes on trying must not fill the log.
        if rejected.is_power_of_two() {
            let user = user.map_or("unknown".into(), |user| user.to_string());
            tracing::warn!(rejected, user, "listen: this user may not connect");
        }
        false
    }
}

/// A client's connection, or one to a backend.
pub enum Stream {
    /// Over TCP.
    Tcp(TcpStream),
    /// At a Unix socket.
    Unix(UnixStream),
}

/// Whether a socket is not connected yet or has nothing to do: it will show as ready.
pub fn is_not_ready(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        ErrorKind::WouldBlock | ErrorKind::NotConnected
    )
}

impl Listener {
    /// A Unix socket for these users; for whoever its mode lets in where none are named.
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
    /// Where none waits, or one that may not connect was closed ([`ErrorKind::PermissionDenied`]).
    pub fn accept(&self) -> io::Result<Stream> {
        match self {
            Listener::Tcp(listener) => {
                let (stream, _) = listener.accept()?;
                let _ = stream.set_nodelay(true); // an answer is one write: there is nothing to wait for
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
    /// Begins to connect to an address.
    pub fn connect(address: &Address) -> io::Result<Stream> {
        match address {
            Address::Tcp(address) => {
                let stream = TcpStream::connect(*address)?;
                // Without it the second of two small writes would wait for the first one's acknowledgement.
                let _ = stream.set_nodelay(true);
                Ok(Stream::Tcp(stream))
            }
            Address::Unix(path) => UnixStream::connect(&**path).map(Stream::Unix),
        }
    }

    /// The descriptor alone, for the process that comes next.
    pub fn into_descriptor(self) -> OwnedFd {
        match self {
            Stream::Tcp(stream) => stream.into(),
            Stream::Unix(stream) => stream.into(),
        }
    }

    /// A connection over TCP that another process had.
    pub fn from_tcp_descriptor(descriptor: OwnedFd) -> Stream {
        Stream::Tcp(TcpStream::from_std(descriptor.into()))
    }

    /// A connection to an address that another process had.
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

    /// Where a client's connection comes from, by which failed authentications are limited.
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

    /// Shuts one direction down, or both.
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

/// Has a type polled as the socket that it holds.
macro_rules! impl_source {
    ($($kind:ident),*) => {$(
        impl Source for $kind {
            fn register(&mut self, registry: &Registry, token: Token, interests: Interest) -> io::Result<()> {
                match self {
                    $kind::Tcp(socket) => socket.register(registry, token, interests),
                    $kind::Unix(socket, ..) => socket.register(registry, token, interests),
                }
            }

            fn reregister(&mut self, registry: &Registry, token: Token, interests: Interest) -> io::Result<()> {
                match self {
                    $kind::Tcp(socket) => socket.reregister(registry, token, interests),
                    $kind::Unix(socket, ..) => socket.reregister(registry, token, interests),
                }
            }

            fn deregister(&mut self, registry: &Registry) -> io::Result<()> {
                match self {
                    $kind::Tcp(socket) => socket.deregister(registry),
                    $kind::Unix(socket, ..) => socket.deregister(registry),
                }
            }
        }
    )*};
}

impl_source!(Listener, Stream);
