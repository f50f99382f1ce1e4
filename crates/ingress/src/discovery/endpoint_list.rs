//! The endpoint list as discovery reports it.

use serde_json::Value;
use wrenfork_decision::{BackendId, Endpoint, EndpointState, Micros};
use wrenfork_happy_eyeballs::Address;

/// FNV-1a with 64 bits, see <http://www.isthe.com/chongo/tech/comp/fnv/>.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x100_0000_01b3;
/// Discovery tells times in milliseconds.
const MICROS_PER_MILLISECOND: Micros = 1_000;

/// The names that zones and machine types have in the settings, by their indices.
pub struct LocationNames {
    /// The zones.
    pub zones: Vec<String>,
    /// The machine types.
    pub machine_types: Vec<String>,
}

/// What pools select endpoints by, in discovery's words.
#[derive(Clone, Debug, Default)]
pub struct EndpointLabels {
    /// The endpoint's name.
    pub name: String,
    /// The zone that it stands in.
    pub zone: String,
    /// The type of its machine.
    pub machine_type: String,
}

/// An endpoint of the list.
pub struct DiscoveredEndpoint {
    /// What the decision module knows of it.
    pub listed: Endpoint,
    /// The addresses that it has for this ingress.
    pub addresses: Vec<Address>,
    /// What pools select it by.
    pub labels: EndpointLabels,
}

/// A list as discovery reports it.
#[derive(Default)]
pub struct EndpointList {
    /// Its version.
    pub index: u64,
    /// Whether it is the full list, and not only what changed.
    pub is_full: bool,
    /// Its endpoints.
    pub endpoints: Vec<DiscoveredEndpoint>,
}

/// Why something is no endpoint list.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum EndpointListError {
    /// A key is missing, or its value is of another type.
    #[error("{key} is missing or no {expected}")]
    MissingOrNot {
        /// The key.
        key: &'static str,
        /// What its value should be.
        expected: &'static str,
    },
    /// An endpoint has no name.
    #[error("endpoints has an entry without a name")]
    NoName,
    /// A key of an endpoint is missing or invalid.
    #[error("endpoints: {key} of {name} is missing or bad")]
    Endpoint {
        /// The key.
        key: &'static str,
        /// The endpoint's name.
        name: String,
    },
}

/// An endpoint's name as an id that is the same at every ingress: peers address backends by it.
fn backend_id(name: &str) -> BackendId {
    let hash = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
    BackendId(name.bytes().fold(FNV_OFFSET, hash))
}

impl EndpointList {
    /// Reads a list in discovery's form.
    ///
    /// # Errors
    ///
    /// Names the key that is missing or invalid.
    pub fn read(json: &Value, names: &LocationNames) -> Result<EndpointList, EndpointListError> {
        let wrong = |key, expected| EndpointListError::MissingOrNot { key, expected };
        let index = json.get("index").and_then(Value::as_u64);
        let index = index.ok_or(wrong("index", "whole number"))?;
        let is_full = json.get("snapshot").and_then(Value::as_bool);
        let is_full = is_full.ok_or(wrong("snapshot", "flag"))?;
        let list = json.get("endpoints").and_then(Value::as_array);
        let list = list.ok_or(wrong("endpoints", "list"))?;
        let endpoints = list.iter().map(|e| DiscoveredEndpoint::read(e, names));
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
        let invalid = |key| EndpointListError::Endpoint {
            key,
            name: name.to_string(),
        };
        let status = text("status").ok_or_else(|| invalid("status"))?;
        let availability = availability(status);
        let addresses = read_addresses(json, availability).ok_or_else(|| invalid("address"))?;
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
            state: availability,
            weight: json.get("weight").and_then(Value::as_f64).unwrap_or(1.0),
            // The backend's clock counts from the same moment as Unix time: only the unit is another.
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

fn availability(status: &str) -> EndpointState {
    match status {
        "up" => EndpointState::Ready,
        "removed" => EndpointState::Removed,
        _ => EndpointState::Draining, // a word of the future can hardly mean that it wants work
    }
}

/// The addresses of an endpoint, the one that every ingress understands first; none where that is missing or invalid.
fn read_addresses(json: &Value, availability: EndpointState) -> Option<Vec<Address>> {
    let first = json.get("address").and_then(Value::as_str);
    let mut addresses = match first.map(str::parse::<Address>) {
        Some(Ok(address)) => vec![address],
        None if availability == EndpointState::Removed => Vec::new(),
        _ => return None,
    };
    let others = json.get("addresses").and_then(Value::as_array);
    // A form of the future is no reason to do without those that are understood.
    let read = |value: &Value| value.as_str()?.parse().ok();
    addresses.extend(others.into_iter().flatten().filter_map(read));
    Some(addresses)
}

/// The index of a name in a list, if it is there and fits.
fn index_of<T: TryFrom<usize>>(list: &[String], name: Option<&str>) -> Option<T> {
    let name = name?;
    let index = list.iter().position(|known| known == name)?;
    T::try_from(index).ok()
}
