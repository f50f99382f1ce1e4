//! Where clients come from and where backends are: TCP or a Unix socket. Both are read, written and polled alike.

use mio::event::Source;
use mio::net::{TcpListener, TcpStream, UnixListener, UnixStream};
use mio::{Interest, Registry, Token};
use rustix::net::sockopt::socket_peercred;
use std::cell::Cell;
use std::io::{self, Read, Write};
use std::net::Shutdown;
use std::os::fd::OwnedFd;
use wrenfork_happy_eyeballs::Address;
use wrenfork_identity::sources;

/// A listener.
pub enum Listener {
    Tcp(TcpListener),
    Unix(UnixListener, Gate),
}

/// Who may connect to a Unix socket.
#[derive(Default)]
pub struct Gate {
    /// Users by their numbers; whoever the socket's mode lets in where none are named.
    users: Vec<u32>,
    /// How many were turned away.
    refused: Cell<u64>,
}

impl Gate {
    /// Whether the process behind a connection is one of these users', as the kernel says.
    fn lets(&self, stream: &UnixStream) -> bool {
        if self.users.is_empty() {
            return true;
        }
        let user = socket_peercred(stream).map(|peer| peer.uid.as_raw());
        if user.is_ok_and(|user| self.users.contains(&user)) {
            return true;
        }
        let refused = self.refused.get() + 1;
        self.refused.set(refused);
        // Whoever goes on trying must not fill the log.
        if refused.is_power_of_two() {
            let user = user.map_or("an unknown user".into(), |user| format!("user {user}"));
            tracing::warn!(refused, "listen: {user} may not connect");
        }
        false
    }
}

/// A client's connection, or one to a backend.
pub enum Stream {
    Tcp(TcpStream),
    Unix(UnixStream),
}

impl Listener {
    /// A Unix socket for these users; for whoever its mode lets in where none are named.
    pub fn unix(listener: UnixListener, users: Vec<u32>) -> Listener {
        Listener::Unix(
            listener,
            Gate {
                users,
                refused: Cell::new(0),
            },
        )
    }

    /// Takes a connection in; one that may not connect is closed, with an error that says so.
    pub fn accept(&self) -> io::Result<Stream> {
        match self {
            Listener::Tcp(listener) => {
                let (stream, _) = listener.accept()?;
                let _ = stream.set_nodelay(true); // an answer is one write: there is nothing to wait for
                Ok(Stream::Tcp(stream))
            }
            Listener::Unix(listener, gate) => {
                let (stream, _) = listener.accept()?;
                gate.lets(&stream)
                    .then_some(Stream::Unix(stream))
                    .ok_or(io::ErrorKind::PermissionDenied.into())
            }
        }
    }
}

impl Stream {
    /// Begins to connect to a place.
    pub fn connect(place: &Address) -> io::Result<Stream> {
        match place {
            Address::Tcp(at) => {
                let stream = TcpStream::connect(*at)?;
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
    pub fn passed(descriptor: OwnedFd) -> Stream {
        Stream::Tcp(TcpStream::from_std(descriptor.into()))
    }

    /// A connection to a place that another process had.
    pub fn passed_to(place: &Address, descriptor: OwnedFd) -> Stream {
        match place {
            Address::Tcp(_) => Stream::passed(descriptor),
            Address::Unix(_) => Stream::Unix(UnixStream::from_std(descriptor.into())),
        }
    }

    /// Whether the connection has come up.
    pub fn up(&self) -> bool {
        match self {
            Stream::Tcp(stream) => stream.peer_addr().is_ok(),
            Stream::Unix(stream) => stream.peer_addr().is_ok(),
        }
    }

    /// Where a client's connection comes from.
    pub fn source(&self) -> sources::Source {
        match self {
            Stream::Tcp(stream) => stream
                .peer_addr()
                .map_or(sources::Source::Unknown, |at| sources::Source::of(at.ip())),
            Stream::Unix(stream) => socket_peercred(stream)
                .map_or(sources::Source::Unknown, |peer| {
                    sources::Source::User(peer.uid.as_raw())
                }),
        }
    }

    /// Ends one direction or both.
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

macro_rules! polled {
    ($($kind:ident),*) => {$(
        impl Source for $kind {
            fn register(&mut self, registry: &Registry, token: Token, interests: Interest) -> io::Result<()> {
                match self {
                    $kind::Tcp(one) => one.register(registry, token, interests),
                    $kind::Unix(one, ..) => one.register(registry, token, interests),
                }
            }

            fn reregister(&mut self, registry: &Registry, token: Token, interests: Interest) -> io::Result<()> {
                match self {
                    $kind::Tcp(one) => one.reregister(registry, token, interests),
                    $kind::Unix(one, ..) => one.reregister(registry, token, interests),
                }
            }

            fn deregister(&mut self, registry: &Registry) -> io::Result<()> {
                match self {
                    $kind::Tcp(one) => one.deregister(registry),
                    $kind::Unix(one, ..) => one.deregister(registry),
                }
            }
        }
    )*};
}

polled!(Listener, Stream);
