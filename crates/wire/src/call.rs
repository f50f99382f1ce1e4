//! The CALL commands: read strictly from a client, written for a backend with a `d` of the attempt's own.

use crate::resp;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::ops::Range;
use std::sync::Arc;
use wrenfork_decision::{CustomerId, Idempotency, Micros, Request};

/// The longest that a client may say it waits, in milliseconds.
const MOST_WAIT_MS: u64 = 3_600_000;
/// The most bytes of an id.
const MOST_ID: usize = 64;
/// Customers are numbers below this.
const MOST_CUSTOMER: u64 = 1 << 33;

/// What the settings name: needed to read a request.
pub struct Vocabulary {
    /// The classes, and whether each is safe or keyed.
    pub classes: Vec<(String, Idempotency)>,
    /// The plans.
    pub plans: Vec<String>,
    /// The most units that a request takes.
    pub most_units: f64,
    /// How many ingresses there are.
    pub gateways: u64,
    /// Whose requests these are, where that is known whatever they claim.
    pub identity: Option<Identity>,
    /// Callers are asked who they are: an option `auth` is a token.
    pub asks: bool,
}

/// An application's accounts, at a sidecar of its own: what a request claims of plan and spread counts for nothing.
#[derive(Debug, Default)]
pub struct Identity {
    /// By account: the place of its plan in the vocabulary.
    pub accounts: HashMap<u64, u16>,
    /// By that place: the plan's name as backends know it.
    pub known: Vec<String>,
    /// By class: whether it may be sent.
    pub sends: Vec<bool>,
}

/// Options without what they claim of plan and spread, and with what is so.
fn with_own(options: &[u8], plan: &str, gateways: u64) -> Vec<u8> {
    let claims = [&b"t="[..], b"spread=", b"first="];
    let mut own = Vec::with_capacity(options.len() + 32);
    for option in options
        .split(|b| *b == b',')
        .filter(|o| !claims.iter().any(|c| o.starts_with(c)))
    {
        own.extend_from_slice(option);
        own.push(b',');
    }
    own.extend_from_slice(format!("t={plan},spread={gateways},first=0").as_bytes());
    own
}

/// A client's request.
#[derive(Debug, Serialize, Deserialize)]
pub struct Call {
    /// What the module is told; its id and deadline are the host's to fill in.
    pub request: Request,
    /// How long the client waits.
    pub wait: Micros,
    /// Where its id is in the command.
    id: Range<usize>,
    /// The command as it came, but for the length of its options and the value of `d`.
    bytes: Vec<u8>,
    head: usize,
    before: usize,
    after: usize,
    token: Option<Vec<u8>>,
    /// A long body, as it came: kept once, whatever attempts are written from it.
    body: Option<Body>,
}

/// A body too long to be copied: the command as it came, and where the body's string stands in it.
pub type Body = (Arc<Vec<u8>>, Range<usize>);

/// Options without the token among them, which goes to no backend, and that token.
type Shown = (Vec<u8>, Vec<u8>);

fn without_token(options: &[u8]) -> Result<Option<Shown>, String> {
    const NAME: &[u8] = b"auth=";
    let mut tokens = options
        .split(|b| *b == b',')
        .filter(|o| o.starts_with(NAME));
    let Some(token) = tokens.next() else {
        return Ok(None);
    };
    if tokens.next().is_some() {
        return Err("auth is given twice".into());
    }
    let rest: Vec<&[u8]> = options
        .split(|b| *b == b',')
        .filter(|o| !o.starts_with(NAME))
        .collect();
    Ok(Some((rest.join(&b','), token[NAME.len()..].to_vec())))
}

fn digits(text: &[u8], most: u64, what: &str) -> Result<u64, String> {
    let fits = !text.is_empty() && text.len() <= 10 && text.iter().all(u8::is_ascii_digit);
    let n = fits.then(|| text.iter().fold(0, |n, d| n * 10 + u64::from(d - b'0')));
    n.filter(|n| *n <= most)
        .ok_or_else(|| format!("{what} is no whole number up to {most}"))
}

/// A number from nought up, in plain digits with or without a fraction.
fn number(text: &[u8], what: &str) -> Result<f64, String> {
    let plain = !text.is_empty()
        && text.len() <= 20
        && text.iter().all(|b| b.is_ascii_digit() || *b == b'.');
    let n = std::str::from_utf8(text)
        .ok()
        .filter(|_| plain)
        .and_then(|t| t.parse::<f64>().ok());
    n.ok_or_else(|| format!("{what} is no number"))
}

