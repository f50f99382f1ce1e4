//! Formats a file: one blank line before each table, one space on each side of `=`, no trailing spaces. Order and
//! comments are kept.

use toml_edit::{Array, Decor, DocumentMut, Item, RawString, Table, Value};

/// Formats a file's text. Formatting the result again does not change it.
///
/// # Errors
///
/// Returns the parser's message if the text is not valid TOML.
pub fn format(text: &str) -> Result<String, String> {
    let text = text.trim_start_matches('\u{feff}').replace("\r\n", "\n");
    let mut document = text.parse::<DocumentMut>().map_err(|e| e.to_string())?;
    format_table(document.as_table_mut());
    let before = raw_text(Some(document.trailing()));
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

/// The text of a decoration, or an empty one.
fn raw_text(text: Option<&RawString>) -> String {
    text.and_then(RawString::as_str).unwrap_or("").to_string()
}

/// The comments in the text before an item, one per line. Runs of blank lines between comments become one.
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
        out.push('\n'); // a comment followed by a blank line stays separate
    }
    out
}

/// The comment that follows an item on the same line, with two spaces before it.
fn trailing_comment(decor: &Decor) -> String {
    let text = raw_text(decor.suffix());
    let text = text.trim();
    if text.is_empty() {
        String::new()
    } else {
        format!("  {text}")
    }
}

fn format_table(table: &mut Table) {
    let mut first = true;
    for (mut key, item) in table.iter_mut() {
        match item {
            Item::Value(value) => {
                let before = raw_text(key.leaf_decor().prefix());
                // A blank line between groups of keys is kept, except before the first key.
                let blank = !first && before.starts_with('\n');
                let before = comments(before);
                key.leaf_decor_mut()
                    .set_prefix(if blank { format!("\n{before}") } else { before });
                key.leaf_decor_mut().set_suffix(" ");
                let suffix = trailing_comment(value.decor());
                format_value(value);
                value.decor_mut().set_prefix(" ");
                value.decor_mut().set_suffix(suffix);
                first = false;
            }
            Item::Table(inner) => {
                format_header(inner);
                format_table(inner);
            }
            Item::ArrayOfTables(list) => {
                for inner in list.iter_mut() {
                    format_header(inner);
                    format_table(inner);
                }
            }
            Item::None => {}
        }
    }
}

fn format_header(table: &mut Table) {
    let before = raw_text(table.decor().prefix());
    let comments = comments(before.clone());
    // Comments directly after the previous table and followed by a blank line belong to that table.
    let after_previous_table = before.starts_with(|c: char| c != '\n') && comments.contains("\n\n");
    let suffix = trailing_comment(table.decor());
    table.decor_mut().set_prefix(if after_previous_table {
        comments
    } else {
        format!("\n{comments}")
    });
    table.decor_mut().set_suffix(suffix);
}

fn format_value(value: &mut Value) {
    match value {
        Value::Array(array) if !has_comment(array) => array.fmt(),
        Value::InlineTable(inline) if !inline.to_string().contains(['#', '\n']) => inline.fmt(),
        _ => {}
    }
}

fn has_comment(array: &Array) -> bool {
    // A list over several lines is left unchanged, because its line breaks group related items.
    array.to_string().contains(['#', '\n'])
}
