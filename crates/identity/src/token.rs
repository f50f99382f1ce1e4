//! Signed tokens: PASETO version 4, public (Ed25519), and nothing else. The format has no field that names an algorithm, so a
//! token cannot choose how it is verified. The JWT attacks with `alg: none`, or with the public key used as an HMAC secret, are
//! ruled out.
//!
//! The footer names issuer and key, `{"kid":"desk/2026-12"}`. The claims are JSON: `iss`, `aud`, `sub` (the tenant), `iat`, `nbf`
//! and `exp` as RFC 3339, and optional limits on the tenant's rights: `accounts` (16 hex digits each) and `classes`. Follows the
//! public specification of PASETO (github.com/paseto-standard/paseto-spec).

use crate::trust::{Key, Trust};
use crate::{Refusal, Seconds};
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use base64::Engine;
use ed25519_dalek::{Signature, Signer, SigningKey, VerifyingKey, SIGNATURE_LENGTH};
use serde::{Deserialize, Serialize};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

const HEADER: &str = "v4.public.";
/// The maximum length of a token, in bytes.
pub const MAX_TOKEN_BYTES: usize = 4 * 1024;
/// The maximum number of accounts, and of classes, in one token.
const MAX_LIST_ENTRIES: usize = 64;

/// The claims of a token, with the key that its signature is verified by.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claims {
    /// The name of the issuer that signed the token (`iss`).
    pub issuer: String,
    /// The name of the issuer's key that signed the token.
    pub key: String,
    /// The public key that verified the signature. If the issuer lists another public key under the same name later, the token
    /// is refused.
    pub public: VerifyingKey,
    /// The name of the installation that the token is for (`aud`).
    pub audience: String,
    /// The tenant that the caller acts for (`sub`).
    pub tenant: String,
    /// The accounts that the token is limited to; `None` allows all accounts of the tenant.
    pub accounts: Option<Vec<u64>>,
    /// The classes that the token is limited to; `None` allows all classes of the tenant.
    pub classes: Option<Vec<String>>,
    /// The token is valid from this time on (`nbf`).
    pub from: Seconds,
    /// The token is valid before this time (`exp`).
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

/// The bytes that are signed: the pre-authentication encoding (PAE) of PASETO. It prefixes the number of parts and the length of
/// each, so that two different lists of parts never have the same encoding.
fn pre_auth_encode(parts: &[&[u8]]) -> Vec<u8> {
    let length = |n: usize| (n as u64 & (u64::MAX >> 1)).to_le_bytes();
    let mut out = length(parts.len()).to_vec();
    for part in parts {
        out.extend_from_slice(&length(part.len()));
        out.extend_from_slice(part);
    }
    out
}

/// Parses a UTC time, such as `2026-12-01T00:00:00Z`. Returns `None` if malformed or before 1970.
pub fn parse_time(text: &str) -> Option<Seconds> {
    humantime::parse_rfc3339(text)
        .ok()?
        .duration_since(UNIX_EPOCH)
        .ok()
        .map(|d| d.as_secs())
}

fn time_claim(text: &str) -> Result<Seconds, Refusal> {
    parse_time(text).ok_or(Refusal::Malformed)
}

/// Formats a time as RFC 3339 in UTC, such as `2026-12-01T00:00:00Z`.
pub fn format_time(time: Seconds) -> String {
    // The format ends with the year 9999; no token is valid for so long.
    let time = SystemTime::UNIX_EPOCH + Duration::from_secs(time.min(253_402_300_799));
    humantime::format_rfc3339_seconds(time).to_string()
}

fn account_claim(text: &str) -> Result<u64, Refusal> {
    let hex = text.len() == 16
        && text
            .bytes()
            .all(|b| b.is_ascii_digit() || (b'a'..=b'f').contains(&b));
    u64::from_str_radix(text, 16)
        .ok()
        .filter(|_| hex)
        .ok_or(Refusal::Malformed)
}