/// Whether a name is meant; one that went has an empty name in its place.
fn named(name: &str, text: &[u8]) -> bool {
    !name.is_empty() && name.as_bytes() == text
}

fn graphic(text: &[u8]) -> bool {
    !text.is_empty() && text.len() <= MOST_ID && text.iter().all(u8::is_ascii_graphic)
}

impl Call {
    /// Reads a command's arguments, the verb among them; none if the verb is another one.
    pub fn read(
        buf: &[u8],
        args: &[Range<usize>],
        words: &Vocabulary,
    ) -> Option<Result<Call, String>> {
        let verb = &buf[args.first()?.clone()];
        let post = match verb {
            b"CALL.GET" => false,
            b"CALL.POST" => true,
            _ => return None,
        };
        let want = if post { 5 } else { 4 };
        if args.len() != want {
            return Some(Err(format!(
                "{want} arguments are wanted, with the command"
            )));
        }
        let args: Vec<&[u8]> = args.iter().map(|r| &buf[r.clone()]).collect();
        Some(Call::parse(post, &args, words))
    }

    fn parse(post: bool, args: &[&[u8]], words: &Vocabulary) -> Result<Call, String> {
        let (customer, id, options) = (args[1], args[2], args[3]);
        let hex = customer.len() == 16 && customer.iter().all(u8::is_ascii_hexdigit);
        let customer_id = std::str::from_utf8(customer).ok().filter(|_| hex);
        let customer_id = customer_id.and_then(|t| u64::from_str_radix(t, 16).ok());
        let customer_id = customer_id
            .filter(|n| *n < MOST_CUSTOMER)
            .ok_or("the customer is no number of 16 hex digits below 2^33")?;
        if !graphic(id) {
            return Err("the id is no plain word".into());
        }
        let shown = if words.asks {
            without_token(options)?
        } else {
            None
        };
        let (rest, token) = shown.map_or((None, None), |(rest, token)| (Some(rest), Some(token)));
        let options = rest.as_deref().unwrap_or(options);
        let own = match &words.identity {
            Some(identity) => {
                let own = identity.accounts.get(&customer_id).copied();
                Some((
                    own.ok_or("the account is not this application's")?,
                    identity,
                ))
            }
            None => None,
        };
        let owned = own.map(|(place, identity)| {
            let plan = identity
                .known
                .get(usize::from(place))
                .map_or("", String::as_str);
            with_own(options, plan, words.gateways)
        });
        let options = owned.as_deref().unwrap_or(options);
        let (mut class, mut plan, mut wait, mut key) = (None, None, None, None);
        let (mut units, mut width, mut first) = (None, None, None);
        let mut at = 0;
        for option in options.split(|b| *b == b',') {
            let start = at;
            at += option.len() + 1;
            let eq = option
                .iter()
                .position(|b| *b == b'=')
                .ok_or("an option has no '='")?;
            let (name, value) = (&option[..eq], &option[eq + 1..]);
            let twice = match name {
                b"c" => class.replace(value).is_some(),
                b"t" => plan.replace(value).is_some(),
                b"k" => key.replace(value).is_some(),
                b"d" => {
                    let ms = digits(value, MOST_WAIT_MS, "d")?;
                    wait.replace((ms * 1000, start + eq + 1..start + option.len()))
                        .is_some()
                }
                b"units" => units.replace(number(value, "units")?).is_some(),
                b"spread" => width.replace(digits(value, 65_535, "spread")?).is_some(),
                b"first" => first.replace(digits(value, 65_535, "first")?).is_some(),
                _ => false,
            };
            if twice {
                return Err(format!("{} is given twice", String::from_utf8_lossy(name)));
            }
        }
        let missing = |name: &str| format!("{name} is missing");
        let class = class.ok_or_else(|| missing("c"))?;
        let class = words
            .classes
            .iter()
            .position(|c| named(&c.0, class))
            .ok_or("the class is unknown")?;
        let plan = plan.ok_or_else(|| missing("t"))?;
        let plan = words
            .plans
            .iter()
            .position(|p| named(p, plan))
            .ok_or("the plan is unknown")?;
        let plan = own.map_or(plan, |(place, _)| usize::from(place));
        if own.is_some_and(|(_, identity)| !identity.sends.get(class).copied().unwrap_or(false)) {
            return Err("the application may not send this class".into());
        }
        let (wait, place) = wait.ok_or_else(|| missing("d"))?;
        let repeat = words.classes[class].1;
        if post == (repeat == Idempotency::Idempotent) {
            return Err(
                "CALL.GET is for classes that are safe to repeat, CALL.POST for the others".into(),
            );
        }
        if matches!(repeat, Idempotency::WithKey { .. }) && !key.is_some_and(graphic) {
            return Err(missing("k"));
        }
        // What is out of range reaches neither the module, which keeps it in the customer's record, nor a backend.
        let range = |good: bool, what: &str| {
            if good {
                Ok(())
            } else {
                Err(format!("{what} is out of range"))
            }
        };
        let (units, width) = (
            units.ok_or_else(|| missing("units"))?,
            width.ok_or_else(|| missing("spread"))?,
        );
        let first = first.ok_or_else(|| missing("first"))?;
        range(units > 0.0 && units <= words.most_units, "units")?;
        range((1..=words.gateways).contains(&width), "spread")?;
        range(first < words.gateways, "first")?;
        let request = Request {
            class: u8::try_from(class).map_err(|_| "the class is unknown")?,
            plan: u16::try_from(plan).map_err(|_| "the plan is unknown")?,
            customer: CustomerId(customer_id),
            units,
            gateway_span: width as f64,
            first_gateway: first as f64,
            ..Request::default()
        };
        let body = args.get(4).map_or(0, |b| b.len()).min(resp::MOST_VALUE);
        let mut bytes = Vec::with_capacity(112 + options.len() + body);
        resp::put_array(&mut bytes, args.len());
        args[..3]
            .iter()
            .for_each(|a| resp::put_bulk(&mut bytes, &[a]));
        let head = bytes.len();
        let id = head - 2 - id.len()..head - 2;
        bytes.extend_from_slice(&options[..place.start]);
        let before = bytes.len();
        bytes.extend_from_slice(&options[place.end..]);
        let after = bytes.len();
        let kept = args[4..].iter().filter(|a| a.len() <= resp::MOST_VALUE);
        kept.for_each(|a| resp::put_bulk(&mut bytes, &[a]));
        Ok(Call {
            request,
            wait,
            id,
            bytes,
            head,
            before,
            after,
            token,
            body: None,
        })
    }

