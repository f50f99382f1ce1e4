//! Names and limits from the settings that are needed to parse requests.

use super::error::CallError;
use std::collections::HashMap;
use wrenfork_decision::Idempotency;

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassDefinition {
    /// Name of the class. Empty if the class was removed from the settings.
    pub name: String,
    /// Whether requests of the class may be repeated.
    pub idempotency: Idempotency,
}

/// Names and limits from the settings, needed to parse a request.
pub struct Vocabulary {
    /// The classes by index.
    pub classes: Vec<ClassDefinition>,
    /// Names of the plans by index. A plan removed from the settings has an empty name.
    pub plans: Vec<String>,
    /// Maximum number of units of a request.
    pub max_units: f64,
    /// Number of ingresses.
    pub gateways: u64,
    /// The application that sends the requests. `None` if the ingress does not serve a single application.
    pub identity: Option<Identity>,
    /// Whether clients are authenticated. If so, the option `auth` is a token that is not passed on to backends.
    pub authenticates: bool,
}

/// The accounts of the one application that a sidecar serves. They override the plan and spread that a request claims.
#[derive(Debug, Default)]
pub struct Identity {
    /// Index of the plan of each account in the vocabulary.
    pub accounts: HashMap<u64, u16>,
    /// Name of each plan as backends know it, by plan index.
    pub plans_at_backends: Vec<String>,
    /// Whether the application may send requests of each class, by class index.
    pub may_send: Vec<bool>,
}

/// The plan of an account of the application that the ingress serves.
#[derive(Clone, Copy, Debug)]
pub(super) struct OwnPlan<'a> {
    /// Index of the plan in the vocabulary.
    pub(super) index: u16,
    /// Name of the plan as backends know it.
    pub(super) name: &'a str,
}

impl Vocabulary {
    /// The name of the class with this index, or `None` if the index is out of range.
    pub fn class_name(&self, class: u8) -> Option<&str> {
        let class = self.classes.get(usize::from(class))?;
        Some(class.name.as_str())
    }

    /// The name of the plan with this index, or `None` if the index is out of range.
    pub fn plan_name(&self, plan: u16) -> Option<&str> {
        self.plans.get(usize::from(plan)).map(String::as_str)
    }

    /// The names of the classes in index order, including the empty names of removed classes.
    pub fn class_names(&self) -> impl Iterator<Item = &str> {
        self.classes.iter().map(|class| class.name.as_str())
    }

    /// Finds the index of a class by its name.
    pub(super) fn class_index(&self, name: &[u8]) -> Result<usize, CallError> {
        let index = self.class_names().position(|known| is_name(known, name));
        index.ok_or(CallError::UnknownClass)
    }

    /// Finds the index of a plan by its name.
    pub(super) fn plan_index(&self, name: &[u8]) -> Result<usize, CallError> {
        let index = self.plans.iter().position(|known| is_name(known, name));
        index.ok_or(CallError::UnknownPlan)
    }

    /// The plan of an account if the ingress serves a single application, otherwise `None`. Fails for an account of another
    /// application.
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

    /// Whether requests of a class may be sent. Always true unless the ingress serves a single application.
    pub(super) fn may_send(&self, class: usize) -> bool {
        let Some(identity) = &self.identity else {
            return true;
        };
        identity.may_send.get(class).copied().unwrap_or(false)
    }
}

/// Whether `text` is the name `known`. Never matches the empty name of a removed class or plan.
fn is_name(known: &str, text: &[u8]) -> bool {
    !known.is_empty() && known.as_bytes() == text
}
