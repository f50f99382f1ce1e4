//! Plans: changes that are reviewed before they are applied.
//!
//! A plan is bound to the generation that each ingress enforced when the plan was made. It lists the differences and contains
//! the complete new states, protected by a checksum.

use crate::metrics::PlanUsage;
use crate::state::{differences, Difference, Digest, Generation, State};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::Arc;
use thiserror::Error;

/// Format version of a plan; there is only one so far.
pub const VERSION: u32 = 1;

const MICROS_PER_SECOND: u64 = 1_000_000;

/// An ingress that is changed by a plan.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// Name of the ingress.
    pub ingress: String,
    /// Path of the ingress's control socket.
    pub control: String,
    /// Generation that was enforced when the plan was made.
    pub base: Generation,
    /// Index into [`Plan::differences`] of the list for this ingress.
    pub differences: usize,
    /// Digest of the state to enforce: a key of [`Plan::states`].
    pub wanted: Digest,
}

/// A risk of a plan, shown to its reviewer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Danger {
    /// Key whose change is risky.
    pub key: String,
    /// Human-readable description of the risk.
    #[serde(rename = "what")]
    pub description: String,
}

/// A change to one or more ingresses.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    /// Format version, see [`VERSION`].
    pub version: u32,
    /// Who made the plan.
    pub author: String,
    /// Unix time at which the plan was made, in microseconds, so that two plans for the same change have different identities.
    pub made_at: u64,
    /// How long after `made_at` the plan may be applied, in seconds.
    #[serde(rename = "good_for")]
    pub valid_for: u64,
    /// Number of the generation that the plan creates.
    pub generation: u64,
    /// The ingresses that the plan changes.
    pub targets: Vec<Target>,
    /// New states by digest; ingresses with the same new state share an entry.
    pub states: BTreeMap<Digest, Arc<State>>,
    /// Lists of differences; ingresses with the same old and new states share a list.
    pub differences: Vec<Vec<Difference>>,
    /// Risks of the plan, each listed once.
    pub dangers: Vec<Danger>,
    /// Groups that decide by majority: for each, the control sockets of all members by member name, including witnesses.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub groups: Vec<BTreeMap<String, String>>,
}

/// Why a plan can't be read or applied.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum PlanError {
    /// The text is not a plan file.
    #[error("not a valid plan file: {0}")]
    Malformed(String),
    /// The plan file has an unsupported format version.
    #[error("unsupported plan file version {0}: this program supports version {VERSION}")]
    UnsupportedVersion(u32),
    /// The plan does not match its checksum.
    #[error("the plan file was modified after it was written: make a new plan")]
    ChecksumMismatch,
    /// The plan is older than its validity period.
    #[error(
        "the plan is {age} s old, but was valid for {valid_for} s: make a new plan and review it"
    )]
    Expired {
        /// Age of the plan, in seconds.
        age: u64,
        /// Validity period of the plan, in seconds.
        valid_for: u64,
    },
}

impl From<serde_json::Error> for PlanError {
    fn from(error: serde_json::Error) -> PlanError {
        PlanError::Malformed(error.to_string())
    }
}

/// Content of a plan file: the plan as text, and the digest of that text.
#[derive(Serialize, Deserialize)]
struct PlanFile {
    version: u32,
    checksum: Digest,
    plan: String,
}

/// Author, time and validity period of a plan.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlanHeader {
    /// Who makes the plan.
    pub author: String,
    /// Unix time at which the plan is made, in microseconds.
    pub made_at: u64,
    /// How long after `made_at` the plan may be applied, in seconds.
    pub valid_for: u64,
}

/// Current and wanted configuration of an ingress.
#[derive(Clone, Debug)]
pub struct IngressSnapshot {
    /// Name of the ingress.
    pub ingress: String,
    /// Path of the ingress's control socket.
    pub control: String,
    /// Generation that is enforced now.
    pub base: Generation,
    /// State of the enforced generation.
    pub current: Arc<State>,
    /// State to enforce instead.
    pub wanted: Arc<State>,
    /// Usage at this ingress by customer plan name.
    pub usage: BTreeMap<String, PlanUsage>,
    /// Risks found by the caller, in addition to those found by comparing values.
    pub extra_dangers: Vec<Danger>,
}

/// Collects the parts of a plan that its targets share.
#[derive(Default)]
struct PlanBuilder {
    states: BTreeMap<Digest, Arc<State>>,
    differences: Vec<Vec<Difference>>,
    dangers: Vec<Danger>,
    /// Index into `differences` by the digests of the old and the new state.
    difference_index: BTreeMap<(Digest, Digest), usize>,
    /// States that have been hashed already: ingresses often share one.
    hashed_states: Vec<HashedState>,
}

struct HashedState {
    state: Arc<State>,
    digest: Digest,
}

