//! Tokens with one fault each, and callers that exceed their rights: each is refused with the right reason.

// Not done yet, see docs/ROADMAP.md.
#![allow(clippy::too_many_lines)]

use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use base64::Engine;
use ed25519_dalek::SigningKey;
use proptest::prelude::{any, prop, prop_assert, proptest};
use std::collections::BTreeSet;
use wrenfork_identity::cache::Cache;
use wrenfork_identity::rights::{Fault, Name, Tenant, Tenants};
use wrenfork_identity::token::{sign, sign_raw, verify, Claims, MAX_TOKEN_BYTES};
use wrenfork_identity::trust::{Issuer, Key, Trust};
use wrenfork_identity::{Refusal, Seconds};

const NOW: Seconds = 1_800_000_000;

fn signing_key(n: u8) -> SigningKey {
    SigningKey::from_bytes(&[n; 32])
}

fn key(name: &str, n: u8, from: Seconds, until: Option<Seconds>) -> Key {
    Key {
        name: name.into(),
        public: signing_key(n).verifying_key(),
        from,
        until,
    }
}

fn trust() -> Trust {
    let keys = vec![
        key("new", 1, 0, None),
        key("coming", 2, NOW + 60, None),
        key("leaving", 3, 0, Some(NOW + 60)),
        key("gone", 4, 0, Some(NOW)),
    ];
    let other = Issuer {
        name: "other".into(),
        keys: vec![key("new", 5, 0, None)],
    };
    Trust {
        audience: "bangna".into(),
        issuers: vec![
            Issuer {
                name: "desk".into(),
                keys,
            },
            other,
        ],
        ..Trust::default()
    }
}

fn claims() -> Claims {
    Claims {
        issuer: "desk".into(),
        key: "new".into(),
        public: signing_key(1).verifying_key(),
        audience: "bangna".into(),
        tenant: "broker".into(),
        accounts: Some(vec![7]),
        classes: None,
        from: NOW - 10,
        until: NOW + 600,
    }
}

/// The JSON claims of a valid token with one text replaced.
fn message_with(from: &str, to: &str) -> String {
    let valid = r#"{"iss":"desk","aud":"bangna","sub":"broker","nbf":"2027-01-15T07:59:50Z","exp":"2027-01-15T08:10:00Z","accounts":["0000000000000007"]}"#;
    assert!(valid.contains(from), "{from}");
    valid.replace(from, to)
}

const FOOTER: &str = r#"{"kid":"desk/new"}"#;

fn signed(message: &str, footer: &str) -> String {
    sign_raw(message.as_bytes(), footer.as_bytes(), &signing_key(1))
}

