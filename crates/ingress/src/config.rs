//! The configuration of an ingress: its files, into what the ingress is made from. Whatever is wrong is told by its key.

mod active;
mod error;
mod json;
mod listen;
mod platform;
mod sidecar;
mod source;

pub use active::{compile, ActiveConfig, FixedPairs};
pub use error::ConfigError;
pub use listen::ListenAddress;
pub use source::{ConfigSource, SidecarFiles};
pub use wrenfork_config::callers::Callers;

use crate::discovery::{EndpointList, LocationNames};
use std::net::SocketAddr;
use std::path::PathBuf;
use wrenfork_config::enforced;
use wrenfork_control_plane::group::GroupConfig;
use wrenfork_decision::Micros;

/// What an ingress is configured with.
pub struct Config {
    /// Where clients connect.
    pub listen: ListenAddress,
    /// Where operators connect; nowhere if none is configured.
    pub management: Option<SocketAddr>,
    /// The descriptor of the listening socket that the platform holds; none where the ingress binds its own.
    pub inherited_listener: Option<String>,
    /// The seed of the decision module and of backoffs.
    pub seed: u64,
    /// The most file descriptors.
    pub max_descriptors: usize,
    /// The most bytes of memory.
    pub memory: usize,
    /// Where messages of peers come in; none where the settings allow no messages.
    pub peers: Option<PeerAddresses>,
    /// The endpoint list as it was known last.
    pub known_endpoints: EndpointList,
    /// The count service; none where the settings have none.
    pub counter: Option<CounterConfig>,
    /// What may change while the ingress serves.
    pub active: ActiveConfig,
    /// The names by which discovery tells zones and machine types.
    pub location_names: LocationNames,
    /// The configuration as pairs: what may change later, and what may not.
    pub source_pairs: enforced::SplitSettings,
    /// Configured by the platform alone, whose file has no pools.
    pub platform_only: bool,
    /// The file that says what became of the last reload.
    pub status_file: Option<PathBuf>,
    /// The control port, and where its state is stored; from the application's file.
    pub control: ControlConfig,
}

/// The count service.
#[derive(Clone, Copy, Debug)]
pub struct CounterConfig {
    /// Its address.
    pub address: SocketAddr,
    /// How long an answer is waited for.
    pub timeout: Micros,
}

/// The control port of an ingress.
#[derive(Clone, Debug, Default)]
pub struct ControlConfig {
    /// The name by which changes address this ingress.
    pub name: String,
    /// Its socket; none where changes take a restart.
    pub socket: Option<PathBuf>,
    /// The folder of its durable state.
    pub state: Option<PathBuf>,
    /// The control sockets of the others that enforce the same.
    pub others: Vec<PathBuf>,
    /// The group that it belongs to, if any.
    pub membership: Option<GroupConfig>,
}

/// The addresses of the peers of an ingress.
pub struct PeerAddresses {
    /// Where this one receives.
    pub listen: SocketAddr,
    /// Those of all by their number, this one among them.
    pub peers: Vec<SocketAddr>,
    /// Where a message goes to all.
    pub all: Option<SocketAddr>,
}

impl Config {
    /// Whether the ingress has a control port.
    pub fn has_control_port(&self) -> bool {
        self.control.socket.is_some() || self.control.state.is_some()
    }
}
