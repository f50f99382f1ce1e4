//! A plan: a change that was seen before it happens. It is bound to the generation that each ingress had when it was
//! made, says what would differ, and carries the whole of what is wanted, under a checksum.

use crate::state::{differences, Difference, Digest, Generation, State};
use serde::{Deserialize, Serialize};

/// The only version of the form so far.
pub const VERSION: u32 = 1;

/// An ingress that a plan is for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// Its name.
    pub ingress: String,
    /// What it enforced when the plan was made.
    pub base: Generation,
    /// What would differ there.
    pub differences: Vec<Difference>,
    /// What it is to enforce.
    pub wanted: State,
}

/// What is dangerous about a change, in plain words.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Danger {
    /// The key that it comes from.
    pub key: String,
    /// The words.
    pub what: String,
}

/// A change over some ingresses.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    /// The form's version.
    pub version: u32,
    /// Who made it.
    pub author: String,
    /// When, in seconds of Unix time, and for how many seconds it may be applied.
    pub made_at: u64,
    /// See `made_at`.
    pub good_for: u64,
    /// The number of the generation that it makes.
    pub generation: u64,
    /// The ingresses, by name.
    pub targets: Vec<Target>,
    /// What is dangerous about it.
    pub dangers: Vec<Danger>,
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
                write!(f, "the plan's form is version {v}, and this program knows {VERSION}")
            }
            PlanError::Altered => write!(f, "the plan was altered since it was written: make it anew"),
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

impl Plan {
    /// Makes a plan from what each ingress enforces and what each is to enforce; none where nothing would differ.
    pub fn make(
        (author, made_at, good_for): (&str, u64, u64),
        ingresses: Vec<(String, Generation, State, State)>,
    ) -> Option<Plan> {
        let generation = ingresses.iter().map(|i| i.1.number).max().unwrap_or(0) + 1;
        let mut dangers: Vec<Danger> = Vec::new();
        let targets: Vec<Target> = ingresses
            .into_iter()
            .map(|(ingress, base, has, wanted)| {
                let differences = differences(&has, &wanted);
                for danger in differences.iter().filter_map(danger) {
                    if !dangers.contains(&danger) {
                        dangers.push(danger);
                    }
                }
                Target { ingress, base, differences, wanted }
            })
            .collect();
        let any = targets.iter().any(|t| !t.differences.is_empty());
        let version = VERSION;
        any.then(|| Plan { version, author: author.into(), made_at, good_for, generation, targets, dangers })
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
    pub fn write(&self) -> String {
        let plan = self.text();
        let file = File { version: VERSION, checksum: Digest::of(plan.as_bytes()), plan };
        let mut text = serde_json::to_string(&file).unwrap_or_default();
        text.push('\n');
        text
    }

    /// Reads a file's text.
    ///
    /// # Errors
    ///
    /// Where it is no plan, of another version, or altered.
    pub fn read(text: &str) -> Result<Plan, PlanError> {
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

    /// Whether it may still be applied.
    ///
    /// # Errors
    ///
    /// Where its time is over.
    pub fn still_good(&self, now: u64) -> Result<(), PlanError> {
        let age = now.saturating_sub(self.made_at);
        if age > self.good_for {
            return Err(PlanError::Old(age, self.good_for));
        }
        Ok(())
    }
}

/// What is dangerous about one difference.
fn danger(d: &Difference) -> Option<Danger> {
    let number = |v: &Option<String>| v.as_ref().and_then(|v| v.parse::<f64>().ok());
    let lower = matches!((number(&d.old), number(&d.new)), (Some(old), Some(new)) if new < old);
    let last = d.key.rsplit('.').next().unwrap_or("");
    let what = match last {
        "quota_rate" | "burst" if lower => {
            "a quota is lowered: customers that use it now are refused at once"
        }
        "never_over_rate" | "ceiling_burst" if lower => "a ceiling is lowered under what may be out now",
        "max_out" if lower => "a cap is lowered under what may be out now",
        "give_up_us" | "objective_us" if lower => {
            "a time is shortened: work that is under way may be late at once"
        }
        _ if d.key.starts_with("accounts.") && d.new.is_none() => "an account goes: its requests are refused",
        _ if d.key == "discovery" => "discovery moves: the list of backends is taken from another place",
        _ => return None,
    };
    Some(Danger { key: d.key.clone(), what: what.into() })
}

#[cfg(test)]
mod tests {
    use super::*;

    fn state(pairs: &[(&str, &str)]) -> State {
        State(pairs.iter().map(|(k, v)| (k.to_string(), v.to_string())).collect())
    }

    fn plan() -> Plan {
        let has = state(&[("contracts.0.quota_rate", "8"), ("accounts.7", "business")]);
        let wanted = state(&[("contracts.0.quota_rate", "4")]);
        let of = |name: &str, number| {
            let base = Generation { number, digest: has.digest() };
            (name.to_string(), base, has.clone(), wanted.clone())
        };
        Plan::make(("ann", 1_000, 600), vec![of("n0", 4), of("n1", 6)]).unwrap()
    }

    #[test]
    fn a_plan_says_what_differs_and_what_is_dangerous() {
        let p = plan();
        assert_eq!((p.generation, p.targets.len(), p.targets[1].differences.len()), (7, 2, 2));
        let words: Vec<&str> = p.dangers.iter().map(|d| d.what.split(':').next().unwrap()).collect();
        assert_eq!(words, ["an account goes", "a quota is lowered"], "each once, not once an ingress");
        let same = state(&[("a", "1")]);
        let base = Generation { number: 1, digest: same.digest() };
        assert_eq!(Plan::make(("ann", 0, 1), vec![("n0".into(), base, same.clone(), same)]), None);
    }

    #[test]
    fn a_file_that_was_altered_is_of_another_version_or_is_old_is_refused() {
        let text = plan().write();
        assert_eq!(Plan::read(&text).unwrap(), plan());
        assert_eq!(Plan::read(&text).unwrap().id(), plan().id());
        for (from, to) in [("\\\"new\\\":\\\"4\\\"", "\\\"new\\\":\\\"9\\\""), ("ann", "bob"), ("n1", "n2")] {
            assert!(text.contains(from), "{from} in {text}");
            assert_eq!(Plan::read(&text.replace(from, to)), Err(PlanError::Altered));
        }
        let newer = text.replacen("\"version\":1", "\"version\":2", 1);
        assert_eq!(Plan::read(&newer), Err(PlanError::Version(2)));
        for cut in 0..text.len() - 1 {
            if text.is_char_boundary(cut) {
                assert!(Plan::read(&text[..cut]).is_err(), "cut at {cut}");
            }
        }
        assert_eq!(plan().still_good(1_600), Ok(()));
        assert_eq!(plan().still_good(1_601), Err(PlanError::Old(601, 600)));
    }
}