/// Verifies a token: its format, signature, key, audience and validity times.
///
/// # Errors
///
/// The reason why the token is refused. No claim of a refused token may be used.
pub fn verify(token: &[u8], trust: &Trust, now: Seconds) -> Result<Claims, Refusal> {
    if token.len() > MAX_TOKEN_BYTES {
        return Err(Refusal::TooLong);
    }
    let text = std::str::from_utf8(token).map_err(|_| Refusal::Malformed)?;
    let Some(rest) = text.strip_prefix(HEADER) else {
        // A JWT, or another version or purpose of PASETO.
        let other_kind = text.split('.').count() >= 3;
        return Err(if other_kind {
            Refusal::UnsupportedKind
        } else {
            Refusal::Malformed
        });
    };
    let (body, footer) = rest.split_once('.').ok_or(Refusal::UnknownIssuer)?;
    let decode = |part: &str| URL_SAFE_NO_PAD.decode(part).map_err(|_| Refusal::Malformed);
    let (body, footer) = (decode(body)?, decode(footer)?);
    let message_len = body
        .len()
        .checked_sub(SIGNATURE_LENGTH)
        .ok_or(Refusal::Malformed)?;
    let (message, signature) = body.split_at(message_len);
    let signature = Signature::from_slice(signature).map_err(|_| Refusal::Malformed)?;
    // The footer is not verified yet: it is used only to select the key.
    let footer_claims: Footer = serde_json::from_slice(&footer).map_err(|_| Refusal::Malformed)?;
    let (issuer, key_name) = footer_claims
        .kid
        .split_once('/')
        .ok_or(Refusal::UnknownIssuer)?;
    let key = trust.key(issuer, key_name).ok_or(Refusal::UnknownIssuer)?;
    let signed = pre_auth_encode(&[HEADER.as_bytes(), message, &footer, b""]);
    key.public
        .verify_strict(&signed, &signature)
        .map_err(|_| Refusal::BadSignature)?;
    let claims = parse_claims(message, issuer, key)?;
    check_claims(&claims, trust, now)?;
    Ok(claims)
}

fn parse_claims(message: &[u8], issuer: &str, key: &Key) -> Result<Claims, Refusal> {
    let body: Body = serde_json::from_slice(message).map_err(|_| Refusal::Malformed)?;
    // An issuer's key must not sign tokens that claim another issuer.
    if body.iss != issuer {
        return Err(Refusal::UnknownIssuer);
    }
    let list_lengths = body
        .accounts
        .iter()
        .map(Vec::len)
        .chain(body.classes.iter().map(Vec::len));
    if list_lengths.max().unwrap_or(0) > MAX_LIST_ENTRIES {
        return Err(Refusal::TooLong);
    }
    let accounts = body
        .accounts
        .map(|list| {
            list.iter()
                .map(|a| account_claim(a))
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
        from: time_claim(&body.nbf)?,
        until: time_claim(&body.exp)?,
    })
}

/// Checks whether claims of a verified token are valid at the time `now`: their key, audience and validity times.
///
/// # Errors
///
/// The reason why the claims are not valid.
pub fn check_claims(claims: &Claims, trust: &Trust, now: Seconds) -> Result<(), Refusal> {
    let key = trust
        .key(&claims.issuer, &claims.key)
        .filter(|k| k.public == claims.public);
    if !key.ok_or(Refusal::UnknownIssuer)?.is_active(now) {
        return Err(Refusal::InactiveKey);
    }
    if claims.audience != trust.audience {
        return Err(Refusal::WrongAudience);
    }
    if now >= claims.until.saturating_add(trust.skew) {
        return Err(Refusal::Expired);
    }
    if now.saturating_add(trust.skew) < claims.from {
        return Err(Refusal::NotYetValid);
    }
    if claims.until.saturating_sub(claims.from) > trust.longest {
        return Err(Refusal::LifetimeTooLong);
    }
    Ok(())
}

/// Signs a token with the given claims. The `public` field is ignored.
pub fn sign(claims: &Claims, signing_key: &SigningKey) -> String {
    let accounts = claims
        .accounts
        .as_ref()
        .map(|l| l.iter().map(|a| format!("{a:016x}")).collect());
    let body = Body {
        iss: claims.issuer.clone(),
        aud: claims.audience.clone(),
        sub: claims.tenant.clone(),
        iat: None,
        nbf: format_time(claims.from),
        exp: format_time(claims.until),
        accounts,
        classes: claims.classes.clone(),
    };
    let kid = format!("{}/{}", claims.issuer, claims.key);
    let (message, footer) = (
        serde_json::to_vec(&body).unwrap_or_default(),
        serde_json::to_vec(&Footer { kid }).unwrap_or_default(),
    );
    sign_raw(&message, &footer, signing_key)
}

/// Makes a token from any message and footer, well-formed or not.
pub fn sign_raw(message: &[u8], footer: &[u8], signing_key: &SigningKey) -> String {
    let signature = signing_key.sign(&pre_auth_encode(&[HEADER.as_bytes(), message, footer, b""]));
    let body = URL_SAFE_NO_PAD.encode([message, &signature.to_bytes()].concat());
    format!("{HEADER}{body}.{}", URL_SAFE_NO_PAD.encode(footer))
}
