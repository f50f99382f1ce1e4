//! Where clients come from: TCP or a Unix socket. Both are read, written and polled alike.

use mio::event::Source;
use mio::net::{TcpListener, TcpStream, UnixListener, UnixStream};
use mio::{Interest, Registry, Token};
use std::io::{self, Read, Write};
use std::net::Shutdown;

/// A listener.
pub enum Listener {
    Tcp(TcpListener),
    Unix(UnixListener),
}

/// A client's connection.
pub enum Stream {
    Tcp(TcpStream),
    Unix(UnixStream),
}

impl Listener {
    /// Takes a connection in.
    pub fn accept(&self) -> io::Result<Stream> {
        match self {
            Listener::Tcp(listener) => {
                let (stream, _) = listener.accept()?;
                let _ = stream.set_nodelay(true); // an answer is one write: there is nothing to wait for
                Ok(Stream::Tcp(stream))
            }
            Listener::Unix(listener) => Ok(Stream::Unix(listener.accept()?.0)),
        }
    }
}

impl Stream {
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
                    $kind::Unix(one) => one.register(registry, token, interests),
                }
            }

            fn reregister(&mut self, registry: &Registry, token: Token, interests: Interest) -> io::Result<()> {
                match self {
                    $kind::Tcp(one) => one.reregister(registry, token, interests),
                    $kind::Unix(one) => one.reregister(registry, token, interests),
                }
            }

            fn deregister(&mut self, registry: &Registry) -> io::Result<()> {
                match self {
                    $kind::Tcp(one) => one.deregister(registry),
                    $kind::Unix(one) => one.deregister(registry),
                }
            }
        }
    )*};
}

polled!(Listener, Stream);