fn jwt(header: &str) -> String {
    let part = |t: &str| URL_SAFE_NO_PAD.encode(t);
    format!(
        "{}.{}.{}",
        part(header),
        part(r#"{"sub":"broker"}"#),
        part("signature")
    )
}

/// Invalid tokens: a description, the bytes, and the reason for which the token must be refused.
fn invalid_tokens() -> Vec<(&'static str, Vec<u8>, Refusal)> {
    let good = sign(&claims(), &signing_key(1));
    let claims_with = |change: &dyn Fn(&mut Claims), n: u8| {
        let mut claims = claims();
        change(&mut claims);
        sign(&claims, &signing_key(n)).into_bytes()
    };
    let (body, footer) = good
        .strip_prefix("v4.public.")
        .unwrap()
        .split_once('.')
        .unwrap();
    let bit_flipped = |position: usize| {
        let mut bytes = URL_SAFE_NO_PAD.decode(body).unwrap();
        let position = if position < bytes.len() {
            position
        } else {
            bytes.len() - 1
        };
        bytes[position] ^= 1;
        format!("v4.public.{}.{footer}", URL_SAFE_NO_PAD.encode(bytes)).into_bytes()
    };
    let text = |t: &str| t.as_bytes().to_vec();
    let other_footer = URL_SAFE_NO_PAD.encode(r#"{"kid":"desk/leaving"}"#);
    let unknown_footer = URL_SAFE_NO_PAD.encode(r#"{"kid":"desk/none"}"#);
    vec![
        ("an empty token", Vec::new(), Refusal::Malformed),
        ("a word", text("letmein"), Refusal::Malformed),
        ("not UTF-8", vec![0xff, 0xfe, 0x00], Refusal::Malformed),
        (
            "a JWT without a signature",
            text(&jwt(r#"{"alg":"none"}"#)),
            Refusal::UnsupportedKind,
        ),
        (
            "a JWT with the public key as the HMAC secret",
            text(&jwt(r#"{"alg":"HS256"}"#)),
            Refusal::UnsupportedKind,
        ),
        (
            "a JWT with EdDSA",
            text(&jwt(r#"{"alg":"EdDSA"}"#)),
            Refusal::UnsupportedKind,
        ),
        (
            "PASETO version 3",
            text(&good.replace("v4.", "v3.")),
            Refusal::UnsupportedKind,
        ),
        (
            "PASETO version 4 local (shared key)",
            text(&good.replace("public", "local")),
            Refusal::UnsupportedKind,
        ),
        (
            "header in upper case",
            text(&good.replace("v4.public", "V4.PUBLIC")),
            Refusal::UnsupportedKind,
        ),
        (
            "no footer",
            text(&format!("v4.public.{body}")),
            Refusal::UnknownIssuer,
        ),
        (
            "a fourth part",
            text(&format!("{good}.AAAA")),
            Refusal::Malformed,
        ),
        (
            "padding",
            text(&format!("v4.public.{body}=.{footer}")),
            Refusal::Malformed,
        ),
        (
            "the standard Base64 alphabet",
            text(&format!("v4.public.+{}.{footer}", &body[1..])),
            Refusal::Malformed,
        ),
        (
            "truncated signature",
            text(&format!("v4.public.{}.{footer}", &body[..40])),
            Refusal::Malformed,
        ),
        (
            "a bit of the message flipped",
            bit_flipped(3),
            Refusal::BadSignature,
        ),
        (
            "a bit of the signature flipped",
            bit_flipped(usize::MAX),
            Refusal::BadSignature,
        ),
        (
            "another key's name in the footer",
            text(&format!("v4.public.{body}.{other_footer}")),
            Refusal::BadSignature,
        ),
        (
            "an unknown key",
            text(&format!("v4.public.{body}.{unknown_footer}")),
            Refusal::UnknownIssuer,
        ),
        (
            "an unknown issuer",
            claims_with(&|c| c.issuer = "nobody".into(), 1),
            Refusal::UnknownIssuer,
        ),
        (
            "signed with the key of another issuer",
            claims_with(&|_| (), 5),
            Refusal::BadSignature,
        ),
        (
            "issuer claim differs from the key's issuer",
            text(&signed(&message_with("\"desk\"", "\"other\""), FOOTER)),
            Refusal::UnknownIssuer,
        ),
        (
            "no slash in the key ID",
            text(&signed(&message_with("desk", "desk"), r#"{"kid":"desk"}"#)),
            Refusal::UnknownIssuer,
        ),
        (
            "a footer that is not JSON",
            text(&signed(&message_with("desk", "desk"), "desk/new")),
            Refusal::Malformed,
        ),
        (
            "a message that is not JSON",
            text(&signed("desk", FOOTER)),
            Refusal::Malformed,
        ),
        (
            "no audience",
            text(&signed(&message_with("\"aud\":\"bangna\",", ""), FOOTER)),
            Refusal::Malformed,
        ),
        (
            "no expiry",
            text(&signed(
                &message_with("\"exp\":\"2027-01-15T08:10:00Z\",", ""),
                FOOTER,
            )),
            Refusal::Malformed,
        ),
        (
            "a numeric expiry",
            text(&signed(
                &message_with("\"2027-01-15T08:10:00Z\"", "1800000600"),
                FOOTER,
            )),
            Refusal::Malformed,
        ),
        (
            "a malformed expiry",
            text(&signed(
                &message_with("2027-01-15T08:10:00Z", "tomorrow"),
                FOOTER,
            )),
            Refusal::Malformed,
        ),
        (
            "an account in decimal",
            text(&signed(&message_with("0000000000000007", "7"), FOOTER)),
            Refusal::Malformed,
        ),
        (
            "an account in upper-case hex",
            text(&signed(
                &message_with("0000000000000007", "000000000000000A"),
                FOOTER,
            )),
            Refusal::Malformed,
        ),
        (
            "too many accounts",
            claims_with(&|c| c.accounts = Some((0..65).collect()), 1),
            Refusal::TooLong,
        ),
        (
            "a key whose period has not begun",
            claims_with(&|c| c.key = "coming".into(), 2),
            Refusal::InactiveKey,
        ),
        (
            "a key that was withdrawn",
            claims_with(&|c| c.key = "gone".into(), 4),
            Refusal::InactiveKey,
        ),
        (
            "for another installation",
            claims_with(&|c| c.audience = "odense".into(), 1),
            Refusal::WrongAudience,
        ),
        (
            "an empty audience",
            claims_with(&|c| c.audience = String::new(), 1),
            Refusal::WrongAudience,
        ),
        (
            "expired",
            claims_with(&|c| (c.from, c.until) = (NOW - 900, NOW - 30), 1),
            Refusal::Expired,
        ),
        (
            "valid an hour from now",
            claims_with(&|c| (c.from, c.until) = (NOW + 3_600, NOW + 4_000), 1),
            Refusal::NotYetValid,
        ),
        (
            "expired an hour ago",
            claims_with(&|c| (c.from, c.until) = (NOW - 4_000, NOW - 3_600), 1),
            Refusal::Expired,
        ),
        (
            "valid for a year",
            claims_with(&|c| c.until = NOW + 365 * 86_400, 1),
            Refusal::LifetimeTooLong,
        ),
        (
            "longer than the maximum",
            vec![b'a'; MAX_TOKEN_BYTES + 1],
            Refusal::TooLong,
        ),
    ]
}

#[test]
fn invalid_tokens_are_refused_with_their_reason_and_valid_ones_accepted() {
    let (trust, invalid) = (trust(), invalid_tokens());
    assert!(invalid.len() >= 40, "{}", invalid.len());
    for (description, token, reason) in invalid {
        assert_eq!(
            verify(&token, &trust, NOW).unwrap_err(),
            reason,
            "{description}"
        );
        assert_eq!(
            Cache::new(4).verify(&token, &trust, NOW, true).unwrap_err(),
            reason,
            "{description}, verified by the cache"
        );
    }
    let verified = verify(sign(&claims(), &signing_key(1)).as_bytes(), &trust, NOW).unwrap();
    assert_eq!(verified, claims());
    let leaving = Claims {
        key: "leaving".into(),
        public: signing_key(3).verifying_key(),
        ..claims()
    };
    assert_eq!(
        verify(sign(&leaving, &signing_key(3)).as_bytes(), &trust, NOW),
        Ok(leaving)
    );
    // The tolerance is the clock skew and no more.
    for (time, accepted) in [
        (NOW - 40, true),
        (NOW - 41, false),
        (NOW + 629, true),
        (NOW + 630, false),
    ] {
        assert_eq!(
            verify(sign(&claims(), &signing_key(1)).as_bytes(), &trust, time).is_ok(),
            accepted,
            "{time}"
        );
    }
}

/// Guards against tokens that other PASETO implementations cannot read, by a test vector of the specification.
#[test]
fn signing_reproduces_the_paseto_test_vector() {
    // Test vector 4-S-2: seed of the key, message, footer.
    let seed = "b4cbfb43df4ce210727d953e4a713307fa19bb7d9f85041438d9e11b942a3774";
    let seed: Vec<u8> = (0..32)
        .map(|n| u8::from_str_radix(&seed[2 * n..2 * n + 2], 16).unwrap())
        .collect();
    let key = SigningKey::from_bytes(&seed.try_into().unwrap());
    let message = r#"{"data":"this is a signed message","exp":"2022-01-01T00:00:00+00:00"}"#;
    let footer = r#"{"kid":"zVhMiPBP9fRf2snEcT7gFTioeA9COcNy9DfgL1W60haN"}"#;
    let expected = "v4.public.eyJkYXRhIjoidGhpcyBpcyBhIHNpZ25lZCBtZXNzYWdlIiwiZXhwIjoiMjAyMi0wMS0wMVQwMDowMDowMCswMDowMCJ9v3Jt8mx_TdM2ceTGoqwrh4yDFn0XsHvvV_D0DtwQxVrJEBMl0F2caAdgnpKlt4p7xBnx1HcO-SPo8FPp214HDw.eyJraWQiOiJ6VmhNaVBCUDlmUmYyc25FY1Q3Z0ZUaW9lQTlDT2NOeTlEZmdMMVc2MGhhTiJ9";
    assert_eq!(
        sign_raw(message.as_bytes(), footer.as_bytes(), &key),
        expected
    );
}

/// Guards against accepting a cached token after its key or validity has ended, and against unbounded growth of the cache.
#[test]
fn cached_tokens_are_checked_against_time_and_keys_at_each_use() {
    let (mut trust, mut cache) = (trust(), Cache::new(3));
    let leaving = Claims {
        key: "leaving".into(),
        ..claims()
    };
    let token = sign(&leaving, &signing_key(3));
    for _ in 0..10 {
        cache.verify(token.as_bytes(), &trust, NOW, true).unwrap();
    }
    assert_eq!(cache.verifications, 1);
    assert_eq!(
        cache.verify(token.as_bytes(), &trust, NOW + 60, true),
        Err(Refusal::InactiveKey)
    );
    assert!(cache.is_empty());
    cache.verify(token.as_bytes(), &trust, NOW, true).unwrap();
    // A different public key under the same name does not verify the token.
    trust.issuers[0].keys[2] = key("leaving", 9, 0, None);
    assert_eq!(
        cache.verify(token.as_bytes(), &trust, NOW, true),
        Err(Refusal::UnknownIssuer)
    );
    assert_eq!(
        cache.verify(token.as_bytes(), &trust, NOW, true),
        Err(Refusal::BadSignature)
    );
    for n in 0..20 {
        cache
            .verify(
                sign(
                    &Claims {
                        tenant: format!("t{n}"),
                        ..claims()
                    },
                    &signing_key(1),
                )
                .as_bytes(),
                &trust,
                NOW,
                true,
            )
            .unwrap();
    }
    assert_eq!(cache.len(), 3);
    // Cached tokens are accepted even if no further token may be verified.
    let last = sign(
        &Claims {
            tenant: "t19".into(),
            ..claims()
        },
        &signing_key(1),
    );
    assert!(cache.verify(last.as_bytes(), &trust, NOW, false).is_ok());
    assert_eq!(
        cache.verify(token.as_bytes(), &trust, NOW, false),
        Err(Refusal::RateLimited)
    );
}

fn tenants() -> Tenants {
    let tenant = |name: &str, id: &str, accounts: &[u64], classes: Option<&[u8]>| Tenant {
        name: name.into(),
        names: vec![
            Name::uri(&format!("spiffe://bangna/{id}")).unwrap(),
            Name::dns(&format!("{id}.example")).unwrap(),
        ],
        accounts: accounts.iter().copied().collect(),
        classes: classes.map(|c| c.iter().copied().collect::<BTreeSet<u8>>()),
    };
    let list = vec![
        tenant("broker", "b", &[7, 8], None),
        tenant("lender", "l", &[9], Some(&[0])),
    ];
    Tenants::new(list, vec!["quote".into(), "referral".into()]).unwrap()
}

/// Guards against an authenticated caller that uses another tenant's quota or sends a class it has no right to.
#[test]
fn callers_are_limited_to_the_rights_of_tenant_and_token() {
    let tenants = tenants();
    let broker = tenants
        .by_names(&[
            Name::uri("spiffe://bangna/b").unwrap(),
            Name::dns("nowhere.example").unwrap(),
        ])
        .unwrap();
    assert_eq!(tenants.tenant(&broker), "broker");
    assert_eq!(
        (
            tenants.authorize(&broker, 7, 1),
            tenants.authorize(&broker, 8, 0)
        ),
        (Ok(()), Ok(()))
    );
    assert_eq!(
        tenants.authorize(&broker, 9, 0),
        Err(Refusal::AccountDenied)
    );
    let lender = tenants
        .by_names(&[Name::dns("L.Example").unwrap()])
        .unwrap();
    assert_eq!(
        (
            tenants.authorize(&lender, 9, 0),
            tenants.authorize(&lender, 9, 1)
        ),
        (Ok(()), Err(Refusal::ClassDenied))
    );
    // A certificate with names of two tenants, or of none.
    let both = [
        Name::dns("b.example").unwrap(),
        Name::dns("l.example").unwrap(),
    ];
    assert_eq!(tenants.by_names(&both), Err(Refusal::CertificateNames));
    assert_eq!(
        tenants.by_names(&[Name::dns("x.example").unwrap()]),
        Err(Refusal::CertificateNames)
    );
    assert_eq!(tenants.by_names(&[]), Err(Refusal::CertificateNames));
    // A token has all rights of its tenant or fewer, and none for an account of another tenant.
    let token = |accounts: Option<Vec<u64>>, classes: Option<&[&str]>, tenant: &str| Claims {
        accounts,
        classes: classes.map(|l| l.iter().map(|c| c.to_string()).collect()),
        tenant: tenant.into(),
        ..claims()
    };
    let caller = |c: &Claims| tenants.by_token(c, None).unwrap();
    let limited = caller(&token(Some(vec![7, 9]), Some(&["quote", "none"]), "broker"));
    assert_eq!(
        (
            tenants.authorize(&limited, 7, 0),
            tenants.authorize(&limited, 7, 1)
        ),
        (Ok(()), Err(Refusal::ClassDenied))
    );
    assert_eq!(
        (
            tenants.authorize(&limited, 8, 0),
            tenants.authorize(&limited, 9, 0)
        ),
        (Err(Refusal::AccountDenied), Err(Refusal::AccountDenied))
    );
    let no_accounts = caller(&token(Some(vec![]), None, "broker"));
    assert_eq!(
        tenants.authorize(&no_accounts, 7, 0),
        Err(Refusal::AccountDenied)
    );
    assert_eq!(
        tenants.by_token(&token(None, None, "nobody"), None),
        Err(Refusal::UnknownTenant)
    );
    // A certificate of one tenant and a token of another on the same connection.
    assert_eq!(
        tenants.by_token(&token(None, None, "lender"), Some(&broker)),
        Err(Refusal::UnknownTenant)
    );
    assert!(tenants
        .by_token(&token(None, None, "broker"), Some(&broker))
        .is_ok());
    let tenant_with = |names: Vec<Name>, name: &str| Tenant {
        name: name.into(),
        names,
        ..Tenant::default()
    };
    let uri = Name::uri("spiffe://a/b").unwrap();
    let list = vec![
        tenant_with(vec![uri.clone()], "x"),
        tenant_with(vec![uri.clone()], "y"),
    ];
    assert_eq!(
        Tenants::new(list, vec![]).unwrap_err(),
        Fault::Certificate(uri)
    );
    assert_eq!(
        Tenants::new(
            vec![tenant_with(vec![], "x"), tenant_with(vec![], "x")],
            vec![]
        )
        .unwrap_err(),
        Fault::Name("x".into())
    );
}

#[test]
fn malformed_certificate_names_are_rejected() {
    for malformed in [
        "",
        "http://a/b",
        "spiffe://",
        "spiffe://a",
        "spiffe://a/",
        "spiffe:///b",
        "spiffe://A/b",
        "spiffe://a/b/",
        "spiffe://a//b",
        "spiffe://a/../b",
        "spiffe://a/b?c",
        "spiffe://a/b#c",
        "spiffe://a:1/b",
        "spiffe://u@a/b",
        "spiffe://a/b%2f",
    ] {
        assert_eq!(Name::uri(malformed), None, "{malformed}");
    }
    for malformed in ["", "*.example", "a..b", ".a", "a.", "-a", "a-", "a b", "ä"] {
        assert_eq!(Name::dns(malformed), None, "{malformed}");
    }
}

proptest! {
    /// Guards against panics on arbitrary input, and against accepting a damaged token.
    #[test]
    fn arbitrary_input_never_panics_and_damaged_tokens_are_refused(
        position in any::<prop::sample::Index>(), inserted in proptest::collection::vec(any::<u8>(), 0..4), removed in 0usize..4, noise in proptest::collection::vec(any::<u8>(), 0..200),
    ) {
        let (trust, valid) = (trust(), sign(&claims(), &signing_key(1)).into_bytes());
        let _ = verify(&noise, &trust, NOW);
        let mut damaged = valid.clone();
        let start = position.index(valid.len());
        damaged.splice(start..(start + removed).min(valid.len()), inserted);
        if damaged != valid {
            prop_assert!(verify(&damaged, &trust, NOW).is_err());
        }
        let mut prefixed = b"v4.public.".to_vec();
        prefixed.extend(noise);
        prop_assert!(verify(&prefixed, &trust, NOW).is_err());
    }
}
