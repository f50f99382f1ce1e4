//! A bounded cache of verified tokens, keyed by the SHA-256 of the token's bytes. A signature is verified once; validity times,
//! audience and key are checked at each use, as they may have changed. The token itself is not stored.

use crate::token::{check_claims, verify, Claims};
use crate::trust::Trust;
use crate::{Refusal, Seconds};
use sha2::{Digest, Sha256};
use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

/// The claims of verified tokens.
#[derive(Debug)]
pub struct Cache {
    claims_by_digest: HashMap<[u8; 32], Arc<Claims>>,
    /// Digests in order of insertion, oldest first.
    order: VecDeque<[u8; 32]>,
    capacity: usize,
    /// How many tokens were verified because they were not in the cache.
    pub verifications: u64,
}

impl Cache {
    /// An empty cache that keeps at most `capacity` tokens, and at least one.
    pub fn new(capacity: usize) -> Cache {
        Cache {
            claims_by_digest: HashMap::new(),
            order: VecDeque::new(),
            capacity: capacity.max(1),
            verifications: 0,
        }
    }

    /// Returns the claims of a valid token. A token that is not in the cache is verified only if `may_verify` is true.
    ///
    /// # Errors
    ///
    /// The reason why the token is refused. A cached token that is no longer valid is removed.
    pub fn verify(
        &mut self,
        text: &[u8],
        trust: &Trust,
        now: Seconds,
        may_verify: bool,
    ) -> Result<Arc<Claims>, Refusal> {
        let digest: [u8; 32] = Sha256::digest(text).into();
        if let Some(claims) = self.claims_by_digest.get(&digest) {
            return match check_claims(claims, trust, now) {
                Ok(()) => Ok(claims.clone()),
                // The token may become valid later, as its key or its `nbf` time may lie in the
                // future; it is then verified again.
                Err(refusal) => {
                    self.claims_by_digest.remove(&digest);
                    self.order.retain(|d| *d != digest);
                    Err(refusal)
                }
            };
        }
        if !may_verify {
            return Err(Refusal::RateLimited);
        }
        self.verifications += 1;
        let claims = Arc::new(verify(text, trust, now)?);
        if self.claims_by_digest.len() >= self.capacity {
            if let Some(oldest) = self.order.pop_front() {
                self.claims_by_digest.remove(&oldest);
            }
        }
        self.claims_by_digest.insert(digest, claims.clone());
        self.order.push_back(digest);
        Ok(claims)
    }

    /// How many tokens are in the cache.
    pub fn len(&self) -> usize {
        self.claims_by_digest.len()
    }

    /// Whether the cache has no tokens.
    pub fn is_empty(&self) -> bool {
        self.claims_by_digest.is_empty()
    }
}
