//! The messages between an applier and an ingress: one JSON object a line, with the version first. What is unknown in a
//! message of the same version is skipped; a message of another version is refused with the versions that are known.

use crate::participant::Promise;
use crate::state::{Digest, Generation, State};
use serde::{Deserialize, Serialize};

/// The protocol's version.
pub const VERSION: u32 = 1;

/// Who may decide: each applier has a number of its own, and one that recovers a higher one than all before it. The time
/// of its start is a good choice.
pub type Ballot = u64;

/// What is asked of an ingress.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(tag = "ask", rename_all = "kebab-case")]
pub enum Ask {
    /// What it enforces and has promised.
    Status,
    /// To take a change aside, check it, and promise to make the switch.
    Prepare {
        /// The change.
        promise: Promise,
        /// Of whoever asks.
        ballot: Ballot,
        /// What it is to enforce.
        wanted: State,
    },
    /// To decide nothing of a change for anybody with a lower number, and to say how it stands there.
    Fence {
        /// The change.
        change: Digest,
        /// The number.
        ballot: Ballot,
    },
    /// To make the switch, or to forget the change.
    Decide {
        /// The change.
        change: Digest,
        /// Of whoever decides.
        ballot: Ballot,
        /// Make the switch.
        commit: bool,
    },
}

/// How a change stands at an ingress.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Stand {
    /// Nothing is known of it.
    Unknown,
    /// It is promised.
    Promised,
    /// The switch was made.
    Made,
    /// It was given up.
    Dropped,
}

/// An ingress's answer.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(tag = "say", rename_all = "kebab-case")]
pub enum Say {
    /// What it enforces.
    Status {
        /// Its name.
        ingress: String,
        /// Number and digest.
        generation: Generation,
        /// All of it.
        state: State,
        /// What it has promised.
        promise: Option<Promise>,
    },
    /// It promises.
    Yes,
    /// It does not, or can't do what was asked; nothing has changed.
    No {
        /// Why, in plain words.
        why: String,
    },
    /// How a change stands there.
    Stands {
        /// The change.
        change: Digest,
        /// How.
        stand: Stand,
    },
}

#[derive(Serialize, Deserialize)]
struct Line<T> {
    v: u32,
    #[serde(flatten)]
    what: T,
}

/// A message as a line.
pub fn line<T: Serialize>(what: &T) -> String {
    let mut text = serde_json::to_string(&Line { v: VERSION, what }).unwrap_or_default();
    text.push('\n');
    text
}

/// Reads a line.
///
/// # Errors
///
/// In plain words: another version, or no message of this one.
pub fn read<T: for<'a> Deserialize<'a>>(text: &str) -> Result<T, String> {
    #[derive(Deserialize)]
    struct Version {
        v: u32,
    }
    let version: Version =
        serde_json::from_str(text).map_err(|e| format!("no message of this protocol: {e}"))?;
    if version.v != VERSION {
        return Err(format!("the message is of version {}, and version {VERSION} is spoken here", version.v));
    }
    let line: Line<T> = serde_json::from_str(text).map_err(|e| format!("not understood: {e}"))?;
    Ok(line.what)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn messages_survive_the_way_and_what_is_none_is_told() {
        let promise = Promise {
            change: Digest("ab".into()),
            base: Generation { number: 3, digest: Digest("cd".into()) },
            next: Generation { number: 4, digest: Digest("ef".into()) },
            author: "ann \"the\" first\n".into(),
            members: vec!["n0".into(), "n1".into()],
        };
        let wanted = State([("a.b".to_string(), "1".to_string())].into());
        let asks = [
            Ask::Status,
            Ask::Prepare { promise: promise.clone(), ballot: 5, wanted: wanted.clone() },
            Ask::Fence { change: Digest("ab".into()), ballot: 7 },
            Ask::Decide { change: Digest("ab".into()), ballot: 0, commit: true },
        ];
        for ask in asks {
            let text = line(&ask);
            assert_eq!(text.matches('\n').count(), 1, "one line: {text}");
            assert_eq!(read::<Ask>(&text), Ok(ask));
        }
        let says = [
            Say::Yes,
            Say::No { why: "moved".into() },
            Say::Stands { change: Digest("ab".into()), stand: Stand::Made },
            Say::Status {
                ingress: "n0".into(),
                generation: promise.base.clone(),
                state: wanted,
                promise: Some(promise),
            },
        ];
        for say in says {
            assert_eq!(read::<Say>(&line(&say)), Ok(say));
        }
        assert!(read::<Ask>("{\"v\":2,\"ask\":\"status\"}").unwrap_err().contains("version 2"));
        assert!(read::<Ask>("{\"v\":1,\"ask\":\"explode\"}").unwrap_err().contains("not understood"));
        assert!(read::<Ask>("{\"v\":1,\"ask\":\"status\",\"later\":3}").is_ok(), "a key of the future");
        assert!(read::<Ask>("garbage").is_err() && read::<Ask>("").is_err());
    }
}