    /// The token that came with it; it is kept no longer.
    pub fn take_token(&mut self) -> Option<Vec<u8>> {
        self.token.take()
    }

    /// Reads a whole command with a long body, which is kept as it came.
    pub fn read_long(
        buf: Vec<u8>,
        args: &[Range<usize>],
        words: &Vocabulary,
    ) -> Option<Result<Call, String>> {
        let mut read = Call::read(&buf, args, words);
        if let (Some(Ok(call)), Some(before)) = (&mut read, args.get(args.len().wrapping_sub(2))) {
            let string = before.end + 2..buf.len();
            call.body = Some((Arc::new(buf), string));
        }
        read
    }

    /// Its body, where that is not among the bytes that [`Call::write`] appends: it goes right behind them.
    pub fn body(&self) -> Option<Body> {
        self.body.clone()
    }

    /// The id that the client gave it.
    pub fn id(&self) -> &[u8] {
        &self.bytes[self.id.clone()]
    }

    /// Appends the command as it goes to a backend, which is told how long it is waited for.
    pub fn write(&self, wait: Micros, out: &mut Vec<u8>) {
        let ms = (wait / 1000).max(1).to_string();
        out.extend_from_slice(&self.bytes[..self.head]);
        let (before, after) = (
            &self.bytes[self.head..self.before],
            &self.bytes[self.before..self.after],
        );
        resp::put_bulk(out, &[before, ms.as_bytes(), after]);
        out.extend_from_slice(&self.bytes[self.after..]);
    }

    /// What it takes in memory, roughly.
    pub fn size(&self) -> usize {
        let body = self.body.as_ref().map_or(0, |b| b.0.capacity());
        self.bytes.capacity() + body + std::mem::size_of::<Call>()
    }
}

#[cfg(test)]
mod tests {
    use super::{resp, Call, Idempotency, Vocabulary};
    use wrenfork_decision::KeyScope;

