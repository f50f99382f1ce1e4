//! Commands for a group of ingresses that decides by majority: querying its members ([`query`]), proposing a group state
//! ([`decide`]), the status ([`status`]), the membership ([`roster`]), and running a witness ([`witness`]).

pub mod decide;
pub mod query;
pub mod roster;
pub mod status;
pub mod witness;

use std::collections::BTreeMap;
use std::path::PathBuf;

/// The control sockets of a group's members, by name.
pub type Sockets = BTreeMap<String, PathBuf>;

/// Converts the control socket paths of a plan, by member name.
pub fn sockets(members: &BTreeMap<String, String>) -> Sockets {
    members
        .iter()
        .map(|(name, at)| (name.clone(), PathBuf::from(at)))
        .collect()
}