impl PlanBuilder {
    fn add(&mut self, snapshot: IngressSnapshot) -> Target {
        let wanted = self.digest(&snapshot.wanted);
        let differences = self.differences(&snapshot, &wanted);
        let mut dangers: Vec<Danger> = self.differences[differences]
            .iter()
            .filter_map(|difference| find_danger(difference, &snapshot))
            .collect();
        dangers.extend(snapshot.extra_dangers);
        for danger in dangers {
            if !self.dangers.contains(&danger) {
                self.dangers.push(danger);
            }
        }
        self.states.entry(wanted.clone()).or_insert(snapshot.wanted);
        Target {
            ingress: snapshot.ingress,
            control: snapshot.control,
            base: snapshot.base,
            differences,
            wanted,
        }
    }

    /// Returns the digest of a state, and computes it only once per shared state.
    fn digest(&mut self, state: &Arc<State>) -> Digest {
        let cached = self
            .hashed_states
            .iter()
            .find(|h| Arc::ptr_eq(&h.state, state));
        if let Some(cached) = cached {
            return cached.digest.clone();
        }
        let digest = state.digest();
        self.hashed_states.push(HashedState {
            state: state.clone(),
            digest: digest.clone(),
        });
        digest
    }

    /// Returns the index of the list of differences for an ingress, and adds the list if it is new.
    fn differences(&mut self, snapshot: &IngressSnapshot, wanted: &Digest) -> usize {
        let key = (snapshot.base.digest.clone(), wanted.clone());
        let lists = &mut self.differences;
        *self.difference_index.entry(key).or_insert_with(|| {
            lists.push(differences(&snapshot.current, &snapshot.wanted));
            lists.len() - 1
        })
    }
}

impl Plan {
    /// Makes a plan from the current and wanted state of each ingress; `None` if no state differs.
    pub fn make(header: PlanHeader, ingresses: Vec<IngressSnapshot>) -> Option<Plan> {
        let newest_number = ingresses.iter().map(|i| i.base.number).max();
        let mut builder = PlanBuilder::default();
        let targets = ingresses.into_iter().map(|i| builder.add(i)).collect();
        if builder.differences.iter().all(Vec::is_empty) {
            return None;
        }
        Some(Plan {
            version: VERSION,
            author: header.author,
            made_at: header.made_at,
            valid_for: header.valid_for,
            generation: newest_number.unwrap_or(0) + 1,
            targets,
            states: builder.states,
            differences: builder.differences,
            dangers: builder.dangers,
            groups: Vec::new(),
        })
    }

    /// Returns the plan for a subset of its ingresses, which is a different plan with its own identity.
    #[must_use]
    pub fn restricted_to(&self, keep: impl Fn(&Target) -> bool) -> Plan {
        let mut plan = self.clone();
        plan.targets.retain(keep);
        let targets = &plan.targets;
        plan.states
            .retain(|digest, _| targets.iter().any(|t| t.wanted == *digest));
        plan.groups
            .retain(|members| targets.iter().any(|t| members.contains_key(&t.ingress)));
        plan
    }

    /// Returns the plan's identity, a digest over all its fields: only equal plans have the same identity.
    pub fn id(&self) -> Digest {
        Digest::of(self.canonical().as_bytes())
    }

    /// Returns the plan as JSON. All maps are ordered, so equal plans give the same text.
    fn canonical(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }

    /// Returns the text of the plan file.
    pub fn to_file_text(&self) -> String {
        let plan = self.canonical();
        let file = PlanFile {
            version: VERSION,
            checksum: Digest::of(plan.as_bytes()),
            plan,
        };
        let mut text = serde_json::to_string(&file).unwrap_or_default();
        text.push('\n');
        text
    }

    /// Parses the text of a plan file.
    ///
    /// # Errors
    ///
    /// If the text is not a plan file, has an unsupported version, or does not match its checksum.
    pub fn from_file_text(text: &str) -> Result<Plan, PlanError> {
        let file: PlanFile = serde_json::from_str(text)?;
        if file.version != VERSION {
            return Err(PlanError::UnsupportedVersion(file.version));
        }
        if Digest::of(file.plan.as_bytes()) != file.checksum {
            return Err(PlanError::ChecksumMismatch);
        }
        Ok(serde_json::from_str(&file.plan)?)
    }

    /// Checks that the plan may still be applied at `now_us`, a Unix time in microseconds.
    ///
    /// # Errors
    ///
    /// If the plan has expired.
    pub fn check_validity(&self, now_us: u64) -> Result<(), PlanError> {
        let age = now_us.saturating_sub(self.made_at) / MICROS_PER_SECOND;
        if age > self.valid_for {
            return Err(PlanError::Expired {
                age,
                valid_for: self.valid_for,
            });
        }
        Ok(())
    }
}

/// A change of a numeric value, reduced to what [`find_danger`] needs.
struct NumberChange {
    /// New value; 0 if it is missing or not a number.
    new: f64,
    /// Whether the value becomes lower.
    is_lower: bool,
    /// Whether the value, read as a limit where 0 means no limit, becomes stricter.
    is_stricter: bool,
}

