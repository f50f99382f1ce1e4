//! The names of the settings, by which requests are read.

use super::error::CallError;
use std::collections::HashMap;
use wrenfork_decision::Idempotency;

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassDefinition {
    /// Its name; empty where the class was dropped.
    pub name: String,
    /// Whether its requests may be repeated.
    pub idempotency: Idempotency,
}

/// What the settings name: needed to read a request.
pub struct Vocabulary {
    /// The classes.
    pub classes: Vec<ClassDefinition>,
    /// The names of the plans; one that was dropped has an empty name.
    pub plans: Vec<String>,
    /// The most units that a request takes.
    pub max_units: f64,
    /// How many ingresses there are.
    pub gateways: u64,
    /// Whose requests these are, where that is known whatever they claim.
    pub identity: Option<Identity>,
    /// Callers are authenticated: an option `auth` is a token.
    pub authenticates: bool,
}

/// An application's accounts, at a sidecar of its own: what a request claims of plan and spread counts for nothing.
#[derive(Debug, Default)]
pub struct Identity {
    /// By account: the index of its plan in the vocabulary.
    pub accounts: HashMap<u64, u16>,
    /// By that index: the plan's name as backends know it.
    pub plans_at_backends: Vec<String>,
    /// By class: whether the application may send requests of it.
    pub may_send: Vec<bool>,
}

/// The plan of an account of the application that is served.
#[derive(Clone, Copy, Debug)]
pub(super) struct OwnPlan<'a> {
    /// Its index in the vocabulary.
    pub(super) index: u16,
    /// Its name as backends know it.
    pub(super) name: &'a str,
}

impl Vocabulary {
    /// The name of the class at an index.
    pub fn class_name(&self, class: u8) -> Option<&str> {
        let class = self.classes.get(usize::from(class))?;
        Some(class.name.as_str())
    }

    /// The name of the plan at an index.
    pub fn plan_name(&self, plan: u16) -> Option<&str> {
        self.plans.get(usize::from(plan)).map(String::as_str)
    }

    /// The names of the classes by their indices.
    pub fn class_names(&self) -> impl Iterator<Item = &str> {
        self.classes.iter().map(|class| class.name.as_str())
    }

    /// The index of a class by its name.
    pub(super) fn class_index(&self, name: &[u8]) -> Result<usize, CallError> {
        let index = self.class_names().position(|known| is_name(known, name));
        index.ok_or(CallError::UnknownClass)
    }

    /// The index of a plan by its name.
    pub(super) fn plan_index(&self, name: &[u8]) -> Result<usize, CallError> {
        let index = self.plans.iter().position(|known| is_name(known, name));
        index.ok_or(CallError::UnknownPlan)
    }

    /// The plan of an account, where that is known whatever the request claims.
    pub(super) fn own_plan(&self, account: u64) -> Result<Option<OwnPlan<'_>>, CallError> {
        let Some(identity) = &self.identity else {
            return Ok(None);
        };
        let index = identity.accounts.get(&account).copied();
        let index = index.ok_or(CallError::ForeignAccount)?;
        let name = identity.plans_at_backends.get(usize::from(index));
        Ok(Some(OwnPlan {
            index,
            name: name.map_or("", String::as_str),
        }))
    }

    /// Whether requests of a class may be sent, where the application is known.
    pub(super) fn may_send(&self, class: usize) -> bool {
        let Some(identity) = &self.identity else {
            return true;
        };
        identity.may_send.get(class).copied().unwrap_or(false)
    }
}

/// Whether a name is meant; what was dropped has an empty name.
fn is_name(known: &str, text: &[u8]) -> bool {
    !known.is_empty() && known.as_bytes() == text
}
