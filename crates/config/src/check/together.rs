//! Checks applications against each other: unique names, accounts and addresses, and the ceilings of the site.

use super::accounts::quotas;
use super::findings::InFile;
use super::ROUNDING_TOLERANCE;
use crate::codes::Code;
use crate::diagnostic::{Diagnostic, Place};
use crate::model::{Application, Ceiling, Sidecar, Site};
use crate::values::show_rate;
use std::collections::{BTreeMap, HashMap};
use std::ops::Range;

/// Most other applications that a diagnostic lists.
const OTHERS_SHOWN: usize = 4;

/// Checks all applications against each other and against the site's ceilings.
pub fn together(
    apps: &[InFile<Application>],
    site: Option<&InFile<Site>>,
    found: &mut Vec<Diagnostic>,
) {
    let mut names = BTreeMap::new();
    let mut ids = HashMap::new();
    let mut addresses = BTreeMap::new();
    for app_file in apps {
        check_name(app_file, &mut names, found);
        check_accounts(app_file, &mut ids, found);
        for sidecar in &app_file.content.sidecars {
            check_addresses(app_file, sidecar, &mut addresses, found);
        }
    }
    if let Some(site) = site {
        check_ceilings(apps, site, found);
    }
}

fn check_name<'a>(
    app_file: &InFile<'a, Application>,
    names: &mut BTreeMap<&'a str, Place>,
    found: &mut Vec<Diagnostic>,
) {
    let Some(name) = &app_file.content.name else {
        return;
    };
    if let Some(first) = names.get(name.value.as_str()) {
        let message = format!("two applications are called \"{}\"", name.value);
        let diagnostic = app_file.diagnostic(Code::ApplicationTwice, name, message);
        found.push(diagnostic.with(first.clone(), "the first one"));
    } else {
        names.insert(&name.value, app_file.place(&name.span));
    }
}

/// The application in which an account was found first.
struct Owner<'a> {
    application: &'a str,
    place: Place,
}

fn check_accounts<'a>(
    app_file: &InFile<'a, Application>,
    owners: &mut HashMap<u64, Owner<'a>>,
    found: &mut Vec<Diagnostic>,
) {
    for account in &app_file.content.accounts {
        let id = account.id.value;
        match owners.get(&id) {
            Some(owner) if owner.place.file != app_file.file => {
                let message = format!("account {id:016x} is \"{}\"'s already", owner.application);
                let diagnostic = app_file.diagnostic(Code::AccountTwice, &account.id, message);
                found.push(diagnostic.with(owner.place.clone(), "there"));
            }
            Some(_) => {} // twice in one file: reported with that file
            None => {
                let owner = Owner {
                    application: app_file.content.display_name(),
                    place: app_file.place(&account.id.span),
                };
                owners.insert(id, owner);
            }
        }
    }
}

/// Addresses and paths of one sidecar that no other sidecar may use, each with its span.
fn addresses(sidecar: &Sidecar) -> impl Iterator<Item = (String, &Range<usize>)> {
    let listen = sidecar
        .listen
        .as_ref()
        .map(|l| (l.value.to_string(), &l.span));
    let peers = sidecar
        .peers
        .as_ref()
        .map(|p| (format!("{}/udp", p.value), &p.span));
    let paths = [&sidecar.control, &sidecar.state, &sidecar.links];
    let paths = paths
        .into_iter()
        .flatten()
        .map(|p| (p.value.clone(), &p.span));
    listen.into_iter().chain(peers).chain(paths)
}

fn check_addresses(
    app_file: &InFile<Application>,
    sidecar: &Sidecar,
    taken: &mut BTreeMap<String, Place>,
    found: &mut Vec<Diagnostic>,
) {
    for (address, span) in addresses(sidecar) {
        if let Some(first) = taken.get(&address) {
            let message = format!("{} is taken already", address.trim_end_matches("/udp"));
            let diagnostic = Diagnostic::new(Code::AddressTwice, app_file.place(span), message);
            found.push(diagnostic.with(first.clone(), "by this one"));
        } else {
            taken.insert(address, app_file.place(span));
        }
    }
}

