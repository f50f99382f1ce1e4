//! Parses a file with the tables of [`crate::form`]. It reports every mistake and keeps every valid value with its
//! span.

use crate::codes::Code;
use crate::diagnostic::{Diagnostic, Place};
use crate::form::{Field, FileKind, Kind, Need, Table, VERSION};
use crate::values::{self, Listener};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::ops::Range;
use toml::de::{DeInteger, DeTable, DeValue};
use toml::Spanned;
use wrenfork_happy_eyeballs::{Address, AddressError};

/// A value with its span in the file.
#[derive(Clone, Debug, PartialEq)]
pub struct At<T> {
    /// Parsed value.
    pub value: T,
    /// Byte range in the file's text.
    pub span: Range<usize>,
}

/// A parsed value.
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    /// Text, a name or a word of a choice.
    Text(String),
    /// True or false.
    Flag(bool),
    /// An integer, a time, an amount of memory, an account id or a file mode.
    Integer(u64),
    /// A number or a rate.
    Number(f64),
    /// An IP address with a port.
    Address(SocketAddr),
    /// Where a sidecar accepts connections.
    Listener(Listener),
    /// A list of names.
    Names(Vec<At<String>>),
    /// One address of a node.
    NodeAddress(Address),
    /// Further addresses of a node.
    NodeAddresses(Vec<At<Address>>),
    /// A list of integers or account ids.
    Integers(Vec<At<u64>>),
    /// A nested table.
    Table(Fields),
    /// A list of tables.
    Tables(Vec<Fields>),
}

/// The valid values of a table, by key.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Fields {
    /// Span of the table's header or of its braces.
    pub span: Range<usize>,
    values: BTreeMap<&'static str, At<Value>>,
    /// Keys with invalid values, which are already reported.
    invalid: BTreeSet<&'static str>,
}

macro_rules! getters {
    ($($name:ident, $variant:ident, $type:ty;)*) => {
        impl Fields {
            $(
                #[doc = concat!("The value at a key, if it is present and valid: ", stringify!($variant), ".")]
                pub fn $name(&self, key: &str) -> Option<At<$type>> {
                    let at = self.values.get(key)?;
                    match &at.value {
                        Value::$variant(value) => Some(At { value: value.clone(), span: at.span.clone() }),
                        _ => None,
                    }
                }
            )*
        }
    };
}

getters! {
    text, Text, String;
    flag, Flag, bool;
    integer, Integer, u64;
    number, Number, f64;
    address, Address, SocketAddr;
    listener, Listener, Listener;
    names, Names, Vec<At<String>>;
    integers, Integers, Vec<At<u64>>;
    node_address, NodeAddress, Address;
    node_addresses, NodeAddresses, Vec<At<Address>>;
}

impl Fields {
    /// Whether a key has an invalid value, which is already reported.
    pub fn is_invalid(&self, key: &str) -> bool {
        self.invalid.contains(key)
    }

    /// The nested table at a key.
    pub fn table(&self, key: &str) -> Option<&Fields> {
        match &self.values.get(key)?.value {
            Value::Table(fields) => Some(fields),
            _ => None,
        }
    }

    /// The list of tables at a key; empty if it is missing or invalid.
    pub fn tables(&self, key: &str) -> &[Fields] {
        match self.values.get(key).map(|at| &at.value) {
            Some(Value::Tables(list)) => list,
            _ => &[],
        }
    }
}

/// A parsed file.
#[derive(Clone, Debug)]
pub struct Document {
    /// Kind of the file.
    pub kind: FileKind,
    /// Valid values of the file's top-level table.
    pub fields: Fields,
}

struct Reader<'a> {
    file: usize,
    found: &'a mut Vec<Diagnostic>,
}

