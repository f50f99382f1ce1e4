//! Tenants and their rights: the certificate names that identify a tenant, and the accounts and classes that it may use. A token
//! can narrow the rights of its tenant, never widen them.

use crate::token::Claims;
use crate::Refusal;
use std::collections::{BTreeSet, HashMap};

/// A subject alternative name of a certificate.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Name {
    /// A SPIFFE ID, `spiffe://DOMAIN/PATH`, compared byte for byte.
    Uri(String),
    /// A DNS name, in lower case. Wildcards are not supported, as each name identifies one tenant.
    Dns(String),
}

impl Name {
    /// Parses a SPIFFE ID. Returns `None` unless it has a domain and a path, and no query, fragment, port or user.
    pub fn uri(text: &str) -> Option<Name> {
        let (domain, path) = text.strip_prefix("spiffe://")?.split_once('/')?;
        let domain_valid = !domain.is_empty()
            && domain.bytes().all(|b| {
                b.is_ascii_lowercase() || b.is_ascii_digit() || matches!(b, b'.' | b'-' | b'_')
            });
        let segment_valid = |s: &str| {
            !matches!(s, "" | "." | "..")
                && s.bytes()
                    .all(|b| b.is_ascii_alphanumeric() || matches!(b, b'.' | b'-' | b'_'))
        };
        (domain_valid && text.len() <= 2_048 && path.split('/').all(segment_valid))
            .then(|| Name::Uri(text.into()))
    }

    /// Parses a DNS name. Returns `None` for wildcards and malformed names.
    pub fn dns(text: &str) -> Option<Name> {
        let label_valid = |l: &str| {
            !l.is_empty()
                && l.len() <= 63
                && !l.starts_with('-')
                && !l.ends_with('-')
                && l.bytes().all(|b| b.is_ascii_alphanumeric() || b == b'-')
        };
        (text.len() <= 253 && text.split('.').all(label_valid))
            .then(|| Name::Dns(text.to_ascii_lowercase()))
    }
}

/// A tenant and its rights.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Tenant {
    /// The unique name of the tenant; tokens have it as `sub`.
    pub name: String,
    /// The certificate names that identify the tenant.
    pub names: Vec<Name>,
    /// The accounts that the tenant may use.
    pub accounts: BTreeSet<u64>,
    /// Indices of the classes that the tenant may send; `None` allows all.
    pub classes: Option<BTreeSet<u8>>,
}

/// All tenants, indexed by name and by certificate name.
#[derive(Clone, Debug, Default)]
pub struct Tenants {
    list: Vec<Tenant>,
    by_name: HashMap<String, usize>,
    by_certificate: HashMap<Name, usize>,
    classes: Vec<String>,
}

/// Why a list of tenants is ambiguous.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Two tenants have this name.
    Name(String),
    /// Two tenants have this certificate name.
    Certificate(Name),
}

/// An authenticated caller: its tenant, and the accounts and classes that its token is limited to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Caller {
    tenant: usize,
    accounts: Option<BTreeSet<u64>>,
    classes: Option<BTreeSet<u8>>,
}

impl Tenants {
    /// Indexes a list of tenants. `classes` has the name of each class, in the order of class indices.
    ///
    /// # Errors
    ///
    /// Two tenants have the same name or the same certificate name.
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

    /// Finds the tenant that a certificate's names identify. Names that no tenant has are ignored.
    ///
    /// # Errors
    ///
    /// [`Refusal::CertificateNames`] if the names identify no tenant, or more than one.
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
                return Err(Refusal::CertificateNames);
            }
            found = Some(tenant);
        }
        let tenant = found.ok_or(Refusal::CertificateNames)?;
        Ok(Caller {
            tenant,
            accounts: None,
            classes: None,
        })
    }

    /// Finds the tenant that a token names. `certificate` is the caller that the certificate of the same connection identifies, if
    /// any; both must be the same tenant.
    ///
    /// # Errors
    ///
    /// [`Refusal::UnknownTenant`] if no tenant has that name, or the certificate identifies another one.
    pub fn by_token(
        &self,
        claims: &Claims,
        certificate: Option<&Caller>,
    ) -> Result<Caller, Refusal> {
        let tenant = self
            .by_name
            .get(&claims.tenant)
            .copied()
            .ok_or(Refusal::UnknownTenant)?;
        if certificate.is_some_and(|c| c.tenant != tenant) {
            return Err(Refusal::UnknownTenant);
        }
        let class_index = |name: &String| {
            let index = self.classes.iter().position(|c| c == name && !c.is_empty());
            index.and_then(|n| u8::try_from(n).ok())
        };
        // An unknown class grants nothing and leaves the other classes of the token as they are.
        let classes = claims
            .classes
            .as_ref()
            .map(|list| list.iter().filter_map(class_index).collect());
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

    /// The name of a caller's tenant.
    pub fn tenant(&self, caller: &Caller) -> &str {
        self.list.get(caller.tenant).map_or("", |t| &t.name)
    }

    /// Checks whether a caller may send a request of a class for an account.
    ///
    /// # Errors
    ///
    /// [`Refusal::AccountDenied`] or [`Refusal::ClassDenied`] if the tenant or the token has no such right.
    pub fn authorize(&self, caller: &Caller, account: u64, class: u8) -> Result<(), Refusal> {
        let tenant = self.list.get(caller.tenant).ok_or(Refusal::UnknownTenant)?;
        let account_allowed = |accounts: &Option<BTreeSet<u64>>| {
            accounts.as_ref().is_none_or(|l| l.contains(&account))
        };
        if !tenant.accounts.contains(&account) || !account_allowed(&caller.accounts) {
            return Err(Refusal::AccountDenied);
        }
        let class_allowed =
            |classes: &Option<BTreeSet<u8>>| classes.as_ref().is_none_or(|l| l.contains(&class));
        if !class_allowed(&tenant.classes) || !class_allowed(&caller.classes) {
            return Err(Refusal::ClassDenied);
        }
        Ok(())
    }
}
