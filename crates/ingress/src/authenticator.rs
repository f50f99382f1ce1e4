//! Authentication of connections and requests by tokens, and authorization of each request by the rights of its tenant.

use crate::config::Callers;
use std::sync::Arc;
use wrenfork_decision::{Micros, Request};
use wrenfork_identity::cache::Cache;
use wrenfork_identity::rights::Caller;
use wrenfork_identity::sources::{Source, Sources};
use wrenfork_identity::token::{check_claims, Claims};
use wrenfork_identity::Refusal;

/// Maximum number of tokens whose verified signature is cached.
const MAX_CACHED_TOKENS: usize = 4_096;
/// Conversion to token times, which are in seconds of Unix time.
const MICROS_PER_SECOND: Micros = 1_000_000;

/// The authenticated identity of a connection or request.
#[derive(Clone)]
pub struct AuthenticatedCaller {
    claims: Arc<Claims>,
    caller: Caller,
    /// Generation of the authenticator when `caller` was resolved; tenants may have changed since.
    generation: u64,
}

/// A token and the source that sent it.
#[derive(Clone, Copy)]
pub struct PresentedToken<'a> {
    /// Encoded text of the token.
    pub token: &'a [u8],
    /// Address or user that sent the token; failed verifications are limited by source.
    pub source: Source,
}

/// Authenticates callers and authorizes their requests.
pub struct Authenticator {
    callers: Callers,
    cache: Cache,
    sources: Sources,
    /// Increased with each change of `callers`.
    generation: u64,
}

impl Authenticator {
    /// Creates an authenticator for these trusted keys and tenants.
    pub fn new(callers: Callers) -> Authenticator {
        Authenticator {
            callers,
            cache: Cache::new(MAX_CACHED_TOKENS),
            sources: Sources::default(),
            generation: 0,
        }
    }

    /// Replaces the trusted keys and tenants. Verified tokens stay cached, and are checked against the new tenants with the next
    /// request.
    pub fn set_callers(&mut self, callers: Callers) {
        self.callers = callers;
        self.generation += 1;
    }

    fn resolve_caller(&self, claims: Arc<Claims>) -> Result<AuthenticatedCaller, Refusal> {
        let caller = self.callers.tenants.by_token(&claims, None)?;
        Ok(AuthenticatedCaller {
            claims,
            caller,
            generation: self.generation,
        })
    }

    /// Verifies a token and resolves its caller.
    ///
    /// # Errors
    ///
    /// If the token is invalid, or its source has had too many failures.
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
        self.resolve_caller(claims?)
    }

    /// Checks whether a request may be admitted: by its own token if it has one, otherwise by the authentication of its
    /// connection.
    ///
    /// # Errors
    ///
    /// If the caller is not authenticated or has no right to the request.
    pub fn authorize(
        &mut self,
        connection: &mut Option<AuthenticatedCaller>,
        presented: Option<PresentedToken<'_>>,
        request: &Request,
        now: Micros,
    ) -> Result<(), Refusal> {
        let from_request;
        let caller = match (presented, connection) {
            (Some(presented), _) => {
                from_request = self.authenticate(presented, now)?;
                &from_request
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

    /// Checks the authentication of a connection against the current tenants and the current time.
    fn refresh(&self, caller: &mut AuthenticatedCaller, now: Micros) -> Result<(), Refusal> {
        if caller.generation != self.generation {
            *caller = self.resolve_caller(caller.claims.clone())?;
        }
        check_claims(&caller.claims, &self.callers.trust, now / MICROS_PER_SECOND)
    }
}
