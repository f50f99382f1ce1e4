//! Generates a JSON Schema of the files, for completion and checks in editors, and the operators' reference.

use crate::codes::{Code, Severity};
use crate::form::{Field, FileKind, Kind, Need, Table};
use serde_json::{json, Map, Value};
use std::fmt::Write;

/// Schema of a text that matches a regular expression.
fn text(pattern: &str) -> Value {
    json!({"type": "string", "pattern": pattern})
}

/// Regular expression of a node's address.
const NODE_ADDRESS: &str = "^(unix:/.+[^/]|(\\[[0-9a-fA-F:.]+\\]|[0-9.]+):[0-9]+)$";
/// Regular expression of a name.
const NAME: &str = "^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$";

fn kind_schema(kind: Kind) -> Value {
    match kind {
        Kind::Text => json!({"type": "string"}),
        Kind::Name => text(NAME),
        Kind::Choice(words) => json!({"enum": words}),
        Kind::Flag => json!({"type": "boolean"}),
        Kind::Integer(min, max) => json!({"type": "integer", "minimum": min, "maximum": max}),
        Kind::Number(min, max) => json!({"type": "number", "minimum": min, "maximum": max}),
        Kind::Rate => text("^[0-9][0-9.]* */ *(s|min|m|h)$"),
        Kind::Time => text("^[0-9][0-9.]* *(us|ms|s|m|min|h)$"),
        Kind::Size => text("^[0-9]+ *(KiB|MiB|GiB)$"),
        Kind::Address => text("^(\\[[0-9a-fA-F:.]+\\]|[0-9.]+):[0-9]+$"),
        Kind::NodeAddress => text(NODE_ADDRESS),
        Kind::NodeAddresses => json!({"type": "array", "minItems": 1, "items": text(NODE_ADDRESS)}),
        Kind::Listener => text("^(unix:/.+[^/]|(\\[::1\\]|127\\.[0-9.]+):[0-9]+)$"),
        Kind::Path => text("^/.*[^/]$"),
        Kind::Account => text("^0000000[01][0-9a-f]{8}$"),
        Kind::Accounts => {
            json!({"type": "array", "minItems": 1, "items": text("^0000000[01][0-9a-f]{8}$")})
        }
        Kind::PublicKey | Kind::Digest => text("^[0-9a-f]{64}$"),
        Kind::Moment => text("^[0-9]{4}-[0-9]{2}-[0-9]{2}T[0-9]{2}:[0-9]{2}:[0-9]{2}Z$"),
        Kind::Mode => text("^0[67][0-7]{2}$"),
        Kind::Names => {
            json!({"type": "array", "minItems": 1, "uniqueItems": true, "items": text(NAME)})
        }
        Kind::Integers(min, max) => {
            json!({"type": "array", "minItems": 1,
                   "items": {"type": "integer", "minimum": min, "maximum": max}})
        }
        Kind::Table(inner) => table_schema(inner),
        Kind::Tables(inner, max) => {
            json!({"type": "array", "maxItems": max, "items": table_schema(inner)})
        }
    }
}

fn table_schema(from: &Table) -> Value {
    let mut properties = Map::new();
    for field in from.fields {
        let mut value = kind_schema(field.kind);
        value["description"] = json!(field.about);
        if let Need::Optional(without) = field.need {
            value["description"] = json!(format!("{} Without it: {without}.", field.about));
        }
        properties.insert(field.key.into(), value);
    }
    let required: Vec<&str> = from
        .fields
        .iter()
        .filter(|f| f.need == Need::Required)
        .map(|f| f.key)
        .collect();
    json!({"type": "object", "description": from.about, "additionalProperties": false,
           "properties": properties, "required": required})
}

/// JSON Schema of one kind of file, or of all kinds if `of` is none.
pub fn schema(of: Option<FileKind>) -> Value {
    let mut schema = match of {
        Some(of) => table_schema(of.table()),
        None => json!({"oneOf": FileKind::ALL.map(|k| table_schema(k.table()))}),
    };
    schema["$schema"] = json!("https://json-schema.org/draft/2020-12/schema");
    schema["title"] = json!(of.map_or("wrenfork", |k| k.word()));
    schema
}

