//! The part of the configuration that can change while the ingress serves, compiled from key-value pairs.

use super::error::ConfigError;
use super::json::address;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use wrenfork_commit::state::State;
use wrenfork_config::callers::{self, Callers};
use wrenfork_config::enforced::{self, Pairs};
use wrenfork_config::settings::Conf;
use wrenfork_config::values;
use wrenfork_decision::{Micros, Settings};
use wrenfork_routes::Table;
use wrenfork_wire::call::{ClassDefinition, Identity, Vocabulary};

/// Settings that can only be changed by a restart, as pairs of key and value.
pub type FixedPairs = Vec<(String, String)>;

/// The enforced configuration, as far as it can change without a restart.
pub struct ActiveConfig {
    /// Settings of the decision module.
    pub settings: Settings,
    /// Names of classes and plans with which requests are parsed.
    pub vocabulary: Vocabulary,
    /// Table of pools and routes.
    pub routes: Table,
    /// Trusted keys and tenants; `None` if requests are not authenticated.
    pub callers: Option<Callers>,
    /// Address of the discovery service.
    pub discovery: SocketAddr,
    /// Timeout for establishing a connection to a backend, in microseconds.
    pub connect_timeout: Micros,
    /// How long backends keep an idle connection open, in microseconds.
    pub keepalive: Micros,
}

impl ActiveConfig {
    /// The longest deadline of any class, in microseconds.
    pub fn longest_deadline(&self) -> Micros {
        longest_deadline(&self.settings)
    }
}

/// The longest deadline of any class, in microseconds; 0 if there are no classes.
pub fn longest_deadline(settings: &Settings) -> Micros {
    let deadlines = settings.classes.iter().map(|class| class.deadline);
    deadlines.max().unwrap_or(0)
}

/// Compiles a state for this ingress; `fixed` has the settings that can only be changed by a restart.
///
/// # Errors
///
/// If a key is unknown, missing or invalid; the error names the key.
pub fn compile(fixed: &[(String, String)], state: &State) -> Result<ActiveConfig, ConfigError> {
    let conf = enforced::join(fixed, &state.0).map_err(ConfigError::setting)?;
    let mut settings = conf.settings().map_err(ConfigError::setting)?;
    let (routes, _) = enforced::table(&state.0).map_err(ConfigError::setting)?;
    settings.pool_count = routes.pools.len() as u8;
    if settings.tick == 0 {
        return Err(ConfigError::Zero("tick_us"));
    }
    let vocabulary = vocabulary(&conf, &state.0, &settings)?;
    let class_names: Vec<String> = vocabulary.classes.iter().map(|c| c.name.clone()).collect();
    let discovery = state.0.get("discovery");
    let discovery = discovery.ok_or(ConfigError::Missing("discovery"))?;
    let micros = |key: &str| conf.micros(key).map_err(ConfigError::setting);
    let connect_timeout = micros("limits.connect_timeout_us")?;
    let keepalive = micros("limits.keepalive_us")?;
    let callers = callers::read(&state.0, &class_names).map_err(ConfigError::setting)?;
    Ok(ActiveConfig {
        vocabulary: Vocabulary {
            authenticates: callers.is_some(),
            ..vocabulary
        },
        settings,
        routes,
        callers,
        discovery: address(discovery, "discovery")?,
        connect_timeout,
        keepalive,
    })
}

/// Reads the names of classes and plans, and the accounts of a sidecar's application.
fn vocabulary(conf: &Conf, state: &Pairs, settings: &Settings) -> Result<Vocabulary, ConfigError> {
    let class_names = conf.names("grades").map_err(ConfigError::setting)?;
    let plans = conf.names("contracts").map_err(ConfigError::setting)?;
    reject_duplicates("grades", &class_names)?;
    reject_duplicates("contracts", &plans)?;
    let idempotencies = settings.classes.iter().map(|class| class.idempotency);
    let classes: Vec<ClassDefinition> = class_names
        .into_iter()
        .zip(idempotencies)
        .map(|(name, idempotency)| ClassDefinition { name, idempotency })
        .collect();
    let max_units = conf.number_or("family_info.most_units", f64::MAX);
    let max_units = max_units.map_err(ConfigError::setting)?;
    let identity = match state.get("sends") {
        Some(sends) => Some(identity(sends, state, &classes, &plans)?),
        None => None,
    };
    Ok(Vocabulary {
        classes,
        plans,
        max_units,
        gateways: u64::from(settings.gateway_count),
        identity,
        authenticates: false,
    })
}

fn reject_duplicates(list: &'static str, names: &[String]) -> Result<(), ConfigError> {
    let mut seen = HashSet::new();
    for (index, name) in names.iter().enumerate() {
        if !name.is_empty() && !seen.insert(name) {
            return Err(ConfigError::DuplicateName {
                list,
                index,
                name: name.clone(),
            });
        }
    }
    Ok(())
}

/// Reads the accounts of a sidecar's application, and the classes that it may send.
fn identity(
    sends: &str,
    state: &Pairs,
    classes: &[ClassDefinition],
    plans: &[String],
) -> Result<Identity, ConfigError> {
    let sends: Vec<&str> = sends.split(',').collect();
    // A plan with a quota of its own is named `PLAN~QUOTA~BURST`; backends only know `PLAN`.
    let plan_at_backends = |plan: &String| plan.split('~').next().unwrap_or(plan).to_string();
    let may_send = |c: &ClassDefinition| !c.name.is_empty() && sends.contains(&c.name.as_str());
    Ok(Identity {
        accounts: accounts(state, plans)?,
        plans_at_backends: plans.iter().map(plan_at_backends).collect(),
        may_send: classes.iter().map(may_send).collect(),
    })
}

/// Reads the plan index of each account.
fn accounts(state: &Pairs, plans: &[String]) -> Result<HashMap<u64, u16>, ConfigError> {
    let indices: HashMap<&str, u16> = plans.iter().map(String::as_str).zip(0..).collect();
    let mut accounts = HashMap::new();
    for (key, plan) in state {
        let Some(id) = key.strip_prefix("accounts.") else {
            continue;
        };
        let account = values::account(id).map_err(ConfigError::setting)?;
        let index = indices.get(plan.as_str()).filter(|_| !plan.is_empty());
        let index = index.ok_or_else(|| ConfigError::UnknownPlan {
            account,
            plan: plan.clone(),
        })?;
        accounts.insert(account, *index);
    }
    Ok(accounts)
}
