//! Prints a plan as text or as JSON.

use crate::style;
use anstream::println;
use serde_json::json;
use std::collections::BTreeMap;
use wrenfork_commit::plan::Plan;
use wrenfork_commit::state::Difference;
use wrenfork_config::enforced::display_key;

/// Maximum number of differences printed as text for each group of ingresses.
const MAX_SHOWN: usize = 60;

/// The readable name of a difference's key. The old state is known only by the differences in `list`.
fn key_name(d: &Difference, list: &[Difference], plan: &Plan, differences: usize) -> String {
    let target = plan.targets.iter().find(|t| t.differences == differences);
    let wanted = target.and_then(|t| plan.states.get(&t.wanted));
    let empty = BTreeMap::new();
    let before = list
        .iter()
        .filter_map(|d| Some((d.key.clone(), d.old.clone()?)))
        .collect();
    display_key(&d.key, &before, wanted.map_or(&empty, |s| &s.0))
}

/// Prints the differences of a plan and its dangers.
pub fn text(plan: &Plan) {
    for (number, differences) in plan.differences.iter().enumerate() {
        if differences.is_empty() {
            continue;
        }
        let ingresses: Vec<&str> = plan
            .targets
            .iter()
            .filter(|t| t.differences == number)
            .map(|t| t.ingress.as_str())
            .collect();
        println!("{}", style::head(format!("at {}:", ingresses.join(", "))));
        for d in differences.iter().take(MAX_SHOWN) {
            let key = key_name(d, differences, plan, number);
            let account_count = match d.accounts {
                0 | 1 => String::new(),
                n => format!("   ({n} accounts)"),
            };
            match (&d.old, &d.new) {
                (None, Some(new)) => {
                    println!("  {} {key} = {new}{account_count}", style::good("+"))
                }
                (Some(old), None) => println!("  {} {key} = {old}{account_count}", style::bad("-")),
                (Some(old), Some(new)) => {
                    let new = if new.is_empty() { "nothing" } else { new };
                    println!(
                        "  {} {key}: {old} to {new}{account_count}",
                        style::doubtful("~")
                    );
                }
                (None, None) => {}
            }
        }
        if differences.len() > MAX_SHOWN {
            println!(
                "  and {} more; --format json shows all",
                differences.len() - MAX_SHOWN
            );
        }
    }
    let unchanged = plan
        .targets
        .iter()
        .filter(|t| plan.differences[t.differences].is_empty())
        .count();
    if unchanged > 0 {
        println!("{unchanged} ingresses change only their generation");
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
        let empty = BTreeMap::new();
        let fallback = || display_key(&danger.key, &empty, &empty);
        let key = d.map_or_else(fallback, |d| {
            key_name(d, &plan.differences[number], plan, number)
        });
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

/// Prints the unreachable members and what a change means for them.
pub fn away(away: &BTreeMap<String, String>) {
    for (name, reason) in away {
        println!(
            "{} {name} ({reason}): the change is made without it; it then rejects all requests until it has learned the new state",
            style::doubtful("away:")
        );
    }
}

/// Prints a plan as JSON, without the states.
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
