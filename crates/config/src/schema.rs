//! The form of the files as JSON Schema, so that editors complete and check, and as the operators' reference.

use crate::codes::{Code, Severity};
use crate::form::{Field, FileKind, Kind, Need, Table};
use serde_json::{json, Map, Value};
use std::fmt::Write;

fn text(pattern: &str) -> Value {
    json!({"type": "string", "pattern": pattern})
}

const NODE_ADDRESS: &str = "^(unix:/.+[^/]|(\\[[0-9a-fA-F:.]+\\]|[0-9.]+):[0-9]+)$";
const NAME: &str = "^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$";

fn kind(kind: Kind) -> Value {
    match kind {
        Kind::Text => json!({"type": "string"}),
        Kind::Name => text(NAME),
        Kind::Choice(words) => json!({"enum": words}),
        Kind::Flag => json!({"type": "boolean"}),
        Kind::Whole(least, most) => json!({"type": "integer", "minimum": least, "maximum": most}),
        Kind::Number(least, most) => json!({"type": "number", "minimum": least, "maximum": most}),
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
        Kind::Wholes(least, most) => {
            json!({"type": "array", "minItems": 1,
                   "items": {"type": "integer", "minimum": least, "maximum": most}})
        }
        Kind::Table(inner) => table(inner),
        Kind::Tables(inner, most) => {
            json!({"type": "array", "maxItems": most, "items": table(inner)})
        }
    }
}

fn table(from: &Table) -> Value {
    let mut properties = Map::new();
    for field in from.fields {
        let mut value = kind(field.kind);
        value["description"] = json!(field.about);
        if let Need::May(without) = field.need {
            value["description"] = json!(format!("{} Without it: {without}.", field.about));
        }
        properties.insert(field.key.into(), value);
    }
    let must: Vec<&str> = from
        .fields
        .iter()
        .filter(|f| f.need == Need::Must)
        .map(|f| f.key)
        .collect();
    json!({"type": "object", "description": from.about, "additionalProperties": false,
           "properties": properties, "required": must})
}

/// The JSON Schema of one kind of file, or of any.
pub fn schema(of: Option<FileKind>) -> Value {
    let mut schema = match of {
        Some(of) => table(of.table()),
        None => json!({"oneOf": FileKind::ALL.map(|k| table(k.table()))}),
    };
    schema["$schema"] = json!("https://json-schema.org/draft/2020-12/schema");
    schema["title"] = json!(of.map_or("wrenfork", |k| k.word()));
    schema
}

fn form(kind: Kind) -> String {
    match kind {
        Kind::Text => "text".into(),
        Kind::Name => "name".into(),
        Kind::Choice(words) => words
            .iter()
            .map(|w| format!("`{w}`"))
            .collect::<Vec<_>>()
            .join(", "),
        Kind::Flag => "true or false".into(),
        Kind::Whole(least, most) if least == most => format!("{least}"),
        Kind::Whole(least, most) => format!("whole number, {least} to {most}"),
        Kind::Number(least, most) => format!("number, {least} to {most}"),
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
        Kind::Wholes(least, most) => format!("list of whole numbers, {least} to {most}"),
        Kind::Table(_) => "table".into(),
        Kind::Tables(_, most) => format!("tables, {most} at the most"),
    }
}

fn rows(out: &mut String, heading: &str, from: &Table) {
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
            Need::Must => "must be given",
            Need::May(without) => without,
        };
        let _ = writeln!(
            out,
            "| `{key}` | {} | {example} | {without} | {about} |",
            form(*kind)
        );
    }
    for field in from.fields {
        match field.kind {
            Kind::Table(inner) => rows(out, &format!("`[{}]`", field.key), inner),
            Kind::Tables(inner, _) => rows(out, &format!("`[[{}]]`", field.key), inner),
            _ => {}
        }
    }
}

/// The operators' reference: every key of every file, and every code.
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
        rows(
            &mut out,
            &format!("The {}", kind.table().name),
            kind.table(),
        );
    }
    out.push_str("\n## Codes\n\n`wrenctl config explain CODE` tells the same.\n\n| code | what |  |\n| --- | --- | --- |\n");
    for code in Code::ALL {
        let taken = if code.severity() == Severity::Warned {
            " (told, not refused)"
        } else {
            ""
        };
        let _ = writeln!(
            out,
            "| {} | {}{taken} | {} |",
            code.id(),
            code.title(),
            code.explain()
        );
    }
    out
}