/// Sum of the quotas that one application grants on a plan.
struct QuotaSum<'a> {
    application: &'a str,
    /// Sum of the accounts' quotas, in units per second.
    rate: f64,
    /// The application's first account on the plan.
    place: Place,
}

impl QuotaSum<'_> {
    fn display(&self) -> String {
        format!("\"{}\" {}", self.application, show_rate(self.rate))
    }
}

/// The applications' quota sums, by plan.
fn quota_sums<'a>(
    apps: &[InFile<'a, Application>],
    site: &'a Site,
) -> HashMap<&'a str, Vec<QuotaSum<'a>>> {
    let mut sums: HashMap<&str, Vec<QuotaSum>> = HashMap::new();
    for app_file in apps {
        let mut own: BTreeMap<&str, QuotaSum> = BTreeMap::new();
        for (plan, quota) in quotas(app_file.content, site) {
            let sum = own.entry(&plan.value).or_insert_with(|| QuotaSum {
                application: app_file.content.display_name(),
                rate: 0.0,
                place: app_file.place(&plan.span),
            });
            sum.rate += quota;
        }
        for (plan, sum) in own {
            sums.entry(plan).or_default().push(sum);
        }
    }
    sums
}

fn check_ceilings(
    apps: &[InFile<Application>],
    site_file: &InFile<Site>,
    found: &mut Vec<Diagnostic>,
) {
    let sums = quota_sums(apps, site_file.content);
    for ceiling in &site_file.content.ceilings {
        let Some(parts) = sums.get(ceiling.plan.value.as_str()) else {
            continue;
        };
        let sum: f64 = parts.iter().map(|p| p.rate).sum();
        if sum > ceiling.rate.value * (1.0 + ROUNDING_TOLERANCE) {
            found.push(over_ceiling(site_file, ceiling, parts, sum));
        }
    }
}

/// A diagnostic for quotas above a ceiling. It points at the application with which the running sum first exceeds the
/// ceiling, and lists the others by descending quotas.
fn over_ceiling(
    site_file: &InFile<Site>,
    ceiling: &Ceiling,
    parts: &[QuotaSum],
    sum: f64,
) -> Diagnostic {
    let max_rate = ceiling.rate.value;
    let mut running_sum = 0.0;
    let exceeding = parts.iter().position(|p| {
        running_sum += p.rate;
        running_sum > max_rate * (1.0 + ROUNDING_TOLERANCE)
    });
    let exceeding = exceeding.unwrap_or(parts.len() - 1);
    let other_parts = parts.iter().enumerate().filter(|(n, _)| *n != exceeding);
    let mut others: Vec<&QuotaSum> = other_parts.map(|(_, p)| p).collect();
    others.sort_by(|a, b| b.rate.total_cmp(&a.rate));
    let hidden = others.len().saturating_sub(OTHERS_SHOWN);
    others.truncate(OTHERS_SHOWN);
    let mut shown = vec![parts[exceeding].display()];
    shown.extend(others.iter().map(|p| p.display()));
    let hidden_note = if hidden > 0 {
        format!(" and {hidden} more")
    } else {
        String::new()
    };
    let message = format!(
        "quotas on plan \"{}\" come to {}, and the ceiling is {}: {}{hidden_note}",
        ceiling.plan.value,
        show_rate(sum),
        show_rate(max_rate),
        shown.join(" + "),
    );
    let note = format!("the ceiling of {}", show_rate(max_rate));
    let mut diagnostic = Diagnostic::new(
        Code::CeilingTogether,
        parts[exceeding].place.clone(),
        message,
    )
    .with(site_file.place(&ceiling.rate.span), note);
    for other in others {
        let note = format!(
            "\"{}\" has {} of it",
            other.application,
            show_rate(other.rate)
        );
        diagnostic = diagnostic.with(other.place.clone(), note);
    }
    diagnostic.help("lower a quota, or have the site raise the ceiling")
}
