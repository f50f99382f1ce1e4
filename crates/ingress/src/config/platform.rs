//! Reads the platform's file and the operator's file that extends it.

use super::active::compile;
use super::error::ConfigError;
use super::json::{address, positive, text};
use super::{Config, ControlConfig, CounterConfig, ListenAddress, PeerAddresses};
use crate::discovery::{EndpointList, LocationNames};
use serde_json::Value;
use std::net::SocketAddr;
use std::path::Path;
use wrenfork_commit::state::State;
use wrenfork_config::enforced::{self, SplitSettings};
use wrenfork_config::operator::{self, Operator};
use wrenfork_config::settings::Conf;

impl Config {
    /// Reads the platform's file. `variable` looks up environment variables, whose addresses override those of the file.
    pub(super) fn read_platform(
        path: &str,
        operator: Option<&Path>,
        variable: impl Fn(&str) -> Option<String>,
    ) -> Result<Config, ConfigError> {
        let file = std::fs::read_to_string(path).map_err(|source| ConfigError::Read {
            path: path.to_string(),
            source,
        })?;
        let json = parse(&file).map_err(|e| e.in_file(path))?;
        let mut pairs =
            enforced::split(&json).map_err(|e| ConfigError::setting(e).in_file(path))?;
        let added = operator
            .map(|path| read_operator(&pairs, path))
            .transpose()?;
        if let Some(added) = &added {
            pairs.state.extend(added.routing.clone());
        }
        let mut config = Config::from_json(&json, pairs, variable).map_err(|e| e.in_file(path))?;
        if let Some(added) = added {
            config.platform_only = false;
            config.control.socket = added.control;
            config.control.state = added.state;
            config.status_file = added.status;
        }
        Ok(config)
    }

    /// Builds a configuration from JSON in the platform's format. `variable` looks up environment variables, whose addresses
    /// override those in the JSON.
    pub(super) fn from_json(
        json: &Value,
        mut pairs: SplitSettings,
        variable: impl Fn(&str) -> Option<String>,
    ) -> Result<Config, ConfigError> {
        let seed = text(json, "seed")?;
        let seed = u64::from_str_radix(seed, 16).map_err(|_| ConfigError::Seed(seed.into()))?;
        let discovery = match variable("LB_DISCOVERY") {
            Some(text) => address(&text, "LB_DISCOVERY")?,
            None => address(text(json, "discovery")?, "discovery")?,
        };
        let state = &mut pairs.state;
        state.insert("discovery".into(), discovery.to_string());
        let active = compile(&pairs.fixed, &State(pairs.state.clone()))?;
        let conf = enforced::join(&pairs.fixed, &pairs.state).map_err(ConfigError::setting)?;
        let location_names = LocationNames {
            zones: conf.list("zones").map_err(ConfigError::setting)?,
            machine_types: conf.list("skus").map_err(ConfigError::setting)?,
        };
        let known = json.get("known").ok_or(ConfigError::Missing("known"))?;
        let known_endpoints =
            EndpointList::read(known, &location_names).map_err(ConfigError::KnownEndpoints)?;
        let limits = &active.settings.limits;
        let peers = read_peers(
            json,
            limits.peers,
            usize::from(active.settings.gateway_count),
        )?;
        let counter = read_counter(json, limits.shared_counter, &conf)?;
        let management = read_management(json, variable("LB_MANAGEMENT"))?;
        let name = text(json, "name").unwrap_or("ingress");
        Ok(Config {
            listen: ListenAddress::read(json, variable("LB_LISTEN"))?,
            management,
            inherited_listener: None,
            seed,
            max_descriptors: positive(json, "limits", "sockets")?,
            memory: positive(json, "limits", "memory_mb")?.saturating_mul(1 << 20),
            peers,
            known_endpoints,
            counter,
            active,
            location_names,
            source_pairs: pairs,
            platform_only: true,
            status_file: None,
            control: ControlConfig {
                name: name.into(),
                ..ControlConfig::default()
            },
        })
    }
}

fn parse(file: &str) -> Result<Value, ConfigError> {
    serde_json::from_str(file).map_err(|e| {
        if e.is_eof() {
            ConfigError::Truncated(e)
        } else {
            ConfigError::NotJson(e)
        }
    })
}

/// Reads the operator's file, which is checked against the zones and classes of the platform's file.
fn read_operator(pairs: &SplitSettings, path: &Path) -> Result<Operator, ConfigError> {
    let conf = enforced::join(&pairs.fixed, &pairs.state).map_err(ConfigError::setting)?;
    let zone = conf.number_or("zone", 0.0).map_err(ConfigError::setting)? as usize;
    let zones = conf.list("zones").map_err(ConfigError::setting)?;
    let classes = conf.names("grades").map_err(ConfigError::setting)?;
    operator::read(path, &zones, &classes, zone).map_err(ConfigError::setting)
}

fn read_peers(
    json: &Value,
    enabled: bool,
    gateways: usize,
) -> Result<Option<PeerAddresses>, ConfigError> {
    if !enabled {
        return Ok(None);
    }
    let list = json.get("peers").and_then(Value::as_array);
    let list = list.ok_or_else(|| ConfigError::MissingOrNot {
        key: "peers".into(),
        expected: "list",
    })?;
    let peer = |value: &Value| address(value.as_str().unwrap_or_default(), "peers");
    let all = json.get("peers_all").filter(|value| !value.is_null());
    let all = all.map(|value| address(value.as_str().unwrap_or_default(), "peers_all"));
    let addresses = PeerAddresses {
        listen: address(text(json, "peer_listen")?, "peer_listen")?,
        peers: list.iter().map(peer).collect::<Result<_, _>>()?,
        all: all.transpose()?,
    };
    if addresses.peers.len() != gateways {
        return Err(ConfigError::PeerCount);
    }
    Ok(Some(addresses))
}

fn read_counter(
    json: &Value,
    enabled: bool,
    conf: &Conf,
) -> Result<Option<CounterConfig>, ConfigError> {
    if !enabled {
        return Ok(None);
    }
    let timeout = conf.micros("family_info.count_wait_us");
    Ok(Some(CounterConfig {
        address: address(text(json, "counter")?, "counter")?,
        timeout: timeout.map_err(ConfigError::setting)?,
    }))
}

fn read_management(
    json: &Value,
    variable: Option<String>,
) -> Result<Option<SocketAddr>, ConfigError> {
    if let Some(text) = variable {
        return address(&text, "LB_MANAGEMENT").map(Some);
    }
    if json.get("management").is_none_or(Value::is_null) {
        return Ok(None);
    }
    address(text(json, "management")?, "management").map(Some)
}
