//! The accounts of an application, and what their quotas come to.

use super::findings::{twice, unknown, In};
use super::site::small_burst;
use super::ROUNDING;
use crate::codes::Code;
use crate::diagnostic::Diagnostic;
use crate::model::{Account, Application, Plan, Site};
use crate::reader::At;
use crate::values::show_rate;
use std::collections::HashMap;

/// How far a rate may be from its neighbours: no plan has accounts that differ by more, units do.
const ODD: f64 = 999.0;
/// Accounts of one plan with quotas of their own, from which on their median says something.
const ENOUGH_FOR_A_MEDIAN: usize = 3;

/// Accounts beside the plans of the site.
pub(super) fn accounts(a: &In<Application>, s: &In<Site>, found: &mut Vec<Diagnostic>) {
    let (app, site) = (a.content, s.content);
    let ids = app
        .accounts
        .iter()
        .map(|c| (&c.id, format!("{:016x}", c.id.value)));
    twice(a, "account", ids, found);
    let plans: HashMap<&str, &Plan> = site
        .plans
        .iter()
        .map(|p| (p.name.value.as_str(), p))
        .collect();
    let largest = site.largest(|name| app.sends.iter().any(|c| c.value == name));
    let medians = median_quotas(app);
    for account in &app.accounts {
        let Some(name) = &account.plan else { continue };
        let Some(plan) = plans.get(name.value.as_str()) else {
            let known = site.plans.iter().map(|p| p.name.value.as_str());
            found.push(unknown(a, Code::NoSuchPlan, "plan", name, known));
            continue;
        };
        let whose = shown(account);
        hard_limit(a, s, account, plan, found);
        if let (Some(burst), Some(class)) = (&account.burst, largest) {
            small_burst(a, burst, &whose, class, s.file, found);
        }
        if let Some(quota) = &account.quota {
            let median = medians.get(name.value.as_str()).copied();
            odd_rate(a, &whose, quota, plan, median, found);
        }
    }
}

fn shown(account: &Account) -> String {
    format!("account {:016x}", account.id.value)
}

/// By plan, the median of the quotas that accounts have of their own; only where there are enough of them.
fn median_quotas(app: &Application) -> HashMap<&str, f64> {
    let mut own: HashMap<&str, Vec<f64>> = HashMap::new();
    for account in &app.accounts {
        if let (Some(plan), Some(quota)) = (&account.plan, &account.quota) {
            own.entry(plan.value.as_str())
                .or_default()
                .push(quota.value);
        }
    }
    own.retain(|_, quotas| quotas.len() >= ENOUGH_FOR_A_MEDIAN);
    let median = |mut quotas: Vec<f64>| {
        quotas.sort_by(f64::total_cmp);
        quotas[quotas.len() / 2]
    };
    own.into_iter()
        .map(|(plan, quotas)| (plan, median(quotas)))
        .collect()
}

/// An account's quota is not over the hard limit of its plan.
fn hard_limit(
    a: &In<Application>,
    s: &In<Site>,
    account: &Account,
    plan: &Plan,
    found: &mut Vec<Diagnostic>,
) {
    let (Some(quota), Some(most)) = (&account.quota, &plan.never_over) else {
        return;
    };
    if quota.value > most.value * (1.0 + ROUNDING) {
        let limit = show_rate(most.value);
        let message = format!(
            "{} has a quota of {}, and plan \"{}\" is never over {limit}",
            shown(account),
            show_rate(quota.value),
            plan.name.value
        );
        let wrong = a.wrong(Code::OverPlan, quota, message);
        found.push(wrong.with(s.at(&most.span), format!("never over {limit}")));
    }
}

/// A quota far from its neighbours is likely in other units than was meant.
fn odd_rate(
    a: &In<Application>,
    whose: &str,
    quota: &At<f64>,
    plan: &Plan,
    median: Option<f64>,
    found: &mut Vec<Diagnostic>,
) {
    let neighbours = [
        (plan.quota.as_ref().map(|q| q.value), "its plan's quota is"),
        (median, "the middle of those on its plan is"),
    ];
    let odd = neighbours.into_iter().find_map(|(rate, what)| {
        let rate = rate?;
        (quota.value > rate * ODD || quota.value * ODD < rate).then_some((rate, what))
    });
    if let Some((rate, what)) = odd {
        let message = format!(
            "{whose} has a quota of {}, {what} {}",
            show_rate(quota.value),
            show_rate(rate)
        );
        let help =
            "6/s, 360/min and 21600/h are the same; if it is meant, give it a plan of its own";
        found.push(a.wrong(Code::OddRate, quota, message).help(help));
    }
}

/// Each account's plan and quota, as far as the site knows the plan.
pub(super) fn quotas<'a>(
    app: &'a Application,
    site: &'a Site,
) -> impl Iterator<Item = (&'a At<String>, f64)> + 'a {
    let plans: HashMap<&str, Option<f64>> = site
        .plans
        .iter()
        .map(|p| (p.name.value.as_str(), p.quota.as_ref().map(|q| q.value)))
        .collect();
    app.accounts.iter().filter_map(move |account| {
        let name = account.plan.as_ref()?;
        let quota = account
            .quota
            .as_ref()
            .map(|q| q.value)
            .or(*plans.get(name.value.as_str())?)?;
        Some((name, quota))
    })
}
