//! Writes a file in the usual form: one blank line before each table, one space round each `=`, no blanks at line ends.
//! Nothing is put into another order, and no comment is lost.

use toml_edit::{Array, Decor, DocumentMut, Item, RawString, Table, Value};

/// Formats a file's text; done again it changes nothing.
///
/// # Errors
///
/// Where the text is no TOML, with what is wrong.
pub fn format(text: &str) -> Result<String, String> {
    let text = text.trim_start_matches('\u{feff}').replace("\r\n", "\n");
    let mut document = text.parse::<DocumentMut>().map_err(|e| e.to_string())?;
    table(document.as_table_mut());
    let before = raw(Some(document.trailing()));
    let trailing = comments(before.clone());
    let blank = if before.starts_with('\n') && !trailing.is_empty() {
        "\n"
    } else {
        ""
    };
    document.set_trailing(format!("{blank}{trailing}"));
    let out = document.to_string();
    let out = out.trim_matches('\n');
    Ok(if out.is_empty() {
        String::new()
    } else {
        format!("{out}\n")
    })
}

fn raw(text: Option<&RawString>) -> String {
    text.and_then(RawString::as_str).unwrap_or("").to_string()
}

/// The comments in what stands before something, a line each; blank lines between them are kept as one.
fn comments(before: String) -> String {
    let mut out = String::new();
    let mut blank = false;
    for line in before.lines().map(str::trim) {
        if line.is_empty() {
            blank = !out.is_empty();
        } else {
            if blank {
                out.push('\n');
            }
            blank = false;
            out.push_str(line);
            out.push('\n');
        }
    }
    if blank {
        out.push('\n'); // a comment that stands by itself stays by itself
    }
    out
}

/// A comment behind something on its line.
fn behind(decor: &Decor) -> String {
    let text = raw(decor.suffix());
    let text = text.trim();
    if text.is_empty() {
        String::new()
    } else {
        format!("  {text}")
    }
}

fn table(from: &mut Table) {
    let mut first = true;
    for (mut key, item) in from.iter_mut() {
        match item {
            Item::Value(value) => {
                let before = raw(key.leaf_decor().prefix());
                // A blank line that parts groups of keys stays, but for one before the first.
                let blank = !first && before.starts_with('\n');
                let before = comments(before);
                key.leaf_decor_mut()
                    .set_prefix(if blank { format!("\n{before}") } else { before });
                key.leaf_decor_mut().set_suffix(" ");
                let suffix = behind(value.decor());
                self::value(value);
                value.decor_mut().set_prefix(" ");
                value.decor_mut().set_suffix(suffix);
                first = false;
            }
            Item::Table(inner) => {
                header(inner);
                table(inner);
            }
            Item::ArrayOfTables(list) => {
                for inner in list.iter_mut() {
                    header(inner);
                    table(inner);
                }
            }
            Item::None => {}
        }
    }
}

fn header(of: &mut Table) {
    let before = raw(of.decor().prefix());
    let comments = comments(before.clone());
    // What stands right behind the table before, with a blank line after it, is that table's.
    let others = before.starts_with(|c: char| c != '\n') && comments.contains("\n\n");
    let suffix = behind(of.decor());
    of.decor_mut().set_prefix(if others {
        comments
    } else {
        format!("\n{comments}")
    });
    of.decor_mut().set_suffix(suffix);
}

fn value(of: &mut Value) {
    match of {
        Value::Array(array) if !has_comment(array) => array.fmt(),
        Value::InlineTable(inline) if !inline.to_string().contains(['#', '\n']) => inline.fmt(),
        _ => {}
    }
}

fn has_comment(array: &Array) -> bool {
    // A list over several lines stays as it was written: its lines say what belongs together.
    array.to_string().contains(['#', '\n'])
}
