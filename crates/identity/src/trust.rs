//! The issuers that an operator trusts to sign tokens, and the period of use of each of their keys. To rotate a key, the operator
//! lists the new key first, signs with it second and withdraws the old one last. [`Trust::rotation_problems`] reports mistakes in
//! that order.

use crate::Seconds;
use ed25519_dalek::VerifyingKey;

/// Parses a public key of 64 lower-case hex digits. Returns `None` if it is malformed, or weak: a point of small order, for which
/// one signature can be valid for many messages.
pub fn parse_public_key(text: &str) -> Option<VerifyingKey> {
    let hex = text.len() == 64
        && text
            .bytes()
            .all(|b| b.is_ascii_digit() || (b'a'..=b'f').contains(&b));
    let byte = |n: usize| u8::from_str_radix(&text[2 * n..2 * n + 2], 16).ok();
    let bytes: Vec<u8> = hex.then(|| (0..32).map_while(byte).collect())?;
    let key = VerifyingKey::from_bytes(&bytes.try_into().ok()?).ok()?;
    (!key.is_weak()).then_some(key)
}

/// Formats a public key as 64 lower-case hex digits.
pub fn format_public_key(key: &VerifyingKey) -> String {
    key.as_bytes().iter().map(|b| format!("{b:02x}")).collect()
}

/// A public key of an issuer, with its period of use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Key {
    /// The name of the key, unique within the issuer; tokens have it in `kid` after the slash.
    pub name: String,
    /// The public key that verifies signatures.
    pub public: VerifyingKey,
    /// Tokens signed with the key are accepted from this time on.
    pub from: Seconds,
    /// Tokens signed with the key are refused from this time on; `None` while the key has no end.
    pub until: Option<Seconds>,
}

/// The stage of a key within its rotation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// The period of use has not begun.
    Pending,
    /// In use, with no end set.
    Active,
    /// In use, with an end set.
    Expiring,
    /// The period of use has ended.
    Withdrawn,
}

impl Key {
    /// The stage of the key at the time `now`.
    pub fn stage(&self, now: Seconds) -> Stage {
        match self.until {
            Some(until) if now >= until => Stage::Withdrawn,
            _ if now < self.from => Stage::Pending,
            Some(_) => Stage::Expiring,
            None => Stage::Active,
        }
    }

    /// Whether tokens signed with the key are accepted at the time `now`.
    pub fn is_active(&self, now: Seconds) -> bool {
        matches!(self.stage(now), Stage::Active | Stage::Expiring)
    }
}

/// An issuer of tokens.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Issuer {
    /// The name of the issuer; tokens have it as `iss`, and in `kid` before the slash.
    pub name: String,
    /// The keys of the issuer, past and future ones included.
    pub keys: Vec<Key>,
}

/// The trusted issuers, and the rules for audience and validity times.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Trust {
    /// The name of this installation, which must be the audience of each token.
    pub audience: String,
    /// The issuers whose tokens are accepted.
    pub issuers: Vec<Issuer>,
    /// The clock skew tolerated when `nbf` and `exp` are checked, in seconds.
    pub skew: Seconds,
    /// The longest time allowed from `nbf` to `exp`, in seconds.
    pub longest: Seconds,
}

impl Default for Trust {
    fn default() -> Trust {
        Trust {
            audience: String::new(),
            issuers: Vec::new(),
            skew: 30,
            longest: 24 * 3600,
        }
    }
}

/// A mistake in the rotation of keys, reported to the operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RotationProblem {
    /// The issuer has no key in use at present, so all of its tokens are refused.
    NoKey(String),
    /// From this time on the issuer has no key in use: the last one ends before the next begins, or there is no next one.
    Gap(String, Seconds),
    /// Two keys of the issuer have the same name. Fields: issuer, key.
    DuplicateKey(String, String),
    /// The key ends before it begins, or at the same time. Fields: issuer, key.
    EmptyPeriod(String, String),
}

