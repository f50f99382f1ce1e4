//! The judge of policy: decides from what clients were answered, and from what members say, whether a change held everywhere
//! or nowhere. No I/O and no clock.

use crate::scenario::Micros;
use std::collections::BTreeMap;

/// What became of a change, in the order of the changes.
#[derive(Clone, Debug)]
pub struct Change {
    /// The number of the generation that it was to make.
    pub generation: u64,
    /// What tells its policy from others in an answer.
    pub policy: String,
    /// When it counted as made; none where that was never said.
    pub made: Option<Micros>,
    /// Whether it was said that nothing had happened.
    pub given_up: bool,
}

/// An answer that a client got.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Whose.
    pub ingress: String,
    /// When the request was sent: it was let in after that.
    pub sent: Micros,
    /// The policy under which it was let in; none where it was turned away.
    pub policy: Option<String>,
}

/// What a member said that it enforces.
#[derive(Clone, Debug)]
pub struct Said {
    /// Which member.
    pub member: String,
    /// The number.
    pub generation: u64,
    /// What it is, whole: the digest of it.
    pub enforces: String,
}

/// What must not be.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Wrong {
    /// Let in under an older generation, though a newer one was made and the bound had passed.
    Older {
        /// By whom.
        ingress: String,
        /// Sent when.
        sent: Micros,
        /// Under what.
        policy: String,
        /// What was made by then.
        made: u64,
    },
    /// Let in under one that was given up.
    GivenUp {
        /// By whom.
        ingress: String,
        /// Under what.
        policy: String,
    },
    /// Let in under one that nobody ever asked for.
    Unknown {
        /// By whom.
        ingress: String,
        /// Under what.
        policy: String,
    },
    /// Two generations under one number.
    TwoUnderOne {
        /// The number.
        generation: u64,
        /// Who says what.
        said: Vec<(String, String)>,
    },
}

/// Decides. `bound` is how long after a change counted as made an older generation may still let requests in.
pub fn judge(changes: &[Change], bound: Micros, answers: &[Answer], said: &[Said]) -> Vec<Wrong> {
    let mut wrong = Vec::new();
    for answer in answers {
        let Some(policy) = &answer.policy else {
            continue;
        };
        let made = changes
            .iter()
            .rposition(|c| c.made.is_some_and(|at| at + bound < answer.sent));
        let from = made.unwrap_or(0);
        let mut of = changes
            .iter()
            .enumerate()
            .filter(|(_, c)| c.policy == *policy)
            .peekable();
        let (ingress, policy) = (answer.ingress.clone(), policy.clone());
        if of.peek().is_none() {
            wrong.push(Wrong::Unknown { ingress, policy });
        } else if of.clone().all(|(_, c)| c.given_up) {
            wrong.push(Wrong::GivenUp { ingress, policy });
        } else if of.all(|(n, c)| n < from || c.given_up) {
            let made = changes.get(from).map_or(0, |c| c.generation);
            wrong.push(Wrong::Older {
                ingress,
                sent: answer.sent,
                policy,
                made,
            });
        }
    }
    let mut numbers: BTreeMap<u64, BTreeMap<&str, &str>> = BTreeMap::new();
    for one in said {
        numbers
            .entry(one.generation)
            .or_default()
            .insert(&one.enforces, &one.member);
    }
    for (generation, said) in numbers.into_iter().filter(|(_, said)| said.len() > 1) {
        let said = said
            .into_iter()
            .map(|(what, who)| (who.to_string(), what.to_string()))
            .collect();
        wrong.push(Wrong::TwoUnderOne { generation, said });
    }
    wrong
}

#[cfg(test)]
mod tests {
    use super::{judge, Answer, Change, Micros, Said, Wrong};

    fn changes() -> Vec<Change> {
        let of = |generation, policy: &str, made, given_up| Change {
            generation,
            policy: policy.into(),
            made,
            given_up,
        };
        vec![
            of(1, "p0", Some(0), false),
            of(2, "p1", Some(1_000), false),
            of(3, "p2", None, true),
            of(3, "p3", Some(5_000), false),
        ]
    }

    fn answer(ingress: &str, sent: Micros, policy: &str) -> Answer {
        Answer {
            ingress: ingress.into(),
            sent,
            policy: Some(policy.into()),
        }
    }

    #[test]
    fn what_held_everywhere_is_right_and_what_was_turned_away_is_nobodys() {
        let turned = Answer {
            policy: None,
            ..answer("d0", 9_000, "")
        };
        let answers = [
            answer("d0", 10, "p0"),
            answer("d1", 1_040, "p0"), // within the bound
            answer("d0", 900, "p1"),   // before all is told
            answer("d1", 4_000, "p1"),
            answer("d1", 6_000, "p3"),
            turned,
        ];
        assert_eq!(judge(&changes(), 50, &answers, &[]), []);
    }

    /// A member that serves past its lease, or lets its folder win, is found by what it lets in; one that forgets a promise
    /// by a number that stands for two things.
    #[test]
    fn a_wrong_member_is_found() {
        let past = [
            answer("d2", 1_051, "p0"),
            answer("d2", 7_000, "p1"),
            answer("d2", 7_000, "p0"),
        ];
        let older = |sent, policy: &str, made| Wrong::Older {
            ingress: "d2".into(),
            sent,
            policy: policy.into(),
            made,
        };
        let wanted = [
            older(1_051, "p0", 2),
            older(7_000, "p1", 3),
            older(7_000, "p0", 3),
        ];
        assert_eq!(judge(&changes(), 50, &past, &[]), wanted);
        let dropped = judge(
            &changes(),
            50,
            &[answer("d1", 3_000, "p2"), answer("d1", 3_000, "p9")],
            &[],
        );
        let (ingress, [given_up, unknown]) = ("d1".to_string(), ["p2", "p9"].map(String::from));
        let wanted = [
            Wrong::GivenUp {
                ingress: ingress.clone(),
                policy: given_up,
            },
            Wrong::Unknown {
                ingress,
                policy: unknown,
            },
        ];
        assert_eq!(dropped, wanted);
        let said = |member: &str, generation, enforces: &str| Said {
            member: member.into(),
            generation,
            enforces: enforces.into(),
        };
        let all = [
            said("d0", 2, "x"),
            said("d1", 2, "x"),
            said("d2", 3, "y"),
            said("d0", 3, "z"),
        ];
        let found = judge(&changes(), 50, &[], &all);
        assert!(
            matches!(&found[..], [Wrong::TwoUnderOne { generation: 3, said }] if said.len() == 2),
            "{found:?}"
        );
    }
}
