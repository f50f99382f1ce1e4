//! Who may call, as the files say it.

use super::fields::or;
use crate::reader::{At, Fields};
use std::ops::Range;

/// Who may call, and how they prove it.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Its place in the file.
    pub span: Range<usize>,
    /// What tokens must be for.
    pub audience: Option<At<String>>,
    /// Whether requests without a proof are turned away.
    pub required: bool,
    /// Microseconds.
    pub skew: u64,
    /// Microseconds.
    pub longest: u64,
    /// Whoever signs.
    pub issuers: Vec<Issuer>,
    /// On whose behalf.
    pub tenants: Vec<Tenant>,
}

/// Whoever signs tokens.
#[derive(Clone, Debug)]
pub struct Issuer {
    /// Its name.
    pub name: At<String>,
    /// Its keys.
    pub keys: Vec<IssuerKey>,
}

/// A key that signs tokens.
#[derive(Clone, Debug)]
pub struct IssuerKey {
    /// Its name.
    pub name: At<String>,
    /// The public half, 64 hex digits.
    pub public: At<String>,
    /// From when on, in seconds of Unix time.
    pub from: u64,
    /// Until when.
    pub until: Option<u64>,
}

/// On whose behalf tokens speak.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Its name.
    pub name: At<String>,
    /// The accounts that it may name.
    pub accounts: Vec<At<u64>>,
    /// The classes that it may send; none for all.
    pub classes: Option<Vec<At<String>>>,
}

pub(super) fn identity(f: &Fields) -> Identity {
    let key = |k: &Fields| {
        Some(IssuerKey {
            name: k.text("name")?,
            public: k.text("public")?,
            from: or(k.whole("from"), 0),
            until: k.whole("until").map(|u| u.value),
        })
    };
    let issuer = |i: &Fields| {
        Some(Issuer {
            name: i.text("name")?,
            keys: i.tables("key").iter().filter_map(key).collect(),
        })
    };
    let tenant = |t: &Fields| {
        Some(Tenant {
            name: t.text("name")?,
            accounts: or(t.wholes("accounts"), Vec::new()),
            classes: t.names("classes").map(|c| c.value),
        })
    };
    Identity {
        span: f.span.clone(),
        audience: f.text("audience"),
        required: or(f.flag("required"), true),
        skew: or(f.whole("skew"), 30_000_000),
        longest: or(f.whole("longest"), 24 * 3_600_000_000),
        issuers: f.tables("issuer").iter().filter_map(issuer).collect(),
        tenants: f.tables("tenant").iter().filter_map(tenant).collect(),
    }
}
