//! Contents of the table `identity`: who may call.

use super::fields::value_or;
use crate::reader::{At, Fields};
use std::ops::Range;

/// How callers are authenticated.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Span of the table in the file.
    pub span: Range<usize>,
    /// Audience that tokens must name.
    pub audience: Option<At<String>>,
    /// Whether requests without a token are rejected.
    pub required: bool,
    /// Tolerated clock difference, in microseconds.
    pub skew: u64,
    /// Longest accepted lifetime of a token, in microseconds.
    pub longest: u64,
    /// Issuers whose tokens are accepted.
    pub issuers: Vec<Issuer>,
    /// Tenants on whose behalf tokens may be issued.
    pub tenants: Vec<Tenant>,
}

/// A party that signs tokens.
#[derive(Clone, Debug)]
pub struct Issuer {
    /// Value of `iss` in the issuer's tokens.
    pub name: At<String>,
    /// Keys of the issuer, at least one of them valid at any time.
    pub keys: Vec<IssuerKey>,
}

/// A key that signs tokens.
#[derive(Clone, Debug)]
pub struct IssuerKey {
    /// Key name, the part of a token's `kid` after the slash.
    pub name: At<String>,
    /// Ed25519 public key, 64 hex digits.
    pub public: At<String>,
    /// Start of validity, in seconds of Unix time; 0 for always.
    pub from: u64,
    /// End of validity, in seconds of Unix time; none for no end.
    pub until: Option<u64>,
}

/// A tenant on whose behalf tokens are issued.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Name that tokens carry.
    pub name: At<String>,
    /// Accounts whose requests the tenant may send.
    pub accounts: Vec<At<u64>>,
    /// Classes that the tenant may send; none for all.
    pub classes: Option<Vec<At<String>>>,
}

pub(super) fn identity(fields: &Fields) -> Identity {
    let key = |k: &Fields| {
        Some(IssuerKey {
            name: k.text("name")?,
            public: k.text("public")?,
            from: value_or(k.integer("from"), 0),
            until: k.integer("until").map(|u| u.value),
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
            accounts: value_or(t.integers("accounts"), Vec::new()),
            classes: t.names("classes").map(|c| c.value),
        })
    };
    Identity {
        span: fields.span.clone(),
        audience: fields.text("audience"),
        required: value_or(fields.flag("required"), true),
        skew: value_or(fields.integer("skew"), 30_000_000),
        longest: value_or(fields.integer("longest"), 24 * 3_600_000_000),
        issuers: fields.tables("issuer").iter().filter_map(issuer).collect(),
        tenants: fields.tables("tenant").iter().filter_map(tenant).collect(),
    }
}
