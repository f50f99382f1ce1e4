//! Plans: changes that are reviewed before they are made.
//!
//! A plan is bound to the generation each ingress enforced when it was made, says what would differ, and carries the complete
//! states that are wanted, under a checksum.

use crate::metrics::PlanUsage;
use crate::state::{differences, Difference, Digest, Generation, State};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::Arc;
use thiserror::Error;

/// Version of the form of a plan; the only one so far.
pub const VERSION: u32 = 1;

const MICROS_PER_SECOND: u64 = 1_000_000;

/// An ingress a plan changes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// Its name.
    pub ingress: String,
    /// Path of its control socket.
    pub control: String,
    /// What it enforced when the plan was made.
    pub base: Generation,
    /// What would differ there: an index into [`Plan::differences`].
    pub differences: usize,
    /// What it is to enforce: a key of [`Plan::states`].
    pub wanted: Digest,
}

/// A danger of a change, for people.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Danger {
    /// The key that changes.
    pub key: String,
    /// What is dangerous about it.
    #[serde(rename = "what")]
    pub description: String,
}

/// A change of several ingresses.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    /// Version of the form.
    pub version: u32,
    /// Who made it.
    pub author: String,
    /// When it was made, in microseconds of Unix time, so that two plans of the same change have different identities.
    pub made_at: u64,
    /// Seconds from then on for which it may be applied.
    #[serde(rename = "good_for")]
    pub valid_for: u64,
    /// Number of the generation it makes.
    pub generation: u64,
    /// The ingresses it changes, by name.
    pub targets: Vec<Target>,
    /// What is to be enforced, by digest; ingresses with the same state share one.
    pub states: BTreeMap<Digest, Arc<State>>,
    /// What would differ; ingresses with the same states before and after share a list.
    pub differences: Vec<Vec<Difference>>,
    /// What is dangerous about it.
    pub dangers: Vec<Danger>,
    /// Groups that decide by a majority: the control sockets of all their members by name, witnesses among them.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub groups: Vec<BTreeMap<String, String>>,
}

/// Why a plan can't be read or applied.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum PlanError {
    /// The text is no plan.
    #[error("this is no plan: {0}")]
    Malformed(String),
    /// Its form has another version.
    #[error("the plan's form is version {0}, and this program knows {VERSION}")]
    UnknownVersion(u32),
    /// It does not match its checksum.
    #[error("the plan was altered since it was written: make it anew")]
    Altered,
    /// It is no longer valid.
    #[error(
        "the plan is {age} s old, and was good for {valid_for} s: make it anew and look at it again"
    )]
    Expired {
        /// Its age, in seconds.
        age: u64,
        /// Seconds for which it was valid.
        valid_for: u64,
    },
}

impl From<serde_json::Error> for PlanError {
    fn from(error: serde_json::Error) -> PlanError {
        PlanError::Malformed(error.to_string())
    }
}

/// A plan's file: the plan as text, and the digest of that text.
#[derive(Serialize, Deserialize)]
struct PlanFile {
    version: u32,
    checksum: Digest,
    plan: String,
}

/// Who makes a plan, when, and for how long it is valid.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlanHeader {
    /// Who makes it.
    pub author: String,
    /// Unix time, in microseconds.
    pub made_at: u64,
    /// Seconds for which it may be applied.
    pub valid_for: u64,
}

/// What an ingress enforces, and is to enforce.
#[derive(Clone, Debug)]
pub struct IngressSnapshot {
    /// Its name.
    pub ingress: String,
    /// Path of its control socket.
    pub control: String,
    /// Generation it enforces.
    pub base: Generation,
    /// State of that generation.
    pub current: Arc<State>,
    /// What it is to enforce.
    pub wanted: Arc<State>,
    /// Usage there, by name of the plan.
    pub usage: BTreeMap<String, PlanUsage>,
    /// Dangers found by those who know what the state means.
    pub extra_dangers: Vec<Danger>,
}

