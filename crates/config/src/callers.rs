//! Converts the table `identity` to enforced state and back, so that a change of keys or tenants is planned and applied
//! like any other change.

use crate::model::Identity;
use crate::pairs::Pairs;
use crate::values;
use wrenfork_identity::rights::{Tenant, Tenants};
use wrenfork_identity::trust::{parse_public_key, Issuer, Key, Trust};

/// Microseconds per second.
const MICROS_PER_SECOND: u64 = 1_000_000;
/// Key of the audience. Callers are authenticated if the state has it.
const AUDIENCE: &str = "identity.audience";

/// How an ingress authenticates and authorizes callers.
#[derive(Clone, Debug)]
pub struct Callers {
    /// Issuers and their keys.
    pub trust: Trust,
    /// Tenants with their accounts and classes.
    pub tenants: Tenants,
    /// Whether requests without a token are rejected.
    pub required: bool,
}

/// The issuers and keys of a file. Invalid keys are skipped: the reader has reported them.
pub fn trust(from: &Identity) -> Trust {
    let key = |k: &crate::model::IssuerKey| {
        let public = parse_public_key(&k.public.value)?;
        Some(Key {
            name: k.name.value.clone(),
            public,
            from: k.from,
            until: k.until,
        })
    };
    let issuers = from.issuers.iter().map(|i| Issuer {
        name: i.name.value.clone(),
        keys: i.keys.iter().filter_map(key).collect(),
    });
    Trust {
        audience: from
            .audience
            .as_ref()
            .map_or(String::new(), |a| a.value.clone()),
        issuers: issuers.collect(),
        skew: from.skew / MICROS_PER_SECOND,
        longest: from.longest / MICROS_PER_SECOND,
    }
}

/// Inserts the table `identity` of a file into a state.
pub fn insert_identity(state: &mut Pairs, from: &Identity) {
    let mut add = |key: String, value: String| drop(state.insert(key, value));
    add(
        AUDIENCE.into(),
        from.audience
            .as_ref()
            .map_or(String::new(), |a| a.value.clone()),
    );
    add("identity.required".into(), from.required.to_string());
    add(
        "identity.skew_s".into(),
        (from.skew / MICROS_PER_SECOND).to_string(),
    );
    add(
        "identity.longest_s".into(),
        (from.longest / MICROS_PER_SECOND).to_string(),
    );
    for issuer in &from.issuers {
        for key in &issuer.keys {
            let prefix = format!("identity.issuers.{}/{}", issuer.name.value, key.name.value);
            add(format!("{prefix}.public"), key.public.value.clone());
            add(format!("{prefix}.from"), key.from.to_string());
            if let Some(until) = key.until {
                add(format!("{prefix}.until"), until.to_string());
            }
        }
    }
    for tenant in &from.tenants {
        let prefix = format!("identity.tenants.{}", tenant.name.value);
        let accounts: Vec<String> = tenant
            .accounts
            .iter()
            .map(|a| format!("{:016x}", a.value))
            .collect();
        add(format!("{prefix}.accounts"), accounts.join(","));
        if let Some(classes) = &tenant.classes {
            let classes: Vec<&str> = classes.iter().map(|c| c.value.as_str()).collect();
            add(format!("{prefix}.classes"), classes.join(","));
        }
    }
}

/// Whether a key of the state belongs to `identity` and may change.
pub fn changeable(key: &str) -> bool {
    let Some(rest) = key.strip_prefix("identity.") else {
        return false;
    };
    let is_list_field = |list: &str, fields: &[&str]| {
        let entry = rest.strip_prefix(list).and_then(|r| r.rsplit_once('.'));
        entry.is_some_and(|(name, field)| !name.is_empty() && fields.contains(&field))
    };
    matches!(rest, "audience" | "required" | "skew_s" | "longest_s")
        || is_list_field("issuers.", &["public", "from", "until"])
        || is_list_field("tenants.", &["accounts", "classes"])
}

/// Parses the state's callers; none if callers are not authenticated. `classes` has the names of the classes by index.
///
/// # Errors
///
/// Names the key that is missing or has an invalid value.
pub fn read(state: &Pairs, classes: &[String]) -> Result<Option<Callers>, String> {
    let Some(audience) = state.get(AUDIENCE) else {
        return Ok(None);
    };
    let whole = |key: &str| {
        let text = state.get(key).ok_or_else(|| format!("{key} is missing"))?;
        text.parse::<u64>()
            .map_err(|_| format!("{key} is not an integer"))
    };
    let mut trust = Trust {
        audience: audience.clone(),
        issuers: Vec::new(),
        skew: whole("identity.skew_s")?,
        longest: whole("identity.longest_s")?,
    };
    let entries = |prefix: &'static str, field: &'static str| {
        let rows = state.iter().filter_map(move |(key, value)| {
            Some((
                key.strip_prefix(prefix)?.strip_suffix(field)?.to_string(),
                value.clone(),
            ))
        });
        rows.collect::<Vec<_>>()
    };
    for (name, text) in entries("identity.issuers.", ".public") {
        let prefix = format!("identity.issuers.{name}");
        let (issuer, key) = name
            .split_once('/')
            .ok_or_else(|| format!("{prefix} has no key name after the issuer's name"))?;
        let public = parse_public_key(&text)
            .ok_or_else(|| format!("{prefix}.public is not an Ed25519 public key"))?;
        let until = state
            .contains_key(&format!("{prefix}.until"))
            .then(|| whole(&format!("{prefix}.until")))
            .transpose()?;
        let key = Key {
            name: key.into(),
            public,
            from: whole(&format!("{prefix}.from"))?,
            until,
        };
        match trust.issuers.iter_mut().find(|i| i.name == issuer) {
            Some(known) => known.keys.push(key),
            None => trust.issuers.push(Issuer {
                name: issuer.into(),
                keys: vec![key],
            }),
        }
    }
    let mut tenants = Vec::new();
    for (name, text) in entries("identity.tenants.", ".accounts") {
        let accounts: Result<_, String> = text
            .split(',')
            .filter(|a| !a.is_empty())
            .map(values::account)
            .collect();
        let class_index = |class: &str| {
            let at = classes.iter().position(|c| c == class && !class.is_empty());
            let at = at.and_then(|n| u8::try_from(n).ok());
            at.ok_or_else(|| {
                format!("identity.tenants.{name}.classes: class {class} does not exist")
            })
        };
        let classes_text = state.get(&format!("identity.tenants.{name}.classes"));
        let allowed = classes_text
            .map(|list| list.split(',').map(class_index).collect::<Result<_, _>>())
            .transpose()?;
        tenants.push(Tenant {
            name: name.clone(),
            names: Vec::new(),
            accounts: accounts?,
            classes: allowed,
        });
    }
    let required = state.get("identity.required").is_none_or(|r| r != "false");
    let tenants =
        Tenants::new(tenants, classes.to_vec()).map_err(|f| format!("identity: {f:?}"))?;
    Ok(Some(Callers {
        trust,
        tenants,
        required,
    }))
}
