//! The outcome of a request at a state machine that stores its state before it responds.

/// What comes of a request, for a state machine with state `S` and responses `R`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step<S, R> {
    /// Respond; there is nothing to store.
    Respond(R),
    /// Store the state, report it with `persisted`, and only then respond. If it can't be stored, nothing has happened.
    Persist {
        /// The complete new state.
        state: Box<S>,
        /// The response.
        response: R,
        /// Whether what is enforced changes, which is done in one step once the state is stored.
        applies: bool,
    },
}