/// Collects what the targets of a plan share.
#[derive(Default)]
struct PlanBuilder {
    states: BTreeMap<Digest, Arc<State>>,
    differences: Vec<Vec<Difference>>,
    dangers: Vec<Danger>,
    /// Index of a list of differences, by digests before and after.
    known_differences: BTreeMap<(Digest, Digest), usize>,
    /// States that have been hashed: ingresses often share one.
    hashed: Vec<HashedState>,
}

struct HashedState {
    state: Arc<State>,
    digest: Digest,
}

impl PlanBuilder {
    fn add(&mut self, snapshot: IngressSnapshot) -> Target {
        let wanted = self.digest(&snapshot.wanted);
        let differences = self.differences(&snapshot, &wanted);
        let mut found: Vec<Danger> = self.differences[differences]
            .iter()
            .filter_map(|difference| danger(difference, &snapshot))
            .collect();
        found.extend(snapshot.extra_dangers);
        for danger in found {
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

    fn digest(&mut self, state: &Arc<State>) -> Digest {
        let known = self.hashed.iter().find(|h| Arc::ptr_eq(&h.state, state));
        if let Some(known) = known {
            return known.digest.clone();
        }
        let digest = state.digest();
        self.hashed.push(HashedState {
            state: state.clone(),
            digest: digest.clone(),
        });
        digest
    }

    /// Index of the list of differences at an ingress.
    fn differences(&mut self, snapshot: &IngressSnapshot, wanted: &Digest) -> usize {
        let key = (snapshot.base.digest.clone(), wanted.clone());
        let lists = &mut self.differences;
        *self.known_differences.entry(key).or_insert_with(|| {
            lists.push(differences(&snapshot.current, &snapshot.wanted));
            lists.len() - 1
        })
    }
}

impl Plan {
    /// Makes a plan from what each ingress enforces and is to enforce; none if nothing would differ.
    pub fn make(header: PlanHeader, ingresses: Vec<IngressSnapshot>) -> Option<Plan> {
        let newest = ingresses.iter().map(|i| i.base.number).max();
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
            generation: newest.unwrap_or(0) + 1,
            targets,
            states: builder.states,
            differences: builder.differences,
            dangers: builder.dangers,
            groups: Vec::new(),
        })
    }

    /// The plan for some of its ingresses alone, which is another plan with an identity of its own.
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

    /// The plan's identity: two plans have the same only if they are equal.
    pub fn id(&self) -> Digest {
        Digest::of(self.canonical().as_bytes())
    }

    /// The plan as text. Maps are ordered, so that it is always the same.
    fn canonical(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }

    /// Text of the plan's file.
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

    /// Reads the text of a plan's file.
    ///
    /// # Errors
    ///
    /// If the text is no plan, has another version, or was altered.
    pub fn from_file_text(text: &str) -> Result<Plan, PlanError> {
        let file: PlanFile = serde_json::from_str(text)?;
        if file.version != VERSION {
            return Err(PlanError::UnknownVersion(file.version));
        }
        if Digest::of(file.plan.as_bytes()) != file.checksum {
            return Err(PlanError::Altered);
        }
        Ok(serde_json::from_str(&file.plan)?)
    }

    /// Whether the plan may be applied at a Unix time in microseconds.
    ///
    /// # Errors
    ///
    /// If it has expired.
    pub fn check_validity(&self, now: u64) -> Result<(), PlanError> {
        let age = now.saturating_sub(self.made_at) / MICROS_PER_SECOND;
        if age > self.valid_for {
            return Err(PlanError::Expired {
                age,
                valid_for: self.valid_for,
            });
        }
        Ok(())
    }
}

/// A difference in a number, as far as its dangers are concerned.
struct NumberChange {
    new: f64,
    /// The value gets lower.
    lower: bool,
    /// A limit gets stricter, where 0 is none.
    tighter: bool,
}

impl NumberChange {
    fn of(difference: &Difference) -> NumberChange {
        let number = |value: &Option<String>| value.as_ref().and_then(|v| v.parse::<f64>().ok());
        let (old, new) = (number(&difference.old), number(&difference.new));
        let lower = matches!((old, new), (Some(old), Some(new)) if new < old);
        let first_limit = matches!((old, new), (Some(0.0), Some(new)) if new > 0.0);
        NumberChange {
            new: new.unwrap_or(0.0),
            lower,
            tighter: lower && new != Some(0.0) || first_limit,
        }
    }
}

