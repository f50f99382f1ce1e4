//! Checks the accounts of an application and their quotas.

use super::findings::{report_duplicates, unknown_name, InFile};
use super::site::check_burst;
use super::ROUNDING_TOLERANCE;
use crate::codes::Code;
use crate::diagnostic::Diagnostic;
use crate::model::{Account, Application, Plan, Site};
use crate::reader::At;
use crate::values::show_rate;
use std::collections::HashMap;

/// Largest plausible ratio between an account's quota and the plan's. A larger one suggests a wrong unit.
const MAX_QUOTA_RATIO: f64 = 999.0;
/// Least number of overridden quotas on a plan for which their median is meaningful.
const MIN_QUOTAS_FOR_MEDIAN: usize = 3;

/// Checks accounts against the plans of the site.
pub(super) fn accounts(
    app_file: &InFile<Application>,
    site_file: &InFile<Site>,
    found: &mut Vec<Diagnostic>,
) {
    let (app, site) = (app_file.content, site_file.content);
    let ids = app
        .accounts
        .iter()
        .map(|c| (&c.id, format!("{:016x}", c.id.value)));
    report_duplicates(app_file, "account", ids, found);
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
            found.push(unknown_name(
                app_file,
                Code::NoSuchPlan,
                "plan",
                name,
                known,
            ));
            continue;
        };
        let owner = account_label(account);
        check_hard_limit(app_file, site_file, account, plan, found);
        if let (Some(burst), Some(class)) = (&account.burst, largest) {
            check_burst(app_file, burst, &owner, class, site_file.file, found);
        }
        if let Some(quota) = &account.quota {
            let median = medians.get(name.value.as_str()).copied();
            check_quota_plausibility(app_file, &owner, quota, plan, median, found);
        }
    }
}

fn account_label(account: &Account) -> String {
    format!("account {:016x}", account.id.value)
}

/// Median of the overridden quotas, by plan, for plans that have enough of them.
fn median_quotas(app: &Application) -> HashMap<&str, f64> {
    let mut overridden: HashMap<&str, Vec<f64>> = HashMap::new();
    for account in &app.accounts {
        if let (Some(plan), Some(quota)) = (&account.plan, &account.quota) {
            overridden
                .entry(plan.value.as_str())
                .or_default()
                .push(quota.value);
        }
    }
    overridden.retain(|_, quotas| quotas.len() >= MIN_QUOTAS_FOR_MEDIAN);
    let median = |mut quotas: Vec<f64>| {
        quotas.sort_by(f64::total_cmp);
        quotas[quotas.len() / 2]
    };
    overridden
        .into_iter()
        .map(|(plan, quotas)| (plan, median(quotas)))
        .collect()
}

/// Reports a quota above the hard limit of the account's plan.
fn check_hard_limit(
    app_file: &InFile<Application>,
    site_file: &InFile<Site>,
    account: &Account,
    plan: &Plan,
    found: &mut Vec<Diagnostic>,
) {
    let (Some(quota), Some(max_rate)) = (&account.quota, &plan.never_over) else {
        return;
    };
    if quota.value > max_rate.value * (1.0 + ROUNDING_TOLERANCE) {
        let limit = show_rate(max_rate.value);
        let message = format!(
            "{} has a quota of {}, and plan \"{}\" is never over {limit}",
            account_label(account),
            show_rate(quota.value),
            plan.name.value
        );
        let diagnostic = app_file.diagnostic(Code::OverPlan, quota, message);
        found.push(diagnostic.with(
            site_file.place(&max_rate.span),
            format!("never over {limit}"),
        ));
    }
}

/// Reports a quota far from the plan's or from the median of its accounts: the unit is probably wrong.
fn check_quota_plausibility(
    app_file: &InFile<Application>,
    owner: &str,
    quota: &At<f64>,
    plan: &Plan,
    median: Option<f64>,
    found: &mut Vec<Diagnostic>,
) {
    let references = [
        (plan.quota.as_ref().map(|q| q.value), "its plan's quota is"),
        (median, "the middle of those on its plan is"),
    ];
    let implausible = references.into_iter().find_map(|(rate, label)| {
        let rate = rate?;
        (quota.value > rate * MAX_QUOTA_RATIO || quota.value * MAX_QUOTA_RATIO < rate)
            .then_some((rate, label))
    });
    if let Some((rate, label)) = implausible {
        let message = format!(
            "{owner} has a quota of {}, {label} {}",
            show_rate(quota.value),
            show_rate(rate)
        );
        let help =
            "6/s, 360/min and 21600/h are the same; if it is meant, give it a plan of its own";
        found.push(
            app_file
                .diagnostic(Code::OddRate, quota, message)
                .help(help),
        );
    }
}

/// Plan and quota of each account whose plan the site has.
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
