//! What an ingress is told, read from the forms in which it comes. No sockets and no clock.

pub mod settings;
