//! What a version of the program reads and writes, and whether two versions may serve side by side and be taken back. No I/O and
//! no clock.

use serde::{Deserialize, Serialize};
use std::fmt;

/// A program: what people call it, and the SHA-256 of its file. Two are the same if their files are.
#[derive(Clone, Debug, Eq, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Program {
    /// What people call it.
    pub name: String,
    /// 64 hex digits in lower case.
    pub sha256: String,
}

impl PartialEq for Program {
    fn eq(&self, other: &Program) -> bool {
        self.sha256 == other.sha256
    }
}

impl fmt::Display for Program {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}@{}", self.name, self.sha256)
    }
}

impl Program {
    /// Reads `NAME@SHA256`.
    ///
    /// # Errors
    ///
    /// Where it is written otherwise.
    pub fn parse(text: &str) -> Result<Program, String> {
        let told = text.rsplit_once('@').filter(|(name, sha256)| {
            let hex = |b: u8| b.is_ascii_digit() || (b'a'..=b'f').contains(&b);
            !name.is_empty() && sha256.len() == 64 && sha256.bytes().all(hex)
        });
        let (name, sha256) =
            told.ok_or_else(|| format!("a program is written NAME@SHA256, not \"{text}\""))?;
        Ok(Program {
            name: name.into(),
            sha256: sha256.into(),
        })
    }
}

impl TryFrom<String> for Program {
    type Error = String;

    fn try_from(text: String) -> Result<Program, String> {
        Program::parse(&text)
    }
}

impl From<Program> for String {
    fn from(program: Program) -> String {
        program.to_string()
    }
}

/// The numbers of one form that a version reads; it writes the newest, or what the other side asks for where that is asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionRange {
    /// The oldest that it reads.
    pub oldest: u32,
    /// The newest that it reads, and what it writes.
    pub newest: u32,
}

impl VersionRange {
    /// Reads and writes from one number to another.
    pub fn new(oldest: u32, newest: u32) -> VersionRange {
        VersionRange { oldest, newest }
    }

    /// Whether it reads what another writes.
    fn reads(self, other: VersionRange) -> bool {
        (self.oldest..=self.newest).contains(&other.newest)
    }

    /// Whether there is a number that both know.
    fn shares(self, other: VersionRange) -> bool {
        self.oldest.max(other.oldest) <= self.newest.min(other.newest)
    }
}

/// All that a version says to others and to those that come after it, as `wrenfork --speaks` tells it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FormatVersions {
    /// The version, for people.
    pub version: String,
    /// Peers' datagrams: what customers use.
    pub peers: VersionRange,
    /// The lines of control sockets: changes, leases, what members count.
    pub control: VersionRange,
    /// What a group decides.
    #[serde(rename = "decrees")]
    pub group_states: VersionRange,
    /// The store of what must not be forgotten.
    pub store: VersionRange,
    /// The state that passes from one process to the next.
    pub handover: VersionRange,
}

/// What comes of two versions side by side.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CompatibilityReport {
    /// Why a rollout from the one to the other must not begin.
    pub incompatible: Vec<String>,
    /// What is lost at each change of a process.
    pub degraded: Vec<String>,
}

/// Whether two versions may be in service at the same time, and whether the old one can follow the new one again.
pub fn check_compatibility(old: &FormatVersions, new: &FormatVersions) -> CompatibilityReport {
    let mut report = CompatibilityReport::default();
    // These are heard by both sides for as long as both serve.
    for (what, a, b) in [
        ("peers' messages", old.peers, new.peers),
        ("control lines", old.control, new.control),
        ("decrees", old.group_states, new.group_states),
    ] {
        for (from, to, writes, reads) in [
            (&old.version, &new.version, a, b),
            (&new.version, &old.version, b, a),
        ] {
            if !reads.reads(writes) {
                report.incompatible.push(format!(
                    "{what}: {from} writes {}, and {to} reads {} to {}",
                    writes.newest, reads.oldest, reads.newest
                ));
            }
        }
    }
    if !new.store.reads(old.store) {
        report.incompatible.push(format!(
            "the store: {} can't read what {} keeps ({})",
            new.version, old.version, old.store.newest
        ));
    }
    if !old.store.reads(new.store) {
        report.incompatible.push(format!(
            "the store: it could not be taken back, since {} can't read what {} keeps ({})",
            old.version, new.version, new.store.newest
        ));
    }
    if !old.handover.shares(new.handover) {
        report.degraded.push(format!(
            "the handover: {} writes states up to {}, {} reads from {}: each process begins anew, what is open when the old one \
             ends is answered first, and its connections end",
            old.version, old.handover.newest, new.version, new.handover.oldest
        ));
    }
    report
}

