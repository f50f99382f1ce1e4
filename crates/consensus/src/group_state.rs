//! What stands in a group.

use crate::membership::{Member, MemberRole, Membership};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::Arc;
use wrenfork_commit::state::{Digest, Generation, State};
use wrenfork_rollout::{check_transition, Rollout, Version};

/// The number of the form of what a group decides. 2 has rollouts, which a member that knows 1 alone refuses.
pub const VERSION: u32 = 2;

/// What each member is to enforce: what is the same for all once, and what is a member's own.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Policy {
    /// What all have.
    #[serde(rename = "common")]
    pub shared: State,
    /// What a member has besides, by its name.
    #[serde(rename = "own")]
    pub per_member: BTreeMap<String, State>,
}

impl Policy {
    /// Of what each member is to enforce.
    pub fn from_states(states: &BTreeMap<String, Arc<State>>) -> Policy {
        let mut all = states.values();
        let mut common = all.next().map_or_else(State::default, |s| State::clone(s));
        for one in all {
            common.0.retain(|key, value| one.0.get(key) == Some(value));
        }
        let rest = |s: &State| {
            let own = s.0.iter().filter(|(key, _)| !common.0.contains_key(*key));
            State(own.map(|(k, v)| (k.clone(), v.clone())).collect())
        };
        let own = states
            .iter()
            .map(|(name, s)| (name.clone(), rest(s)))
            .collect();
        Policy {
            shared: common,
            per_member: own,
        }
    }

    /// What a member is to enforce; none where nothing is said of it.
    pub fn state_for(&self, name: &str) -> Option<State> {
        let own = self.per_member.get(name)?;
        let mut state = self.shared.clone();
        state
            .0
            .extend(own.0.iter().map(|(k, v)| (k.clone(), v.clone())));
        Some(state)
    }

    /// Over all of it.
    pub fn digest(&self) -> Digest {
        let mut text = self.shared.canonical();
        for (name, own) in &self.per_member {
            text.push_str(&format!("\n{} {name}\n", name.len()));
            text.push_str(&own.canonical());
        }
        Digest::of(text.as_bytes())
    }
}

/// One decision: who belongs to the group from now on, and what they enforce. It says all, so that whoever missed any number
/// of them needs the last one alone. Two are the same if their digests are.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct GroupState {
    /// Its number; the first is 1.
    #[serde(rename = "number")]
    pub version: u64,
    /// The generation that is enforced under it.
    pub generation: u64,
    /// The change that it makes: a plan's identity; empty where it changes no policy.
    pub change: Digest,
    /// Who made it.
    pub author: String,
    /// Who belongs to the group.
    #[serde(rename = "roster")]
    pub membership: Membership,
    /// What they enforce.
    pub policy: Arc<Policy>,
    /// The digest of that.
    #[serde(rename = "enforced")]
    pub policy_digest: Digest,
    /// The rollout that it is a step of, or that was the last one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rollout: Option<Arc<Rollout>>,
    /// What tells this decree from every other: the digest of all before.
    pub digest: Digest,
}

impl PartialEq for GroupState {
    fn eq(&self, other: &GroupState) -> bool {
        self.digest == other.digest
    }
}

impl Eq for GroupState {}

impl std::hash::Hash for GroupState {
    fn hash<H: std::hash::Hasher>(&self, state: &mut H) {
        self.digest.hash(state);
    }
}

impl GroupState {
    /// A decree over a policy.
    pub fn new(
        number: u64,
        generation: u64,
        change: Digest,
        author: &str,
        roster: Membership,
        policy: Policy,
    ) -> GroupState {
        let (author, policy, enforced) = (author.into(), Arc::new(policy), Digest::default());
        let (rollout, digest) = (None, Digest::default());
        GroupState {
            version: number,
            generation,
            change,
            author,
            membership: roster,
            policy,
            policy_digest: enforced,
            rollout,
            digest,
        }
        .sealed()
    }

    /// With its digests.
    fn sealed(mut self) -> GroupState {
        self.policy_digest = self.policy.digest();
        self.digest = self.own_digest();
        self
    }

    fn own_digest(&self) -> Digest {
        let GroupState {
            version,
            generation,
            change,
            author,
            membership,
            policy: _,
            policy_digest,
            rollout,
            digest: _,
        } = self;
        let membership = membership_digest_text(membership);
        let mut text =
            format!("{version} {generation} {change:?} {author:?} {membership} {policy_digest:?}");
        // A member of a version without rollouts computes another digest and rejects the state.
        if let Some(rollout) = rollout {
            text.push_str(&format!(" {rollout:?}"));
        }
        Digest::of(text.as_bytes())
    }

    /// The next decree, that changes nothing: it ends what was left undecided.
    pub fn unchanged_successor(&self) -> GroupState {
        let (number, change) = (self.version + 1, Digest::default());
        GroupState {
            version: number,
            change,
            author: String::new(),
            ..self.clone()
        }
        .sealed()
    }

