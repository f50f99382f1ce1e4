//! Whom an operator trusts to sign tokens, and with which keys from when to when. A key is trusted before it is used and used
//! before the old one is withdrawn; [`Trust::rotation`] says where each stands.

use crate::Seconds;
use ed25519_dalek::VerifyingKey;

/// Reads a public key from 64 hex digits in lower case; none where it is none, or one of the weak ones that more than one
/// signature fits.
pub fn public(text: &str) -> Option<VerifyingKey> {
    let hex = text.len() == 64
        && text
            .bytes()
            .all(|b| b.is_ascii_digit() || (b'a'..=b'f').contains(&b));
    let byte = |n: usize| u8::from_str_radix(&text[2 * n..2 * n + 2], 16).ok();
    let bytes: Vec<u8> = hex.then(|| (0..32).map_while(byte).collect())?;
    let key = VerifyingKey::from_bytes(&bytes.try_into().ok()?).ok()?;
    (!key.is_weak()).then_some(key)
}

/// A key as it is written.
pub fn written(key: &VerifyingKey) -> String {
    key.as_bytes().iter().map(|b| format!("{b:02x}")).collect()
}

/// A key of an issuer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Key {
    /// What tokens call it.
    pub name: String,
    /// The public half.
    pub public: VerifyingKey,
    /// From when on tokens signed with it are taken.
    pub from: Seconds,
    /// From when on they are not any more; none for as long as it is listed.
    pub until: Option<Seconds>,
}

/// Where a key stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Trusted from a later time on.
    Coming,
    /// In use.
    Used,
    /// In use, with an end that has been set.
    Leaving,
    /// Withdrawn.
    Withdrawn,
}

impl Key {
    /// Where it stands at a time.
    pub fn stage(&self, now: Seconds) -> Stage {
        match self.until {
            Some(until) if now >= until => Stage::Withdrawn,
            _ if now < self.from => Stage::Coming,
            Some(_) => Stage::Leaving,
            None => Stage::Used,
        }
    }

    /// Whether tokens signed with it are taken at a time.
    pub fn taken(&self, now: Seconds) -> bool {
        matches!(self.stage(now), Stage::Used | Stage::Leaving)
    }
}

/// Whoever signs tokens.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Issuer {
    /// What tokens call it.
    pub name: String,
    /// Its keys.
    pub keys: Vec<Key>,
}

/// What is trusted, and how strictly times are taken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Trust {
    /// Whom tokens must be for: this installation's name.
    pub audience: String,
    /// Who may sign them.
    pub issuers: Vec<Issuer>,
    /// By how much clocks may differ.
    pub skew: Seconds,
    /// The longest time that a token may hold for.
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

/// What is wrong with a set of keys, for those who change it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Doubt {
    /// No key of the issuer is taken now: all of its tokens are refused.
    NoKey(String),
    /// The last key that is taken ends, and none comes before that.
    Gap(String, Seconds),
    /// Two keys of one name.
    Twice(String, String),
    /// One that ends before it begins.
    Never(String, String),
}

impl Trust {
    /// An issuer's key by their names.
    pub fn key(&self, issuer: &str, name: &str) -> Option<&Key> {
        self.issuers
            .iter()
            .find(|i| i.name == issuer)?
            .keys
            .iter()
            .find(|k| k.name == name)
    }

    /// What is wrong with the keys at a time: a rotation that stopped half way, or was made in the wrong order.
    pub fn rotation(&self, now: Seconds) -> Vec<Doubt> {
        let mut doubts = Vec::new();
        for issuer in &self.issuers {
            for (n, key) in issuer.keys.iter().enumerate() {
                if issuer.keys[..n].iter().any(|k| k.name == key.name) {
                    doubts.push(Doubt::Twice(issuer.name.clone(), key.name.clone()));
                }
                if key.until.is_some_and(|until| until <= key.from) {
                    doubts.push(Doubt::Never(issuer.name.clone(), key.name.clone()));
                }
            }
            if !issuer.keys.iter().any(|k| k.taken(now)) {
                doubts.push(Doubt::NoKey(issuer.name.clone()));
                continue;
            }
            // From one end to the next: is there always one that is taken?
            let mut at = now;
            while let Some(end) = issuer
                .keys
                .iter()
                .filter(|k| k.taken(at))
                .map(|k| k.until)
                .max_by_key(|u| u.unwrap_or(u64::MAX))
            {
                let Some(end) = end else { break };
                if !issuer.keys.iter().any(|k| k.taken(end)) {
                    doubts.push(Doubt::Gap(issuer.name.clone(), end));
                    break;
                }
                at = end;
            }
        }
        doubts
    }
}

#[cfg(test)]
mod tests {
    use super::{Doubt, Issuer, Key, Seconds, Stage, Trust};
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
    fn a_rotation_is_whole_when_one_key_is_taken_at_every_moment() {
        let a = || "desk".to_string();
        assert_eq!(trust(vec![key("1", 0, None)]).rotation(100), []);
        let good = trust(vec![key("1", 0, Some(500)), key("2", 400, None)]);
        assert_eq!(good.rotation(100), []);
        assert_eq!(good.issuers[0].keys[0].stage(450), Stage::Leaving);
        assert_eq!(good.issuers[0].keys[1].stage(100), Stage::Coming);
        assert_eq!(good.issuers[0].keys[0].stage(500), Stage::Withdrawn);
        assert!(good.issuers[0].keys[1].taken(400) && !good.issuers[0].keys[1].taken(399));
        assert_eq!(
            trust(vec![key("1", 0, Some(500)), key("2", 501, None)]).rotation(1),
            [Doubt::Gap(a(), 500)]
        );
        assert_eq!(
            trust(vec![key("1", 0, Some(500))]).rotation(1),
            [Doubt::Gap(a(), 500)]
        );
        assert_eq!(
            trust(vec![key("1", 9, None)]).rotation(1),
            [Doubt::NoKey(a())]
        );
        assert_eq!(trust(vec![]).rotation(1), [Doubt::NoKey(a())]);
        let twice = trust(vec![key("1", 0, None), key("1", 5, Some(5))]);
        assert_eq!(
            twice.rotation(1),
            [Doubt::Twice(a(), "1".into()), Doubt::Never(a(), "1".into())]
        );
    }
}
