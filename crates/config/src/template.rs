//! A new application's file: commented, and good as it stands.

use crate::form::{Field, Kind, Need, Table, APPLICATION, VERSION};
use crate::values;
use std::fmt::Write;

/// What a new application is to have.
#[derive(Clone, Debug)]
pub struct Wishes {
    /// Its name.
    pub name: String,
    /// Its site's name.
    pub site: String,
    /// The classes that it may send.
    pub sends: Vec<String>,
    /// Accounts with their plans.
    pub accounts: Vec<(u64, String)>,
    /// Where the sidecar listens.
    pub listen: String,
    /// Where it asks for nodes.
    pub discovery: String,
}

fn line(out: &mut String, table: &Table, key: &str, value: &str) {
    if let Some(field) = table.field(key) {
        let _ = writeln!(out, "# {}", field.about);
    }
    let _ = writeln!(out, "{key} = {value}");
}

/// The keys that may be given, as comments that need only be taken away.
fn choices(out: &mut String, table: &Table, but: &[&str]) {
    let may = |f: &&Field| matches!(f.need, Need::May(_)) && !but.contains(&f.key);
    for field in table.fields.iter().filter(may) {
        if !matches!(field.kind, Kind::Table(_) | Kind::Tables(..)) {
            let without = if let Need::May(w) = field.need { w } else { "" };
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

fn inner(key: &str) -> Option<&'static Table> {
    match APPLICATION.field(key)?.kind {
        Kind::Table(table) | Kind::Tables(table, _) => Some(table),
        _ => None,
    }
}

/// The text of a new application's file.
///
/// # Errors
///
/// Where a wish can't stand in a file, with what is wrong.
pub fn application(wishes: &Wishes) -> Result<String, String> {
    let name = |what: &str, text: &str| {
        if values::is_name(text) {
            Ok(())
        } else {
            Err(format!("\"{text}\" can't be the name of {what}"))
        }
    };
    name("an application", &wishes.name)?;
    name("a site", &wishes.site)?;
    wishes.sends.iter().try_for_each(|c| name("a class", c))?;
    wishes
        .accounts
        .iter()
        .try_for_each(|a| name("a plan", &a.1))?;
    values::listener(&wishes.listen)?;
    values::address(&wishes.discovery)?;
    if wishes.sends.is_empty() || wishes.accounts.is_empty() {
        return Err(
            "an application has a class that it may send and an account at the least".into(),
        );
    }
    let mut out = format!("# {}\n", APPLICATION.about);
    let _ = writeln!(
        out,
        "# Check it with: wrenctl config check SITE.toml {}.toml\n",
        wishes.name
    );
    let _ = writeln!(out, "version = {VERSION}\nkind = \"application\"");
    line(&mut out, &APPLICATION, "name", &quoted(&wishes.name));
    line(&mut out, &APPLICATION, "site", &quoted(&wishes.site));
    let sends: Vec<String> = wishes.sends.iter().map(|c| quoted(c)).collect();
    line(
        &mut out,
        &APPLICATION,
        "sends",
        &format!("[{}]", sends.join(", ")),
    );
    for key in ["limits", "sidecar", "account", "pool", "route"] {
        let (Some(field), Some(table)) = (APPLICATION.field(key), inner(key)) else {
            continue;
        };
        let _ = writeln!(out, "\n# {}", field.about);
        match key {
            "limits" => {
                out.push_str("[limits]\n");
                choices(&mut out, table, &[]);
            }
            "sidecar" => {
                out.push_str("[[sidecar]]\n");
                line(
                    &mut out,
                    table,
                    "name",
                    &quoted(&format!(
                        "{}-1",
                        wishes.name.chars().take(60).collect::<String>()
                    )),
                );
                line(&mut out, table, "listen", &quoted(&wishes.listen));
                line(&mut out, table, "discovery", &quoted(&wishes.discovery));
                choices(&mut out, table, &[]);
            }
            "account" => {
                for (n, (id, plan)) in wishes.accounts.iter().enumerate() {
                    if n > 0 {
                        out.push('\n');
                    }
                    let _ = writeln!(
                        out,
                        "[[account]]\nid = \"{id:016x}\"\nplan = {}",
                        quoted(plan)
                    );
                    if n == 0 {
                        choices(&mut out, table, &[]);
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
