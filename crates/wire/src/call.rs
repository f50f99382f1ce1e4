//! The CALL commands: parses them strictly from a client and writes them for a backend, with the option `d` (wait in milliseconds)
//! set for each attempt.

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

/// Maximum length of a request id or an idempotency key, in bytes.
const MAX_ID_BYTES: usize = 64;
/// Number of hex digits in a customer number.
const CUSTOMER_DIGITS: usize = 16;
/// Customer numbers are below this limit.
const CUSTOMER_LIMIT: u64 = 1 << 33;
/// Number of arguments of CALL.GET, including the command name. CALL.POST has one more: the body.
const GET_ARGUMENTS: usize = 4;
/// Length of the CR LF after the text of a bulk string, in bytes.
const BULK_END_BYTES: usize = 2;
/// Length in bytes up to which a body is copied into the command of each attempt. All attempts share one copy of a longer body.
pub const MAX_COPIED_BODY: usize = 1024;
/// Maximum size of a command without its options and body, in bytes. Used to reserve buffer capacity.
const COMMAND_OVERHEAD_BYTES: usize = 112;
const MICROS_PER_MILLISECOND: Micros = 1_000;

/// A client's request. The field order is part of the handover format.
#[derive(Debug, Serialize, Deserialize)]
pub struct Call {
    /// The request for the decision module. The caller sets its id and deadline.
    pub request: Request,
    /// How long the client waits, in microseconds.
    pub wait: Micros,
    /// Position of the request id in `bytes`.
    id: Range<usize>,
    /// The command as received, without the length of the options and the value of `d`.
    bytes: Vec<u8>,
    /// End of the part of `bytes` before the options.
    head_end: usize,
    /// End of the options that precede the value of `d`.
    before_wait_end: usize,
    /// End of the options that follow the value of `d`.
    options_end: usize,
    /// The authentication token, if the options contained one.
    token: Option<Vec<u8>>,
    /// A body longer than [`MAX_COPIED_BODY`], as received. All attempts share this one copy.
    body: Option<Body>,
}

/// A body that is too long to be copied for each attempt: the command as received, and the position of the body in it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Body {
    command: Arc<Vec<u8>>,
    range: Range<usize>,
}

impl Body {
    /// Creates a body from a command and the range of the body's bulk string in it.
    pub fn new(command: Vec<u8>, range: Range<usize>) -> Body {
        Body {
            command: Arc::new(command),
            range,
        }
    }

    /// The bulk string, including its length line and final CR LF.
    pub fn bytes(&self) -> &[u8] {
        &self.command[self.range.clone()]
    }

    /// Length of the bulk string, including its length line and final CR LF, in bytes.
    pub fn len(&self) -> usize {
        self.range.len()
    }

    /// Whether the range is empty. A parsed body never is: even an empty text has a length line.
    pub fn is_empty(&self) -> bool {
        self.range.is_empty()
    }

    /// Memory held by the whole command, in bytes.
    fn memory(&self) -> usize {
        self.command.capacity()
    }
}

/// How long the client of a partly received command waits, in microseconds, if its options have arrived and are valid. `arguments`
/// are those that have arrived completely.
pub fn announced_wait(buf: &[u8], arguments: &[Range<usize>]) -> Option<Micros> {
    let options = arguments.get(GET_ARGUMENTS - 1)?;
    let options = Options::parse(&buf[options.clone()]).ok()?;
    options.wait.map(|wait| wait.micros)
}

impl Vocabulary {
    /// Index of the class that the options of a partly received command name; none if they are not valid.
    pub fn announced_class(&self, options: &[u8]) -> Option<u8> {
        let options = Options::parse(options).ok()?;
        let index = self.class_index(options.class?).ok()?;
        u8::try_from(index).ok()
    }
}

/// The arguments of a command. `all` includes the command name.
struct Arguments<'a> {
    all: &'a [&'a [u8]],
    customer: &'a [u8],
    id: &'a [u8],
    options: &'a [u8],
}

/// Whether a text is valid as an id or key: 1 to [`MAX_ID_BYTES`] printable ASCII characters without spaces.
fn is_valid_id(text: &[u8]) -> bool {
    !text.is_empty() && text.len() <= MAX_ID_BYTES && text.iter().all(u8::is_ascii_graphic)
}

