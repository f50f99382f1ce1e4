//! Tokens that are wrong in one way each, and callers that ask for more than they have: each is refused with its reason.

// Not done yet, see docs/ROADMAP.md.
#![allow(clippy::too_many_lines)]

use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use base64::Engine;
use ed25519_dalek::SigningKey;
use proptest::prelude::{any, prop, prop_assert, proptest};
use std::collections::BTreeSet;
use wrenfork_identity::cache::Cache;
use wrenfork_identity::rights::{Fault, Name, Tenant, Tenants};
use wrenfork_identity::token::{seal, sign, verify, Claims, MOST_BYTES};
use wrenfork_identity::trust::{Issuer, Key, Trust};
use wrenfork_identity::{Refusal, Seconds};

const NOW: Seconds = 1_800_000_000;

fn signing(n: u8) -> SigningKey {
    SigningKey::from_bytes(&[n; 32])
}

fn key(name: &str, n: u8, from: Seconds, until: Option<Seconds>) -> Key {
    Key {
        name: name.into(),
        public: signing(n).verifying_key(),
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
        public: signing(1).verifying_key(),
        audience: "bangna".into(),
        tenant: "broker".into(),
        accounts: Some(vec![7]),
        classes: None,
        from: NOW - 10,
        until: NOW + 600,
    }
}

fn json(change: &str, to: &str) -> String {
    let good = r#"{"iss":"desk","aud":"bangna","sub":"broker","nbf":"2027-01-15T07:59:50Z","exp":"2027-01-15T08:10:00Z","accounts":["0000000000000007"]}"#;
    assert!(good.contains(change), "{change}");
    good.replace(change, to)
}

const FOOTER: &str = r#"{"kid":"desk/new"}"#;

