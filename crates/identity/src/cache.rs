//! Tokens that were checked, by the digest of their bytes: a signature is checked once, and what may change since, times and
//! keys, at each use. Of bounded size; a token itself is not kept.

use crate::token::{holds, verify, Claims};
use crate::trust::Trust;
use crate::{Refusal, Seconds};
use sha2::{Digest, Sha256};
use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

/// Tokens that were checked.
#[derive(Debug)]
pub struct Cache {
    known: HashMap<[u8; 32], Arc<Claims>>,
    /// The oldest first.
    order: VecDeque<[u8; 32]>,
    most: usize,
    /// Signatures that were checked: what a caller without a cached token costs.
    pub checked: u64,
}

impl Cache {
    /// For so many tokens.
    pub fn new(most: usize) -> Cache {
        Cache {
            known: HashMap::new(),
            order: VecDeque::new(),
            most: most.max(1),
            checked: 0,
        }
    }

    /// What a token says, checked now or before; one that was not is looked at only where that is allowed.
    ///
    /// # Errors
    ///
    /// The reason; a token that does not hold any more is forgotten.
    pub fn verify(
        &mut self,
        text: &[u8],
        trust: &Trust,
        now: Seconds,
        allowed: bool,
    ) -> Result<Arc<Claims>, Refusal> {
        let digest: [u8; 32] = Sha256::digest(text).into();
        if let Some(claims) = self.known.get(&digest) {
            return match holds(claims, trust, now) {
                Ok(()) => Ok(claims.clone()),
                // One whose key comes later, or whose time does, may be shown again.
                Err(why) => {
                    self.known.remove(&digest);
                    self.order.retain(|d| *d != digest);
                    Err(why)
                }
            };
        }
        if !allowed {
            return Err(Refusal::Crowd);
        }
        self.checked += 1;
        let claims = Arc::new(verify(text, trust, now)?);
        if self.known.len() >= self.most {
            if let Some(oldest) = self.order.pop_front() {
                self.known.remove(&oldest);
            }
        }
        self.known.insert(digest, claims.clone());
        self.order.push_back(digest);
        Ok(claims)
    }

    /// How many are kept.
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Whether none is.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }
}