    fn words() -> Vocabulary {
        let keyed = Idempotency::WithKey {
            scope: KeyScope::Cell,
            window: 3_000_000,
        };
        let classes = vec![
            ("quote".into(), Idempotency::Idempotent),
            ("save".into(), keyed),
            ("refer".into(), Idempotency::NotIdempotent),
        ];
        let plans = vec!["starter".into(), "business".into()];
        Vocabulary {
            classes,
            plans,
            most_units: 4.0,
            gateways: 4,
            identity: None,
            asks: false,
        }
    }

    fn read(parts: &[&str]) -> Result<Call, String> {
        let (mut buf, mut args) = (Vec::new(), Vec::new());
        resp::put_array(&mut buf, parts.len());
        parts
            .iter()
            .for_each(|p| resp::put_bulk(&mut buf, &[p.as_bytes()]));
        resp::command(&buf, &mut args).unwrap().unwrap();
        Call::read(&buf, &args, &words()).unwrap()
    }

    #[test]
    fn a_call_goes_on_as_it_came_but_for_its_wait() {
        let options = "c=save,t=business,d=480,k=5c0f,r=1,units=2,spread=3,first=1,new=x";
        let call = read(&["CALL.POST", "00000000b4d65521", "9b1f", options, "BO\r\nDY"]).unwrap();
        let r = call.request;
        assert_eq!(
            (r.class, r.plan, r.customer.0, call.wait),
            (1, 1, 0xb4d6_5521, 480_000)
        );
        assert_eq!(call.id(), b"9b1f");
        assert_eq!((r.units, r.gateway_span, r.first_gateway), (2.0, 3.0, 1.0));
        let mut out = Vec::new();
        call.write(123_999, &mut out);
        let want = options.replace("480", "123");
        let want = format!(
            "*5\r\n$9\r\nCALL.POST\r\n$16\r\n00000000b4d65521\r\n$4\r\n9b1f\r\n${}\r\n{want}\r\n$6\r\nBO\r\nDY\r\n",
            want.len()
        );
        assert_eq!(String::from_utf8(out).unwrap(), want);
    }

    #[test]
    fn what_is_missing_or_bad_is_named() {
        let good = "c=quote,t=starter,d=480,units=2,spread=3,first=1";
        assert!(read(&["CALL.GET", "00000000b4d65521", "9b1f", good]).is_ok());
        for (from, to, want) in [
            ("c=quote", "c=other", "class"),
            ("c=quote", "c=save", "CALL.GET"),
            ("t=starter", "t=gold", "plan"),
            ("d=480", "d=-1", "d is no"),
            ("d=480", "d=99999999999999999999", "d is no"),
            ("units=2", "units=nan", "units"),
            ("units=2", "units=1e9", "units"),
            ("units=2", "units=-400", "units"),
            ("units=2", "units=0", "units is out of range"),
            ("units=2", "units=4.1", "units is out of range"),
            ("spread=3", "spread=0", "spread is out of range"),
            ("spread=3", "spread=5", "spread is out of range"),
            ("first=1", "first=4", "first is out of range"),
            ("first=1", "first=-1", "first is no"),
            ("spread=3", "spread=x", "spread"),
            (",first=1", "", "first is missing"),
            (",first=1", ",first", "'='"),
            ("units=2", "units=2,units=3", "twice"),
        ] {
            let err = read(&[
                "CALL.GET",
                "00000000b4d65521",
                "9b1f",
                &good.replace(from, to),
            ])
            .unwrap_err();
            assert!(err.contains(want), "{to}: {err}");
        }
        assert!(
            read(&["CALL.GET", "0000000fb4d65521", "9b1f", good]).is_err(),
            "a customer of 2^33 or more"
        );
        assert!(
            read(&["CALL.GET", "b4d65521", "9b1f", good]).is_err(),
            "a short customer"
        );
        assert!(
            read(&["CALL.GET", "00000000b4d65521", "", good]).is_err(),
            "an empty id"
        );
        assert!(read(&["CALL.GET", "00000000b4d65521", "9b1f", good, "BODY"]).is_err());
        let save = good.replace("quote", "save");
        assert!(
            read(&["CALL.POST", "00000000b4d65521", "9b1f", &save, "BODY"])
                .unwrap_err()
                .contains('k')
        );
    }
}
