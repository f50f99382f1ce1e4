//! The CALL commands: read strictly from a client, written for a backend with a `d` of the attempt's own.

mod error;
mod options;
mod vocabulary;

#[cfg(test)]
mod tests;

pub use error::{CallError, Field};
pub use vocabulary::{ClassDefinition, Identity, Vocabulary};

use crate::resp;
use options::{replace_claims, split_token, Options};
use serde::{Deserialize, Serialize};
use std::ops::Range;
use std::sync::Arc;
use vocabulary::OwnPlan;
use wrenfork_decision::{CustomerId, Idempotency, Micros, Request};

/// The most bytes of an id or a key.
const MAX_ID: usize = 64;
/// Hex digits of a customer's number.
const CUSTOMER_DIGITS: usize = 16;
/// Customers are numbers below this.
const CUSTOMER_LIMIT: u64 = 1 << 33;
/// Arguments of a CALL.GET, the command among them; a CALL.POST has its body besides.
const ARGUMENTS: usize = 4;
/// The bytes behind a bulk string's text: CR LF.
const BULK_END: usize = 2;
/// What a command takes besides its options and body, at most: room is reserved for it.
const COMMAND_OVERHEAD: usize = 112;
const MICROS_PER_MILLISECOND: Micros = 1_000;

/// A client's request. The order of its fields is part of a handover's layout.
#[derive(Debug, Serialize, Deserialize)]
pub struct Call {
    /// What the decision module is given; its id and deadline are the caller's to fill in.
    pub request: Request,
    /// How long the client waits, in microseconds.
    pub wait: Micros,
    /// Where its id is in `bytes`.
    id: Range<usize>,
    /// The command as it came, but for the length of its options and the value of `d`.
    bytes: Vec<u8>,
    /// The end of what stands before its options.
    head_end: usize,
    /// The end of the options before the value of `d`.
    before_wait_end: usize,
    /// The end of the options behind the value of `d`.
    options_end: usize,
    token: Option<Vec<u8>>,
    /// A long body, as it came: held once, whatever attempts are written from it.
    body: Option<Body>,
}

/// A body too long to be copied: the command as it came, and where the body's string stands in it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Body {
    command: Arc<Vec<u8>>,
    range: Range<usize>,
}

impl Body {
    /// The body's string in a command.
    pub fn new(command: Vec<u8>, range: Range<usize>) -> Body {
        Body {
            command: Arc::new(command),
            range,
        }
    }

    /// The string, with its head and end.
    pub fn bytes(&self) -> &[u8] {
        &self.command[self.range.clone()]
    }

    /// How many bytes that are.
    pub fn len(&self) -> usize {
        self.range.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.range.is_empty()
    }

    /// Bytes of memory that it holds.
    fn memory(&self) -> usize {
        self.command.capacity()
    }
}

/// The arguments of a command without its verb.
struct Arguments<'a> {
    all: &'a [&'a [u8]],
    customer: &'a [u8],
    id: &'a [u8],
    options: &'a [u8],
}

/// Whether a text is a plain word, as ids and keys are.
fn is_word(text: &[u8]) -> bool {
    !text.is_empty() && text.len() <= MAX_ID && text.iter().all(u8::is_ascii_graphic)
}

impl Call {
    /// Reads a command's arguments, the verb among them; none if the verb is another one.
    ///
    /// # Errors
    ///
    /// Where it is no request that the vocabulary allows; the error's text is for the client.
    pub fn read(
        buf: &[u8],
        arguments: &[Range<usize>],
        vocabulary: &Vocabulary,
    ) -> Option<Result<Call, CallError>> {
        let verb = &buf[arguments.first()?.clone()];
        let is_post = match verb {
            b"CALL.GET" => false,
            b"CALL.POST" => true,
            _ => return None,
        };
        let wanted = ARGUMENTS + usize::from(is_post);
        if arguments.len() != wanted {
            return Some(Err(CallError::ArgumentCount(wanted)));
        }
        let all: Vec<&[u8]> = arguments.iter().map(|r| &buf[r.clone()]).collect();
        let arguments = Arguments {
            all: &all,
            customer: all[1],
            id: all[2],
            options: all[3],
        };
        Some(Call::parse(is_post, &arguments, vocabulary))
    }

