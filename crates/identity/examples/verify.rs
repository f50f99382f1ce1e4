//! Measures the cost of verifying a token: not cached, cached, and refused for a wrong signature.
//!
//!     cargo run --release -p wrenfork-identity --example verify
//!
//! `docs/measurements/identity.md` has the results.

use ed25519_dalek::SigningKey;
use std::time::Instant;
use wrenfork_identity::cache::Cache;
use wrenfork_identity::token::{sign, Claims};
use wrenfork_identity::trust::{Issuer, Key, Trust};

/// The time of verification, in seconds of Unix time.
const NOW: u64 = 1_800_000_000;
const TOKENS: usize = 2_000;
const ROUNDS: usize = 7;

fn main() {
    let key = SigningKey::from_bytes(&[1; 32]);
    let issuer_key = Key {
        name: "1".into(),
        public: key.verifying_key(),
        from: 0,
        until: None,
    };
    let issuers = vec![Issuer {
        name: "desk".into(),
        keys: vec![issuer_key],
    }];
    let trust = Trust {
        audience: "bangna".into(),
        issuers,
        ..Trust::default()
    };
    let token = |n: usize, signing_key: &SigningKey| {
        let claims = Claims {
            issuer: "desk".into(),
            key: "1".into(),
            public: key.verifying_key(),
            audience: "bangna".into(),
            tenant: format!("tenant-{n}"),
            accounts: Some(vec![n as u64]),
            classes: None,
            from: NOW,
            until: NOW + 600,
        };
        sign(&claims, signing_key).into_bytes()
    };
    let valid: Vec<Vec<u8>> = (0..TOKENS).map(|n| token(n, &key)).collect();
    let forged: Vec<Vec<u8>> = (0..TOKENS)
        .map(|n| token(n, &SigningKey::from_bytes(&[2; 32])))
        .collect();
    let mut rows: [Vec<f64>; 3] = Default::default();
    for _ in 0..ROUNDS {
        let mut cache = Cache::new(TOKENS);
        for (row, tokens) in [(0, &valid), (1, &valid), (2, &forged)] {
            let start = Instant::now();
            let accepted = tokens
                .iter()
                .filter(|t| cache.verify(t, &trust, NOW, true).is_ok())
                .count();
            rows[row].push(start.elapsed().as_secs_f64() * 1e6 / TOKENS as f64);
            assert_eq!(accepted, if row < 2 { TOKENS } else { 0 });
        }
    }
    println!("| token | microseconds, median of {ROUNDS} rounds of {TOKENS} | least to most |\n| --- | --- | --- |");
    for (name, mut row) in ["first", "cached", "forged"].into_iter().zip(rows) {
        row.sort_by(f64::total_cmp);
        println!(
            "| {name} | {:.2} | {:.2} to {:.2} |",
            row[ROUNDS / 2],
            row[0],
            row[ROUNDS - 1]
        );
    }
}
