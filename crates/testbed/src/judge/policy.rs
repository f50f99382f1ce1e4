//! The judge of policy: checks, from the answers to clients and the states that members report, that each change took
//! effect on all members or on none. It does no I/O and reads no clock.

use crate::scenario::Micros;
use std::collections::BTreeMap;

/// A change and its outcome.
#[derive(Clone, Debug)]
pub struct Change {
    /// Generation that the change was to create.
    pub generation: u64,
    /// Text in an answer that identifies the policy of this change.
    pub policy: String,
    /// Time at which the change was reported as made; `None` if it never was.
    pub made: Option<Micros>,
    /// Whether the change was reported as abandoned without effect.
    pub given_up: bool,
}

/// An answer that a client received.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Name of the ingress that answered.
    pub ingress: String,
    /// Time at which the request was sent; it was admitted later than that.
    pub sent: Micros,
    /// Policy under which the request was admitted; `None` if it was rejected.
    pub policy: Option<String>,
}

/// The generation that a member reported as enforced.
#[derive(Clone, Debug)]
pub struct ReportedGeneration {
    /// Name of the member.
    pub member: String,
    /// Number of the generation.
    pub generation: u64,
    /// Digest of the enforced state.
    pub enforces: String,
}

/// A violation of the policy rules.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PolicyViolation {
    /// Admitted under an old generation after a newer one was made and the bound had passed.
    Older {
        /// Name of the ingress that admitted the request.
        ingress: String,
        /// Time at which the request was sent.
        sent: Micros,
        /// Policy under which the request was admitted.
        policy: String,
        /// Generation that was in effect.
        made: u64,
    },
    /// Admitted under the policy of an abandoned change.
    GivenUp {
        /// Name of the ingress that admitted the request.
        ingress: String,
        /// Policy under which the request was admitted.
        policy: String,
    },
    /// Admitted under a policy that no change created.
    Unknown {
        /// Name of the ingress that admitted the request.
        ingress: String,
        /// Policy under which the request was admitted.
        policy: String,
    },
    /// Different states under one generation number.
    ConflictingStates {
        /// Number of the generation.
        generation: u64,
        /// Members and the digests that they report.
        reported: Vec<(String, String)>,
    },
}

/// Returns all violations. For `bound` microseconds after a change is made, the older generation may still admit
/// requests.
pub fn find_violations(
    changes: &[Change],
    bound: Micros,
    answers: &[Answer],
    reports: &[ReportedGeneration],
) -> Vec<PolicyViolation> {
    let mut violations = Vec::new();
    for answer in answers {
        let Some(policy) = &answer.policy else {
            continue;
        };
        let made = changes
            .iter()
            .rposition(|c| c.made.is_some_and(|at| at + bound < answer.sent));
        let from = made.unwrap_or(0);
        let mut matching = changes
            .iter()
            .enumerate()
            .filter(|(_, c)| c.policy == *policy)
            .peekable();
        let (ingress, policy) = (answer.ingress.clone(), policy.clone());
        if matching.peek().is_none() {
            violations.push(PolicyViolation::Unknown { ingress, policy });
        } else if matching.clone().all(|(_, c)| c.given_up) {
            violations.push(PolicyViolation::GivenUp { ingress, policy });
        } else if matching.all(|(n, c)| n < from || c.given_up) {
            let made = changes.get(from).map_or(0, |c| c.generation);
            violations.push(PolicyViolation::Older {
                ingress,
                sent: answer.sent,
                policy,
                made,
            });
        }
    }
    let mut numbers: BTreeMap<u64, BTreeMap<&str, &str>> = BTreeMap::new();
    for report in reports {
        numbers
            .entry(report.generation)
            .or_default()
            .insert(&report.enforces, &report.member);
    }
    for (generation, states) in numbers.into_iter().filter(|(_, states)| states.len() > 1) {
        let reported = states
            .into_iter()
            .map(|(digest, member)| (member.to_string(), digest.to_string()))
            .collect();
        violations.push(PolicyViolation::ConflictingStates {
            generation,
            reported,
        });
    }
    violations
}

#[cfg(test)]
mod tests {
    use super::{find_violations, Answer, Change, Micros, PolicyViolation, ReportedGeneration};

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
    fn answers_under_current_policies_and_rejections_are_no_violations() {
        let rejected = Answer {
            policy: None,
            ..answer("d0", 9_000, "")
        };
        let answers = [
            answer("d0", 10, "p0"),
            answer("d1", 1_040, "p0"), // within the bound
            answer("d0", 900, "p1"),   // before the change is reported as made
            answer("d1", 4_000, "p1"),
            answer("d1", 6_000, "p3"),
            rejected,
        ];
        assert_eq!(find_violations(&changes(), 50, &answers, &[]), []);
    }

    /// A member that serves past its lease or prefers its local files is found by the policy of its answers; a member
    /// that forgets a prepared vote is found by two states under one generation.
    #[test]
    fn stale_abandoned_unknown_and_conflicting_policies_are_found() {
        let past = [
            answer("d2", 1_051, "p0"),
            answer("d2", 7_000, "p1"),
            answer("d2", 7_000, "p0"),
        ];
        let older = |sent, policy: &str, made| PolicyViolation::Older {
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
        assert_eq!(find_violations(&changes(), 50, &past, &[]), wanted);
        let dropped = find_violations(
            &changes(),
            50,
            &[answer("d1", 3_000, "p2"), answer("d1", 3_000, "p9")],
            &[],
        );
        let (ingress, [given_up, unknown]) = ("d1".to_string(), ["p2", "p9"].map(String::from));
        let wanted = [
            PolicyViolation::GivenUp {
                ingress: ingress.clone(),
                policy: given_up,
            },
            PolicyViolation::Unknown {
                ingress,
                policy: unknown,
            },
        ];
        assert_eq!(dropped, wanted);
        let said = |member: &str, generation, enforces: &str| ReportedGeneration {
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
        let found = find_violations(&changes(), 50, &[], &all);
        assert!(
            matches!(&found[..], [PolicyViolation::ConflictingStates { generation: 3, reported }] if reported.len() == 2),
            "{found:?}"
        );
    }
}