    /// Reads a complete command with a long body, which is held as it came.
    ///
    /// # Errors
    ///
    /// See [`Call::read`].
    pub fn read_long(
        buf: Vec<u8>,
        arguments: &[Range<usize>],
        vocabulary: &Vocabulary,
    ) -> Option<Result<Call, CallError>> {
        let mut read = Call::read(&buf, arguments, vocabulary);
        let before_body = arguments.get(arguments.len().wrapping_sub(2));
        if let (Some(Ok(call)), Some(before_body)) = (&mut read, before_body) {
            let range = before_body.end + BULK_END..buf.len();
            call.body = Some(Body::new(buf, range));
        }
        read
    }

    fn parse(
        is_post: bool,
        arguments: &Arguments,
        vocabulary: &Vocabulary,
    ) -> Result<Call, CallError> {
        let customer = parse_customer(arguments.customer)?;
        if !is_word(arguments.id) {
            return Err(CallError::Id);
        }
        let split = if vocabulary.authenticates {
            split_token(arguments.options)?
        } else {
            None
        };
        let text = split
            .as_ref()
            .map_or(arguments.options, |split| &split.rest[..]);
        let own_plan = vocabulary.own_plan(customer)?;
        let replaced = own_plan.map(|plan| replace_claims(text, plan, vocabulary.gateways));
        let text = replaced.as_deref().unwrap_or(text);
        let options = Options::parse(text)?;
        let request = request(is_post, customer, &options, own_plan, vocabulary)?;
        let wait = options.wait.ok_or(CallError::Missing(Field::Wait))?;
        let call = Call::from_parts(request, arguments, text, wait.place);
        Ok(Call {
            wait: wait.micros,
            token: split.map(|split| split.token),
            ..call
        })
    }

    /// Lays the command out as it goes to backends, around the value of `d` that stands at `wait` in its options.
    fn from_parts(
        request: Request,
        arguments: &Arguments,
        options: &[u8],
        wait: Range<usize>,
    ) -> Call {
        let body = arguments.all.get(resp::BODY).map_or(0, |body| body.len());
        let capacity = COMMAND_OVERHEAD + options.len() + body.min(resp::MAX_VALUE);
        let mut bytes = Vec::with_capacity(capacity);
        resp::put_array(&mut bytes, arguments.all.len());
        for argument in &arguments.all[..ARGUMENTS - 1] {
            resp::put_bulk(&mut bytes, &[argument]);
        }
        let head_end = bytes.len();
        let id_end = head_end - BULK_END;
        bytes.extend_from_slice(&options[..wait.start]);
        let before_wait_end = bytes.len();
        bytes.extend_from_slice(&options[wait.end..]);
        let options_end = bytes.len();
        for argument in &arguments.all[ARGUMENTS..] {
            if argument.len() <= resp::MAX_VALUE {
                resp::put_bulk(&mut bytes, &[argument]);
            }
        }
        Call {
            request,
            wait: 0,
            id: id_end - arguments.id.len()..id_end,
            bytes,
            head_end,
            before_wait_end,
            options_end,
            token: None,
            body: None,
        }
    }

    /// The token that came with it; it is held no longer.
    pub fn take_token(&mut self) -> Option<Vec<u8>> {
        self.token.take()
    }

    /// Its body, where that is not among the bytes that [`Call::write`] appends: it goes right behind them.
    pub fn body(&self) -> Option<Body> {
        self.body.clone()
    }

    /// The id that the client gave it.
    pub fn id(&self) -> &[u8] {
        &self.bytes[self.id.clone()]
    }

