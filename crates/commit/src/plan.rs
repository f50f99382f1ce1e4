//! A plan: a change that was seen before it happens. It is bound to the generation that each ingress had when it was
//! made, says what would differ, and carries the whole of what is wanted, under a checksum.

use crate::metrics::PlanUsage;
use crate::state::{differences, Difference, Digest, Generation, State};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::Arc;

/// The only version of the form so far.
pub const VERSION: u32 = 1;

/// An ingress that a plan is for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// Its name.
    pub ingress: String,
    /// Its control socket.
    pub control: String,
    /// What it enforced when the plan was made.
    pub base: Generation,
    /// What would differ there: a place in [`Plan::differences`].
    pub differences: usize,
    /// What it is to enforce: one of [`Plan::states`].
    pub wanted: Digest,
}

/// What is dangerous about a change, in plain words.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Danger {
    /// The key that it comes from.
    pub key: String,
    /// The words.
    #[serde(rename = "what")]
    pub description: String,
}

/// A change over some ingresses.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    /// The form's version.
    pub version: u32,
    /// Who made it.
    pub author: String,
    /// When, in microseconds of Unix time: two plans of the same change are two. And for how many seconds it may be applied.
    pub made_at: u64,
    /// See `made_at`.
    #[serde(rename = "good_for")]
    pub valid_for: u64,
    /// The number of the generation that it makes.
    pub generation: u64,
    /// The ingresses, by name.
    pub targets: Vec<Target>,
    /// What is to be enforced, by digest: the sidecars of an application share one.
    pub states: BTreeMap<Digest, Arc<State>>,
    /// What would differ, for ingresses that have the same before and after.
    pub differences: Vec<Vec<Difference>>,
    /// What is dangerous about it.
    pub dangers: Vec<Danger>,
    /// Groups that decide by a majority: the control sockets of all their members by name, witnesses among them.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub groups: Vec<BTreeMap<String, String>>,
}

/// Why a plan can't be applied, or read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlanError {
    /// It is no plan.
    Form(String),
    /// Its form is of another version.
    Version(u32),
    /// It was altered since it was written.
    Altered,
    /// It was made so many seconds ago, and good for that many.
    Old(u64, u64),
}

impl std::fmt::Display for PlanError {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        match self {
            PlanError::Form(why) => write!(f, "this is no plan: {why}"),
            PlanError::Version(v) => {
                write!(
                    f,
                    "the plan's form is version {v}, and this program knows {VERSION}"
                )
            }
            PlanError::Altered => {
                write!(f, "the plan was altered since it was written: make it anew")
            }
            PlanError::Old(age, good) => {
                write!(
                    f,
                    "the plan is {age} s old, and was good for {good} s: make it anew and look at it again"
                )
            }
        }
    }
}

impl std::error::Error for PlanError {}

/// A file's outer form: the plan as text, and the digest of that text.
#[derive(Serialize, Deserialize)]
struct File {
    version: u32,
    checksum: Digest,
    plan: String,
}

/// An ingress that a plan is made for.
#[derive(Clone, Debug)]
pub struct IngressSnapshot {
    /// Its name.
    pub ingress: String,
    /// Its control socket.
    pub control: String,
    /// What it enforces.
    pub base: Generation,
    /// All of it.
    pub current: Arc<State>,
    /// What it is to enforce.
    pub wanted: Arc<State>,
    /// What is used there, by the name of the plan.
    pub usage: BTreeMap<String, PlanUsage>,
    /// What is dangerous besides, found by those who know what the state means.
    pub extra_dangers: Vec<Danger>,
}

