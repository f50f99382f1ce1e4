//! Ingresses that decide as a group, seen from outside: how it stands with each ([`look`]), a decree brought to its end
//! ([`decide`]), the roster ([`roster`]), and a witness ([`witness`]).

pub mod decide;
pub mod look;
pub mod roster;
pub mod status;
pub mod witness;

use std::collections::BTreeMap;
use std::path::PathBuf;

/// The control sockets of a group's members, by name.
pub type Sockets = BTreeMap<String, PathBuf>;

/// Those that a plan carries.
pub fn sockets(members: &BTreeMap<String, String>) -> Sockets {
    members
        .iter()
        .map(|(name, at)| (name.clone(), PathBuf::from(at)))
        .collect()
}
