//! Generates the file of a new application: commented and valid without changes.

use crate::form::{Field, Kind, Need, Table, APPLICATION, VERSION};
use crate::values;
use std::fmt::Write;

/// Values for a new application's file.
#[derive(Clone, Debug)]
pub struct TemplateValues {
    /// Name of the application.
    pub name: String,
    /// Name of the site.
    pub site: String,
    /// Classes that the application may send.
    pub sends: Vec<String>,
    /// Account ids with the names of their plans.
    pub accounts: Vec<(u64, String)>,
    /// Address or `unix:` path of the sidecar's listener.
    pub listen: String,
    /// Address of the discovery service.
    pub discovery: String,
}

/// Writes a key with its description as a comment.
fn write_key(out: &mut String, table: &Table, key: &str, value: &str) {
    if let Some(field) = table.field(key) {
        let _ = writeln!(out, "# {}", field.about);
    }
    let _ = writeln!(out, "{key} = {value}");
}

/// Writes the optional keys of a table as comments, ready to be uncommented.
fn write_optional_keys(out: &mut String, table: &Table, except: &[&str]) {
    let is_optional = |f: &&Field| matches!(f.need, Need::Optional(_)) && !except.contains(&f.key);
    for field in table.fields.iter().filter(is_optional) {
        if !matches!(field.kind, Kind::Table(_) | Kind::Tables(..)) {
            let without = if let Need::Optional(text) = field.need {
                text
            } else {
                ""
            };
            let _ = writeln!(
                out,
                "# {} Without it: {without}.\n# {} = {}",
                field.about, field.key, field.example
            );
        }
    }
}

fn quoted(text: &str) -> String {
    format!("\"{text}\"")
}

/// The table at a key of an application's file.
fn inner_table(key: &str) -> Option<&'static Table> {
    match APPLICATION.field(key)?.kind {
        Kind::Table(table) | Kind::Tables(table, _) => Some(table),
        _ => None,
    }
}

/// Writes a new application's file.
///
/// # Errors
///
/// Describes a value that is not valid in a file.
pub fn application(wanted: &TemplateValues) -> Result<String, String> {
    let check_name = |owner: &str, text: &str| {
        if values::is_name(text) {
            Ok(())
        } else {
            Err(format!("\"{text}\" can't be the name of {owner}"))
        }
    };
    check_name("an application", &wanted.name)?;
    check_name("a site", &wanted.site)?;
    wanted
        .sends
        .iter()
        .try_for_each(|c| check_name("a class", c))?;
    wanted
        .accounts
        .iter()
        .try_for_each(|a| check_name("a plan", &a.1))?;
    values::listener(&wanted.listen)?;
    values::address(&wanted.discovery)?;
    if wanted.sends.is_empty() || wanted.accounts.is_empty() {
        return Err(
            "an application needs at least one class that it may send and one account".into(),
        );
    }
    let mut out = format!("# {}\n", APPLICATION.about);
    let _ = writeln!(
        out,
        "# Check it with: wrenctl config check SITE.toml {}.toml\n",
        wanted.name
    );
    let _ = writeln!(out, "version = {VERSION}\nkind = \"application\"");
    write_key(&mut out, &APPLICATION, "name", &quoted(&wanted.name));
    write_key(&mut out, &APPLICATION, "site", &quoted(&wanted.site));
    let sends: Vec<String> = wanted.sends.iter().map(|c| quoted(c)).collect();
    write_key(
        &mut out,
        &APPLICATION,
        "sends",
        &format!("[{}]", sends.join(", ")),
    );
    for key in ["limits", "sidecar", "account", "pool", "route"] {
        let (Some(field), Some(table)) = (APPLICATION.field(key), inner_table(key)) else {
            continue;
        };
        let _ = writeln!(out, "\n# {}", field.about);
        match key {
            "limits" => {
                out.push_str("[limits]\n");
                write_optional_keys(&mut out, table, &[]);
            }
            "sidecar" => {
                out.push_str("[[sidecar]]\n");
                write_key(
                    &mut out,
                    table,
                    "name",
                    &quoted(&format!(
                        "{}-1",
                        wanted.name.chars().take(60).collect::<String>()
                    )),
                );
                write_key(&mut out, table, "listen", &quoted(&wanted.listen));
                write_key(&mut out, table, "discovery", &quoted(&wanted.discovery));
                write_optional_keys(&mut out, table, &[]);
            }
            "account" => {
                for (n, (id, plan)) in wanted.accounts.iter().enumerate() {
                    if n > 0 {
                        out.push('\n');
                    }
                    let _ = writeln!(
                        out,
                        "[[account]]\nid = \"{id:016x}\"\nplan = {}",
                        quoted(plan)
                    );
                    if n == 0 {
                        write_optional_keys(&mut out, table, &[]);
                    }
                }
            }
            _ => {
                let _ = writeln!(out, "# [[{key}]]");
                for field in table.fields {
                    let _ = writeln!(
                        out,
                        "# # {}\n# {} = {}",
                        field.about, field.key, field.example
                    );
                }
            }
        }
    }
    Ok(out)
}