impl Plan {
    /// Makes a plan from what each ingress enforces and what each is to enforce; none where nothing would differ.
    pub fn make(
        (author, made_at, good_for): (&str, u64, u64),
        ingresses: Vec<IngressSnapshot>,
    ) -> Option<Plan> {
        let generation = ingresses.iter().map(|i| i.base.number).max().unwrap_or(0) + 1;
        let mut dangers: Vec<Danger> = Vec::new();
        let (mut states, mut lists) = (BTreeMap::new(), Vec::new());
        let mut known: BTreeMap<(Digest, Digest), usize> = BTreeMap::new();
        let mut hashed: Vec<(Arc<State>, Digest)> = Vec::new();
        let targets = ingresses.into_iter().map(|seen| {
            // The sidecars of an application share one: it is hashed once.
            let same = hashed
                .iter()
                .find(|(state, _)| Arc::ptr_eq(state, &seen.wanted))
                .map(|h| h.1.clone());
            let wanted = same.unwrap_or_else(|| {
                let digest = seen.wanted.digest();
                hashed.push((seen.wanted.clone(), digest.clone()));
                digest
            });
            let list = *known
                .entry((seen.base.digest.clone(), wanted.clone()))
                .or_insert_with(|| {
                    lists.push(differences(&seen.current, &seen.wanted));
                    lists.len() - 1
                });
            let besides = seen.extra_dangers.iter().cloned();
            for danger in lists[list]
                .iter()
                .filter_map(|d| danger(d, &seen))
                .chain(besides)
            {
                if !dangers.contains(&danger) {
                    dangers.push(danger);
                }
            }
            let IngressSnapshot {
                ingress,
                control,
                base,
                ..
            } = seen;
            states.entry(wanted.clone()).or_insert(seen.wanted);
            Target {
                ingress,
                control,
                base,
                differences: list,
                wanted,
            }
        });
        let targets: Vec<Target> = targets.collect();
        let (version, differences, author) = (VERSION, lists, author.to_string());
        let any = differences.iter().any(|list| !list.is_empty());
        let groups = Vec::new();
        let plan = Plan {
            version,
            author,
            made_at,
            valid_for: good_for,
            generation,
            targets,
            states,
            differences,
            dangers,
            groups,
        };
        any.then_some(plan)
    }

    /// The same for some of its ingresses alone: another plan, with an identity of its own.
    pub fn restricted_to(&self, keep: impl Fn(&Target) -> bool) -> Plan {
        let mut plan = self.clone();
        plan.targets.retain(keep);
        plan.states
            .retain(|digest, _| plan.targets.iter().any(|t| t.wanted == *digest));
        plan.groups.retain(|members| {
            plan.targets
                .iter()
                .any(|t| members.contains_key(&t.ingress))
        });
        plan
    }

    /// The plan's identity: two plans have one only if they are the same.
    pub fn id(&self) -> Digest {
        Digest::of(self.text().as_bytes())
    }

    fn text(&self) -> String {
        // Maps are ordered and all is plain: the text of a plan is always the same.
        serde_json::to_string(self).unwrap_or_default()
    }

    /// The file's text.
    pub fn to_file_text(&self) -> String {
        let plan = self.text();
        let file = File {
            version: VERSION,
            checksum: Digest::of(plan.as_bytes()),
            plan,
        };
        let mut text = serde_json::to_string(&file).unwrap_or_default();
        text.push('\n');
        text
    }

    /// Reads a file's text.
    ///
    /// # Errors
    ///
    /// Where it is no plan, of another version, or altered.
    pub fn from_file_text(text: &str) -> Result<Plan, PlanError> {
        let form = |e: serde_json::Error| PlanError::Form(e.to_string());
        let file: File = serde_json::from_str(text).map_err(form)?;
        if file.version != VERSION {
            return Err(PlanError::Version(file.version));
        }
        if Digest::of(file.plan.as_bytes()) != file.checksum {
            return Err(PlanError::Altered);
        }
        serde_json::from_str(&file.plan).map_err(form)
    }

    /// Whether it may still be applied, at a time in microseconds.
    ///
    /// # Errors
    ///
    /// Where its time is over.
    pub fn check_validity(&self, now: u64) -> Result<(), PlanError> {
        let age = now.saturating_sub(self.made_at) / 1_000_000;
        if age > self.valid_for {
            return Err(PlanError::Old(age, self.valid_for));
        }
        Ok(())
    }
}

