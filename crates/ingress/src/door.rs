//! Who may come in: what a connection or a request has proved, held against the tenants' rights at each request.

use crate::config::Callers;
use std::sync::Arc;
use wrenfork_decision::Micros;
use wrenfork_identity::cache::Cache;
use wrenfork_identity::rights::Caller;
use wrenfork_identity::sources::{Source, Sources};
use wrenfork_identity::token::{holds, Claims};
use wrenfork_identity::Refusal;

/// Tokens whose signature need not be checked again.
const MOST_CACHED: usize = 4_096;

/// What a connection has proved.
#[derive(Clone)]
pub struct Proof {
    claims: Arc<Claims>,
    caller: Caller,
    /// The door's, when it was found: tenants may have changed since.
    generation: u64,
}

/// The door.
pub struct Door {
    callers: Callers,
    cache: Cache,
    sources: Sources,
    generation: u64,
}

impl Door {
    /// For these callers.
    pub fn new(callers: Callers) -> Door {
        Door {
            callers,
            cache: Cache::new(MOST_CACHED),
            sources: Sources::default(),
            generation: 0,
        }
    }

    /// Others from now on; what was checked stays checked, and is held against the new ones with the next request.
    pub fn change(&mut self, callers: Callers) {
        (self.callers, self.generation) = (callers, self.generation + 1);
    }

    fn proof(&self, claims: Arc<Claims>) -> Result<Proof, Refusal> {
        let caller = self.callers.tenants.by_token(&claims, None)?;
        Ok(Proof {
            claims,
            caller,
            generation: self.generation,
        })
    }

    /// What a token proves at a time; `source` says where it came from.
    ///
    /// # Errors
    ///
    /// Why nothing.
    pub fn auth(&mut self, token: &[u8], source: Source, now: Micros) -> Result<Proof, Refusal> {
        let (checked, may) = (self.cache.checked, self.sources.may(source, now));
        let claims = self
            .cache
            .verify(token, &self.callers.trust, now / 1_000_000, may);
        if claims.is_err() && self.cache.checked > checked {
            self.sources.failed(source, now);
        }
        self.proof(claims?)
    }

    /// Whether a request may come in: by its own token, or else by what its connection has proved.
    ///
    /// # Errors
    ///
    /// Why not.
    pub fn may(
        &mut self,
        connection: &mut Option<Proof>,
        token: Option<(&[u8], Source)>,
        (account, class): (u64, u8),
        now: Micros,
    ) -> Result<(), Refusal> {
        let own;
        let proof = match (token, connection) {
            (Some((token, source)), _) => {
                own = self.auth(token, source, now)?;
                &own
            }
            (None, Some(proof)) => {
                if proof.generation != self.generation {
                    *proof = self.proof(proof.claims.clone())?;
                }
                holds(&proof.claims, &self.callers.trust, now / 1_000_000)?;
                proof
            }
            (None, None) if self.callers.required => return Err(Refusal::Nobody),
            (None, None) => return Ok(()),
        };
        self.callers.tenants.may(&proof.caller, account, class)
    }
}