fn sealed(message: &str, footer: &str) -> String {
    seal(message.as_bytes(), footer.as_bytes(), &signing(1))
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

/// Every forged, stale or foreign token with the reason for which it must be refused.
fn broken() -> Vec<(&'static str, Vec<u8>, Refusal)> {
    let good = sign(&claims(), &signing(1));
    let with = |change: &dyn Fn(&mut Claims), n: u8| {
        let mut c = claims();
        change(&mut c);
        sign(&c, &signing(n)).into_bytes()
    };
    let (body, footer) = good
        .strip_prefix("v4.public.")
        .unwrap()
        .split_once('.')
        .unwrap();
    let flipped = |at: usize| {
        let mut bytes = URL_SAFE_NO_PAD.decode(body).unwrap();
        let at = if at < bytes.len() {
            at
        } else {
            bytes.len() - 1
        };
        bytes[at] ^= 1;
        format!("v4.public.{}.{footer}", URL_SAFE_NO_PAD.encode(bytes)).into_bytes()
    };
    let text = |t: &str| t.as_bytes().to_vec();
    let other_footer = URL_SAFE_NO_PAD.encode(r#"{"kid":"desk/leaving"}"#);
    let unknown_footer = URL_SAFE_NO_PAD.encode(r#"{"kid":"desk/none"}"#);
    vec![
        ("nothing", Vec::new(), Refusal::Form),
        ("a word", text("letmein"), Refusal::Form),
        ("no text", vec![0xff, 0xfe, 0x00], Refusal::Form),
        (
            "a JWT without a signature",
            text(&jwt(r#"{"alg":"none"}"#)),
            Refusal::Kind,
        ),
        (
            "a JWT signed with the public key as a shared one",
            text(&jwt(r#"{"alg":"HS256"}"#)),
            Refusal::Kind,
        ),
        (
            "a JWT with EdDSA",
            text(&jwt(r#"{"alg":"EdDSA"}"#)),
            Refusal::Kind,
        ),
        (
            "version 3",
            text(&good.replace("v4.", "v3.")),
            Refusal::Kind,
        ),
        (
            "version 4, for one who shares the key",
            text(&good.replace("public", "local")),
            Refusal::Kind,
        ),
        (
            "another case",
            text(&good.replace("v4.public", "V4.PUBLIC")),
            Refusal::Kind,
        ),
        (
            "no footer",
            text(&format!("v4.public.{body}")),
            Refusal::Issuer,
        ),
        (
            "a fourth part",
            text(&format!("{good}.AAAA")),
            Refusal::Form,
        ),
        (
            "padding",
            text(&format!("v4.public.{body}=.{footer}")),
            Refusal::Form,
        ),
        (
            "the other alphabet",
            text(&format!("v4.public.+{}.{footer}", &body[1..])),
            Refusal::Form,
        ),
        (
            "cut in its signature",
            text(&format!("v4.public.{}.{footer}", &body[..40])),
            Refusal::Form,
        ),
        (
            "a bit of the message flipped",
            flipped(3),
            Refusal::Signature,
        ),
        (
            "a bit of the signature flipped",
            flipped(usize::MAX),
            Refusal::Signature,
        ),
        (
            "another key's name in the footer",
            text(&format!("v4.public.{body}.{other_footer}")),
            Refusal::Signature,
        ),
        (
            "a key that there is not",
            text(&format!("v4.public.{body}.{unknown_footer}")),
            Refusal::Issuer,
        ),
        (
            "an issuer that there is not",
            with(&|c| c.issuer = "nobody".into(), 1),
            Refusal::Issuer,
        ),
        (
            "signed with another's key",
            with(&|_| (), 5),
            Refusal::Signature,
        ),
        (
            "one issuer's key in another's name",
            text(&sealed(&json("\"desk\"", "\"other\""), FOOTER)),
            Refusal::Issuer,
        ),
        (
            "no slash in the key's name",
            text(&sealed(&json("desk", "desk"), r#"{"kid":"desk"}"#)),
            Refusal::Issuer,
        ),
        (
            "a footer that is no JSON",
            text(&sealed(&json("desk", "desk"), "desk/new")),
            Refusal::Form,
        ),
        (
            "a message that is no JSON",
            text(&sealed("desk", FOOTER)),
            Refusal::Form,
        ),
        (
            "no audience",
            text(&sealed(&json("\"aud\":\"bangna\",", ""), FOOTER)),
            Refusal::Form,
        ),
        (
            "no end",
            text(&sealed(
                &json("\"exp\":\"2027-01-15T08:10:00Z\",", ""),
                FOOTER,
            )),
            Refusal::Form,
        ),
        (
            "an end as a number",
            text(&sealed(
                &json("\"2027-01-15T08:10:00Z\"", "1800000600"),
                FOOTER,
            )),
            Refusal::Form,
        ),
        (
            "an end that is no time",
            text(&sealed(&json("2027-01-15T08:10:00Z", "tomorrow"), FOOTER)),
            Refusal::Form,
        ),
        (
            "an account in decimal",
            text(&sealed(&json("0000000000000007", "7"), FOOTER)),
            Refusal::Form,
        ),
        (
            "an account in capitals",
            text(&sealed(
                &json("0000000000000007", "000000000000000A"),
                FOOTER,
            )),
            Refusal::Form,
        ),
        (
            "too many accounts",
            with(&|c| c.accounts = Some((0..65).collect()), 1),
            Refusal::TooLong,
        ),
        (
            "a key that is not used yet",
            with(&|c| c.key = "coming".into(), 2),
            Refusal::Key,
        ),
        (
            "a key that was withdrawn",
            with(&|c| c.key = "gone".into(), 4),
            Refusal::Key,
        ),
        (
            "for another installation",
            with(&|c| c.audience = "odense".into(), 1),
            Refusal::Audience,
        ),
        (
            "for nobody",
            with(&|c| c.audience = String::new(), 1),
            Refusal::Audience,
        ),
        (
            "expired",
            with(&|c| (c.from, c.until) = (NOW - 900, NOW - 30), 1),
            Refusal::Expired,
        ),
        (
            "an hour from now",
            with(&|c| (c.from, c.until) = (NOW + 3_600, NOW + 4_000), 1),
            Refusal::Early,
        ),
        (
            "an hour ago",
            with(&|c| (c.from, c.until) = (NOW - 4_000, NOW - 3_600), 1),
            Refusal::Expired,
        ),
        (
            "for a year",
            with(&|c| c.until = NOW + 365 * 86_400, 1),
            Refusal::TooLasting,
        ),
        (
            "longer than a token may be",
            vec![b'a'; MOST_BYTES + 1],
            Refusal::TooLong,
        ),
    ]
}

#[test]
fn every_broken_token_is_refused_with_its_reason_and_the_good_one_taken() {
    let (trust, broken) = (trust(), broken());
    assert!(broken.len() >= 40, "{}", broken.len());
    for (what, token, why) in broken {
        assert_eq!(verify(&token, &trust, NOW).unwrap_err(), why, "{what}");
        assert_eq!(
            Cache::new(4).verify(&token, &trust, NOW, true).unwrap_err(),
            why,
            "{what}, by the cache"
        );
    }
    let good = verify(sign(&claims(), &signing(1)).as_bytes(), &trust, NOW).unwrap();
    assert_eq!(good, claims());
    let leaving = Claims {
        key: "leaving".into(),
        public: signing(3).verifying_key(),
        ..claims()
    };
    assert_eq!(
        verify(sign(&leaving, &signing(3)).as_bytes(), &trust, NOW),
        Ok(leaving)
    );
    // Clocks may differ by the skew and no more.
    for (at, good) in [
        (NOW - 40, true),
        (NOW - 41, false),
        (NOW + 629, true),
        (NOW + 630, false),
    ] {
        assert_eq!(
            verify(sign(&claims(), &signing(1)).as_bytes(), &trust, at).is_ok(),
            good,
            "{at}"
        );
    }
}

/// The specification's own vector for a signature with a footer: who reads other tokens reads these.
#[test]
fn the_specifications_vector_is_made_again_byte_for_byte() {
    // 4-S-2 of the test vectors: seed, message, footer.
    let seed = "b4cbfb43df4ce210727d953e4a713307fa19bb7d9f85041438d9e11b942a3774";
    let seed: Vec<u8> = (0..32)
        .map(|n| u8::from_str_radix(&seed[2 * n..2 * n + 2], 16).unwrap())
        .collect();
    let key = SigningKey::from_bytes(&seed.try_into().unwrap());
    let message = r#"{"data":"this is a signed message","exp":"2022-01-01T00:00:00+00:00"}"#;
    let footer = r#"{"kid":"zVhMiPBP9fRf2snEcT7gFTioeA9COcNy9DfgL1W60haN"}"#;
    let expected = "v4.public.eyJkYXRhIjoidGhpcyBpcyBhIHNpZ25lZCBtZXNzYWdlIiwiZXhwIjoiMjAyMi0wMS0wMVQwMDowMDowMCswMDowMCJ9v3Jt8mx_TdM2ceTGoqwrh4yDFn0XsHvvV_D0DtwQxVrJEBMl0F2caAdgnpKlt4p7xBnx1HcO-SPo8FPp214HDw.eyJraWQiOiJ6VmhNaVBCUDlmUmYyc25FY1Q3Z0ZUaW9lQTlDT2NOeTlEZmdMMVc2MGhhTiJ9";
    assert_eq!(seal(message.as_bytes(), footer.as_bytes(), &key), expected);
}

/// Guards against a token that goes on being taken from the cache once its key or its time is over, and a cache that grows.
#[test]
fn what_is_cached_is_held_against_time_and_keys_at_each_use() {
    let (mut trust, mut cache) = (trust(), Cache::new(3));
    let leaving = Claims {
        key: "leaving".into(),
        ..claims()
    };
    let token = sign(&leaving, &signing(3));
    for _ in 0..10 {
        cache.verify(token.as_bytes(), &trust, NOW, true).unwrap();
    }
    assert_eq!(cache.checked, 1);
    assert_eq!(
        cache.verify(token.as_bytes(), &trust, NOW + 60, true),
        Err(Refusal::Key)
    );
    assert!(cache.is_empty());
    cache.verify(token.as_bytes(), &trust, NOW, true).unwrap();
    // Another key under the same name is another key.
    trust.issuers[0].keys[2] = key("leaving", 9, 0, None);
    assert_eq!(
        cache.verify(token.as_bytes(), &trust, NOW, true),
        Err(Refusal::Issuer)
    );
    assert_eq!(
        cache.verify(token.as_bytes(), &trust, NOW, true),
        Err(Refusal::Signature)
    );
    for n in 0..20 {
        cache
            .verify(
                sign(
                    &Claims {
                        tenant: format!("t{n}"),
                        ..claims()
                    },
                    &signing(1),
                )
                .as_bytes(),
                &trust,
                NOW,
                true,
            )
            .unwrap();
    }
    assert_eq!(cache.len(), 3);
    // Where nothing may be checked any more, what is known is still taken.
    let last = sign(
        &Claims {
            tenant: "t19".into(),
            ..claims()
        },
        &signing(1),
    );
    assert!(cache.verify(last.as_bytes(), &trust, NOW, false).is_ok());
    assert_eq!(
        cache.verify(token.as_bytes(), &trust, NOW, false),
        Err(Refusal::Crowd)
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

/// Guards against a caller with a good proof that spends another's quota, or sends what it has no right to.
#[test]
fn a_caller_has_its_tenants_rights_and_no_more_than_its_token_leaves() {
    let t = tenants();
    let broker = t
        .by_names(&[
            Name::uri("spiffe://bangna/b").unwrap(),
            Name::dns("nowhere.example").unwrap(),
        ])
        .unwrap();
    assert_eq!(t.tenant(&broker), "broker");
    assert_eq!(
        (t.may(&broker, 7, 1), t.may(&broker, 8, 0)),
        (Ok(()), Ok(()))
    );
    assert_eq!(t.may(&broker, 9, 0), Err(Refusal::Account));
    let lender = t.by_names(&[Name::dns("L.Example").unwrap()]).unwrap();
    assert_eq!(
        (t.may(&lender, 9, 0), t.may(&lender, 9, 1)),
        (Ok(()), Err(Refusal::Class))
    );
    // A certificate of two tenants, or of none.
    let both = [
        Name::dns("b.example").unwrap(),
        Name::dns("l.example").unwrap(),
    ];
    assert_eq!(t.by_names(&both), Err(Refusal::Names));
    assert_eq!(
        t.by_names(&[Name::dns("x.example").unwrap()]),
        Err(Refusal::Names)
    );
    assert_eq!(t.by_names(&[]), Err(Refusal::Names));
    // A token: all of the tenant's, or some of it; of an account that the tenant has not, nothing.
    let token = |accounts: Option<Vec<u64>>, classes: Option<&[&str]>, tenant: &str| Claims {
        accounts,
        classes: classes.map(|l| l.iter().map(|c| c.to_string()).collect()),
        tenant: tenant.into(),
        ..claims()
    };
    let caller = |c: &Claims| t.by_token(c, None).unwrap();
    let narrow = caller(&token(Some(vec![7, 9]), Some(&["quote", "none"]), "broker"));
    assert_eq!(
        (t.may(&narrow, 7, 0), t.may(&narrow, 7, 1)),
        (Ok(()), Err(Refusal::Class))
    );
    assert_eq!(
        (t.may(&narrow, 8, 0), t.may(&narrow, 9, 0)),
        (Err(Refusal::Account), Err(Refusal::Account))
    );
    let nothing = caller(&token(Some(vec![]), None, "broker"));
    assert_eq!(t.may(&nothing, 7, 0), Err(Refusal::Account));
    assert_eq!(
        t.by_token(&token(None, None, "nobody"), None),
        Err(Refusal::Tenant)
    );
    // A certificate of one tenant with a token of another.
    assert_eq!(
        t.by_token(&token(None, None, "lender"), Some(&broker)),
        Err(Refusal::Tenant)
    );
    assert!(t
        .by_token(&token(None, None, "broker"), Some(&broker))
        .is_ok());
    let twice = |names: Vec<Name>, name: &str| Tenant {
        name: name.into(),
        names,
        ..Tenant::default()
    };
    let uri = Name::uri("spiffe://a/b").unwrap();
    let list = vec![twice(vec![uri.clone()], "x"), twice(vec![uri.clone()], "y")];
    assert_eq!(
        Tenants::new(list, vec![]).unwrap_err(),
        Fault::Certificate(uri)
    );
    assert_eq!(
        Tenants::new(vec![twice(vec![], "x"), twice(vec![], "x")], vec![]).unwrap_err(),
        Fault::Name("x".into())
    );
}

#[test]
fn names_have_their_form_or_are_none() {
    for bad in [
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
        assert_eq!(Name::uri(bad), None, "{bad}");
    }
    for bad in ["", "*.example", "a..b", ".a", "a.", "-a", "a-", "a b", "ä"] {
        assert_eq!(Name::dns(bad), None, "{bad}");
    }
}

proptest! {
    /// Guards against a panic, and a damaged token that passes.
    #[test]
    fn no_input_panics_and_no_damaged_token_is_taken(
        at in any::<prop::sample::Index>(), with in proptest::collection::vec(any::<u8>(), 0..4), cut in 0usize..4, noise in proptest::collection::vec(any::<u8>(), 0..200),
    ) {
        let (trust, good) = (trust(), sign(&claims(), &signing(1)).into_bytes());
        let _ = verify(&noise, &trust, NOW);
        let mut bad = good.clone();
        let from = at.index(good.len());
        bad.splice(from..(from + cut).min(good.len()), with);
        if bad != good {
            prop_assert!(verify(&bad, &trust, NOW).is_err());
        }
        let mut prefixed = b"v4.public.".to_vec();
        prefixed.extend(noise);
        prop_assert!(verify(&prefixed, &trust, NOW).is_err());
    }
}