/// What is dangerous about one difference at an ingress.
fn danger(d: &Difference, seen: &IngressSnapshot) -> Option<Danger> {
    let number = |v: &Option<String>| v.as_ref().and_then(|v| v.parse::<f64>().ok());
    let (old, new) = (number(&d.old), number(&d.new));
    let lower = matches!((old, new), (Some(old), Some(new)) if new < old);
    // Nought is none: a limit that was not there before.
    let first = matches!((old, new), (Some(0.0), Some(new)) if new > 0.0);
    let last = d.key.rsplit('.').next().unwrap_or("");
    let used = d.key.strip_suffix(last).and_then(|list| {
        let name = seen.current.0.get(&format!("{list}name"))?;
        seen.usage.get(name).map(|u| (name.as_str(), *u))
    });
    let tightens = (lower && new != Some(0.0)) || first;
    let what = match (last, used) {
        ("quota_rate", Some((name, u))) if tightens && u.rate > new.unwrap_or(0.0) => format!(
            "a customer on {name} uses {:.1} units a second right now, more than the new quota: it is refused at once",
            u.rate
        ),
        ("never_over_rate", Some((name, u))) if tightens && (u.rate > new.unwrap_or(0.0) || u.open_attempts > 0) => format!(
            "a ceiling is lowered while customers on {name} use up to {:.1} units a second, with up to {} attempts out",
            u.rate, u.open_attempts
        ),
        ("max_out", Some((name, u))) if tightens && f64::from(u.open_attempts) > new.unwrap_or(0.0) => {
            format!("a cap is lowered, and a customer on {name} has {} attempts out right now", u.open_attempts)
        }
        ("quota_rate" | "burst", _) if tightens => "a quota is lowered: customers above it are refused".into(),
        ("never_over_rate" | "ceiling_burst", _) if tightens => "a ceiling is lowered".into(),
        ("max_out", _) if tightens => "a cap is lowered".into(),
        ("give_up_us" | "objective_us", _) if lower => {
            "a time is shortened: what takes longer today will be late".into()
        }
        ("effect", _) if d.old.is_some() => {
            "what may be repeated changes: check that the nodes mean the same by it".into()
        }
        ("name", _) if d.new.as_deref() == Some("") => {
            let of = if d.key.starts_with("grades") { "class" } else { "plan" };
            format!("{of} \"{}\" goes: its requests are refused", d.old.as_deref().unwrap_or(""))
        }
        _ if d.key.starts_with("accounts.") && d.new.is_none() => "an account goes: its requests are refused".into(),
        _ if d.key.starts_with("identity.") && d.new.is_none() => "who may call changes: its callers are refused".into(),
        ("discovery", _) => "discovery moves: the list of nodes is taken from another place".into(),
        ("sends", _) => "the classes that may be sent change".into(),
        _ => return None,
    };
    Some(Danger {
        key: d.key.clone(),
        description: what,
    })
}

#[cfg(test)]
mod tests {
    use super::{Arc, BTreeMap, Generation, IngressSnapshot, Plan, PlanError, PlanUsage, State};

    fn state(pairs: &[(&str, &str)]) -> State {
        State(
            pairs
                .iter()
                .map(|(k, v)| (k.to_string(), v.to_string()))
                .collect(),
        )
    }

    fn plan() -> Plan {
        let has = state(&[
            ("contracts.0.name", "starter"),
            ("contracts.0.quota_rate", "8"),
            ("accounts.7", "business"),
        ]);
        let wanted = state(&[
            ("contracts.0.name", "starter"),
            ("contracts.0.quota_rate", "4"),
        ]);
        let of = |name: &str, number| {
            let base = Generation {
                number,
                digest: has.digest(),
            };
            let used = [(
                "starter".to_string(),
                PlanUsage {
                    customers: 1,
                    rate: 6.5,
                    open_attempts: 2,
                },
            )]
            .into();
            let (has, wanted, control) = (
                Arc::new(has.clone()),
                Arc::new(wanted.clone()),
                format!("/run/{name}"),
            );
            IngressSnapshot {
                ingress: name.into(),
                control,
                base,
                current: has,
                wanted,
                usage: used,
                extra_dangers: Vec::new(),
            }
        };
        Plan::make(("ann", 1_000, 600), vec![of("n0", 4), of("n1", 6)]).unwrap()
    }

