//! Why a command is refused, in words for the client.

use std::fmt;

/// An option of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Field {
    /// The class.
    Class,
    /// The plan.
    Plan,
    /// The idempotency key.
    Key,
    /// How long the client waits.
    Wait,
    /// How many units the request takes.
    Units,
    /// Over how many ingresses the customer spreads its requests.
    Spread,
    /// The first of these ingresses.
    First,
    /// The token that proves who the client is.
    Token,
}

impl Field {
    /// Its name in the options.
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
    /// It has too few arguments, or too many.
    #[error("{0} arguments are wanted, with the command")]
    ArgumentCount(usize),
    /// The customer is no number, or out of range.
    #[error("the customer is no number of 16 hex digits below 2^33")]
    Customer,
    /// The id is empty, too long, or has other bytes than printable ASCII.
    #[error("the id is no plain word")]
    Id,
    /// An option has no value.
    #[error("an option has no '='")]
    NoValue,
    /// An option is given twice.
    #[error("{0} is given twice")]
    Twice(Field),
    /// An option is missing, or its value is no plain word.
    #[error("{0} is missing")]
    Missing(Field),
    /// An option is no whole number, or too large.
    #[error("{field} is no whole number up to {max}")]
    NoWholeNumber {
        /// The option.
        field: Field,
        /// The largest value.
        max: u64,
    },
    /// An option is no number.
    #[error("{0} is no number")]
    NoNumber(Field),
    /// A number is out of the range that the settings allow.
    #[error("{0} is out of range")]
    OutOfRange(Field),
    /// The settings have no class of this name.
    #[error("the class is unknown")]
    UnknownClass,
    /// The settings have no plan of this name.
    #[error("the plan is unknown")]
    UnknownPlan,
    /// The account is not one of the application that this ingress serves.
    #[error("the account is not this application's")]
    ForeignAccount,
    /// The application may not send requests of this class.
    #[error("the application may not send this class")]
    ClassNotAllowed,
    /// The command is not the one for requests of this class.
    #[error("CALL.GET is for classes that are safe to repeat, CALL.POST for the others")]
    WrongCommand,
}
