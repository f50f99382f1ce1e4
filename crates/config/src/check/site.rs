//! What a site must not say.

use super::findings::{quoted, twice, unknown, In};
use super::ROUNDING;
use crate::codes::Code;
use crate::diagnostic::{Diagnostic, Place};
use crate::model::{Class, Plan, Site};
use crate::reader::At;
use crate::values::{show_rate, show_time};

/// A site by itself.
pub fn site(s: &In<Site>, found: &mut Vec<Diagnostic>) {
    let site = s.content;
    let classes = site.classes.iter().map(|c| quoted(&c.name));
    twice(s, "class", classes, found);
    let plans = site.plans.iter().map(|p| quoted(&p.name));
    twice(s, "plan", plans, found);
    nearness(s, found);
    let ceilings = site.ceilings.iter().map(|c| quoted(&c.plan));
    twice(s, "a ceiling for", ceilings, found);
    for class in &site.classes {
        idempotency_key(s, class, found);
        deadline(s, class, found);
        worth(s, class, found);
    }
    let largest = site.largest(|_| true);
    for plan in &site.plans {
        if let (Some(burst), Some(class)) = (&plan.burst, largest) {
            let whose = format!("plan \"{}\"", plan.name.value);
            small_burst(s, burst, &whose, class, s.file, found);
        }
        hard_limit(s, plan, found);
    }
    for ceiling in &site.ceilings {
        if site.plan(&ceiling.plan.value).is_none() {
            let plans = site.plans.iter().map(|p| p.name.value.as_str());
            found.push(unknown(s, Code::NoSuchPlan, "plan", &ceiling.plan, plans));
        }
    }
}

/// Halls in order of nearness: each hall that there is, once.
pub(super) fn nearness(s: &In<Site>, found: &mut Vec<Diagnostic>) {
    let site = s.content;
    twice(
        s,
        "an order of nearness for",
        site.near.iter().map(|n| quoted(&n.hall)),
        found,
    );
    let halls = || site.halls.iter().map(|h| h.value.as_str());
    for near in &site.near {
        let named = || std::iter::once(&near.hall).chain(&near.others);
        twice(s, "hall", named().map(quoted), found);
        for hall in named().filter(|h| halls().all(|k| k != h.value)) {
            found.push(unknown(s, Code::NoSuchHall, "hall", hall, halls()));
        }
    }
}

/// A class whose requests carry idempotency keys says for how long and where they are known; others say neither.
fn idempotency_key(s: &In<Site>, class: &Class, found: &mut Vec<Diagnostic>) {
    match class.effect.as_ref().map(|e| e.value == "keyed") {
        Some(true) => keyed(s, class, found),
        Some(false) => not_keyed(s, class, found),
        None => {}
    }
}

fn keyed(s: &In<Site>, class: &Class, found: &mut Vec<Diagnostic>) {
    let name = &class.name.value;
    if let Some(window) = class.window.as_ref().filter(|w| w.value == 0) {
        let message = format!("class \"{name}\" has keys that are known for no time");
        let wrong = s.wrong(Code::OutOfRange, window, message);
        found.push(wrong.help("if none may run twice, it is unsafe"));
    }
    if class.bad_key {
        return;
    }
    if class.window.is_none() {
        let message = format!("class \"{name}\" is keyed, but not for how long");
        let wrong = s.wrong(Code::NoWindow, &class.name, message);
        found.push(wrong.help("add window = \"3s\""));
    }
    if class.group.is_none() {
        let message = format!("class \"{name}\" is keyed, but not in which group of nodes");
        let wrong = s.wrong(Code::NoGroup, &class.name, message);
        found.push(wrong.help("add group = \"all\", \"hall\" or \"group\""));
    }
}

fn not_keyed(s: &In<Site>, class: &Class, found: &mut Vec<Diagnostic>) {
    let window = class.window.as_ref().map(|w| &w.span);
    let group = class.group.as_ref().map(|g| &g.span);
    for span in window.into_iter().chain(group) {
        let message = format!("class \"{}\" has no keys", class.name.value);
        let wrong = Diagnostic::new(Code::IdleWindow, s.at(span), message);
        found.push(wrong.help("take the line out"));
    }
}

/// Clients wait at least for as long as an answer earns its full worth.
fn deadline(s: &In<Site>, class: &Class, found: &mut Vec<Diagnostic>) {
    let (Some(wanted), Some(deadline)) = (&class.wanted, &class.deadline) else {
        return;
    };
    if deadline.value < wanted.value {
        let message = format!(
            "class \"{}\" is given up after {}, before it is wanted",
            class.name.value,
            show_time(deadline.value)
        );
        let part = format!("wanted within {}", show_time(wanted.value));
        let wrong = s.wrong(Code::LateDeadline, deadline, message);
        found.push(wrong.with(s.at(&wanted.span), part));
    }
}

fn worth(s: &In<Site>, class: &Class, found: &mut Vec<Diagnostic>) {
    if let Some(worth) = class.worth.as_ref().filter(|w| w.value <= 0.0) {
        let message = format!("class \"{}\" is worth nothing", class.name.value);
        found.push(s.wrong(Code::Unpriced, worth, message));
    }
}

/// A plan's hard limit is not below its quota.
fn hard_limit(s: &In<Site>, plan: &Plan, found: &mut Vec<Diagnostic>) {
    let (Some(quota), Some(most)) = (&plan.quota, &plan.never_over) else {
        return;
    };
    if most.value < quota.value * (1.0 - ROUNDING) {
        let message = format!(
            "plan \"{}\" is never over {}, below its quota",
            plan.name.value,
            show_rate(most.value)
        );
        let part = format!("a quota of {}", show_rate(quota.value));
        let wrong = s.wrong(Code::LowCeiling, most, message);
        found.push(wrong.with(s.at(&quota.span), part));
    }
}

/// A burst must hold the largest request.
pub(super) fn small_burst<T>(
    file: &In<T>,
    burst: &At<f64>,
    whose: &str,
    class: &Class,
    class_file: usize,
    found: &mut Vec<Diagnostic>,
) {
    if burst.value < class.units.value {
        let (name, units) = (&class.name.value, class.units.value);
        let message = format!(
            "{whose} holds {} units, and one \"{name}\" takes up to {units}",
            burst.value
        );
        let place = Place {
            file: class_file,
            span: class.units.span.clone(),
        };
        found.push(
            file.wrong(Code::SmallBurst, burst, message)
                .with(place, format!("up to {units} units"))
                .help(format!("let it hold {units} at the least")),
        );
    }
}
