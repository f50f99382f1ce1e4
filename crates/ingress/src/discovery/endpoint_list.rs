//! Parses the endpoint lists that discovery reports.

use serde_json::Value;
use wrenfork_decision::{BackendId, Endpoint, EndpointState, Micros};
use wrenfork_happy_eyeballs::Address;

/// Offset basis of the 64-bit FNV-1a hash, see <http://www.isthe.com/chongo/tech/comp/fnv/>.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
/// Prime of the 64-bit FNV-1a hash.
const FNV_PRIME: u64 = 0x100_0000_01b3;
/// Factor from discovery's milliseconds to [`Micros`].
const MICROS_PER_MILLISECOND: Micros = 1_000;

/// Names of zones and machine types from the settings. The position of a name is the index that the decision module uses.
pub struct LocationNames {
    /// Zone names, by zone index.
    pub zones: Vec<String>,
    /// Machine type names, by machine type index.
    pub machine_types: Vec<String>,
}

/// The attributes by which pools select endpoints, as reported by discovery.
#[derive(Clone, Debug, Default)]
pub struct EndpointLabels {
    /// Unique name of the endpoint.
    pub name: String,
    /// Name of the endpoint's zone; empty if unknown.
    pub zone: String,
    /// Name of the endpoint's machine type; empty if unknown.
    pub machine_type: String,
}

/// One endpoint of an [`EndpointList`].
pub struct DiscoveredEndpoint {
    /// The endpoint in the form that is passed to the decision module.
    pub listed: Endpoint,
    /// The endpoint's addresses that this ingress can parse, the main one first; empty for a removed endpoint without one.
    pub addresses: Vec<Address>,
    /// The attributes by which pools select the endpoint.
    pub labels: EndpointLabels,
}

/// A full list of endpoints, or the changes since an earlier version, as reported by discovery.
#[derive(Default)]
pub struct EndpointList {
    /// Version of the list, which the next poll refers to.
    pub index: u64,
    /// Whether this is the full list rather than only the changes.
    pub is_full: bool,
    /// The endpoints of the full list, or those that changed.
    pub endpoints: Vec<DiscoveredEndpoint>,
}

/// Errors in an endpoint list.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum EndpointListError {
    /// A key of the list is missing, or its value has the wrong type.
    #[error("{key} is missing or not of type {expected}")]
    MissingOrWrongType {
        /// Name of the key.
        key: &'static str,
        /// The expected type of the value.
        expected: &'static str,
    },
    /// An endpoint has no name.
    #[error("endpoints: an entry has no name")]
    NoName,
    /// A key of an endpoint is missing or has an invalid value.
    #[error("endpoints: {key} of {name} is missing or invalid")]
    InvalidEndpoint {
        /// Name of the key.
        key: &'static str,
        /// Name of the endpoint.
        name: String,
    },
}

/// Derives a backend's id from its name. All ingresses compute the same id, by which peers refer to the backend.
fn backend_id(name: &str) -> BackendId {
    let hash = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
    BackendId(name.bytes().fold(FNV_OFFSET, hash))
}

impl EndpointList {
    /// Parses a list from the JSON that discovery sends.
    ///
    /// # Errors
    ///
    /// Returns an error that names the missing or invalid key.
    pub fn read(json: &Value, names: &LocationNames) -> Result<EndpointList, EndpointListError> {
        let invalid = |key, expected| EndpointListError::MissingOrWrongType { key, expected };
        let index = json.get("index").and_then(Value::as_u64);
        let index = index.ok_or(invalid("index", "non-negative integer"))?;
        let is_full = json.get("snapshot").and_then(Value::as_bool);
        let is_full = is_full.ok_or(invalid("snapshot", "boolean"))?;
        let entries = json.get("endpoints").and_then(Value::as_array);
        let entries = entries.ok_or(invalid("endpoints", "array"))?;
        let endpoints = entries
            .iter()
            .map(|endpoint| DiscoveredEndpoint::read(endpoint, names));
        Ok(EndpointList {
            index,
            is_full,
            endpoints: endpoints.collect::<Result<_, _>>()?,
        })
    }
}

impl DiscoveredEndpoint {
    fn read(json: &Value, names: &LocationNames) -> Result<Self, EndpointListError> {
        let text = |key: &str| json.get(key).and_then(Value::as_str);
        let name = text("name").ok_or(EndpointListError::NoName)?;
        let invalid = |key| EndpointListError::InvalidEndpoint {
            key,
            name: name.to_string(),
        };
        let status = text("status").ok_or_else(|| invalid("status"))?;
        let state = parse_status(status);
        let addresses = read_addresses(json, state).ok_or_else(|| invalid("address"))?;
        let since_ms = json.get("since_ms").map_or(Some(0), Value::as_u64);
        let since_ms = since_ms.ok_or_else(|| invalid("since_ms"))?;
        let group = json.get("group").and_then(Value::as_u64).unwrap_or(0);
        let zone = text("zone").unwrap_or("");
        let machine_type = text("type").unwrap_or("");
        let listed = Endpoint {
            backend: backend_id(name),
            zone: index_of(&names.zones, text("zone")).unwrap_or(u8::MAX),
            cell: u16::try_from(group).map_err(|_| invalid("group"))?,
            machine_kind: index_of(&names.machine_types, text("type")).unwrap_or(u16::MAX),
            state,
            weight: json.get("weight").and_then(Value::as_f64).unwrap_or(1.0),
            // Both times count from the Unix epoch; only the unit differs.
            started_at: since_ms.saturating_mul(MICROS_PER_MILLISECOND),
            pools: 0,
        };
        Ok(DiscoveredEndpoint {
            listed,
            addresses,
            labels: EndpointLabels {
                name: name.to_string(),
                zone: zone.to_string(),
                machine_type: machine_type.to_string(),
            },
        })
    }
}

fn parse_status(status: &str) -> EndpointState {
    match status {
        "up" => EndpointState::Ready,
        "removed" => EndpointState::Removed,
        // "draining", or an unknown status of a later version, with which an endpoint hardly accepts new requests.
        _ => EndpointState::Draining,
    }
}

/// The addresses of an endpoint, starting with `address`, which is required unless the endpoint is removed. Returns `None` if
/// `address` is missing or invalid.
fn read_addresses(json: &Value, state: EndpointState) -> Option<Vec<Address>> {
    let first = json.get("address").and_then(Value::as_str);
    let mut addresses = match first.map(str::parse::<Address>) {
        Some(Ok(address)) => vec![address],
        None if state == EndpointState::Removed => Vec::new(),
        _ => return None,
    };
    let others = json.get("addresses").and_then(Value::as_array);
    // Skip addresses in an unknown format: a later version of discovery may report new address formats.
    let parse = |value: &Value| value.as_str()?.parse().ok();
    addresses.extend(others.into_iter().flatten().filter_map(parse));
    Some(addresses)
}

/// The index of a name in a list; `None` if the name is missing or unknown, or the index doesn't fit into `T`.
fn index_of<T: TryFrom<usize>>(list: &[String], name: Option<&str>) -> Option<T> {
    let name = name?;
    let index = list.iter().position(|known| known == name)?;
    T::try_from(index).ok()
}