    /// The next decree, with another roster, and what members that are new enforce; all others go on with what they have.
    pub fn with_membership(
        &self,
        author: &str,
        roster: Membership,
        new: BTreeMap<String, Arc<State>>,
    ) -> GroupState {
        let stays = |name: &&String| roster.member(name).is_some() && !new.contains_key(*name);
        let stay = self.policy.per_member.keys().filter(stays);
        let stay =
            stay.filter_map(|name| Some((name.clone(), Arc::new(self.policy.state_for(name)?))));
        let policy = match new.is_empty() {
            // Nobody's part has to be found out anew.
            true => {
                let mut policy = Policy::clone(&self.policy);
                policy
                    .per_member
                    .retain(|name, _| roster.member(name).is_some());
                policy
            }
            false => Policy::from_states(&stay.chain(new.clone()).collect()),
        };
        let (number, change, policy) = (self.version + 1, Digest::default(), Arc::new(policy));
        GroupState {
            version: number,
            change,
            author: author.into(),
            membership: roster,
            policy,
            ..self.clone()
        }
        .sealed()
    }

    /// The next decree, that a rollout begins with or goes on by: each member enforces the side that its stage has.
    ///
    /// # Errors
    ///
    /// Where a member enforces neither.
    pub fn with_rollout(&self, author: &str, record: Rollout) -> Result<GroupState, String> {
        let new = record.updated_members();
        // Most members enforce the same before and after: each such state is made once.
        type Same<'a> = (&'a State, Option<&'a usize>, bool);
        let mut made: Vec<(Same, Arc<State>)> = Vec::new();
        let mut states = BTreeMap::new();
        for (name, own) in &self.policy.per_member {
            let same = (own, record.change_of.get(name), new.contains(name.as_str()));
            let known = made.iter().find(|m| m.0 == same).map(|m| m.1.clone());
            let state = match known {
                Some(state) => state,
                None => {
                    let now = self.policy.state_for(name).unwrap_or_default();
                    let version = if same.2 { Version::New } else { Version::Old };
                    let state = record
                        .member_state(name, &now, version)
                        .map_err(|error| error.to_string())?;
                    let state = Arc::new(state);
                    made.push((same, state.clone()));
                    state
                }
            };
            states.insert(name.clone(), state);
        }
        let policy = Policy::from_states(&states);
        let generation = self.generation + u64::from(policy.digest() != self.policy_digest);
        let (number, change, policy) = (self.version + 1, record.id.clone(), Arc::new(policy));
        let (author, rollout) = (author.into(), Some(Arc::new(record)));
        Ok(GroupState {
            version: number,
            generation,
            change,
            author,
            policy,
            rollout,
            ..self.clone()
        }
        .sealed())
    }

    /// Whether another may follow as far as rollouts go: one at a time, each step as it must be, and nothing else changes what
    /// members enforce meanwhile.
    ///
    /// # Errors
    ///
    /// Why not, in words.
    pub fn check_rollout_step(&self, next: &GroupState) -> Result<(), String> {
        let (was, is) = (self.rollout.as_deref(), next.rollout.as_deref());
        check_transition(was, is).map_err(|error| error.to_string())?;
        match is {
            Some(is) if was != Some(is) => {
                let wanted = self.with_rollout(&next.author, is.clone())?;
                (wanted == *next)
                    .then_some(())
                    .ok_or_else(|| "it is not what its rollout says".into())
            }
            Some(is) if !is.phase.ended() => {
                let comes = next
                    .policy
                    .per_member
                    .keys()
                    .find(|name| !self.policy.per_member.contains_key(*name));
                if let Some(name) = comes {
                    return Err(format!(
                        "{name} comes in once the rollout that is under way has ended"
                    ));
                }
                let same = next.generation == self.generation && next.enforces_same_as(self);
                same.then_some(())
                    .ok_or_else(|| "a rollout is under way: it says what is enforced".into())
            }
            _ => Ok(()),
        }
    }

    /// Whether whoever is a member under both enforces the same under both.
    pub fn enforces_same_as(&self, other: &GroupState) -> bool {
        let (a, b) = (&self.policy, &other.policy);
        let same = |name: &String| match a.shared == b.shared {
            true => a.per_member.get(name) == b.per_member.get(name),
            false => a.state_for(name) == b.state_for(name),
        };
        a.per_member
            .keys()
            .filter(|name| b.per_member.contains_key(*name))
            .all(same)
    }

    /// Whether it is what it says that it is.
    ///
    /// # Errors
    ///
    /// With what is wrong.
    pub fn check(&self) -> Result<(), String> {
        self.membership.check().map_err(|e| e.to_string())?;
        if self.policy.digest() != self.policy_digest || self.own_digest() != self.digest {
            return Err(format!(
                "decree {} does not have its own digest",
                self.version
            ));
        }
        Ok(())
    }

