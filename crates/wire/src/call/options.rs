//! The options of a command: `NAME=VALUE`, with commas between them.

use super::error::{CallError, Field};
use super::vocabulary::OwnPlan;
use std::ops::Range;
use wrenfork_decision::Micros;

/// The longest that a client may say it waits, in milliseconds.
const MAX_WAIT_MS: u64 = 3_600_000;
/// The most ingresses that options may count.
const MAX_GATEWAYS: u64 = 65_535;
/// The most digits of a whole number, and bytes of another one.
const MAX_DIGITS: usize = 10;
const MAX_NUMBER: usize = 20;
const MICROS_PER_MILLISECOND: Micros = 1_000;

/// The option with a token.
const TOKEN: &[u8] = b"auth=";
/// Options that claim what is known of an application's own accounts.
const CLAIMS: [&[u8]; 3] = [b"t=", b"spread=", b"first="];
/// What the options put in place of claims take besides the plan's name, at most: room is reserved for it.
const CLAIMS_OVERHEAD: usize = 32;

/// The options of a command, as far as they mean something here.
#[derive(Default)]
pub(super) struct Options<'a> {
    pub(super) class: Option<&'a [u8]>,
    pub(super) plan: Option<&'a [u8]>,
    pub(super) key: Option<&'a [u8]>,
    pub(super) wait: Option<WaitOption>,
    pub(super) units: Option<f64>,
    pub(super) spread: Option<u64>,
    pub(super) first: Option<u64>,
}

/// How long a client waits.
#[derive(Clone, Debug)]
pub(super) struct WaitOption {
    pub(super) micros: Micros,
    /// Where the value stands in the options.
    pub(super) place: Range<usize>,
}

impl<'a> Options<'a> {
    /// Parses options; unknown ones are skipped.
    pub(super) fn parse(text: &'a [u8]) -> Result<Options<'a>, CallError> {
        let mut options = Options::default();
        let mut start = 0;
        for option in text.split(|byte| *byte == b',') {
            options.add(option, start)?;
            start += option.len() + 1;
        }
        Ok(options)
    }

    /// Adds the option that begins at `start`.
    fn add(&mut self, option: &'a [u8], start: usize) -> Result<(), CallError> {
        let equals = option.iter().position(|byte| *byte == b'=');
        let equals = equals.ok_or(CallError::NoValue)?;
        let value = &option[equals + 1..];
        let place = start + equals + 1..start + option.len();
        match &option[..equals] {
            b"c" => set(&mut self.class, value, Field::Class),
            b"t" => set(&mut self.plan, value, Field::Plan),
            b"k" => set(&mut self.key, value, Field::Key),
            b"d" => {
                let ms = whole_number(value, MAX_WAIT_MS, Field::Wait)?;
                let micros = ms * MICROS_PER_MILLISECOND;
                set(&mut self.wait, WaitOption { micros, place }, Field::Wait)
            }
            b"units" => {
                let units = number(value, Field::Units)?;
                set(&mut self.units, units, Field::Units)
            }
            b"spread" => {
                let spread = whole_number(value, MAX_GATEWAYS, Field::Spread)?;
                set(&mut self.spread, spread, Field::Spread)
            }
            b"first" => {
                let first = whole_number(value, MAX_GATEWAYS, Field::First)?;
                set(&mut self.first, first, Field::First)
            }
            _ => Ok(()),
        }
    }
}

/// Sets an option, once.
fn set<T>(option: &mut Option<T>, value: T, field: Field) -> Result<(), CallError> {
    if option.replace(value).is_some() {
        return Err(CallError::Twice(field));
    }
    Ok(())
}

fn whole_number(text: &[u8], max: u64, field: Field) -> Result<u64, CallError> {
    let is_number =
        !text.is_empty() && text.len() <= MAX_DIGITS && text.iter().all(u8::is_ascii_digit);
    let digit = |number: u64, digit: &u8| number * 10 + u64::from(digit - b'0');
    let number = is_number.then(|| text.iter().fold(0, digit));
    number
        .filter(|number| *number <= max)
        .ok_or(CallError::NoWholeNumber { field, max })
}

/// A number from 0 up, in plain digits with or without a fraction.
fn number(text: &[u8], field: Field) -> Result<f64, CallError> {
    let is_plain = !text.is_empty()
        && text.len() <= MAX_NUMBER
        && text.iter().all(|b| b.is_ascii_digit() || *b == b'.');
    let text = std::str::from_utf8(text).ok().filter(|_| is_plain);
    text.and_then(|text| text.parse().ok())
        .ok_or(CallError::NoNumber(field))
}

/// Options without the token among them, which goes to no backend, and that token.
pub(super) struct SplitOptions {
    pub(super) rest: Vec<u8>,
    pub(super) token: Vec<u8>,
}

/// Splits the token from options; none where there is none.
pub(super) fn split_token(options: &[u8]) -> Result<Option<SplitOptions>, CallError> {
    let is_token = |option: &&[u8]| option.starts_with(TOKEN);
    let all = || options.split(|byte| *byte == b',');
    let mut tokens = all().filter(is_token);
    let Some(token) = tokens.next() else {
        return Ok(None);
    };
    if tokens.next().is_some() {
        return Err(CallError::Twice(Field::Token));
    }
    let rest: Vec<&[u8]> = all().filter(|option| !is_token(option)).collect();
    Ok(Some(SplitOptions {
        rest: rest.join(&b','),
        token: token[TOKEN.len()..].to_vec(),
    }))
}

/// Options without what they claim of plan and spread, and with what is so.
pub(super) fn replace_claims(options: &[u8], plan: OwnPlan, gateways: u64) -> Vec<u8> {
    let is_claim = |option: &[u8]| CLAIMS.iter().any(|claim| option.starts_with(claim));
    let mut own = Vec::with_capacity(options.len() + CLAIMS_OVERHEAD);
    for option in options.split(|byte| *byte == b',') {
        if !is_claim(option) {
            own.extend_from_slice(option);
            own.push(b',');
        }
    }
    let claims = format!("t={},spread={gateways},first=0", plan.name);
    own.extend_from_slice(claims.as_bytes());
    own
}
