//! Errors for refused commands. Their texts are sent to the client.

use std::fmt;

/// An option of a command, for use in error messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Field {
    /// `c`: name of the class.
    Class,
    /// `t`: name of the plan.
    Plan,
    /// `k`: the idempotency key.
    Key,
    /// `d`: how long the client waits, in milliseconds.
    Wait,
    /// `units`: how many units the request takes.
    Units,
    /// `spread`: number of ingresses over which the customer spreads its requests.
    Spread,
    /// `first`: index of the first of these ingresses.
    First,
    /// `auth`: the token that authenticates the client.
    Token,
}

impl Field {
    /// Name of the option on the wire.
    fn name(self) -> &'static str {
        match self {
            Field::Class => "c",
            Field::Plan => "t",
            Field::Key => "k",
            Field::Wait => "d",
            Field::Units => "units",
            Field::Spread => "spread",
            Field::First => "first",
            Field::Token => "auth",
        }
    }
}

impl fmt::Display for Field {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// Why a command is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    /// Wrong number of arguments. Contains the expected number, including the command name.
    #[error("{0} arguments are wanted, with the command")]
    ArgumentCount(usize),
    /// The customer is not a number of 16 hex digits, or is out of range.
    #[error("the customer is no number of 16 hex digits below 2^33")]
    Customer,
    /// The id is empty, too long, or contains bytes other than printable ASCII.
    #[error("the id is no plain word")]
    Id,
    /// An option has no `=`.
    #[error("an option has no '='")]
    MissingEquals,
    /// An option is given twice.
    #[error("{0} is given twice")]
    Duplicate(Field),
    /// An option is missing, or the idempotency key has an invalid value.
    #[error("{0} is missing")]
    Missing(Field),
    /// The value of an option is not a whole number, or is too large.
    #[error("{field} is no whole number up to {max}")]
    InvalidWholeNumber {
        /// The option with the invalid value.
        field: Field,
        /// Largest value allowed.
        max: u64,
    },
    /// The value of an option is not a number.
    #[error("{0} is no number")]
    InvalidNumber(Field),
    /// A number is out of the range that the settings allow.
    #[error("{0} is out of range")]
    OutOfRange(Field),
    /// The settings have no class of this name.
    #[error("the class is unknown")]
    UnknownClass,
    /// The settings have no plan of this name.
    #[error("the plan is unknown")]
    UnknownPlan,
    /// The account does not belong to the application that this ingress serves.
    #[error("the account is not this application's")]
    ForeignAccount,
    /// The application may not send requests of this class.
    #[error("the application may not send this class")]
    ClassNotAllowed,
    /// The class needs the other command: idempotent classes use CALL.GET, all others CALL.POST.
    #[error("CALL.GET is for classes that are safe to repeat, CALL.POST for the others")]
    WrongCommand,
}
