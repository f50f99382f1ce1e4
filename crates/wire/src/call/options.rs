//! The options of a command: `NAME=VALUE` pairs separated by commas.

use super::error::{CallError, Field};
use super::vocabulary::OwnPlan;
use std::ops::Range;
use wrenfork_decision::Micros;

/// Maximum value of `d`, in milliseconds.
const MAX_WAIT_MS: u64 = 3_600_000;
/// Maximum value of `spread` and `first`, whatever the settings allow.
const MAX_GATEWAYS: u64 = 65_535;
/// Maximum number of digits of a whole number.
const MAX_DIGITS: usize = 10;
/// Maximum length of a decimal number, in bytes.
const MAX_NUMBER_BYTES: usize = 20;
const MICROS_PER_MILLISECOND: Micros = 1_000;

/// Prefix of the option that carries the authentication token.
const TOKEN_PREFIX: &[u8] = b"auth=";
/// Prefixes of the options that are ignored when the ingress knows the plan of the account itself.
const CLAIM_PREFIXES: [&[u8]; 3] = [b"t=", b"spread=", b"first="];
/// Maximum size of the options that replace the claims, without the plan name, in bytes. Used to reserve buffer capacity.
const CLAIMS_OVERHEAD_BYTES: usize = 32;

/// The parsed options of a command. Options unknown to the ingress are left out.
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

/// The option `d`: how long the client waits.
#[derive(Clone, Debug)]
pub(super) struct WaitOption {
    pub(super) micros: Micros,
    /// Position of the value in the options.
    pub(super) range: Range<usize>,
}

impl<'a> Options<'a> {
    /// Parses options and skips unknown ones.
    pub(super) fn parse(text: &'a [u8]) -> Result<Options<'a>, CallError> {
        let mut options = Options::default();
        let mut start = 0;
        for option in text.split(|byte| *byte == b',') {
            options.add(option, start)?;
            start += option.len() + 1;
        }
        Ok(options)
    }

    /// Parses one option that begins at byte `start` of the options.
    fn add(&mut self, option: &'a [u8], start: usize) -> Result<(), CallError> {
        let equals = option.iter().position(|byte| *byte == b'=');
        let equals = equals.ok_or(CallError::MissingEquals)?;
        let value = &option[equals + 1..];
        let range = start + equals + 1..start + option.len();
        match &option[..equals] {
            b"c" => set(&mut self.class, value, Field::Class),
            b"t" => set(&mut self.plan, value, Field::Plan),
            b"k" => set(&mut self.key, value, Field::Key),
            b"d" => {
                let ms = whole_number(value, MAX_WAIT_MS, Field::Wait)?;
                let micros = ms * MICROS_PER_MILLISECOND;
                set(&mut self.wait, WaitOption { micros, range }, Field::Wait)
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

/// Sets an option. Fails if it is already set.
fn set<T>(option: &mut Option<T>, value: T, field: Field) -> Result<(), CallError> {
    if option.replace(value).is_some() {
        return Err(CallError::Duplicate(field));
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
        .ok_or(CallError::InvalidWholeNumber { field, max })
}

/// Parses a number from 0 up: decimal digits with an optional fraction, no sign or exponent.
fn number(text: &[u8], field: Field) -> Result<f64, CallError> {
    let is_plain = !text.is_empty()
        && text.len() <= MAX_NUMBER_BYTES
        && text.iter().all(|b| b.is_ascii_digit() || *b == b'.');
    let text = std::str::from_utf8(text).ok().filter(|_| is_plain);
    text.and_then(|text| text.parse().ok())
        .ok_or(CallError::InvalidNumber(field))
}

/// The token, and the options without it. The token must not reach a backend.
pub(super) struct SplitOptions {
    pub(super) rest: Vec<u8>,
    pub(super) token: Vec<u8>,
}

/// Separates the token from the other options. Returns `None` if there is no token.
pub(super) fn split_token(options: &[u8]) -> Result<Option<SplitOptions>, CallError> {
    let is_token = |option: &&[u8]| option.starts_with(TOKEN_PREFIX);
    let all = || options.split(|byte| *byte == b',');
    let mut tokens = all().filter(is_token);
    let Some(token) = tokens.next() else {
        return Ok(None);
    };
    if tokens.next().is_some() {
        return Err(CallError::Duplicate(Field::Token));
    }
    let rest: Vec<&[u8]> = all().filter(|option| !is_token(option)).collect();
    Ok(Some(SplitOptions {
        rest: rest.join(&b','),
        token: token[TOKEN_PREFIX.len()..].to_vec(),
    }))
}

/// Replaces the plan and spread claimed in the options with the actual ones of the account.
pub(super) fn replace_claims(options: &[u8], plan: OwnPlan, gateways: u64) -> Vec<u8> {
    let is_claim = |option: &[u8]| CLAIM_PREFIXES.iter().any(|claim| option.starts_with(claim));
    let mut replaced = Vec::with_capacity(options.len() + CLAIMS_OVERHEAD_BYTES);
    for option in options.split(|byte| *byte == b',') {
        if !is_claim(option) {
            replaced.extend_from_slice(option);
            replaced.push(b',');
        }
    }
    let claims = format!("t={},spread={gateways},first=0", plan.name);
    replaced.extend_from_slice(claims.as_bytes());
    replaced
}
