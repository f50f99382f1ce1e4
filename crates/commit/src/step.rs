//! The outcome of a request at a state machine that must store its state before it responds.

/// Outcome of a request, for a state machine with state `S` and responses `R`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step<S, R> {
    /// Send this response; the state is unchanged.
    Respond(R),
    /// Store the state, pass it to the state machine's `persisted` method, and only then send the response. If the state
    /// can't be stored, the request has had no effect.
    Persist {
        /// The complete new state, which replaces the stored one.
        state: Box<S>,
        /// Response to send once the state is stored.
        response: R,
        /// Whether the enforced configuration changes. The caller switches to it in one step once the state is stored.
        applies: bool,
    },
}
