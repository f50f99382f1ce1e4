//! Why a caller is turned away.

/// A reason, the same in answers, logs and figures. Neither a key nor any part of a token is in it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Refusal {
    /// Nothing was proved, and something must be.
    Nobody,
    /// It is no token of the one form that is taken.
    Form,
    /// A token of another kind or version: other algorithms are not taken, whatever they say.
    Kind,
    /// It is longer than a token may be.
    TooLong,
    /// Nobody who is trusted goes by its issuer or its key's name.
    Issuer,
    /// Its signature is not that of the key it names.
    Signature,
    /// The key that signed it is not used yet, or was withdrawn.
    Key,
    /// It is for somebody else.
    Audience,
    /// Its time is over.
    Expired,
    /// Its time has not begun.
    Early,
    /// It holds for longer than a token may.
    TooLasting,
    /// It was not looked at: too many bad ones came from there.
    Crowd,
    /// Whoever it names is no tenant here.
    Tenant,
    /// The tenant may not name this account.
    Account,
    /// The tenant, or the token, may not send this class.
    Class,
    /// The certificate has no name that leads to a tenant, or names that lead to two.
    Names,
}

impl Refusal {
    /// All of them.
    pub const ALL: [Refusal; 16] = [
        Refusal::Nobody,
        Refusal::Form,
        Refusal::Kind,
        Refusal::TooLong,
        Refusal::Issuer,
        Refusal::Signature,
        Refusal::Key,
        Refusal::Audience,
        Refusal::Expired,
        Refusal::Early,
        Refusal::TooLasting,
        Refusal::Crowd,
        Refusal::Tenant,
        Refusal::Account,
        Refusal::Class,
        Refusal::Names,
    ];

    /// Its code, such as `I105`.
    pub fn code(self) -> &'static str {
        match self {
            Refusal::Nobody => "I100",
            Refusal::Form => "I101",
            Refusal::Kind => "I102",
            Refusal::TooLong => "I103",
            Refusal::Issuer => "I104",
            Refusal::Signature => "I105",
            Refusal::Key => "I106",
            Refusal::Audience => "I107",
            Refusal::Expired => "I108",
            Refusal::Early => "I109",
            Refusal::TooLasting => "I110",
            Refusal::Crowd => "I111",
            Refusal::Tenant => "I201",
            Refusal::Account => "I202",
            Refusal::Class => "I203",
            Refusal::Names => "I204",
        }
    }

    /// In plain words.
    pub fn why(self) -> &'static str {
        match self {
            Refusal::Nobody => "nothing says who is calling",
            Refusal::Form => "this is no token",
            Refusal::Kind => "tokens of this kind are not taken",
            Refusal::TooLong => "the token is too long",
            Refusal::Issuer => "the token's issuer or key is unknown here",
            Refusal::Signature => "the token's signature is wrong",
            Refusal::Key => "the token's key is not in use",
            Refusal::Audience => "the token is for somebody else",
            Refusal::Expired => "the token's time is over",
            Refusal::Early => "the token's time has not begun",
            Refusal::TooLasting => "the token holds for too long",
            Refusal::Crowd => "too many bad tokens came from there: try again later",
            Refusal::Tenant => "the caller is no tenant here",
            Refusal::Account => "the caller may not use this account",
            Refusal::Class => "the caller may not send this class",
            Refusal::Names => "the certificate leads to no tenant",
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
    fn codes_are_given_once_and_in_order() {
        let codes: Vec<&str> = Refusal::ALL.iter().map(|r| r.code()).collect();
        let mut sorted = codes.clone();
        sorted.sort_unstable();
        sorted.dedup();
        assert_eq!(codes, sorted);
    }
}