    /// Appends the command as it goes to a backend, which is told how long, in microseconds, it is waited for.
    pub fn write(&self, wait: Micros, out: &mut Vec<u8>) {
        let wait_ms = (wait / MICROS_PER_MILLISECOND).max(1).to_string();
        out.extend_from_slice(&self.bytes[..self.head_end]);
        let before_wait = &self.bytes[self.head_end..self.before_wait_end];
        let behind_wait = &self.bytes[self.before_wait_end..self.options_end];
        resp::put_bulk(out, &[before_wait, wait_ms.as_bytes(), behind_wait]);
        out.extend_from_slice(&self.bytes[self.options_end..]);
    }

    /// What it takes in memory, in bytes, roughly.
    pub fn size(&self) -> usize {
        let body = self.body.as_ref().map_or(0, Body::memory);
        self.bytes.capacity() + body + std::mem::size_of::<Call>()
    }
}

/// A customer's number.
fn parse_customer(text: &[u8]) -> Result<u64, CallError> {
    let is_hex = text.len() == CUSTOMER_DIGITS && text.iter().all(u8::is_ascii_hexdigit);
    let text = std::str::from_utf8(text).ok().filter(|_| is_hex);
    let number = text.and_then(|text| u64::from_str_radix(text, 16).ok());
    number
        .filter(|number| *number < CUSTOMER_LIMIT)
        .ok_or(CallError::Customer)
}

/// What the decision module is given of a request; what is out of range reaches neither the module, which stores it in the
/// customer's record, nor a backend.
fn request(
    is_post: bool,
    customer: u64,
    options: &Options,
    own_plan: Option<OwnPlan>,
    vocabulary: &Vocabulary,
) -> Result<Request, CallError> {
    let class = options.class.ok_or(CallError::Missing(Field::Class))?;
    let class = vocabulary.class_index(class)?;
    let plan = options.plan.ok_or(CallError::Missing(Field::Plan))?;
    let plan = vocabulary.plan_index(plan)?;
    let plan = own_plan.map_or(plan, |own| usize::from(own.index));
    if !vocabulary.may_send(class) {
        return Err(CallError::ClassNotAllowed);
    }
    if options.wait.is_none() {
        return Err(CallError::Missing(Field::Wait));
    }
    check_idempotency(vocabulary.classes[class].idempotency, is_post, options)?;
    let units = options.units.ok_or(CallError::Missing(Field::Units))?;
    let spread = options.spread.ok_or(CallError::Missing(Field::Spread))?;
    let first = options.first.ok_or(CallError::Missing(Field::First))?;
    let gateways = vocabulary.gateways;
    check_range(units > 0.0 && units <= vocabulary.max_units, Field::Units)?;
    check_range((1..=gateways).contains(&spread), Field::Spread)?;
    check_range(first < gateways, Field::First)?;
    Ok(Request {
        class: u8::try_from(class).map_err(|_| CallError::UnknownClass)?,
        plan: u16::try_from(plan).map_err(|_| CallError::UnknownPlan)?,
        customer: CustomerId(customer),
        units,
        gateway_span: spread as f64,
        first_gateway: first as f64,
        ..Request::default()
    })
}

/// Whether the command is the one for a class, and has the idempotency key that the class needs.
fn check_idempotency(
    idempotency: Idempotency,
    is_post: bool,
    options: &Options,
) -> Result<(), CallError> {
    if is_post == (idempotency == Idempotency::Idempotent) {
        return Err(CallError::WrongCommand);
    }
    if matches!(idempotency, Idempotency::WithKey { .. }) && !options.key.is_some_and(is_word) {
        return Err(CallError::Missing(Field::Key));
    }
    Ok(())
}

fn check_range(is_good: bool, field: Field) -> Result<(), CallError> {
    if is_good {
        Ok(())
    } else {
        Err(CallError::OutOfRange(field))
    }
}
