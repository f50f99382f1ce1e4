//! Signed tokens: PASETO version 4, public (Ed25519), and nothing else. The form has no field that names an algorithm, so
//! that no token can choose how it is checked: `none`, or a public key taken for a shared one, can't be said in it.
//!
//! The footer names issuer and key, `{"kid":"desk/2026-12"}`; the claims are JSON: `iss`, `aud`, `sub` (the tenant), `iat`, `nbf`
//! and `exp` as RFC 3339, and what this token may do of what its tenant may: `accounts` (16 hex digits each) and
//! `classes`. From the public specification of PASETO (github.com/paseto-standard/paseto-spec).

use crate::trust::{Key, Trust};
use crate::{Refusal, Seconds};
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use base64::Engine;
use ed25519_dalek::{Signature, Signer, SigningKey, VerifyingKey, SIGNATURE_LENGTH};
use serde::{Deserialize, Serialize};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

const HEADER: &str = "v4.public.";
/// The longest token, in bytes.
pub const MOST_BYTES: usize = 4 * 1024;
/// The most accounts and classes that one token names.
const MOST_NAMED: usize = 64;

/// What a token says, once its signature has been checked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claims {
    /// Who signed it.
    pub issuer: String,
    /// With which of its keys.
    pub key: String,
    /// The half of that key by which it was checked: another one under the same name is another key.
    pub public: VerifyingKey,
    /// Whom it is for.
    pub audience: String,
    /// On whose behalf.
    pub tenant: String,
    /// The accounts that it may name; none for all of the tenant's.
    pub accounts: Option<Vec<u64>>,
    /// The classes that it may send; none for all that the tenant may.
    pub classes: Option<Vec<String>>,
    /// It holds from then on.
    pub from: Seconds,
    /// Until then.
    pub until: Seconds,
}

#[derive(Serialize, Deserialize)]
struct Footer {
    kid: String,
}

#[derive(Serialize, Deserialize)]
struct Body {
    iss: String,
    aud: String,
    sub: String,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    iat: Option<String>,
    nbf: String,
    exp: String,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    accounts: Option<Vec<String>>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    classes: Option<Vec<String>>,
}

/// What is signed: the parts with their number and lengths, so that no two lists of parts are the same bytes.
fn parts(list: &[&[u8]]) -> Vec<u8> {
    let length = |n: usize| (n as u64 & (u64::MAX >> 1)).to_le_bytes();
    let mut out = length(list.len()).to_vec();
    for part in list {
        out.extend_from_slice(&length(part.len()));
        out.extend_from_slice(part);
    }
    out
}

/// Reads a moment in UTC, such as `2026-12-01T00:00:00Z`.
pub fn moment(text: &str) -> Option<Seconds> {
    humantime::parse_rfc3339(text)
        .ok()?
        .duration_since(UNIX_EPOCH)
        .ok()
        .map(|d| d.as_secs())
}

fn time(text: &str) -> Result<Seconds, Refusal> {
    moment(text).ok_or(Refusal::Form)
}

/// A moment as it is written.
pub fn told(at: Seconds) -> String {
    // Years beyond four digits can't be told; no token holds for so long.
    let at = SystemTime::UNIX_EPOCH + Duration::from_secs(at.min(253_402_300_799));
    humantime::format_rfc3339_seconds(at).to_string()
}

fn account(text: &str) -> Result<u64, Refusal> {
    let hex = text.len() == 16
        && text
            .bytes()
            .all(|b| b.is_ascii_digit() || (b'a'..=b'f').contains(&b));
    u64::from_str_radix(text, 16)
        .ok()
        .filter(|_| hex)
        .ok_or(Refusal::Form)
}