/// Parses a file's text. Mistakes are added to `found`. Returns none if the kind of the file is unknown.
pub fn read(text: &str, file: usize, found: &mut Vec<Diagnostic>) -> Option<Document> {
    let (root, errors) = DeTable::parse_recoverable(text);
    let errors = errors.into_iter().map(|e| {
        (
            e.span().unwrap_or(0..0),
            e.message().trim().replace('\n', "; "),
        )
    });
    let errors = remove_consequential(errors.collect());
    let broken = !errors.is_empty();
    let before = found.len();
    let kind = read_document(&root, file, broken, found);
    if broken {
        // Other mistakes on a line with a syntax error, or after a bracket that is never closed, are consequences of
        // that error.
        let line = |at: usize| text[..at.min(text.len())].matches('\n').count();
        let lines: BTreeSet<usize> = errors.iter().map(|e| line(e.0.start)).collect();
        let open = errors
            .iter()
            .find(|e| e.1 == NEVER_CLOSED)
            .map_or(usize::MAX, |e| e.0.start);
        let mut seen = before;
        found.retain(|d| {
            seen += 1;
            seen <= before
                || (d.place.span.start < open && !lines.contains(&line(d.place.span.start)))
        });
    }
    for (span, message) in errors {
        found.push(Diagnostic::new(Code::Syntax, Place { file, span }, message));
    }
    kind
}

/// Message for a list or an inline table that is not closed before the end of the file.
const NEVER_CLOSED: &str = "a bracket is not closed before here";

/// Removes the syntax errors after the first bracket that is never closed: they are consequences of it.
fn remove_consequential(mut errors: Vec<(Range<usize>, String)>) -> Vec<(Range<usize>, String)> {
    if errors.iter().any(|e| e.1.starts_with("unclosed")) {
        let inside =
            |e: &(Range<usize>, String)| e.1.contains("array") || e.1.contains("inline table");
        if let Some(first) = errors.iter().position(inside) {
            errors.truncate(first + 1);
            errors[first].1 = NEVER_CLOSED.into();
        }
    }
    errors
}

fn read_document(
    root: &Spanned<DeTable>,
    file: usize,
    broken: bool,
    found: &mut Vec<Diagnostic>,
) -> Option<Document> {
    let mut reader = Reader { file, found };
    let kind = reader.kind(root.get_ref());
    if broken && kind.is_none() {
        return None;
    }
    let Some(kind) = kind else {
        let help = "begin the file with kind = \"site\", \"application\" or \"fleet\"";
        reader
            .report(Code::NoKind, 0..0, "the file does not say what it is")
            .help = Some(help.into());
        return None;
    };
    // Missing keys are not reported in a broken file: the parser may have skipped them.
    let fields = reader.table(kind.table(), root.get_ref(), 0..0, !broken);
    Some(Document { kind, fields })
}

