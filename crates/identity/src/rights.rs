//! What a caller may ask for: tenants, with the names in certificates that lead to them, the accounts that they may name and
//! the classes that they may send. A token may say less than its tenant may, never more.

use crate::token::Claims;
use crate::Refusal;
use std::collections::{BTreeSet, HashMap};

/// A name in a certificate.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Name {
    /// A URI in SPIFFE's form, `spiffe://DOMAIN/PATH`, compared byte for byte.
    Uri(String),
    /// A host's name, in lower case. No wildcards: a tenant is one name.
    Dns(String),
}

impl Name {
    /// A URI, if it has SPIFFE's form: a domain, a path, no query, no fragment, no port and no user.
    pub fn uri(text: &str) -> Option<Name> {
        let (domain, path) = text.strip_prefix("spiffe://")?.split_once('/')?;
        let domain_good = !domain.is_empty()
            && domain.bytes().all(|b| {
                b.is_ascii_lowercase() || b.is_ascii_digit() || matches!(b, b'.' | b'-' | b'_')
            });
        let step = |s: &str| {
            !matches!(s, "" | "." | "..")
                && s.bytes()
                    .all(|b| b.is_ascii_alphanumeric() || matches!(b, b'.' | b'-' | b'_'))
        };
        (domain_good && text.len() <= 2_048 && path.split('/').all(step))
            .then(|| Name::Uri(text.into()))
    }

    /// A host's name.
    pub fn dns(text: &str) -> Option<Name> {
        let label = |l: &str| {
            !l.is_empty()
                && l.len() <= 63
                && !l.starts_with('-')
                && !l.ends_with('-')
                && l.bytes().all(|b| b.is_ascii_alphanumeric() || b == b'-')
        };
        (text.len() <= 253 && text.split('.').all(label))
            .then(|| Name::Dns(text.to_ascii_lowercase()))
    }
}

/// A tenant.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Tenant {
    /// Its name, which tokens say as `sub`.
    pub name: String,
    /// The names in certificates that lead to it.
    pub names: Vec<Name>,
    /// The accounts that it may name.
    pub accounts: BTreeSet<u64>,
    /// The classes that it may send, by their places; none for all.
    pub classes: Option<BTreeSet<u8>>,
}

/// All tenants, as callers are found among them.
#[derive(Clone, Debug, Default)]
pub struct Tenants {
    list: Vec<Tenant>,
    by_name: HashMap<String, usize>,
    by_certificate: HashMap<Name, usize>,
    classes: Vec<String>,
}

/// Why tenants can't be told apart.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Two of one name.
    Name(String),
    /// A certificate's name that leads to two.
    Certificate(Name),
}

/// A caller whose proof was good: a tenant, with what its token leaves of the tenant's rights.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Caller {
    tenant: usize,
    accounts: Option<BTreeSet<u64>>,
    classes: Option<BTreeSet<u8>>,
}

impl Tenants {
    /// These, with the names of the classes by their places.
    ///
    /// # Errors
    ///
    /// Where two can't be told apart.
    pub fn new(list: Vec<Tenant>, classes: Vec<String>) -> Result<Tenants, Fault> {
        let (mut by_name, mut by_certificate) = (HashMap::new(), HashMap::new());
        for (n, tenant) in list.iter().enumerate() {
            if by_name.insert(tenant.name.clone(), n).is_some() {
                return Err(Fault::Name(tenant.name.clone()));
            }
            for name in &tenant.names {
                if by_certificate
                    .insert(name.clone(), n)
                    .is_some_and(|other| other != n)
                {
                    return Err(Fault::Certificate(name.clone()));
                }
            }
        }
        Ok(Tenants {
            list,
            by_name,
            by_certificate,
            classes,
        })
    }

    /// The tenant that a certificate's names lead to: one, and not two. Names that lead nowhere count for nothing.
    ///
    /// # Errors
    ///
    /// Where they lead to none, or to two.
    pub fn by_names<'a>(
        &self,
        names: impl IntoIterator<Item = &'a Name>,
    ) -> Result<Caller, Refusal> {
        let mut found = None;
        for tenant in names
            .into_iter()
            .filter_map(|n| self.by_certificate.get(n).copied())
        {
            if found.is_some_and(|f| f != tenant) {
                return Err(Refusal::Names);
            }
            found = Some(tenant);
        }
        let tenant = found.ok_or(Refusal::Names)?;
        Ok(Caller {
            tenant,
            accounts: None,
            classes: None,
        })
    }

    /// The tenant that a token names. With a certificate on the same connection both must mean the same one.
    ///
    /// # Errors
    ///
    /// Where there is none, or it is not the certificate's.
    pub fn by_token(
        &self,
        claims: &Claims,
        certificate: Option<&Caller>,
    ) -> Result<Caller, Refusal> {
        let tenant = self
            .by_name
            .get(&claims.tenant)
            .copied()
            .ok_or(Refusal::Tenant)?;
        if certificate.is_some_and(|c| c.tenant != tenant) {
            return Err(Refusal::Tenant);
        }
        let place = |name: &String| {
            let at = self.classes.iter().position(|c| c == name && !c.is_empty());
            at.and_then(|n| u8::try_from(n).ok())
        };
        // A class that there is not gives no right; it takes none of the others away.
        let classes = claims
            .classes
            .as_ref()
            .map(|list| list.iter().filter_map(place).collect());
        let accounts = claims
            .accounts
            .as_ref()
            .map(|list| list.iter().copied().collect());
        Ok(Caller {
            tenant,
            accounts,
            classes,
        })
    }

    /// A caller's tenant.
    pub fn tenant(&self, caller: &Caller) -> &str {
        self.list.get(caller.tenant).map_or("", |t| &t.name)
    }

    /// Whether a caller may send a class on an account.
    ///
    /// # Errors
    ///
    /// The reason why not.
    pub fn may(&self, caller: &Caller, account: u64, class: u8) -> Result<(), Refusal> {
        let tenant = self.list.get(caller.tenant).ok_or(Refusal::Tenant)?;
        let within = |narrowed: &Option<BTreeSet<u64>>| {
            narrowed.as_ref().is_none_or(|l| l.contains(&account))
        };
        if !tenant.accounts.contains(&account) || !within(&caller.accounts) {
            return Err(Refusal::Account);
        }
        let within = |list: &Option<BTreeSet<u8>>| list.as_ref().is_none_or(|l| l.contains(&class));
        if !within(&tenant.classes) || !within(&caller.classes) {
            return Err(Refusal::Class);
        }
        Ok(())
    }
}