impl NumberChange {
    fn of(difference: &Difference) -> NumberChange {
        let number = |value: &Option<String>| value.as_ref().and_then(|v| v.parse::<f64>().ok());
        let (old, new) = (number(&difference.old), number(&difference.new));
        let is_lower = matches!((old, new), (Some(old), Some(new)) if new < old);
        let introduces_limit = matches!((old, new), (Some(0.0), Some(new)) if new > 0.0);
        NumberChange {
            new: new.unwrap_or(0.0),
            is_lower,
            is_stricter: is_lower && new != Some(0.0) || introduces_limit,
        }
    }
}

/// A customer plan whose settings differ, and the usage of its customers.
struct UsedPlan<'a> {
    name: &'a str,
    usage: PlanUsage,
}

impl<'a> UsedPlan<'a> {
    fn of(difference: &Difference, snapshot: &'a IngressSnapshot) -> Option<UsedPlan<'a>> {
        let field = field_name(&difference.key);
        let prefix = difference.key.strip_suffix(field)?;
        let name = snapshot.current.0.get(&format!("{prefix}name"))?;
        let usage = *snapshot.usage.get(name)?;
        Some(UsedPlan { name, usage })
    }
}

/// Returns the part of a key after its last dot.
fn field_name(key: &str) -> &str {
    key.rsplit('.').next().unwrap_or("")
}

/// Finds the risk of a difference at an ingress, if it has one.
fn find_danger(difference: &Difference, snapshot: &IngressSnapshot) -> Option<Danger> {
    let change = NumberChange::of(difference);
    let used_plan = UsedPlan::of(difference, snapshot);
    let description = used_plan
        .and_then(|used| danger_to_current_usage(difference, &change, &used))
        .or_else(|| danger_of_stricter_limit(difference, &change).map(String::from))
        .or_else(|| danger_of_other_change(difference))?;
    Some(Danger {
        key: difference.key.clone(),
        description,
    })
}

/// Describes a limit that becomes stricter than the current usage of customers.
fn danger_to_current_usage(
    difference: &Difference,
    change: &NumberChange,
    used: &UsedPlan,
) -> Option<String> {
    if !change.is_stricter {
        return None;
    }
    let UsedPlan { name, usage } = used;
    let PlanUsage {
        rate,
        open_attempts,
        ..
    } = usage;
    match field_name(&difference.key) {
        "quota_rate" if *rate > change.new => Some(format!(
            "a customer on {name} uses {rate:.1} units a second right now, more than the new quota: it is refused at once"
        )),
        "never_over_rate" if *rate > change.new || *open_attempts > 0 => Some(format!(
            "a ceiling is lowered while customers on {name} use up to {rate:.1} units a second, with up to {open_attempts} open attempts"
        )),
        "max_out" if f64::from(*open_attempts) > change.new => Some(format!(
            "a concurrency limit is lowered, and a customer on {name} has {open_attempts} open attempts right now"
        )),
        _ => None,
    }
}

/// Describes a limit or a duration that becomes stricter.
fn danger_of_stricter_limit(
    difference: &Difference,
    change: &NumberChange,
) -> Option<&'static str> {
    match field_name(&difference.key) {
        "quota_rate" | "burst" if change.is_stricter => {
            Some("a quota is lowered: requests above it are rejected")
        }
        "never_over_rate" | "ceiling_burst" if change.is_stricter => Some("a ceiling is lowered"),
        "max_out" if change.is_stricter => Some("a concurrency limit is lowered"),
        "give_up_us" | "objective_us" if change.is_lower => Some(
            "a deadline or latency objective is shortened: requests that take longer will be late",
        ),
        _ => None,
    }
}

/// Describes a risky change to a class, plan, account or other setting that is not a stricter limit.
fn danger_of_other_change(difference: &Difference) -> Option<String> {
    let key = difference.key.as_str();
    let removed = difference.new.is_none();
    let description = match field_name(key) {
        "effect" if difference.old.is_some() => {
            "the rule for which requests may be repeated changes: check that the backends follow the same rule"
        }
        "name" if difference.new.as_deref() == Some("") => {
            let kind = if key.starts_with("grades") {
                "class"
            } else {
                "plan"
            };
            let name = difference.old.as_deref().unwrap_or("");
            return Some(format!("{kind} \"{name}\" is removed: its requests are rejected"));
        }
        _ if key.starts_with("accounts.") && removed => "the account is removed: its requests are rejected",
        _ if key.starts_with("identity.") && removed => {
            "an identity setting is removed: callers that depend on it are rejected"
        }
        "discovery" => "the discovery source changes: the endpoint list will come from a different source",
        "sends" => "the set of classes that may be sent changes",
        _ => return None,
    };
    Some(description.into())
}
