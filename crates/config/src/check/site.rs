//! Checks a site.

use super::findings::{quoted, report_duplicates, unknown_name, InFile};
use super::ROUNDING_TOLERANCE;
use crate::codes::Code;
use crate::diagnostic::{Diagnostic, Place};
use crate::model::{Class, Plan, Site};
use crate::reader::At;
use crate::values::{show_rate, show_time};

/// Checks a site alone.
pub fn site(site_file: &InFile<Site>, found: &mut Vec<Diagnostic>) {
    let site = site_file.content;
    let classes = site.classes.iter().map(|c| quoted(&c.name));
    report_duplicates(site_file, "class", classes, found);
    let plans = site.plans.iter().map(|p| quoted(&p.name));
    report_duplicates(site_file, "plan", plans, found);
    check_nearness(site_file, found);
    let ceilings = site.ceilings.iter().map(|c| quoted(&c.plan));
    report_duplicates(site_file, "a ceiling for", ceilings, found);
    for class in &site.classes {
        check_idempotency_key(site_file, class, found);
        check_deadline(site_file, class, found);
        check_worth(site_file, class, found);
    }
    let largest = site.largest(|_| true);
    for plan in &site.plans {
        if let (Some(burst), Some(class)) = (&plan.burst, largest) {
            let owner = format!("plan \"{}\"", plan.name.value);
            check_burst(site_file, burst, &owner, class, site_file.file, found);
        }
        check_hard_limit(site_file, plan, found);
    }
    for ceiling in &site.ceilings {
        if site.plan(&ceiling.plan.value).is_none() {
            let plans = site.plans.iter().map(|p| p.name.value.as_str());
            found.push(unknown_name(
                site_file,
                Code::NoSuchPlan,
                "plan",
                &ceiling.plan,
                plans,
            ));
        }
    }
}

/// Reports unknown and repeated halls in the orders of nearness.
pub(super) fn check_nearness(site_file: &InFile<Site>, found: &mut Vec<Diagnostic>) {
    let site = site_file.content;
    report_duplicates(
        site_file,
        "an order of nearness for",
        site.near.iter().map(|n| quoted(&n.hall)),
        found,
    );
    let halls = || site.halls.iter().map(|h| h.value.as_str());
    for near in &site.near {
        let named = || std::iter::once(&near.hall).chain(&near.others);
        report_duplicates(site_file, "hall", named().map(quoted), found);
        for hall in named().filter(|h| halls().all(|k| k != h.value)) {
            found.push(unknown_name(
                site_file,
                Code::NoSuchHall,
                "hall",
                hall,
                halls(),
            ));
        }
    }
}

/// Checks that `window` and `group` are given for a class with idempotency keys, and for no other class.
fn check_idempotency_key(site_file: &InFile<Site>, class: &Class, found: &mut Vec<Diagnostic>) {
    match class.effect.as_ref().map(|e| e.value == "keyed") {
        Some(true) => check_keyed(site_file, class, found),
        Some(false) => check_not_keyed(site_file, class, found),
        None => {}
    }
}

fn check_keyed(site_file: &InFile<Site>, class: &Class, found: &mut Vec<Diagnostic>) {
    let name = &class.name.value;
    if let Some(window) = class.window.as_ref().filter(|w| w.value == 0) {
        let message = format!("class \"{name}\" has keys that are known for no time");
        let diagnostic = site_file.diagnostic(Code::OutOfRange, window, message);
        found.push(diagnostic.help("if none may run twice, it is unsafe"));
    }
    if class.invalid_key {
        return;
    }
    if class.window.is_none() {
        let message = format!("class \"{name}\" is keyed, but not for how long");
        let diagnostic = site_file.diagnostic(Code::NoWindow, &class.name, message);
        found.push(diagnostic.help("add window = \"3s\""));
    }
    if class.group.is_none() {
        let message = format!("class \"{name}\" is keyed, but not in which group of nodes");
        let diagnostic = site_file.diagnostic(Code::NoGroup, &class.name, message);
        found.push(diagnostic.help("add group = \"all\", \"hall\" or \"group\""));
    }
}

fn check_not_keyed(site_file: &InFile<Site>, class: &Class, found: &mut Vec<Diagnostic>) {
    let window = class.window.as_ref().map(|w| &w.span);
    let group = class.group.as_ref().map(|g| &g.span);
    for span in window.into_iter().chain(group) {
        let message = format!("class \"{}\" has no keys", class.name.value);
        let diagnostic = Diagnostic::new(Code::IdleWindow, site_file.place(span), message);
        found.push(diagnostic.help("take the line out"));
    }
}

/// Reports a deadline that is shorter than the time within which an answer earns its full worth.
fn check_deadline(site_file: &InFile<Site>, class: &Class, found: &mut Vec<Diagnostic>) {
    let (Some(wanted), Some(deadline)) = (&class.wanted, &class.deadline) else {
        return;
    };
    if deadline.value < wanted.value {
        let message = format!(
            "class \"{}\" is given up after {}, before it is wanted",
            class.name.value,
            show_time(deadline.value)
        );
        let note = format!("wanted within {}", show_time(wanted.value));
        let diagnostic = site_file.diagnostic(Code::LateDeadline, deadline, message);
        found.push(diagnostic.with(site_file.place(&wanted.span), note));
    }
}

fn check_worth(site_file: &InFile<Site>, class: &Class, found: &mut Vec<Diagnostic>) {
    if let Some(worth) = class.worth.as_ref().filter(|w| w.value <= 0.0) {
        let message = format!("class \"{}\" is worth nothing", class.name.value);
        found.push(site_file.diagnostic(Code::Unpriced, worth, message));
    }
}

/// Reports a hard limit below the plan's quota.
fn check_hard_limit(site_file: &InFile<Site>, plan: &Plan, found: &mut Vec<Diagnostic>) {
    let (Some(quota), Some(max_rate)) = (&plan.quota, &plan.never_over) else {
        return;
    };
    if max_rate.value < quota.value * (1.0 - ROUNDING_TOLERANCE) {
        let message = format!(
            "plan \"{}\" is never over {}, below its quota",
            plan.name.value,
            show_rate(max_rate.value)
        );
        let note = format!("a quota of {}", show_rate(quota.value));
        let diagnostic = site_file.diagnostic(Code::LowCeiling, max_rate, message);
        found.push(diagnostic.with(site_file.place(&quota.span), note));
    }
}

/// Reports a burst that is smaller than the largest request of a class.
pub(super) fn check_burst<T>(
    file: &InFile<T>,
    burst: &At<f64>,
    owner: &str,
    class: &Class,
    class_file: usize,
    found: &mut Vec<Diagnostic>,
) {
    if burst.value < class.units.value {
        let (name, units) = (&class.name.value, class.units.value);
        let message = format!(
            "{owner} holds {} units, and one \"{name}\" takes up to {units}",
            burst.value
        );
        let place = Place {
            file: class_file,
            span: class.units.span.clone(),
        };
        found.push(
            file.diagnostic(Code::SmallBurst, burst, message)
                .with(place, format!("up to {units} units"))
                .help(format!("let it hold {units} at the least")),
        );
    }
}
