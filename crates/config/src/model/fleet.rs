//! What a fleet snapshot says: a file, or discovery's own list.

use super::fields::or;
use crate::reader::{At, Fields};
use serde::Deserialize;
use wrenfork_happy_eyeballs::Address;

/// A node's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// Takes work.
    Up,
    /// Takes nothing new.
    Draining,
    /// Gone.
    Removed,
}

/// A node.
#[derive(Clone, Debug)]
pub struct Node {
    /// Its name.
    pub name: At<String>,
    /// Where it listens.
    pub address: Address,
    /// Where else it listens.
    pub addresses: Vec<At<Address>>,
    /// Its hall.
    pub hall: At<String>,
    /// Its model.
    pub model: String,
    /// Its group.
    pub group: u64,
    /// Its state.
    pub status: Status,
    /// Its capacity beside others.
    pub weight: f64,
    /// Milliseconds of Unix time.
    pub since_ms: u64,
}

/// The nodes at a moment.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    /// Discovery's number of the list.
    pub index: u64,
    /// The nodes.
    pub nodes: Vec<Node>,
}

impl Fleet {
    /// What a file's values mean.
    pub fn new(f: &Fields) -> Fleet {
        Fleet {
            index: or(f.whole("index"), 0),
            nodes: f.tables("node").iter().filter_map(node).collect(),
        }
    }

    /// Discovery's own list.
    ///
    /// # Errors
    ///
    /// With what is wrong, in words.
    pub fn from_discovery(text: &str) -> Result<Fleet, String> {
        let list: List = serde_json::from_str(text).map_err(|e| e.to_string())?;
        let nodes = list.endpoints.into_iter().map(Endpoint::node);
        Ok(Fleet {
            index: list.index,
            nodes: nodes.collect::<Result<_, String>>()?,
        })
    }
}

/// Discovery's list as it is written.
#[derive(Deserialize)]
struct List {
    index: u64,
    endpoints: Vec<Endpoint>,
}

/// A node in discovery's list.
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
        let more = self.addresses.iter().map(|text| self.parse(text));
        let more: Vec<Address> = more.collect::<Result<_, String>>()?;
        if !self.weight.is_finite() || self.weight < 0.0 {
            return Err(format!("{}: the weight is no number from 0 up", self.name));
        }
        Ok(Node {
            name: nowhere(self.name),
            address,
            addresses: more.into_iter().map(nowhere).collect(),
            hall: nowhere(self.zone),
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

/// A value of discovery's list, which has no place in a file of its own.
fn nowhere<T>(value: T) -> At<T> {
    At { value, span: 0..0 }
}

fn node(f: &Fields) -> Option<Node> {
    let status = match f.text("status")?.value.as_str() {
        "up" => Status::Up,
        "draining" => Status::Draining,
        _ => Status::Removed,
    };
    Some(Node {
        name: f.text("name")?,
        address: f.node_address("address")?.value,
        addresses: or(f.node_addresses("addresses"), Vec::new()),
        hall: f.text("hall")?,
        model: f.text("model")?.value,
        group: f.whole("group")?.value,
        status,
        weight: or(f.number("weight"), 1.0),
        since_ms: or(f.whole("since-ms"), 0),
    })
}
