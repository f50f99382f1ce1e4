//! A plan as people see it, and as scripts do.

use crate::style;
use anstream::println;
use serde_json::json;
use std::collections::BTreeMap;
use wrenfork_commit::plan::Plan;
use wrenfork_commit::state::Difference;
use wrenfork_config::enforced::display_key;

/// Differences that are shown to people.
const MOST_SHOWN: usize = 60;

/// What names the places of a list; the state before is known by its differences alone.
fn name(d: &Difference, all: &[Difference], plan: &Plan, list: usize) -> String {
    let target = plan.targets.iter().find(|t| t.differences == list);
    let wanted = target.and_then(|t| plan.states.get(&t.wanted));
    let empty = BTreeMap::new();
    let before = all
        .iter()
        .filter_map(|d| Some((d.key.clone(), d.old.clone()?)))
        .collect();
    display_key(&d.key, &before, wanted.map_or(&empty, |s| &s.0))
}

/// Shows what would differ and what of it is dangerous.
pub fn text(plan: &Plan) {
    for (number, list) in plan.differences.iter().enumerate() {
        if list.is_empty() {
            continue;
        }
        let at: Vec<&str> = plan
            .targets
            .iter()
            .filter(|t| t.differences == number)
            .map(|t| t.ingress.as_str())
            .collect();
        println!("{}", style::head(format!("at {}:", at.join(", "))));
        for d in list.iter().take(MOST_SHOWN) {
            let key = name(d, list, plan, number);
            let touches = match d.accounts {
                0 | 1 => String::new(),
                n => format!("   ({n} accounts)"),
            };
            match (&d.old, &d.new) {
                (None, Some(new)) => println!("  {} {key} = {new}{touches}", style::good("+")),
                (Some(old), None) => println!("  {} {key} = {old}{touches}", style::bad("-")),
                (Some(old), Some(new)) => {
                    let new = if new.is_empty() { "nothing" } else { new };
                    println!("  {} {key}: {old} to {new}{touches}", style::doubtful("~"));
                }
                (None, None) => {}
            }
        }
        if list.len() > MOST_SHOWN {
            println!(
                "  and {} more; --format json tells all",
                list.len() - MOST_SHOWN
            );
        }
    }
    let same = plan
        .targets
        .iter()
        .filter(|t| plan.differences[t.differences].is_empty())
        .count();
    if same > 0 {
        println!("{same} ingresses change nothing but their number");
    }
    for danger in &plan.dangers {
        let number = plan
            .differences
            .iter()
            .position(|l| l.iter().any(|d| d.key == danger.key))
            .unwrap_or(0);
        let d = plan.differences[number]
            .iter()
            .find(|d| d.key == danger.key);
        let none = BTreeMap::new();
        let spoken = || display_key(&danger.key, &none, &none);
        let key = d.map_or_else(spoken, |d| name(d, &plan.differences[number], plan, number));
        println!("{} {key}: {}", style::bad("danger:"), danger.description);
    }
    let lines: usize = plan.differences.iter().map(Vec::len).sum();
    println!(
        "{} generation {}, {lines} differences at {} ingresses, {} dangers",
        style::head("change"),
        plan.generation,
        plan.targets.len(),
        plan.dangers.len()
    );
}

/// Who is away, and what becomes of them.
pub fn away(away: &BTreeMap<String, String>) {
    for (name, why) in away {
        println!(
            "{} {name} ({why}): the change is made without it; from then on it serves nobody until it has learnt this",
            style::doubtful("away:")
        );
    }
}

/// The same for scripts: all of it but the states themselves.
pub fn json(plan: &Plan, away: &BTreeMap<String, String>) {
    let targets = plan.targets.iter().map(|t| {
        json!({"ingress": t.ingress, "control": t.control, "base": t.base, "wanted": t.wanted,
               "differences": plan.differences[t.differences]})
    });
    let whole = json!({"change": plan.id(), "author": plan.author, "made_at": plan.made_at, "good_for": plan.valid_for,
                       "generation": plan.generation, "targets": targets.collect::<Vec<_>>(),
                       "dangers": plan.dangers, "away": away});
    println!(
        "{}",
        serde_json::to_string_pretty(&whole).unwrap_or_default()
    );
}
