//! Who may call, as keys and values of what is enforced, and back: a change of keys or tenants is planned and applied like all
//! else.

use crate::model::Identity;
use crate::pairs::Pairs;
use crate::values;
use wrenfork_identity::rights::{Tenant, Tenants};
use wrenfork_identity::trust::{parse_public_key, Issuer, Key, Trust};

const SECOND: u64 = 1_000_000;
/// The key that says that callers are asked at all.
const AUDIENCE: &str = "identity.audience";

/// What an ingress holds callers against.
#[derive(Clone, Debug)]
pub struct Callers {
    /// Who may sign, and with what.
    pub trust: Trust,
    /// On whose behalf.
    pub tenants: Tenants,
    /// Whether a request without a proof is turned away.
    pub required: bool,
}

/// What a file trusts; a key that is none has been told.
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
        skew: from.skew / SECOND,
        max_lifetime: from.longest / SECOND,
    }
}

/// Writes what a file says into what is enforced.
pub fn put(state: &mut Pairs, from: &Identity) {
    let mut add = |key: String, value: String| drop(state.insert(key, value));
    add(
        AUDIENCE.into(),
        from.audience
            .as_ref()
            .map_or(String::new(), |a| a.value.clone()),
    );
    add("identity.required".into(), from.required.to_string());
    add("identity.skew_s".into(), (from.skew / SECOND).to_string());
    add(
        "identity.longest_s".into(),
        (from.longest / SECOND).to_string(),
    );
    for issuer in &from.issuers {
        for key in &issuer.keys {
            let at = format!("identity.issuers.{}/{}", issuer.name.value, key.name.value);
            add(format!("{at}.public"), key.public.value.clone());
            add(format!("{at}.from"), key.from.to_string());
            if let Some(until) = key.until {
                add(format!("{at}.until"), until.to_string());
            }
        }
    }
    for tenant in &from.tenants {
        let at = format!("identity.tenants.{}", tenant.name.value);
        let accounts: Vec<String> = tenant
            .accounts
            .iter()
            .map(|a| format!("{:016x}", a.value))
            .collect();
        add(format!("{at}.accounts"), accounts.join(","));
        if let Some(classes) = &tenant.classes {
            let classes: Vec<&str> = classes.iter().map(|c| c.value.as_str()).collect();
            add(format!("{at}.classes"), classes.join(","));
        }
    }
}

/// Whether a key is one of these.
pub fn changeable(key: &str) -> bool {
    let Some(rest) = key.strip_prefix("identity.") else {
        return false;
    };
    let field = |list: &str, fields: &[&str]| {
        let within = rest.strip_prefix(list).and_then(|r| r.rsplit_once('.'));
        within.is_some_and(|(name, field)| !name.is_empty() && fields.contains(&field))
    };
    matches!(rest, "audience" | "required" | "skew_s" | "longest_s")
        || field("issuers.", &["public", "from", "until"])
        || field("tenants.", &["accounts", "classes"])
}

/// What is enforced, for an ingress; none where nobody is asked. `classes` are their names by place.
///
/// # Errors
///
/// Names the key whose value is of no use.
pub fn read(state: &Pairs, classes: &[String]) -> Result<Option<Callers>, String> {
    let Some(audience) = state.get(AUDIENCE) else {
        return Ok(None);
    };
    let whole = |key: &str| {
        let text = state.get(key).ok_or_else(|| format!("{key} is missing"))?;
        text.parse::<u64>()
            .map_err(|_| format!("{key} is no whole number"))
    };
    let mut trust = Trust {
        audience: audience.clone(),
        issuers: Vec::new(),
        skew: whole("identity.skew_s")?,
        max_lifetime: whole("identity.longest_s")?,
    };
    let below = |prefix: &'static str, field: &'static str| {
        let rows = state.iter().filter_map(move |(key, value)| {
            Some((
                key.strip_prefix(prefix)?.strip_suffix(field)?.to_string(),
                value.clone(),
            ))
        });
        rows.collect::<Vec<_>>()
    };
    for (name, text) in below("identity.issuers.", ".public") {
        let at = format!("identity.issuers.{name}");
        let (issuer, key) = name
            .split_once('/')
            .ok_or_else(|| format!("{at} names no key"))?;
        let public =
            parse_public_key(&text).ok_or_else(|| format!("{at}.public is no public key"))?;
        let until = state
            .contains_key(&format!("{at}.until"))
            .then(|| whole(&format!("{at}.until")))
            .transpose()?;
        let key = Key {
            name: key.into(),
            public,
            from: whole(&format!("{at}.from"))?,
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
    for (name, text) in below("identity.tenants.", ".accounts") {
        let accounts: Result<_, String> = text
            .split(',')
            .filter(|a| !a.is_empty())
            .map(values::account)
            .collect();
        let place = |class: &str| {
            let at = classes.iter().position(|c| c == class && !class.is_empty());
            let at = at.and_then(|n| u8::try_from(n).ok());
            at.ok_or_else(|| format!("identity.tenants.{name}.classes: there is no class {class}"))
        };
        let some = state.get(&format!("identity.tenants.{name}.classes"));
        let some = some
            .map(|list| list.split(',').map(place).collect::<Result<_, _>>())
            .transpose()?;
        tenants.push(Tenant {
            name: name.clone(),
            names: Vec::new(),
            accounts: accounts?,
            classes: some,
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
