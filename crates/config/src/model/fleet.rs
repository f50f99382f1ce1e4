//! Contents of a fleet snapshot, from a TOML file or from discovery's JSON list.

use super::fields::value_or;
use crate::reader::{At, Fields};
use serde::Deserialize;
use wrenfork_happy_eyeballs::Address;

/// Whether a node accepts requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// Accepts requests.
    Up,
    /// Finishes its open requests and accepts no new ones.
    Draining,
    /// No longer part of the fleet.
    Removed,
}

/// A backend node.
#[derive(Clone, Debug)]
pub struct Node {
    /// Name, unique within the fleet.
    pub name: At<String>,
    /// First address, tried before the others.
    pub address: Address,
    /// Further addresses of the same node.
    pub addresses: Vec<At<Address>>,
    /// Hall in which the node runs.
    pub hall: At<String>,
    /// Machine model.
    pub model: String,
    /// Number of the group of nodes that know each other's idempotency keys.
    pub group: u64,
    /// Whether the node accepts requests.
    pub status: Status,
    /// Capacity relative to other nodes; 0 or more, 1 by default.
    pub weight: f64,
    /// When the node started, in milliseconds of Unix time; 0 for long ago.
    pub since_ms: u64,
}

/// Snapshot of the fleet.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    /// Discovery's index of the list, 0 if the file has none.
    pub index: u64,
    /// All listed nodes, including draining and removed ones.
    pub nodes: Vec<Node>,
}

impl Fleet {
    /// Builds the fleet from the valid fields of its file.
    pub fn new(fields: &Fields) -> Fleet {
        Fleet {
            index: value_or(fields.integer("index"), 0),
            nodes: fields.tables("node").iter().filter_map(node).collect(),
        }
    }

    /// Parses discovery's JSON list.
    ///
    /// # Errors
    ///
    /// Describes the first invalid value.
    pub fn from_discovery(text: &str) -> Result<Fleet, String> {
        let list: List = serde_json::from_str(text).map_err(|e| e.to_string())?;
        let nodes = list.endpoints.into_iter().map(Endpoint::node);
        Ok(Fleet {
            index: list.index,
            nodes: nodes.collect::<Result<_, String>>()?,
        })
    }
}

/// JSON form of discovery's list.
#[derive(Deserialize)]
struct List {
    index: u64,
    endpoints: Vec<Endpoint>,
}

/// JSON form of one node in discovery's list.
#[derive(Deserialize)]
struct Endpoint {
    name: String,
    address: String,
    #[serde(default)]
    addresses: Vec<String>,
    zone: String,
    r#type: String,
    group: u64,
    status: String,
    #[serde(default = "default_weight")]
    weight: f64,
    #[serde(default)]
    since_ms: u64,
}

fn default_weight() -> f64 {
    1.0
}

impl Endpoint {
    fn node(self) -> Result<Node, String> {
        let status = match self.status.as_str() {
            "up" => Status::Up,
            "draining" => Status::Draining,
            "removed" => Status::Removed,
            other => return Err(format!("{}: the status \"{other}\" is unknown", self.name)),
        };
        let address = self.parse(&self.address)?;
        let further = self.addresses.iter().map(|text| self.parse(text));
        let further: Vec<Address> = further.collect::<Result<_, String>>()?;
        if !self.weight.is_finite() || self.weight < 0.0 {
            return Err(format!(
                "{}: the weight {} is not a number from 0 up",
                self.name, self.weight
            ));
        }
        Ok(Node {
            name: without_span(self.name),
            address,
            addresses: further.into_iter().map(without_span).collect(),
            hall: without_span(self.zone),
            model: self.r#type,
            group: self.group,
            status,
            weight: self.weight,
            since_ms: self.since_ms,
        })
    }

    fn parse(&self, text: &str) -> Result<Address, String> {
        text.parse()
            .map_err(|error| format!("{}: {error}", self.name))
    }
}

/// Wraps a value from discovery's list, which has no span in a file.
fn without_span<T>(value: T) -> At<T> {
    At { value, span: 0..0 }
}

fn node(fields: &Fields) -> Option<Node> {
    let status = match fields.text("status")?.value.as_str() {
        "up" => Status::Up,
        "draining" => Status::Draining,
        _ => Status::Removed,
    };
    Some(Node {
        name: fields.text("name")?,
        address: fields.node_address("address")?.value,
        addresses: value_or(fields.node_addresses("addresses"), Vec::new()),
        hall: fields.text("hall")?,
        model: fields.text("model")?.value,
        group: fields.integer("group")?.value,
        status,
        weight: value_or(fields.number("weight"), 1.0),
        since_ms: value_or(fields.integer("since-ms"), 0),
    })
}