    /// What a member enforces under it, with its generation; none for a witness.
    pub fn enforced_by(&self, name: &str) -> Option<(Generation, State)> {
        let state = self.policy.state_for(name)?;
        Some((
            Generation {
                number: self.generation,
                digest: state.digest(),
            },
            state,
        ))
    }
}

/// Text of a membership that goes into the digest of a group state.
///
/// Its names are part of the stored form, whatever the types and fields are called in the code.
fn membership_digest_text(membership: &Membership) -> String {
    let members: Vec<String> = membership.members.iter().map(member_digest_text).collect();
    format!(
        "Roster {{ version: {}, lease_ms: {}, seats: [{}] }}",
        membership.version,
        membership.lease_ms,
        members.join(", ")
    )
}

fn member_digest_text(member: &Member) -> String {
    let Member {
        name,
        replica,
        role,
        votes,
    } = member;
    let role = match role {
        MemberRole::Ingress => "Ingress",
        MemberRole::Witness => "Witness",
    };
    format!("Seat {{ name: {name:?}, folder: {replica}, kind: {role}, votes: {votes} }}")
}

#[cfg(test)]
mod tests {
    use super::{Arc, BTreeMap, Digest, GroupState, Membership, Policy, State};

    fn state(pairs: &[(&str, &str)]) -> Arc<State> {
        Arc::new(State(
            pairs
                .iter()
                .map(|(k, v)| (k.to_string(), v.to_string()))
                .collect(),
        ))
    }

    #[test]
    fn a_new_member_brings_its_own_part_and_changes_nobody_elses() {
        let all = |names: &[&str]| -> BTreeMap<String, Arc<State>> {
            names
                .iter()
                .map(|n| (n.to_string(), state(&[("k", "1"), ("at", n)])))
                .collect()
        };
        let seat = |name: &str| crate::membership::Member {
            name: name.into(),
            replica: 1,
            role: crate::membership::MemberRole::Ingress,
            votes: true,
        };
        let roster = |names: &[&str]| {
            Membership::new(1, 1_500, names.iter().map(|n| seat(n)).collect()).unwrap()
        };
        // One member alone has everything in common with itself.
        let one = GroupState::new(
            1,
            4,
            Digest::default(),
            "",
            roster(&["a"]),
            Policy::from_states(&all(&["a"])),
        );
        let two = one.with_membership("ann", roster(&["a", "b"]), all(&["b"]));
        assert_eq!((two.version, two.generation, two.check()), (2, 4, Ok(())));
        assert!(two.enforces_same_as(&one) && one.enforces_same_as(&two));
        assert_eq!(
            two.enforced_by("b").unwrap().1,
            *state(&[("k", "1"), ("at", "b")])
        );
        let without = two.with_membership("ann", roster(&["b"]), BTreeMap::new());
        assert!(without.enforced_by("a").is_none() && without.enforces_same_as(&two));
        assert!(!GroupState::new(
            3,
            4,
            Digest::default(),
            "",
            roster(&["b"]),
            Policy::from_states(&all(&["b", "c"]))
        )
        .with_membership(
            "",
            roster(&["b"]),
            [("b".to_string(), state(&[("k", "2")]))].into()
        )
        .enforces_same_as(&two));
    }

    #[test]
    fn each_member_gets_back_what_it_was_to_enforce_and_what_is_common_stands_once() {
        let states: BTreeMap<String, Arc<State>> = [
            ("a".to_string(), state(&[("k", "1"), ("discovery", "x")])),
            (
                "b".to_string(),
                state(&[("k", "1"), ("discovery", "y"), ("more", "2")]),
            ),
        ]
        .into();
        let policy = Policy::from_states(&states);
        assert_eq!(policy.shared, *state(&[("k", "1")]));
        for (name, wanted) in &states {
            assert_eq!(policy.state_for(name).as_ref(), Some(&**wanted));
        }
        assert_eq!(policy.state_for("c"), None);
        let mut other = policy.clone();
        other
            .per_member
            .get_mut("a")
            .unwrap()
            .0
            .insert("discovery".into(), "z".into());
        assert_ne!(policy.digest(), other.digest());
        let decree = GroupState::new(
            3,
            2,
            Digest::of(b"change"),
            "ann",
            Membership::default(),
            policy,
        );
        let altered = GroupState {
            policy: Arc::new(other),
            ..decree.clone()
        };
        assert!(altered.check().is_err());
        assert_ne!(decree.digest, decree.unchanged_successor().digest);
        let text = serde_json::to_string(&decree).unwrap();
        assert_eq!(serde_json::from_str::<GroupState>(&text).unwrap(), decree);
    }
}