/// Describes a type of value in the reference.
fn type_name(kind: Kind) -> String {
    match kind {
        Kind::Text => "text".into(),
        Kind::Name => "name".into(),
        Kind::Choice(words) => words
            .iter()
            .map(|w| format!("`{w}`"))
            .collect::<Vec<_>>()
            .join(", "),
        Kind::Flag => "true or false".into(),
        Kind::Integer(min, max) if min == max => format!("{min}"),
        Kind::Integer(min, max) => format!("whole number, {min} to {max}"),
        Kind::Number(min, max) => format!("number, {min} to {max}"),
        Kind::Rate => "rate".into(),
        Kind::Time => "time".into(),
        Kind::Size => "memory".into(),
        Kind::Address => "address".into(),
        Kind::Listener | Kind::NodeAddress => "address or socket".into(),
        Kind::NodeAddresses => "list of addresses or sockets".into(),
        Kind::Path => "path".into(),
        Kind::Account => "16 hex digits".into(),
        Kind::Accounts => "list of accounts".into(),
        Kind::PublicKey | Kind::Digest => "64 hex digits".into(),
        Kind::Moment => "moment in UTC".into(),
        Kind::Mode => "mode".into(),
        Kind::Names => "list of names".into(),
        Kind::Integers(min, max) => format!("list of whole numbers, {min} to {max}"),
        Kind::Table(_) => "table".into(),
        Kind::Tables(_, max) => format!("tables, {max} at the most"),
    }
}

/// Writes the reference of a table and of its nested tables.
fn write_table(out: &mut String, heading: &str, from: &Table) {
    let _ = writeln!(out, "\n### {heading}\n\n{}\n", from.about);
    out.push_str("| key | value | example | without it |  |\n| --- | --- | --- | --- | --- |\n");
    for Field {
        key,
        kind,
        need,
        about,
        example,
    } in from.fields
    {
        let example = if example.is_empty() {
            String::new()
        } else {
            format!("`{example}`")
        };
        let without = match need {
            Need::Required => "must be given",
            Need::Optional(without) => without,
        };
        let _ = writeln!(
            out,
            "| `{key}` | {} | {example} | {without} | {about} |",
            type_name(*kind)
        );
    }
    for field in from.fields {
        match field.kind {
            Kind::Table(inner) => write_table(out, &format!("`[{}]`", field.key), inner),
            Kind::Tables(inner, _) => write_table(out, &format!("`[[{}]]`", field.key), inner),
            _ => {}
        }
    }
}

/// The operators' reference: every key of every kind of file, and every diagnostic code.
pub fn reference() -> String {
    let mut out = String::from(
        "# Configuration\n\n\
         Generated by `wrenctl config reference`; CI checks that it is what the program says. How to use the files is in\n\
         [sidecar.md](sidecar.md).\n\n\
         Names are 1 to 64 letters, digits, dots, dashes and underscores. A time is written like `\"250ms\"`, `\"1.5s\"`,\n\
         `\"2m\"`, `\"1h\"`; a rate like `\"6/s\"`, `\"360/min\"`, `\"21600/h\"`; memory like `\"48MiB\"`; an address like\n\
         `\"127.0.0.1:7600\"` or `\"[::1]:7600\"`. A file holds 16 MiB at most.\n",
    );
    for kind in FileKind::ALL {
        let _ = write!(out, "\n## Files with `kind = \"{}\"`\n", kind.word());
        write_table(
            &mut out,
            &format!("The {}", kind.table().name),
            kind.table(),
        );
    }
    out.push_str("\n## Codes\n\n`wrenctl config explain CODE` tells the same.\n\n| code | what |  |\n| --- | --- | --- |\n");
    for code in Code::ALL {
        let note = if code.severity() == Severity::Warned {
            " (told, not refused)"
        } else {
            ""
        };
        let _ = writeln!(
            out,
            "| {} | {}{note} | {} |",
            code.id(),
            code.title(),
            code.explain()
        );
    }
    out
}