/// Usage of the customers on a plan that a difference is about.
struct UsedPlan<'a> {
    name: &'a str,
    usage: PlanUsage,
}

impl<'a> UsedPlan<'a> {
    fn of(difference: &Difference, snapshot: &'a IngressSnapshot) -> Option<UsedPlan<'a>> {
        let field = last_part(&difference.key);
        let entry = difference.key.strip_suffix(field)?;
        let name = snapshot.current.0.get(&format!("{entry}name"))?;
        let usage = *snapshot.usage.get(name)?;
        Some(UsedPlan { name, usage })
    }
}

fn last_part(key: &str) -> &str {
    key.rsplit('.').next().unwrap_or("")
}

/// What is dangerous about one difference at an ingress.
fn danger(difference: &Difference, snapshot: &IngressSnapshot) -> Option<Danger> {
    let change = NumberChange::of(difference);
    let used = UsedPlan::of(difference, snapshot);
    let description = used
        .and_then(|used| danger_to_usage(difference, &change, &used))
        .or_else(|| danger_of_number(difference, &change).map(String::from))
        .or_else(|| danger_of_text(difference))?;
    Some(Danger {
        key: difference.key.clone(),
        description,
    })
}

/// A limit that becomes stricter than what customers use at the moment.
fn danger_to_usage(
    difference: &Difference,
    change: &NumberChange,
    used: &UsedPlan,
) -> Option<String> {
    if !change.tighter {
        return None;
    }
    let UsedPlan { name, usage } = used;
    let PlanUsage {
        rate,
        open_attempts,
        ..
    } = usage;
    match last_part(&difference.key) {
        "quota_rate" if *rate > change.new => Some(format!(
            "a customer on {name} uses {rate:.1} units a second right now, more than the new quota: it is refused at once"
        )),
        "never_over_rate" if *rate > change.new || *open_attempts > 0 => Some(format!(
            "a ceiling is lowered while customers on {name} use up to {rate:.1} units a second, with up to {open_attempts} attempts out"
        )),
        "max_out" if f64::from(*open_attempts) > change.new => Some(format!(
            "a cap is lowered, and a customer on {name} has {open_attempts} attempts out right now"
        )),
        _ => None,
    }
}

/// A limit or a time that becomes stricter.
fn danger_of_number(difference: &Difference, change: &NumberChange) -> Option<&'static str> {
    match last_part(&difference.key) {
        "quota_rate" | "burst" if change.tighter => {
            Some("a quota is lowered: customers above it are refused")
        }
        "never_over_rate" | "ceiling_burst" if change.tighter => Some("a ceiling is lowered"),
        "max_out" if change.tighter => Some("a cap is lowered"),
        "give_up_us" | "objective_us" if change.lower => {
            Some("a time is shortened: what takes longer today will be late")
        }
        _ => None,
    }
}

/// A class, plan, account or other setting that changes or is removed.
fn danger_of_text(difference: &Difference) -> Option<String> {
    let key = difference.key.as_str();
    let removed = difference.new.is_none();
    let text = match last_part(key) {
        "effect" if difference.old.is_some() => {
            "what may be repeated changes: check that the nodes mean the same by it"
        }
        "name" if difference.new.as_deref() == Some("") => {
            let kind = if key.starts_with("grades") {
                "class"
            } else {
                "plan"
            };
            let name = difference.old.as_deref().unwrap_or("");
            return Some(format!("{kind} \"{name}\" goes: its requests are refused"));
        }
        _ if key.starts_with("accounts.") && removed => "an account goes: its requests are refused",
        _ if key.starts_with("identity.") && removed => {
            "who may call changes: its callers are refused"
        }
        "discovery" => "discovery moves: the list of nodes is taken from another place",
        "sends" => "the classes that may be sent change",
        _ => return None,
    };
    Some(text.into())
}