/// Checks a token: its form, its signature, its key and its times.
///
/// # Errors
///
/// The reason; nothing that the token says is believed then.
pub fn verify(text: &[u8], trust: &Trust, now: Seconds) -> Result<Claims, Refusal> {
    if text.len() > MOST_BYTES {
        return Err(Refusal::TooLong);
    }
    let text = std::str::from_utf8(text).map_err(|_| Refusal::Form)?;
    let Some(rest) = text.strip_prefix(HEADER) else {
        // A JWT, or another version or purpose.
        let other = text.split('.').count() >= 3;
        return Err(if other { Refusal::Kind } else { Refusal::Form });
    };
    let (body, footer) = rest.split_once('.').ok_or(Refusal::Issuer)?;
    let bytes = |part: &str| URL_SAFE_NO_PAD.decode(part).map_err(|_| Refusal::Form);
    let (body, footer) = (bytes(body)?, bytes(footer)?);
    let at = body
        .len()
        .checked_sub(SIGNATURE_LENGTH)
        .ok_or(Refusal::Form)?;
    let (message, signature) = body.split_at(at);
    let signature = Signature::from_slice(signature).map_err(|_| Refusal::Form)?;
    // What the footer says is believed only as far as to which key it is.
    let named: Footer = serde_json::from_slice(&footer).map_err(|_| Refusal::Form)?;
    let (issuer, name) = named.kid.split_once('/').ok_or(Refusal::Issuer)?;
    let key = trust.key(issuer, name).ok_or(Refusal::Issuer)?;
    let signed = parts(&[HEADER.as_bytes(), message, &footer, b""]);
    key.public
        .verify_strict(&signed, &signature)
        .map_err(|_| Refusal::Signature)?;
    let claims = read(message, issuer, key)?;
    holds(&claims, trust, now)?;
    Ok(claims)
}

fn read(message: &[u8], issuer: &str, key: &Key) -> Result<Claims, Refusal> {
    let body: Body = serde_json::from_slice(message).map_err(|_| Refusal::Form)?;
    // One issuer's key signs nothing in another's name.
    if body.iss != issuer {
        return Err(Refusal::Issuer);
    }
    let named = body
        .accounts
        .iter()
        .map(Vec::len)
        .chain(body.classes.iter().map(Vec::len));
    if named.max().unwrap_or(0) > MOST_NAMED {
        return Err(Refusal::TooLong);
    }
    let accounts = body
        .accounts
        .map(|list| {
            list.iter()
                .map(|a| account(a))
                .collect::<Result<Vec<_>, _>>()
        })
        .transpose()?;
    Ok(Claims {
        issuer: body.iss,
        key: key.name.clone(),
        public: key.public,
        audience: body.aud,
        tenant: body.sub,
        accounts,
        classes: body.classes,
        from: time(&body.nbf)?,
        until: time(&body.exp)?,
    })
}

/// Whether claims that were checked once still hold: their times, their audience, and the key that signed them.
///
/// # Errors
///
/// The reason why not.
pub fn holds(claims: &Claims, trust: &Trust, now: Seconds) -> Result<(), Refusal> {
    let key = trust
        .key(&claims.issuer, &claims.key)
        .filter(|k| k.public == claims.public);
    if !key.ok_or(Refusal::Issuer)?.taken(now) {
        return Err(Refusal::Key);
    }
    if claims.audience != trust.audience {
        return Err(Refusal::Audience);
    }
    if now >= claims.until.saturating_add(trust.skew) {
        return Err(Refusal::Expired);
    }
    if now.saturating_add(trust.skew) < claims.from {
        return Err(Refusal::Early);
    }
    if claims.until.saturating_sub(claims.from) > trust.longest {
        return Err(Refusal::TooLasting);
    }
    Ok(())
}

/// Signs a token; `public` of the claims is not looked at.
pub fn sign(claims: &Claims, with: &SigningKey) -> String {
    let accounts = claims
        .accounts
        .as_ref()
        .map(|l| l.iter().map(|a| format!("{a:016x}")).collect());
    let body = Body {
        iss: claims.issuer.clone(),
        aud: claims.audience.clone(),
        sub: claims.tenant.clone(),
        iat: None,
        nbf: told(claims.from),
        exp: told(claims.until),
        accounts,
        classes: claims.classes.clone(),
    };
    let kid = format!("{}/{}", claims.issuer, claims.key);
    let (message, footer) = (
        serde_json::to_vec(&body).unwrap_or_default(),
        serde_json::to_vec(&Footer { kid }).unwrap_or_default(),
    );
    seal(&message, &footer, with)
}

/// Signs any message and footer.
pub fn seal(message: &[u8], footer: &[u8], with: &SigningKey) -> String {
    let signature = with.sign(&parts(&[HEADER.as_bytes(), message, footer, b""]));
    let body = URL_SAFE_NO_PAD.encode([message, &signature.to_bytes()].concat());
    format!("{HEADER}{body}.{}", URL_SAFE_NO_PAD.encode(footer))
}
