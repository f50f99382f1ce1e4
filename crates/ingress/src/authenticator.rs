//! Authentication and authorization of requests: what a connection or a request has proved, checked against the tenants' rights
//! at each request.

use crate::config::Callers;
use std::sync::Arc;
use wrenfork_decision::{Micros, Request};
use wrenfork_identity::cache::Cache;
use wrenfork_identity::rights::Caller;
use wrenfork_identity::sources::{Source, Sources};
use wrenfork_identity::token::{check_claims, Claims};
use wrenfork_identity::Refusal;

/// Tokens whose signature need not be verified again.
const MAX_CACHED_TOKENS: usize = 4_096;
/// Token times are in seconds of Unix time.
const MICROS_PER_SECOND: Micros = 1_000_000;

/// Who a connection has proved to be.
#[derive(Clone)]
pub struct AuthenticatedCaller {
    claims: Arc<Claims>,
    caller: Caller,
    /// The authenticator's when it was found: tenants may have changed since.
    generation: u64,
}

/// A token that a request carries, and where it came from.
#[derive(Clone, Copy)]
pub struct PresentedToken<'a> {
    /// The token's text.
    pub token: &'a [u8],
    /// The address or user that sent it: failures are limited by source.
    pub source: Source,
}

/// Decides who may send what.
pub struct Authenticator {
    callers: Callers,
    cache: Cache,
    sources: Sources,
    generation: u64,
}

impl Authenticator {
    /// For these callers.
    pub fn new(callers: Callers) -> Authenticator {
        Authenticator {
            callers,
            cache: Cache::new(MAX_CACHED_TOKENS),
            sources: Sources::default(),
            generation: 0,
        }
    }

    /// Has other callers from now on; a token that was verified stays so, and is checked against the new ones with the next
    /// request.
    pub fn set_callers(&mut self, callers: Callers) {
        self.callers = callers;
        self.generation += 1;
    }

    fn caller_of(&self, claims: Arc<Claims>) -> Result<AuthenticatedCaller, Refusal> {
        let caller = self.callers.tenants.by_token(&claims, None)?;
        Ok(AuthenticatedCaller {
            claims,
            caller,
            generation: self.generation,
        })
    }

    /// Whom a token proves its sender to be.
    ///
    /// # Errors
    ///
    /// Where it proves nothing, or its source has failed too often.
    pub fn authenticate(
        &mut self,
        presented: PresentedToken<'_>,
        now: Micros,
    ) -> Result<AuthenticatedCaller, Refusal> {
        let PresentedToken { token, source } = presented;
        let verified_before = self.cache.verifications;
        let may_verify = self.sources.may_verify(source, now);
        let seconds = now / MICROS_PER_SECOND;
        let claims = self
            .cache
            .verify(token, &self.callers.trust, seconds, may_verify);
        if claims.is_err() && self.cache.verifications > verified_before {
            self.sources.record_failure(source, now);
        }
        self.caller_of(claims?)
    }

    /// Whether a request may be admitted: by its own token, or else by what its connection has proved.
    ///
    /// # Errors
    ///
    /// Where neither allows it.
    pub fn authorize(
        &mut self,
        connection: &mut Option<AuthenticatedCaller>,
        presented: Option<PresentedToken<'_>>,
        request: &Request,
        now: Micros,
    ) -> Result<(), Refusal> {
        let own;
        let caller = match (presented, connection) {
            (Some(presented), _) => {
                own = self.authenticate(presented, now)?;
                &own
            }
            (None, Some(caller)) => {
                self.refresh(caller, now)?;
                caller
            }
            (None, None) if self.callers.required => return Err(Refusal::Unauthenticated),
            (None, None) => return Ok(()),
        };
        let (account, class) = (request.customer.0, request.class);
        self.callers
            .tenants
            .authorize(&caller.caller, account, class)
    }

    /// Checks what a connection has proved against the tenants and the time of now.
    fn refresh(&self, caller: &mut AuthenticatedCaller, now: Micros) -> Result<(), Refusal> {
        if caller.generation != self.generation {
            *caller = self.caller_of(caller.claims.clone())?;
        }
        check_claims(&caller.claims, &self.callers.trust, now / MICROS_PER_SECOND)
    }
}
