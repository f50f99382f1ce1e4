//! Reads the configuration files of an ingress into a [`Config`]. Errors name the key that is wrong.

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

/// Configuration of an ingress.
pub struct Config {
    /// Address for clients.
    pub listen: ListenAddress,
    /// Management address for operators; `None` if there is none.
    pub management: Option<SocketAddr>,
    /// Descriptor of the listening socket that the platform passes; `None` if the ingress binds its own.
    pub inherited_listener: Option<String>,
    /// Seed for the random numbers of the decision module and of backoffs.
    pub seed: u64,
    /// Maximum number of file descriptors.
    pub max_descriptors: usize,
    /// Memory limit in bytes.
    pub memory: usize,
    /// Addresses for peer messages; `None` if the settings disable them.
    pub peers: Option<PeerAddresses>,
    /// Initial endpoint list, used until discovery has answered.
    pub known_endpoints: EndpointList,
    /// The count service; `None` if the settings disable it.
    pub counter: Option<CounterConfig>,
    /// The part that can change while the ingress serves.
    pub active: ActiveConfig,
    /// Names of zones and machine types in endpoint lists.
    pub location_names: LocationNames,
    /// The configuration as pairs, split into the changeable state and the fixed settings.
    pub source_pairs: enforced::SplitSettings,
    /// Whether only the platform's file configures the ingress; that file has no pools.
    pub platform_only: bool,
    /// Status file for the result of the last reload; `None` if there is none.
    pub status_file: Option<PathBuf>,
    /// Control port and the folder of its state.
    pub control: ControlConfig,
}

/// Connection settings of the count service.
#[derive(Clone, Copy, Debug)]
pub struct CounterConfig {
    /// Address of the service.
    pub address: SocketAddr,
    /// Time to wait for the answer to a call, in microseconds.
    pub timeout: Micros,
}

/// Configuration of the control port.
#[derive(Clone, Debug, Default)]
pub struct ControlConfig {
    /// Name by which changes refer to this ingress.
    pub name: String,
    /// Path of the control socket; `None` if changes require a restart.
    pub socket: Option<PathBuf>,
    /// Folder for the state that must survive a crash; `None` if nothing is stored.
    pub state: Option<PathBuf>,
    /// Control sockets of the other ingresses with the same configuration.
    pub others: Vec<PathBuf>,
    /// Group that this ingress belongs to, if any.
    pub membership: Option<GroupConfig>,
}

/// Addresses for messages between ingresses.
pub struct PeerAddresses {
    /// Address on which this ingress receives messages.
    pub listen: SocketAddr,
    /// Addresses of all ingresses, indexed by gateway id; includes this one.
    pub peers: Vec<SocketAddr>,
    /// Address that reaches all ingresses at once; `None` if there is none.
    pub all: Option<SocketAddr>,
}

impl Config {
    /// Whether the ingress has a control port.
    pub fn has_control_port(&self) -> bool {
        self.control.socket.is_some() || self.control.state.is_some()
    }
}