#[cfg(test)]
mod tests {
    use super::{check_compatibility, CompatibilityReport, FormatVersions, Program, VersionRange};
    use proptest::prelude::{prop_assert_eq, proptest};
    use proptest::test_runner::{Config, RngSeed};

    fn speaks(version: &str) -> FormatVersions {
        let form = VersionRange::new(2, 3);
        FormatVersions {
            version: version.into(),
            peers: form,
            control: form,
            group_states: form,
            store: form,
            handover: form,
        }
    }

    #[test]
    fn a_program_is_known_by_its_file() {
        let hex = "ab".repeat(32);
        let one = Program::parse(&format!("r-1@{hex}")).unwrap();
        assert_eq!(one, Program::parse(&format!("other@{hex}")).unwrap());
        assert_eq!(one.to_string(), format!("r-1@{hex}"));
        assert_eq!(
            serde_json::from_str::<Program>(&serde_json::to_string(&one).unwrap()).unwrap(),
            one
        );
        for bad in [
            "",
            "r-1",
            "@",
            &format!("@{hex}"),
            &format!("r@{}", &hex[1..]),
            &format!("r@{}G", &hex[1..]),
        ] {
            assert!(
                Program::parse(bad).unwrap_err().contains("NAME@SHA256"),
                "{bad}"
            );
        }
    }

    #[test]
    fn what_could_not_be_taken_back_is_refused_and_what_is_lost_is_told() {
        let old = speaks("r-1");
        assert_eq!(
            check_compatibility(&old, &speaks("r-2")),
            CompatibilityReport::default()
        );
        let found = |change: &dyn Fn(&mut FormatVersions)| {
            let mut new = speaks("r-2");
            change(&mut new);
            check_compatibility(&old, &new)
        };
        let newer = VersionRange::new(3, 4);
        let store = found(&|s| s.store = newer);
        assert_eq!(store.incompatible.len(), 1);
        assert!(
            store.incompatible[0].contains("could not be taken back"),
            "{store:?}"
        );
        let peers = found(&|s| s.peers = newer);
        assert_eq!(
            peers.incompatible,
            ["peers' messages: r-2 writes 4, and r-1 reads 2 to 3"]
        );
        assert_eq!(
            found(&|s| s.control = VersionRange::new(4, 4))
                .incompatible
                .len(),
            2
        );
        assert_eq!(found(&|s| s.group_states = newer).incompatible.len(), 1);
        // A state is written as it is asked for: neighbours hand over, others begin anew.
        assert_eq!(
            found(&|s| s.handover = newer),
            CompatibilityReport::default()
        );
        let lost = found(&|s| s.handover = VersionRange::new(4, 5));
        assert!(
            lost.incompatible.is_empty() && lost.degraded[0].contains("begins anew"),
            "{lost:?}"
        );
    }

    proptest! {
        #![proptest_config(Config { rng_seed: RngSeed::Fixed(8), failure_persistence: None, ..Config::default() })]

        /// Guards against a rollout that goes one way alone: where it may begin, its way back may as well.
        #[test]
        fn whoever_may_go_may_go_back(forms in proptest::collection::vec((1u32..5, 0u32..4), 10)) {
            let form = |n: usize| VersionRange::new(forms[n].0, forms[n].0 + forms[n].1);
            let of = |at: usize| FormatVersions {
                version: "r".into(), peers: form(at), control: form(at + 1), group_states: form(at + 2),
                store: form(at + 3), handover: form(at + 4),
            };
            let (there, back) = (check_compatibility(&of(0), &of(5)), check_compatibility(&of(5), &of(0)));
            prop_assert_eq!(there.incompatible.is_empty(), back.incompatible.is_empty());
            prop_assert_eq!(there.degraded.is_empty(), back.degraded.is_empty());
        }
    }
}