impl Reader<'_> {
    fn report(
        &mut self,
        code: Code,
        span: Range<usize>,
        message: impl Into<String>,
    ) -> &mut Diagnostic {
        let at = self.found.len();
        self.found.push(Diagnostic::new(
            code,
            Place {
                file: self.file,
                span,
            },
            message,
        ));
        &mut self.found[at]
    }

    /// The file's kind, if the key `kind` has a known value.
    fn kind(&mut self, root: &DeTable) -> Option<FileKind> {
        let word = root.get("kind")?;
        let text = word.get_ref().as_str()?;
        FileKind::ALL.into_iter().find(|k| k.word() == text)
    }

    fn table(
        &mut self,
        table: &'static Table,
        source: &DeTable,
        span: Range<usize>,
        is_complete: bool,
    ) -> Fields {
        let (mut values, mut invalid) = (BTreeMap::new(), BTreeSet::new());
        for (key, value) in source.iter() {
            let name: &str = key.get_ref();
            match table.field(name) {
                Some(field) => {
                    let at = value.span();
                    match self.value(table, field, value) {
                        Some(value) => drop(values.insert(field.key, At { value, span: at })),
                        None => drop(invalid.insert(field.key)),
                    }
                }
                None => {
                    let known = table.fields.iter().map(|f| f.key);
                    let message = format!("`{name}` is no key of {}", with_article(table.name));
                    let help = nearest(name, known.clone()).map_or_else(
                        || format!("its keys are {}", known.collect::<Vec<_>>().join(", ")),
                        |meant| format!("was `{meant}` meant?"),
                    );
                    self.report(Code::UnknownKey, key.span(), message).help = Some(help);
                }
            }
        }
        for field in table
            .fields
            .iter()
            .filter(|f| is_complete && f.need == Need::Required && source.get(f.key).is_none())
        {
            let (code, example) = match field.key {
                "version" => (Code::NoVersion, field.example),
                _ => (Code::MissingKey, field.example),
            };
            let tables = matches!(field.kind, Kind::Tables(..));
            let help = if tables {
                format!("add [[{}]]", field.key)
            } else {
                format!("add {} = {example}", field.key)
            };
            let message = format!("`{}` is missing in this {}", field.key, table.name);
            self.report(code, span.clone(), message).help = Some(help);
        }
        Fields {
            span,
            values,
            invalid,
        }
    }

    fn value(
        &mut self,
        table: &Table,
        field: &'static Field,
        value: &Spanned<DeValue>,
    ) -> Option<Value> {
        let span = value.span();
        let value = value.get_ref();
        match field.kind {
            Kind::Table(inner) => match value.as_table() {
                Some(t) => Some(Value::Table(self.table(inner, t, span, true))),
                None => self.wrong_type(field, "a table", value, span),
            },
            Kind::Tables(inner, max) => self.tables(field, inner, max, value, span),
            Kind::Flag => match value.as_bool() {
                Some(flag) => Some(Value::Flag(flag)),
                None => self.wrong_type(field, "true or false", value, span),
            },
            Kind::Integer(min, max) => self
                .integer(field, min, max, value, span)
                .map(Value::Integer),
            Kind::Number(min, max) => self.number(field, min, max, value, span).map(Value::Number),
            Kind::Names => self.names(field, value, span),
            Kind::Integers(min, max) => self.integers(field, min, max, value, span),
            Kind::NodeAddresses => self.node_addresses(field, value, span),
            Kind::Accounts => self.accounts(field, value, span),
            _ => {
                let Some(text) = value.as_str() else {
                    return self.wrong_type(field, "text in quotes", value, span);
                };
                self.text(table, field, text, span)
            }
        }
    }

    fn wrong_type(
        &mut self,
        field: &Field,
        expected: &str,
        value: &DeValue,
        span: Range<usize>,
    ) -> Option<Value> {
        self.report_type(field, expected, value, span);
        None
    }

    fn report_type(&mut self, field: &Field, expected: &str, value: &DeValue, span: Range<usize>) {
        let actual = match value {
            DeValue::String(_) => "text",
            DeValue::Integer(_) | DeValue::Float(_) => "a number",
            DeValue::Boolean(_) => "true or false",
            DeValue::Datetime(_) => "a date",
            DeValue::Array(_) => "a list",
            DeValue::Table(_) => "a table",
        };
        let number = value.as_str().and_then(|t| t.parse::<f64>().ok()).is_some();
        let message = format!("`{}` is {expected}, not {actual}", field.key);
        let help = match value.as_str() {
            Some(text) if number => format!("take away the quotes: {} = {text}", field.key),
            _ => format!("write {} = {}", field.key, field.example),
        };
        let diagnostic = self.report(Code::WrongType, span, message);
        if !field.example.is_empty() {
            diagnostic.help = Some(help);
        }
    }

    fn text(
        &mut self,
        table: &Table,
        field: &Field,
        text: &str,
        span: Range<usize>,
    ) -> Option<Value> {
        let key = field.key;
        let (code, parsed) = match field.kind {
            Kind::Name if values::is_name(text) => return Some(Value::Text(text.into())),
            Kind::Name => (Code::BadName, Err(format!("\"{text}\" can't be a name"))),
            Kind::Choice(words) if words.contains(&text) => return Some(Value::Text(text.into())),
            Kind::Choice(words) => {
                let meant = nearest(text, words.iter().copied());
                let message = format!(
                    "`{key}` of {} is {}, not \"{text}\"",
                    with_article(table.name),
                    choices(words)
                );
                let diagnostic = self.report(Code::BadChoice, span, message);
                diagnostic.help = meant.map(|m| format!("was \"{m}\" meant?"));
                return None;
            }
            Kind::Rate => (Code::BadRate, values::rate(text).map(Value::Number)),
            Kind::Time => (Code::BadTime, values::time(text).map(Value::Integer)),
            Kind::Size => (Code::BadSize, values::size(text).map(Value::Integer)),
            Kind::Address => (Code::BadAddress, values::address(text).map(Value::Address)),
            Kind::PublicKey => (Code::BadKey, values::public_key(text).map(Value::Text)),
            Kind::Digest => (Code::BadDigest, values::digest(text).map(Value::Text)),
            Kind::Moment => (Code::BadMoment, values::moment(text).map(Value::Integer)),
            Kind::NodeAddress => (
                Code::BadAddress,
                text.parse()
                    .map(Value::NodeAddress)
                    .map_err(|error: AddressError| error.to_string()),
            ),
            Kind::Listener => (
                Code::BadAddress,
                values::listener(text).map(Value::Listener),
            ),
            Kind::Path => (
                Code::BadPath,
                values::path(text).map(|()| Value::Text(text.into())),
            ),
            Kind::Account => (Code::BadAccount, values::account(text).map(Value::Integer)),
            Kind::Mode => (
                Code::OutOfRange,
                values::mode(text).map(|m| Value::Integer(u64::from(m))),
            ),
            _ => return Some(Value::Text(text.into())),
        };
        match parsed {
            Ok(value) => Some(value),
            Err(message) => {
                self.report(code, span, message);
                None
            }
        }
    }

    fn integer(
        &mut self,
        field: &Field,
        min: u64,
        max: u64,
        value: &DeValue,
        span: Range<usize>,
    ) -> Option<u64> {
        let Some(number) = value.as_integer() else {
            self.report_type(field, "a whole number", value, span);
            return None;
        };
        match parse_integer(number) {
            Some(n) if (min..=max).contains(&n) => Some(n),
            _ if field.key == "version" => {
                let message = format!(
                    "version {} of the form is not known, only {VERSION} is",
                    number.as_str()
                );
                self.report(Code::NoVersion, span, message);
                None
            }
            _ => {
                let message = format!(
                    "`{}` is from {min} to {max}, not {}",
                    field.key,
                    number.as_str()
                );
                self.report(Code::OutOfRange, span, message);
                None
            }
        }
    }

    fn number(
        &mut self,
        field: &Field,
        min: f64,
        max: f64,
        value: &DeValue,
        span: Range<usize>,
    ) -> Option<f64> {
        let number = match value {
            DeValue::Integer(n) => parse_integer(n).map(|n| n as f64).or(Some(f64::NAN)),
            DeValue::Float(n) => n.as_str().replace('_', "").parse::<f64>().ok(),
            _ => {
                self.report_type(field, "a number", value, span);
                return None;
            }
        };
        // -0 is within the range, but is taken for a typing error.
        let number =
            number.filter(|n| (min..=max).contains(n) && !(*n == 0.0 && n.is_sign_negative()));
        if number.is_none() {
            let message = format!("`{}` is a number from {min} to {max}", field.key);
            self.report(Code::OutOfRange, span, message);
        }
        number
    }

    /// The list at a key. Reports a value that is not a list, and an empty list.
    fn list<'v, 'i>(
        &mut self,
        field: &Field,
        expected: &str,
        value: &'v DeValue<'i>,
        span: Range<usize>,
    ) -> Option<&'v toml::de::DeArray<'i>> {
        let Some(list) = value.as_array() else {
            self.report_type(field, expected, value, span);
            return None;
        };
        if list.is_empty() {
            self.report(
                Code::Empty,
                span,
                format!("`{}` is an empty list", field.key),
            );
            return None;
        }
        Some(list)
    }

    fn names(&mut self, field: &Field, value: &DeValue, span: Range<usize>) -> Option<Value> {
        let list = self.list(field, "a list of names", value, span)?;
        let mut names: Vec<At<String>> = Vec::new();
        for item in list {
            match item.get_ref().as_str() {
                Some(text) if !values::is_name(text) => {
                    self.report(
                        Code::BadName,
                        item.span(),
                        format!("\"{text}\" can't be a name"),
                    );
                }
                Some(text) => match names.iter().find(|n| n.value == text) {
                    Some(first) => {
                        let (file, first) = (self.file, first.span.clone());
                        let diagnostic = self.report(
                            Code::NameTwice,
                            item.span(),
                            format!("\"{text}\" is listed twice"),
                        );
                        diagnostic
                            .related
                            .push((Place { file, span: first }, "first here".into()));
                    }
                    None => names.push(At {
                        value: text.into(),
                        span: item.span(),
                    }),
                },
                None => self.report_type(
                    field,
                    "a list of names in quotes",
                    item.get_ref(),
                    item.span(),
                ),
            }
        }
        Some(Value::Names(names))
    }

    fn accounts(&mut self, field: &Field, value: &DeValue, span: Range<usize>) -> Option<Value> {
        let list = self.list(field, "a list of accounts", value, span)?;
        let mut accounts: Vec<At<u64>> = Vec::new();
        for item in list {
            match item.get_ref().as_str().map(values::account) {
                Some(Ok(id)) if accounts.iter().any(|a| a.value == id) => {
                    self.report(
                        Code::NameTwice,
                        item.span(),
                        format!("account {id:016x} is listed twice"),
                    );
                }
                Some(Ok(id)) => accounts.push(At {
                    value: id,
                    span: item.span(),
                }),
                Some(Err(message)) => drop(self.report(Code::BadAccount, item.span(), message)),
                None => self.report_type(
                    field,
                    "a list of accounts in quotes",
                    item.get_ref(),
                    item.span(),
                ),
            }
        }
        Some(Value::Integers(accounts))
    }

    fn node_addresses(
        &mut self,
        field: &Field,
        value: &DeValue,
        span: Range<usize>,
    ) -> Option<Value> {
        let list = self.list(field, "a list of addresses", value, span)?;
        let mut addresses = Vec::new();
        for item in list {
            match item.get_ref().as_str().map(str::parse::<Address>) {
                Some(Ok(address)) => addresses.push(At {
                    value: address,
                    span: item.span(),
                }),
                Some(Err(error)) => {
                    self.report(Code::BadAddress, item.span(), error.to_string());
                }
                None => self.report_type(
                    field,
                    "a list of addresses in quotes",
                    item.get_ref(),
                    item.span(),
                ),
            }
        }
        Some(Value::NodeAddresses(addresses))
    }

    fn integers(
        &mut self,
        field: &Field,
        min: u64,
        max: u64,
        value: &DeValue,
        span: Range<usize>,
    ) -> Option<Value> {
        let list = self.list(field, "a list of whole numbers", value, span)?;
        let numbers = list.iter().filter_map(|item| {
            let n = self.integer(field, min, max, item.get_ref(), item.span())?;
            Some(At {
                value: n,
                span: item.span(),
            })
        });
        Some(Value::Integers(numbers.collect()))
    }

    fn tables(
        &mut self,
        field: &Field,
        inner: &'static Table,
        max: usize,
        value: &DeValue,
        span: Range<usize>,
    ) -> Option<Value> {
        let Some(list) = value.as_array() else {
            let message = format!("`{}` may be there several times", field.key);
            let diagnostic = self.report(Code::WrongType, span, message);
            diagnostic.help = Some(format!("write [[{}]] with two brackets", field.key));
            return None;
        };
        if list.is_empty() && field.need == Need::Required {
            self.report(
                Code::Empty,
                span,
                format!("`{}` is an empty list", field.key),
            );
            return None;
        }
        if list.len() > max {
            let message = format!("{} {}s, {max} at the most", list.len(), field.key);
            self.report(Code::TooMany, span, message);
            return None;
        }
        let mut tables = Vec::with_capacity(list.len());
        for item in list {
            match item.get_ref().as_table() {
                Some(t) => tables.push(self.table(inner, t, item.span(), true)),
                None => self.report_type(field, "a list of tables", item.get_ref(), item.span()),
            }
        }
        Some(Value::Tables(tables))
    }
}

fn with_article(name: &str) -> String {
    let article = if name.starts_with(['a', 'e', 'i', 'o', 'u']) {
        "an"
    } else {
        "a"
    };
    format!("{article} {name}")
}

/// Parses a non-negative integer in any TOML notation.
fn parse_integer(number: &DeInteger) -> Option<u64> {
    u64::from_str_radix(number.as_str().trim_start_matches('+'), number.radix()).ok()
}

fn choices(words: &[&str]) -> String {
    let quoted: Vec<String> = words.iter().map(|w| format!("\"{w}\"")).collect();
    match quoted.split_last() {
        Some((last, rest)) if !rest.is_empty() => format!("{} or {last}", rest.join(", ")),
        _ => quoted.concat(),
    }
}

/// The closest of the known words; none if all differ by more than two edits or by more than half of their letters.
pub fn nearest<'a>(word: &str, known: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    let distance = |k: &str| strsim::damerau_levenshtein(word, k);
    let close = known
        .map(|k| (distance(k), k))
        .filter(|(d, k)| *d <= 2 && *d * 2 <= k.len().max(2));
    close.min_by_key(|(d, _)| *d).map(|(_, k)| k)
}