impl Call {
    /// Parses a request from the arguments of a command, including its name. Returns `None` if the command is neither CALL.GET nor
    /// CALL.POST.
    ///
    /// # Errors
    ///
    /// If the command is not a request that the vocabulary allows. The error text is sent to the client.
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
        let expected = GET_ARGUMENTS + usize::from(is_post);
        if arguments.len() != expected {
            return Some(Err(CallError::ArgumentCount(expected)));
        }
        let all: Vec<&[u8]> = arguments.iter().map(|range| &buf[range.clone()]).collect();
        let arguments = Arguments {
            all: &all,
            customer: all[1],
            id: all[2],
            options: all[3],
        };
        Some(Call::parse(is_post, &arguments, vocabulary))
    }

    /// Parses a complete command with a body longer than [`MAX_COPIED_BODY`], which is kept as received instead of being copied.
    ///
    /// # Errors
    ///
    /// See [`Call::read`].
    pub fn read_long(
        buf: Vec<u8>,
        arguments: &[Range<usize>],
        vocabulary: &Vocabulary,
    ) -> Option<Result<Call, CallError>> {
        let mut call = Call::read(&buf, arguments, vocabulary);
        let before_body = arguments.get(arguments.len().wrapping_sub(2));
        if let (Some(Ok(call)), Some(before_body)) = (&mut call, before_body) {
            let range = before_body.end + BULK_END_BYTES..buf.len();
            call.body = Some(Body::new(buf, range));
        }
        call
    }

    fn parse(
        is_post: bool,
        arguments: &Arguments,
        vocabulary: &Vocabulary,
    ) -> Result<Call, CallError> {
        let customer = parse_customer(arguments.customer)?;
        if !is_valid_id(arguments.id) {
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
        let request = build_request(is_post, customer, &options, own_plan, vocabulary)?;
        let wait = options.wait.ok_or(CallError::Missing(Field::Wait))?;
        let call = Call::from_parts(request, arguments, text, wait.range);
        Ok(Call {
            wait: wait.micros,
            token: split.map(|split| split.token),
            ..call
        })
    }

    /// Builds the command for backends. `wait` is the range of the value of `d` in `options`; each attempt writes its own value
    /// there.
    fn from_parts(
        request: Request,
        arguments: &Arguments,
        options: &[u8],
        wait: Range<usize>,
    ) -> Call {
        let body = arguments
            .all
            .get(resp::BODY_INDEX)
            .map_or(0, |body| body.len());
        let capacity =
            COMMAND_OVERHEAD_BYTES + options.len() + if body > MAX_COPIED_BODY { 0 } else { body };
        let mut bytes = Vec::with_capacity(capacity);
        resp::put_array(&mut bytes, arguments.all.len());
        for argument in &arguments.all[..GET_ARGUMENTS - 1] {
            resp::put_bulk(&mut bytes, &[argument]);
        }
        let head_end = bytes.len();
        let id_end = head_end - BULK_END_BYTES;
        bytes.extend_from_slice(&options[..wait.start]);
        let before_wait_end = bytes.len();
        bytes.extend_from_slice(&options[wait.end..]);
        let options_end = bytes.len();
        for argument in &arguments.all[GET_ARGUMENTS..] {
            if argument.len() <= MAX_COPIED_BODY {
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

    /// Removes and returns the authentication token of the request.
    pub fn take_token(&mut self) -> Option<Vec<u8>> {
        self.token.take()
    }

    /// The shared body, if it is longer than [`MAX_COPIED_BODY`]. [`Call::write`] does not append the body: the caller sends it directly after the bytes from `write`.
    pub fn body(&self) -> Option<Body> {
        self.body.clone()
    }

    /// The request id set by the client.
    pub fn id(&self) -> &[u8] {
        &self.bytes[self.id.clone()]
    }

    /// Appends the command for a backend to `out`. `wait` is how long the answer is awaited, in microseconds; the backend
    /// receives it as option `d` in milliseconds, at least 1.
    pub fn write(&self, wait: Micros, out: &mut Vec<u8>) {
        let wait_ms = (wait / MICROS_PER_MILLISECOND).max(1).to_string();
        out.extend_from_slice(&self.bytes[..self.head_end]);
        let before_wait = &self.bytes[self.head_end..self.before_wait_end];
        let after_wait = &self.bytes[self.before_wait_end..self.options_end];
        resp::put_bulk(out, &[before_wait, wait_ms.as_bytes(), after_wait]);
        out.extend_from_slice(&self.bytes[self.options_end..]);
    }

    /// Approximate memory used by the request, in bytes.
    pub fn size(&self) -> usize {
        let body = self.body.as_ref().map_or(0, Body::memory);
        self.bytes.capacity() + body + std::mem::size_of::<Call>()
    }
}

/// Parses a customer number: 16 hex digits, below [`CUSTOMER_LIMIT`].
fn parse_customer(text: &[u8]) -> Result<u64, CallError> {
    let is_hex = text.len() == CUSTOMER_DIGITS && text.iter().all(u8::is_ascii_hexdigit);
    let text = std::str::from_utf8(text).ok().filter(|_| is_hex);
    let number = text.and_then(|text| u64::from_str_radix(text, 16).ok());
    number
        .filter(|number| *number < CUSTOMER_LIMIT)
        .ok_or(CallError::Customer)
}

/// Builds the request for the decision module. Rejects values that are out of range, so that they reach neither a backend nor the
/// decision module, which stores them in the customer's record.
fn build_request(
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

/// Checks that the command is the right one for the class, and that the request has an idempotency key if the class needs one.
fn check_idempotency(
    idempotency: Idempotency,
    is_post: bool,
    options: &Options,
) -> Result<(), CallError> {
    if is_post == (idempotency == Idempotency::Idempotent) {
        return Err(CallError::WrongCommand);
    }
    if matches!(idempotency, Idempotency::WithKey { .. }) && !options.key.is_some_and(is_valid_id) {
        return Err(CallError::Missing(Field::Key));
    }
    Ok(())
}

fn check_range(is_in_range: bool, field: Field) -> Result<(), CallError> {
    if is_in_range {
        Ok(())
    } else {
        Err(CallError::OutOfRange(field))
    }
}