    #[test]
    fn a_plan_says_what_differs_and_what_is_dangerous() {
        let p = plan();
        assert_eq!(
            (
                p.generation,
                p.targets.len(),
                p.differences[p.targets[1].differences].len()
            ),
            (7, 2, 2)
        );
        assert_eq!(
            (p.states.len(), p.differences.len()),
            (1, 1),
            "two ingresses that are alike share both"
        );
        let words: Vec<&str> = p
            .dangers
            .iter()
            .map(|d| d.description.split(':').next().unwrap())
            .collect();
        let uses =
            "a customer on starter uses 6.5 units a second right now, more than the new quota";
        assert_eq!(
            words,
            ["an account goes", uses],
            "each once, not once an ingress"
        );
        let same = state(&[("a", "1")]);
        let base = Generation {
            number: 1,
            digest: same.digest(),
        };
        let seen = IngressSnapshot {
            ingress: "n0".into(),
            control: "/run/n0".into(),
            base,
            current: Arc::new(same.clone()),
            wanted: Arc::new(same),
            usage: BTreeMap::new(),
            extra_dangers: Vec::new(),
        };
        assert_eq!(Plan::make(("ann", 0, 1), vec![seen]), None);
    }

    /// Guards against a limit that was not there before and passes for harmless, and a part that has the whole's name.
    #[test]
    fn a_first_limit_is_a_danger_and_a_part_is_another_plan() {
        let base = state(&[
            ("contracts.0.name", "starter"),
            ("contracts.0.max_out", "0"),
        ]);
        let seen = IngressSnapshot {
            ingress: "n0".into(),
            control: "/run/n0".into(),
            base: Generation {
                number: 1,
                digest: base.digest(),
            },
            current: Arc::new(base.clone()),
            wanted: Arc::new(state(&[
                ("contracts.0.name", "starter"),
                ("contracts.0.max_out", "2"),
            ])),
            usage: [(
                "starter".to_string(),
                PlanUsage {
                    customers: 1,
                    rate: 1.0,
                    open_attempts: 5,
                },
            )]
            .into(),
            extra_dangers: Vec::new(),
        };
        let p = Plan::make(("ann", 0, 1), vec![seen]).unwrap();
        assert!(
            p.dangers[0].description.contains("5 attempts out"),
            "{:?}",
            p.dangers
        );
        let part = plan().restricted_to(|t| t.ingress == "n1");
        assert!(part.id() != plan().id() && part.targets.len() == 1 && part.states.len() == 1);
    }

    #[test]
    fn a_file_that_was_altered_is_of_another_version_or_is_old_is_refused() {
        let text = plan().to_file_text();
        assert_eq!(Plan::from_file_text(&text).unwrap(), plan());
        assert_eq!(Plan::from_file_text(&text).unwrap().id(), plan().id());
        for (from, to) in [
            ("\\\"new\\\":\\\"4\\\"", "\\\"new\\\":\\\"9\\\""),
            ("ann", "bob"),
            ("n1", "n2"),
        ] {
            assert!(text.contains(from), "{from} in {text}");
            assert_eq!(
                Plan::from_file_text(&text.replace(from, to)),
                Err(PlanError::Altered)
            );
        }
        let newer = text.replacen("\"version\":1", "\"version\":2", 1);
        assert_eq!(Plan::from_file_text(&newer), Err(PlanError::Version(2)));
        for cut in 0..text.len() - 1 {
            if text.is_char_boundary(cut) {
                assert!(Plan::from_file_text(&text[..cut]).is_err(), "cut at {cut}");
            }
        }
        assert_eq!(plan().check_validity(600_001_000), Ok(()));
        assert_eq!(
            plan().check_validity(601_001_000),
            Err(PlanError::Old(601, 600))
        );
    }
}
