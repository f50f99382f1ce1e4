//! The reasons for which a caller is refused.

/// The reason why a caller is refused. Responses, logs and metrics use the same code for it. It never contains a key or a part of
/// a token.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Refusal {
    /// The caller presented neither a token nor a certificate, and authentication is required.
    Unauthenticated,
    /// The token is not a well-formed PASETO v4 public token, or a claim is missing or malformed.
    Malformed,
    /// A JWT, or a PASETO of another version or purpose. Only `v4.public` is accepted.
    UnsupportedKind,
    /// The token exceeds [`MAX_TOKEN_BYTES`](crate::token::MAX_TOKEN_BYTES), or lists too many accounts or classes.
    TooLong,
    /// No trusted issuer has a key of the name in the footer, or the `iss` claim differs from the footer's issuer.
    UnknownIssuer,
    /// The signature was not made with the key that the token names.
    BadSignature,
    /// The signing key's period of use has not begun, or has ended.
    InactiveKey,
    /// The audience is another installation.
    WrongAudience,
    /// The `exp` time has passed.
    Expired,
    /// The `nbf` time lies in the future.
    NotYetValid,
    /// The time from `nbf` to `exp` exceeds the longest lifetime allowed.
    LifetimeTooLong,
    /// The token was not verified, because the source has sent too many invalid tokens.
    RateLimited,
    /// The `sub` claim names no known tenant, or another tenant than the certificate does.
    UnknownTenant,
    /// The tenant or the token has no right to this account.
    AccountDenied,
    /// The tenant or the token has no right to send this class.
    ClassDenied,
    /// The names in the certificate belong to no tenant, or to more than one.
    CertificateNames,
}

impl Refusal {
    /// All reasons, in ascending order of their codes.
    pub const ALL: [Refusal; 16] = [
        Refusal::Unauthenticated,
        Refusal::Malformed,
        Refusal::UnsupportedKind,
        Refusal::TooLong,
        Refusal::UnknownIssuer,
        Refusal::BadSignature,
        Refusal::InactiveKey,
        Refusal::WrongAudience,
        Refusal::Expired,
        Refusal::NotYetValid,
        Refusal::LifetimeTooLong,
        Refusal::RateLimited,
        Refusal::UnknownTenant,
        Refusal::AccountDenied,
        Refusal::ClassDenied,
        Refusal::CertificateNames,
    ];

    /// The stable code of the reason, such as `I105`.
    pub fn code(self) -> &'static str {
        match self {
            Refusal::Unauthenticated => "I100",
            Refusal::Malformed => "I101",
            Refusal::UnsupportedKind => "I102",
            Refusal::TooLong => "I103",
            Refusal::UnknownIssuer => "I104",
            Refusal::BadSignature => "I105",
            Refusal::InactiveKey => "I106",
            Refusal::WrongAudience => "I107",
            Refusal::Expired => "I108",
            Refusal::NotYetValid => "I109",
            Refusal::LifetimeTooLong => "I110",
            Refusal::RateLimited => "I111",
            Refusal::UnknownTenant => "I201",
            Refusal::AccountDenied => "I202",
            Refusal::ClassDenied => "I203",
            Refusal::CertificateNames => "I204",
        }
    }

    /// A description for the caller, sent after the code.
    pub fn why(self) -> &'static str {
        match self {
            Refusal::Unauthenticated => "nothing says who is calling",
            Refusal::Malformed => "this is no token",
            Refusal::UnsupportedKind => "tokens of this kind are not taken",
            Refusal::TooLong => "the token is too long",
            Refusal::UnknownIssuer => "the token's issuer or key is unknown here",
            Refusal::BadSignature => "the token's signature is wrong",
            Refusal::InactiveKey => "the token's key is not in use",
            Refusal::WrongAudience => "the token is for somebody else",
            Refusal::Expired => "the token's time is over",
            Refusal::NotYetValid => "the token's time has not begun",
            Refusal::LifetimeTooLong => "the token holds for too long",
            Refusal::RateLimited => "too many bad tokens came from there: try again later",
            Refusal::UnknownTenant => "the caller is no tenant here",
            Refusal::AccountDenied => "the caller may not use this account",
            Refusal::ClassDenied => "the caller may not send this class",
            Refusal::CertificateNames => "the certificate leads to no tenant",
        }
    }
}

impl std::fmt::Display for Refusal {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(f, "{}: {}", self.code(), self.why())
    }
}

impl std::error::Error for Refusal {}

#[cfg(test)]
mod tests {
    use super::Refusal;

    #[test]
    fn refusal_codes_are_unique_and_ascending() {
        let codes: Vec<&str> = Refusal::ALL.iter().map(|r| r.code()).collect();
        let mut sorted = codes.clone();
        sorted.sort_unstable();
        sorted.dedup();
        assert_eq!(codes, sorted);
    }
}