impl Trust {
    /// Finds a key by the names of issuer and key.
    pub fn key(&self, issuer: &str, name: &str) -> Option<&Key> {
        self.issuers
            .iter()
            .find(|i| i.name == issuer)?
            .keys
            .iter()
            .find(|k| k.name == name)
    }

    /// Finds mistakes in the keys as of the time `now`, such as a rotation that was left unfinished or done in the wrong order.
    pub fn rotation_problems(&self, now: Seconds) -> Vec<RotationProblem> {
        let mut problems = Vec::new();
        for issuer in &self.issuers {
            for (n, key) in issuer.keys.iter().enumerate() {
                if issuer.keys[..n].iter().any(|k| k.name == key.name) {
                    problems.push(RotationProblem::DuplicateKey(
                        issuer.name.clone(),
                        key.name.clone(),
                    ));
                }
                if key.until.is_some_and(|until| until <= key.from) {
                    problems.push(RotationProblem::EmptyPeriod(
                        issuer.name.clone(),
                        key.name.clone(),
                    ));
                }
            }
            if !issuer.keys.iter().any(|k| k.is_active(now)) {
                problems.push(RotationProblem::NoKey(issuer.name.clone()));
                continue;
            }
            // Steps from the end of one key to the end of the next, and checks that a key is in
            // use at each.
            let mut time = now;
            while let Some(end) = issuer
                .keys
                .iter()
                .filter(|k| k.is_active(time))
                .map(|k| k.until)
                .max_by_key(|u| u.unwrap_or(u64::MAX))
            {
                let Some(end) = end else { break };
                if !issuer.keys.iter().any(|k| k.is_active(end)) {
                    problems.push(RotationProblem::Gap(issuer.name.clone(), end));
                    break;
                }
                time = end;
            }
        }
        problems
    }
}

#[cfg(test)]
mod tests {
    use super::{Issuer, Key, RotationProblem, Seconds, Stage, Trust};
    use ed25519_dalek::SigningKey;

    fn key(name: &str, from: Seconds, until: Option<Seconds>) -> Key {
        Key {
            name: name.into(),
            public: SigningKey::from_bytes(&[7; 32]).verifying_key(),
            from,
            until,
        }
    }

    fn trust(keys: Vec<Key>) -> Trust {
        Trust {
            issuers: vec![Issuer {
                name: "desk".into(),
                keys,
            }],
            ..Trust::default()
        }
    }

    #[test]
    fn rotation_is_complete_only_if_a_key_is_active_at_all_times() {
        let issuer = || "desk".to_string();
        assert_eq!(trust(vec![key("1", 0, None)]).rotation_problems(100), []);
        let good = trust(vec![key("1", 0, Some(500)), key("2", 400, None)]);
        assert_eq!(good.rotation_problems(100), []);
        assert_eq!(good.issuers[0].keys[0].stage(450), Stage::Expiring);
        assert_eq!(good.issuers[0].keys[1].stage(100), Stage::Pending);
        assert_eq!(good.issuers[0].keys[0].stage(500), Stage::Withdrawn);
        assert!(good.issuers[0].keys[1].is_active(400) && !good.issuers[0].keys[1].is_active(399));
        assert_eq!(
            trust(vec![key("1", 0, Some(500)), key("2", 501, None)]).rotation_problems(1),
            [RotationProblem::Gap(issuer(), 500)]
        );
        assert_eq!(
            trust(vec![key("1", 0, Some(500))]).rotation_problems(1),
            [RotationProblem::Gap(issuer(), 500)]
        );
        assert_eq!(
            trust(vec![key("1", 9, None)]).rotation_problems(1),
            [RotationProblem::NoKey(issuer())]
        );
        assert_eq!(
            trust(vec![]).rotation_problems(1),
            [RotationProblem::NoKey(issuer())]
        );
        let twice = trust(vec![key("1", 0, None), key("1", 5, Some(5))]);
        assert_eq!(
            twice.rotation_problems(1),
            [
                RotationProblem::DuplicateKey(issuer(), "1".into()),
                RotationProblem::EmptyPeriod(issuer(), "1".into())
            ]
        );
    }
}
