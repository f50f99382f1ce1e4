//! Applications together: names, accounts and addresses that only one may have, and the ceilings of a site.

use super::accounts::quotas;
use super::findings::In;
use super::ROUNDING;
use crate::codes::Code;
use crate::diagnostic::{Diagnostic, Place};
use crate::model::{Application, Ceiling, Sidecar, Site};
use crate::values::show_rate;
use std::collections::{BTreeMap, HashMap};
use std::ops::Range;

/// How many other applications a diagnostic names.
const OTHERS_SHOWN: usize = 4;

/// Applications together.
pub fn together(apps: &[In<Application>], site: Option<&In<Site>>, found: &mut Vec<Diagnostic>) {
    let mut names = BTreeMap::new();
    let mut ids = HashMap::new();
    let mut addresses = BTreeMap::new();
    for a in apps {
        name(a, &mut names, found);
        accounts(a, &mut ids, found);
        for sidecar in &a.content.sidecars {
            sockets(a, sidecar, &mut addresses, found);
        }
    }
    if let Some(site) = site {
        ceilings(apps, site, found);
    }
}

fn name<'a>(
    a: &In<'a, Application>,
    names: &mut BTreeMap<&'a str, Place>,
    found: &mut Vec<Diagnostic>,
) {
    let Some(name) = &a.content.name else { return };
    if let Some(first) = names.get(name.value.as_str()) {
        let message = format!("two applications are called \"{}\"", name.value);
        let wrong = a.wrong(Code::ApplicationTwice, name, message);
        found.push(wrong.with(first.clone(), "the first one"));
    } else {
        names.insert(&name.value, a.at(&name.span));
    }
}

/// The application that an account was first seen with.
struct Owner<'a> {
    application: &'a str,
    place: Place,
}

fn accounts<'a>(
    a: &In<'a, Application>,
    owners: &mut HashMap<u64, Owner<'a>>,
    found: &mut Vec<Diagnostic>,
) {
    for account in &a.content.accounts {
        let id = account.id.value;
        match owners.get(&id) {
            Some(owner) if owner.place.file != a.file => {
                let message = format!("account {id:016x} is \"{}\"'s already", owner.application);
                let wrong = a.wrong(Code::AccountTwice, &account.id, message);
                found.push(wrong.with(owner.place.clone(), "there"));
            }
            Some(_) => {} // twice in one file: reported with that file
            None => {
                let owner = Owner {
                    application: a.content.called(),
                    place: a.at(&account.id.span),
                };
                owners.insert(id, owner);
            }
        }
    }
}

/// Addresses and paths of one sidecar: each as it must differ from others, with its place.
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

fn sockets(
    a: &In<Application>,
    sidecar: &Sidecar,
    taken: &mut BTreeMap<String, Place>,
    found: &mut Vec<Diagnostic>,
) {
    for (address, span) in addresses(sidecar) {
        if let Some(first) = taken.get(&address) {
            let message = format!("{} is taken already", address.trim_end_matches("/udp"));
            let wrong = Diagnostic::new(Code::AddressTwice, a.at(span), message);
            found.push(wrong.with(first.clone(), "by this one"));
        } else {
            taken.insert(address, a.at(span));
        }
    }
}

/// What one application promises the accounts of a plan.
struct Promise<'a> {
    application: &'a str,
    /// The sum of its accounts' quotas, in units a second.
    rate: f64,
    /// Its first account on the plan.
    place: Place,
}

impl Promise<'_> {
    fn shown(&self) -> String {
        format!("\"{}\" {}", self.application, show_rate(self.rate))
    }
}

/// By plan, what each application promises.
fn promises<'a>(
    apps: &[In<'a, Application>],
    site: &'a Site,
) -> HashMap<&'a str, Vec<Promise<'a>>> {
    let mut promised: HashMap<&str, Vec<Promise>> = HashMap::new();
    for a in apps {
        let mut own: BTreeMap<&str, Promise> = BTreeMap::new();
        for (plan, quota) in quotas(a.content, site) {
            let promise = own.entry(&plan.value).or_insert_with(|| Promise {
                application: a.content.called(),
                rate: 0.0,
                place: a.at(&plan.span),
            });
            promise.rate += quota;
        }
        for (plan, promise) in own {
            promised.entry(plan).or_default().push(promise);
        }
    }
    promised
}

fn ceilings(apps: &[In<Application>], s: &In<Site>, found: &mut Vec<Diagnostic>) {
    let promised = promises(apps, s.content);
    for ceiling in &s.content.ceilings {
        let Some(parts) = promised.get(ceiling.plan.value.as_str()) else {
            continue;
        };
        let sum: f64 = parts.iter().map(|p| p.rate).sum();
        if sum > ceiling.rate.value * (1.0 + ROUNDING) {
            found.push(over_ceiling(s, ceiling, parts, sum));
        }
    }
}

/// Quotas over a ceiling, reported at the application that went past it; the others, the greatest first, as its company.
fn over_ceiling(s: &In<Site>, ceiling: &Ceiling, parts: &[Promise], sum: f64) -> Diagnostic {
    let most = ceiling.rate.value;
    let mut so_far = 0.0;
    let past = parts.iter().position(|p| {
        so_far += p.rate;
        so_far > most * (1.0 + ROUNDING)
    });
    let past = past.unwrap_or(parts.len() - 1);
    let others = parts.iter().enumerate().filter(|(n, _)| *n != past);
    let mut others: Vec<&Promise> = others.map(|(_, p)| p).collect();
    others.sort_by(|a, b| b.rate.total_cmp(&a.rate));
    let hidden = others.len().saturating_sub(OTHERS_SHOWN);
    others.truncate(OTHERS_SHOWN);
    let mut shown = vec![parts[past].shown()];
    shown.extend(others.iter().map(|p| p.shown()));
    let more = if hidden > 0 {
        format!(" and {hidden} more")
    } else {
        String::new()
    };
    let message = format!(
        "quotas on plan \"{}\" come to {}, and the ceiling is {}: {}{more}",
        ceiling.plan.value,
        show_rate(sum),
        show_rate(most),
        shown.join(" + "),
    );
    let part = format!("the ceiling of {}", show_rate(most));
    let mut wrong = Diagnostic::new(Code::CeilingTogether, parts[past].place.clone(), message)
        .with(s.at(&ceiling.rate.span), part);
    for other in others {
        let part = format!(
            "\"{}\" has {} of it",
            other.application,
            show_rate(other.rate)
        );
        wrong = wrong.with(other.place.clone(), part);
    }
    wrong.help("lower a quota, or have the site raise the ceiling")
}
