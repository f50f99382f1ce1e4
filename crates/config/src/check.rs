//! What files must not say: alone, beside the site, beside a fleet snapshot, and together.

mod findings;
mod group;

pub use findings::In;
use findings::{quoted, twice, unknown};

use crate::codes::Code;
use crate::diagnostic::{Diagnostic, Place};
use crate::model::{Application, Effect, Fleet, Ingress, Node, Pool, Route, Site, Status};
use crate::reader::At;
use crate::values::{show_rate, show_time, Listener};
use std::collections::{BTreeMap, HashMap};
use wrenfork_happy_eyeballs::{Address, MAX_ADDRESSES};
use wrenfork_identity::trust::Doubt;
use wrenfork_routes::{NodeLabels, PoolId, Table, TableError, MAX_POOLS, MAX_TIERS};

/// The least that an ingress works with.
const LEAST_MEMORY: u64 = 16 << 20;
const LEAST_DESCRIPTORS: u64 = 64;
/// How far a rate may be from its neighbours: no plan has accounts that differ by more, units do.
const ODD: f64 = 999.0;
/// Rates are sums of numbers with fractions.
const ROUNDING: f64 = 1e-9;

/// Halls in order of nearness: each hall that there is, once.
fn nearness(s: &In<Site>, found: &mut Vec<Diagnostic>) {
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

/// A site by itself.
pub fn site(s: &In<Site>, found: &mut Vec<Diagnostic>) {
    let site = s.content;
    twice(
        s,
        "class",
        site.classes.iter().map(|c| quoted(&c.name)),
        found,
    );
    twice(s, "plan", site.plans.iter().map(|p| quoted(&p.name)), found);
    nearness(s, found);
    twice(
        s,
        "a ceiling for",
        site.ceilings.iter().map(|c| quoted(&c.plan)),
        found,
    );
    for class in &site.classes {
        let name = &class.name.value;
        let keyed = class.effect.as_ref().map(|e| e.value == "keyed");
        if let Some(window) = class
            .window
            .as_ref()
            .filter(|w| keyed == Some(true) && w.value == 0)
        {
            let message = format!(
                "class \"{}\" has keys that are known for no time",
                class.name.value
            );
            found.push(
                s.wrong(Code::OutOfRange, window, message)
                    .help("if none may run twice, it is unsafe"),
            );
        }
        if keyed == Some(true) && class.window.is_none() && !class.bad_key {
            let message = format!("class \"{name}\" is keyed, but not for how long");
            found.push(
                s.wrong(Code::NoWindow, &class.name, message)
                    .help("add window = \"3s\""),
            );
        }
        if keyed == Some(true) && class.group.is_none() && !class.bad_key {
            let message = format!("class \"{name}\" is keyed, but not in which group of nodes");
            found.push(
                s.wrong(Code::NoGroup, &class.name, message)
                    .help("add group = \"all\", \"hall\" or \"group\""),
            );
        }
        if keyed == Some(false) {
            let places = [
                class.window.as_ref().map(|w| &w.span),
                class.group.as_ref().map(|g| &g.span),
            ];
            for span in places.into_iter().flatten() {
                let message = format!("class \"{name}\" has no keys");
                found.push(
                    Diagnostic::new(Code::IdleWindow, s.at(span), message)
                        .help("take the line out"),
                );
            }
        }
        if let (Some(wanted), Some(deadline)) = (&class.wanted, &class.deadline) {
            if deadline.value < wanted.value {
                let (wanted_shown, shown) = (show_time(wanted.value), show_time(deadline.value));
                let message =
                    format!("class \"{name}\" is given up after {shown}, before it is wanted");
                found.push(
                    s.wrong(Code::LateDeadline, deadline, message)
                        .with(s.at(&wanted.span), format!("wanted within {wanted_shown}")),
                );
            }
        }
        if let Some(worth) = class.worth.as_ref().filter(|w| w.value <= 0.0) {
            found.push(s.wrong(
                Code::Unpriced,
                worth,
                format!("class \"{name}\" is worth nothing"),
            ));
        }
    }
    let largest = site.largest(|_| true);
    for plan in &site.plans {
        let name = &plan.name.value;
        if let (Some(burst), Some(class)) = (&plan.burst, largest) {
            small_burst(s, burst, &format!("plan \"{name}\""), class, s.file, found);
        }
        if let (Some(quota), Some(most)) = (&plan.quota, &plan.never_over) {
            if most.value < quota.value * (1.0 - ROUNDING) {
                let (q, m) = (show_rate(quota.value), show_rate(most.value));
                let message = format!("plan \"{name}\" is never over {m}, below its quota");
                found.push(
                    s.wrong(Code::LowCeiling, most, message)
                        .with(s.at(&quota.span), format!("a quota of {q}")),
                );
            }
        }
    }
    for ceiling in &site.ceilings {
        if site.plan(&ceiling.plan.value).is_none() {
            let plans = site.plans.iter().map(|p| p.name.value.as_str());
            found.push(unknown(s, Code::NoSuchPlan, "plan", &ceiling.plan, plans));
        }
    }
}

fn small_burst<T>(
    file: &In<T>,
    burst: &At<f64>,
    whose: &str,
    class: &crate::model::Class,
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

/// An application beside its site.
pub fn application(a: &In<Application>, s: &In<Site>, found: &mut Vec<Diagnostic>) {
    let (app, site) = (a.content, s.content);
    if let (Some(name), Some(own)) = (&app.site, &site.name) {
        if name.value != own.value {
            let message = format!(
                "the application is for site \"{}\", the site given is \"{}\"",
                name.value, own.value
            );
            found.push(
                a.wrong(Code::NoSite, name, message)
                    .with(s.at(&own.span), "the site given"),
            );
        }
    }
    let classes = site.classes.iter().map(|c| c.name.value.as_str());
    for class in &app.sends {
        if site.class(&class.value).is_none() {
            found.push(unknown(
                a,
                Code::NoSuchClass,
                "class",
                class,
                classes.clone(),
            ));
        }
    }
    if app.memory.value < LEAST_MEMORY {
        found.push(a.wrong(
            Code::TooTight,
            &app.memory,
            "a sidecar needs 16MiB of memory at the least",
        ));
    }
    if app.descriptors.value < LEAST_DESCRIPTORS {
        found.push(a.wrong(
            Code::TooTight,
            &app.descriptors,
            "a sidecar needs 64 descriptors at the least",
        ));
    }
    sidecars(a, site, found);
    group::check(a, found);
    identity(a, site, true, found);
    accounts(a, s, found);
    if !app.bad_pools {
        pools(a, site, found);
    }
    routes(a, site, found);
}

/// What an operator adds to an ingress. The halls and classes are the platform's; where they are not known, those that the
/// file names are taken to be there.
pub fn ingress(
    i: &In<Ingress>,
    known: Option<(&[String], &[String])>,
    found: &mut Vec<Diagnostic>,
) {
    let file = i.content;
    let values = |list: &[At<String>]| list.iter().map(|n| n.value.clone()).collect::<Vec<_>>();
    let (site, ways) = match known {
        Some((halls, classes)) => file.at(halls, classes),
        None => {
            let mut halls: Vec<String> = file
                .ways
                .pools
                .iter()
                .flat_map(|p| values(&p.halls))
                .collect();
            halls.extend(
                file.near
                    .iter()
                    .flat_map(|n| [vec![n.hall.value.clone()], values(&n.others)].concat()),
            );
            let classes: Vec<String> = file
                .ways
                .routes
                .iter()
                .map(|r| r.class.value.clone())
                .collect();
            file.at(&halls, &classes)
        }
    };
    nearness(
        &In {
            file: i.file,
            content: &site,
        },
        found,
    );
    let ways = In {
        file: i.file,
        content: &ways,
    };
    if !ways.content.bad_pools {
        pools(&ways, &site, found);
    }
    routes(&ways, &site, found);
    identity(&ways, &site, false, found);
}

/// Who may call: names once, keys without a gap, and accounts and classes that there are.
fn identity(a: &In<Application>, site: &Site, own: bool, found: &mut Vec<Diagnostic>) {
    let Some(identity) = &a.content.identity else {
        return;
    };
    twice(
        a,
        "issuer",
        identity.issuers.iter().map(|i| quoted(&i.name)),
        found,
    );
    twice(
        a,
        "tenant",
        identity.tenants.iter().map(|t| quoted(&t.name)),
        found,
    );
    for issuer in &identity.issuers {
        twice(a, "key", issuer.keys.iter().map(|k| quoted(&k.name)), found);
        let mut trust = crate::callers::trust(identity);
        let name = &issuer.name.value;
        trust.issuers.retain(|i| i.name == *name);
        // From the first key's start on: there is no clock here, and a gap is one whenever it comes.
        let start = issuer.keys.iter().map(|k| k.from).min().unwrap_or(0);
        for doubt in trust.rotation(start) {
            let message = match &doubt {
                Doubt::Gap(_, at) => {
                    format!(
                        "issuer \"{name}\" has no key from {} on",
                        wrenfork_identity::token::told(*at)
                    )
                }
                Doubt::Never(_, key) => format!("key \"{key}\" ends before it begins"),
                Doubt::NoKey(_) | Doubt::Twice(..) => continue,
            };
            found.push(a.wrong(Code::NoKeyNow, &issuer.name, message));
        }
    }
    let classes = || site.classes.iter().map(|c| c.name.value.as_str());
    for tenant in &identity.tenants {
        for class in tenant
            .classes
            .iter()
            .flatten()
            .filter(|c| classes().all(|k| k != c.value))
        {
            found.push(unknown(a, Code::NoSuchClass, "class", class, classes()));
        }
        let others = tenant
            .accounts
            .iter()
            .filter(|id| a.content.accounts.iter().all(|x| x.id.value != id.value));
        for id in others.filter(|_| own) {
            let message = format!(
                "account {:016x} of tenant \"{}\" is not the application's",
                id.value, tenant.name.value
            );
            found.push(a.wrong(Code::NotItsAccount, id, message));
        }
    }
}

fn sidecars(a: &In<Application>, site: &Site, found: &mut Vec<Diagnostic>) {
    let app = a.content;
    twice(
        a,
        "sidecar",
        app.sidecars.iter().map(|c| quoted(&c.name)),
        found,
    );
    let halls = || site.halls.iter().map(|h| h.value.as_str());
    for sidecar in &app.sidecars {
        if let Some(hall) = sidecar
            .hall
            .as_ref()
            .filter(|h| halls().all(|k| k != h.value))
        {
            found.push(unknown(a, Code::NoSuchHall, "hall", hall, halls()));
        }
        let tcp = matches!(
            sidecar.listen.as_ref().map(|l| &l.value),
            Some(Listener::Tcp(_))
        );
        if let Some(user) = sidecar.users.first().filter(|_| tcp) {
            let message = format!(
                "sidecar \"{}\" can't tell whose a connection is",
                sidecar.name.value
            );
            let wrong = a.wrong(Code::IdleUsers, user, message);
            found.push(wrong.help("listen = \"unix:/run/...\" can, or take users out"));
        }
        let listen = sidecar.listen.as_ref().map(|l| l.value.to_string());
        if let Some(own) = sidecar
            .discovery
            .as_ref()
            .filter(|d| listen.as_ref() == Some(&d.value.to_string()))
        {
            let message = format!(
                "sidecar \"{}\" would ask itself for nodes",
                sidecar.name.value
            );
            let wrong = a.wrong(Code::AddressTwice, own, message);
            found.push(wrong.help("discovery is another program's address"));
        }
        if app.sidecars.len() > 1 && sidecar.peers.is_none() {
            let message = format!(
                "sidecar \"{}\" can't be told what the others let through",
                sidecar.name.value
            );
            let wrong = Diagnostic::new(Code::NoPeer, a.at(&sidecar.name.span), message);
            found.push(wrong.help("add peers = \"127.0.0.1:7946\", an address of its own"));
        }
    }
}

fn accounts(a: &In<Application>, s: &In<Site>, found: &mut Vec<Diagnostic>) {
    let (app, site) = (a.content, s.content);
    twice(
        a,
        "account",
        app.accounts
            .iter()
            .map(|c| (&c.id, format!("{:016x}", c.id.value))),
        found,
    );
    let plans: HashMap<&str, &crate::model::Plan> = site
        .plans
        .iter()
        .map(|p| (p.name.value.as_str(), p))
        .collect();
    let largest = site.largest(|name| app.sends.iter().any(|c| c.value == name));
    let mut own: HashMap<&str, Vec<f64>> = HashMap::new();
    for account in &app.accounts {
        if let (Some(plan), Some(quota)) = (&account.plan, &account.quota) {
            own.entry(plan.value.as_str())
                .or_default()
                .push(quota.value);
        }
    }
    own.values_mut()
        .for_each(|list| list.sort_by(f64::total_cmp));
    for account in &app.accounts {
        let Some(name) = &account.plan else { continue };
        let Some(plan) = plans.get(name.value.as_str()) else {
            let known = site.plans.iter().map(|p| p.name.value.as_str());
            found.push(unknown(a, Code::NoSuchPlan, "plan", name, known));
            continue;
        };
        let whose = || format!("account {:016x}", account.id.value);
        if let (Some(quota), Some(most)) = (&account.quota, &plan.never_over) {
            if quota.value > most.value * (1.0 + ROUNDING) {
                let (q, m) = (show_rate(quota.value), show_rate(most.value));
                let message = format!(
                    "{} has a quota of {q}, and plan \"{}\" is never over {m}",
                    whose(),
                    name.value
                );
                found.push(
                    a.wrong(Code::OverPlan, quota, message)
                        .with(s.at(&most.span), format!("never over {m}")),
                );
            }
        }
        if let (Some(burst), Some(class)) = (&account.burst, largest) {
            small_burst(a, burst, &whose(), class, s.file, found);
        }
        let Some(quota) = &account.quota else {
            continue;
        };
        let middle = own
            .get(name.value.as_str())
            .filter(|l| l.len() >= 3)
            .map(|l| l[l.len() / 2]);
        let neighbours = [
            (plan.quota.as_ref().map(|q| q.value), "its plan's quota is"),
            (middle, "the middle of those on its plan is"),
        ];
        let odd = neighbours.into_iter().find_map(|(rate, what)| {
            let rate = rate?;
            (quota.value > rate * ODD || quota.value * ODD < rate).then_some((rate, what))
        });
        if let Some((rate, what)) = odd {
            let message = format!(
                "{} has a quota of {}, {what} {}",
                whose(),
                show_rate(quota.value),
                show_rate(rate)
            );
            let help =
                "6/s, 360/min and 21600/h are the same; if it is meant, give it a plan of its own";
            found.push(a.wrong(Code::OddRate, quota, message).help(help));
        }
    }
}

fn pool_names(app: &Application) -> impl Iterator<Item = &str> + Clone {
    app.pools.iter().map(|p| p.name.value.as_str())
}

fn number(pools: &[Pool], name: &str) -> Option<PoolId> {
    pools
        .iter()
        .position(|p| p.name.value == name)
        .and_then(|n| u8::try_from(n).ok())
        .map(PoolId)
}

/// The pools and routes as [`wrenfork_routes`] has them, the routes in the order of the site's classes. What leads
/// nowhere is left out.
pub fn table(own: &[Pool], routes: &[Route], site: &Site) -> Table {
    let pools = own.iter().map(|p| wrenfork_routes::Pool {
        selector: p.selector.clone(),
        fallback: p.fallback.as_ref().and_then(|f| number(own, &f.value)),
    });
    let routes = site.classes.iter().map(|class| {
        let route = routes.iter().find(|r| r.class.value == class.name.value)?;
        let trial = route
            .trial
            .as_ref()
            .zip(route.share.as_ref())
            .and_then(|(pool, share)| {
                Some(wrenfork_routes::Canary {
                    pool: number(own, &pool.value)?,
                    fraction: share.value,
                })
            });
        Some(wrenfork_routes::Route {
            pool: number(own, &route.pool.as_ref()?.value)?,
            canary: trial,
        })
    });
    Table {
        pools: pools.collect(),
        routes: routes.collect(),
    }
}

fn pools(a: &In<Application>, site: &Site, found: &mut Vec<Diagnostic>) {
    let app = a.content;
    twice(a, "pool", app.pools.iter().map(|p| quoted(&p.name)), found);
    let halls = || site.halls.iter().map(|h| h.value.as_str());
    let mut used: Vec<&str> = Vec::new();
    for route in &app.routes {
        used.extend(
            route
                .pool
                .iter()
                .chain(&route.trial)
                .map(|p| p.value.as_str()),
        );
    }
    used.extend(
        app.pools
            .iter()
            .filter_map(|p| p.fallback.as_ref())
            .map(|f| f.value.as_str()),
    );
    for pool in &app.pools {
        for hall in pool.halls.iter().filter(|h| halls().all(|k| k != h.value)) {
            found.push(unknown(a, Code::NoSuchHall, "hall", hall, halls()));
        }
        if let Some(fallback) = pool
            .fallback
            .as_ref()
            .filter(|f| number(&app.pools, &f.value).is_none())
        {
            found.push(unknown(
                a,
                Code::NoSuchPool,
                "pool",
                fallback,
                pool_names(app),
            ));
        }
        if !used.contains(&pool.name.value.as_str()) {
            let message = format!("nothing leads to pool \"{}\"", pool.name.value);
            found.push(a.wrong(Code::UnusedPool, &pool.name, message));
        }
    }
    if !site.near.is_empty() && app.pools.len() + MAX_TIERS > MAX_POOLS {
        let message = format!(
            "there are {} pools, and the nearness of halls takes {MAX_TIERS} more",
            app.pools.len()
        );
        let wrong = a.wrong(
            Code::TooMany,
            &app.pools[MAX_POOLS - MAX_TIERS].name,
            message,
        );
        found.push(wrong.help("64 pools are the most"));
    }
    for fault in table(&app.pools, &app.routes, site).errors() {
        let TableError::FallbackCycle(circle) = fault else {
            continue;
        };
        let of = |p: &PoolId| &app.pools[usize::from(p.0)];
        let mut names: Vec<&str> = circle.iter().map(|p| of(p).name.value.as_str()).collect();
        names.push(names[0]);
        let message = format!("pools fall back in a circle: {}", names.join(", then "));
        let place = |pool: &Pool| {
            pool.fallback
                .as_ref()
                .map_or(pool.name.span.clone(), |f| f.span.clone())
        };
        let mut wrong = Diagnostic::new(Code::Circle, a.at(&place(of(&circle[0]))), message);
        for p in &circle[1..] {
            wrong = wrong.with(a.at(&place(of(p))), "and on from here");
        }
        found.push(wrong.help("let the last one have no fallback"));
    }
}

fn routes(a: &In<Application>, site: &Site, found: &mut Vec<Diagnostic>) {
    let app = a.content;
    let mut routed: BTreeMap<&str, &At<String>> = BTreeMap::new();
    for route in &app.routes {
        let class = &route.class;
        if let Some(first) = routed.get(class.value.as_str()) {
            let message = format!("class \"{}\" has two routes", class.value);
            found.push(
                a.wrong(Code::RoutedTwice, class, message)
                    .with(a.at(&first.span), "the first one"),
            );
        } else {
            routed.insert(&class.value, class);
        }
        if site.class(&class.value).is_none() {
            let classes = site.classes.iter().map(|c| c.name.value.as_str());
            found.push(unknown(a, Code::NoSuchClass, "class", class, classes));
        } else if app.sends.iter().all(|s| s.value != class.value) {
            let message = format!("the application may not send \"{}\"", class.value);
            let help = "add it to `sends`, or take the route out";
            found.push(a.wrong(Code::NotSent, class, message).help(help));
        }
        for pool in route.pool.iter().chain(&route.trial) {
            if number(&app.pools, &pool.value).is_none() && !app.bad_pools {
                found.push(unknown(a, Code::NoSuchPool, "pool", pool, pool_names(app)));
            }
        }
        match (&route.trial, &route.share) {
            _ if route.bad_trial => {}
            (Some(trial), None) => {
                let message = format!("a trial in pool \"{}\" of no share", trial.value);
                found.push(
                    a.wrong(Code::MissingKey, trial, message)
                        .help("add share = 0.05"),
                );
            }
            (None, Some(share)) => {
                let message = "a share of customers, but no pool for their trial";
                found.push(
                    a.wrong(Code::MissingKey, share, message)
                        .help("add trial = and the pool's name"),
                );
            }
            _ => {}
        }
        if let Some(pool) = &route.pool {
            let order = number(&app.pools, &pool.value)
                .and_then(|p| table(&app.pools, &app.routes, site).fallback_order(p).ok())
                .unwrap_or_default();
            let count = order.len() + usize::from(route.trial.is_some());
            if count > MAX_TIERS {
                let message = format!(
                    "class \"{}\" goes over {count} pools, and {MAX_TIERS} is the most",
                    class.value
                );
                found.push(a.wrong(Code::LongRoute, pool, message));
            }
        }
        if let (Some(pool), Some(trial)) = (&route.pool, &route.trial) {
            let order = number(&app.pools, &pool.value)
                .and_then(|p| table(&app.pools, &app.routes, site).fallback_order(p).ok())
                .unwrap_or_default();
            if number(&app.pools, &trial.value).is_some_and(|t| order.contains(&t)) {
                let message = format!(
                    "class \"{}\" goes to pool \"{}\" anyway",
                    class.value, trial.value
                );
                found.push(
                    a.wrong(Code::TrialAtHome, trial, message)
                        .with(a.at(&pool.span), "it begins here"),
                );
            }
        }
    }
}

fn traits(node: &Node) -> NodeLabels<'_> {
    NodeLabels {
        name: &node.name.value,
        zone_group: &node.hall.value,
        machine_type: &node.model,
        cell: node.group,
    }
}

/// A fleet snapshot by itself.
pub fn fleet(f: &In<Fleet>, found: &mut Vec<Diagnostic>) {
    twice(
        f,
        "node",
        f.content.nodes.iter().map(|n| quoted(&n.name)),
        found,
    );
    // One that is gone may have left its address to another.
    let mut at: HashMap<&Address, &Node> = HashMap::new();
    for node in f.content.nodes.iter().filter(|n| n.status == Status::Up) {
        let places = std::iter::once(&node.address).chain(node.addresses.iter().map(|a| &a.value));
        for (n, place) in places.enumerate() {
            let Some(first) = at.insert(place, node) else {
                continue;
            };
            let (name, other) = (&node.name.value, &first.name.value);
            let message = if std::ptr::eq(first, node) {
                format!("node \"{name}\" lists {place} twice")
            } else {
                format!("nodes \"{other}\" and \"{name}\" are both up at {place}")
            };
            let span = n
                .checked_sub(1)
                .map_or(&node.name.span, |n| &node.addresses[n].span);
            let wrong = Diagnostic::new(Code::AddressTwice, f.at(span), message);
            found.push(wrong.with(f.at(&first.name.span), "the first one"));
        }
        if node.addresses.len() >= MAX_ADDRESSES {
            let message = format!(
                "node \"{}\" has more addresses than the {MAX_ADDRESSES} that are tried",
                node.name.value
            );
            found.push(f.wrong(Code::TooMany, &node.name, message));
        }
    }
}

/// An application beside the nodes as they are.
pub fn nodes(a: &In<Application>, s: &In<Site>, f: &In<Fleet>, found: &mut Vec<Diagnostic>) {
    let (app, fleet) = (a.content, f.content);
    let by_name: HashMap<&str, &Node> = fleet
        .nodes
        .iter()
        .map(|n| (n.name.value.as_str(), n))
        .collect();
    for pool in &app.pools {
        let before = found.len();
        for name in &pool.nodes {
            let Some(node) = by_name.get(name.value.as_str()) else {
                found.push(unknown(
                    a,
                    Code::NoSuchNode,
                    "node",
                    name,
                    fleet.nodes.iter().map(|n| n.name.value.as_str()),
                ));
                continue;
            };
            let (code, state) = match node.status {
                Status::Up => continue,
                Status::Draining => (Code::NodeDrains, "is draining"),
                Status::Removed => (Code::NodeGone, "is gone"),
            };
            found.push(a.wrong(code, name, format!("node \"{}\" {state}", name.value)));
        }
        if found.len() > before {
            continue; // its nodes are spoken of already
        }
        let members: Vec<&Node> = fleet
            .nodes
            .iter()
            .filter(|n| pool.selector.matches(&traits(n)))
            .collect();
        if members.is_empty() {
            let message = format!("no node is of pool \"{}\"", pool.name.value);
            found.push(a.wrong(Code::NoNodes, &pool.name, message));
        } else if members.iter().all(|n| n.status != Status::Up) {
            let message = format!(
                "every node of pool \"{}\" is draining or gone",
                pool.name.value
            );
            found.push(a.wrong(Code::AllDrain, &pool.name, message));
        }
    }
    let table = table(&app.pools, &app.routes, s.content);
    let member: Vec<(u64, &Node)> = fleet
        .nodes
        .iter()
        .filter(|n| n.status == Status::Up)
        .map(|n| (table.pools_of(&traits(n)), n))
        .collect();
    let promised: f64 = quotas(app, s.content).map(|(_, q)| q).sum();
    for route in &app.routes {
        groups(a, s.content, &table, route, &member, found);
        capacity(a, s, promised, route, &member, found);
    }
}

/// A keyed class must not be spread over groups of nodes that don't know each other's keys.
fn groups(
    a: &In<Application>,
    site: &Site,
    table: &Table,
    route: &Route,
    member: &[(u64, &Node)],
    found: &mut Vec<Diagnostic>,
) {
    let Some(class) = site.class(&route.class.value) else {
        return;
    };
    let Some(Effect::Keyed { group, .. }) = class.repeat().filter(|_| route.pool.is_some()) else {
        return;
    };
    let first = route
        .pool
        .as_ref()
        .and_then(|p| number(&a.content.pools, &p.value));
    let order = first
        .and_then(|p| table.fallback_order(p).ok())
        .unwrap_or_default();
    let trial = route
        .trial
        .as_ref()
        .and_then(|p| number(&a.content.pools, &p.value));
    let set = order
        .into_iter()
        .chain(trial)
        .fold(0, |set, p| set | p.bit());
    let of = |n: &Node| match group.as_str() {
        "hall" => n.hall.value.clone(),
        "group" => n.group.to_string(),
        _ => String::new(),
    };
    let mut groups: Vec<String> = member
        .iter()
        .filter(|(m, _)| m & set != 0)
        .map(|(_, n)| of(n))
        .collect();
    groups.sort_unstable();
    groups.dedup();
    if groups.len() > 1 {
        let list = groups
            .iter()
            .take(6)
            .map(String::as_str)
            .collect::<Vec<_>>()
            .join(", ");
        let name = &class.name.value;
        let message = format!(
            "repeats of \"{name}\" are dropped by {group}, and its pools lie in several: {list}"
        );
        found.push(
            a.wrong(Code::GroupsMixed, &route.class, message)
                .help("let its pools lie in one of them"),
        );
    }
}

/// The nodes of a route's pools must serve what the accounts were promised.
fn capacity(
    a: &In<Application>,
    s: &In<Site>,
    promised: f64,
    route: &Route,
    member: &[(u64, &Node)],
    found: &mut Vec<Diagnostic>,
) {
    let (app, site) = (a.content, s.content);
    let Some(per_weight) = site.per_weight else {
        return;
    };
    let pool = |name: &Option<At<String>>| {
        name.as_ref()
            .and_then(|n| Some((n.clone(), number(&app.pools, &n.value)?)))
    };
    let trial = pool(&route.trial).zip(route.share.as_ref().map(|s| s.value));
    let share = trial.as_ref().map_or(0.0, |t| t.1);
    let trial_set = trial.as_ref().map_or(0, |((_, p), _)| p.bit());
    let mut look = |name: &At<String>, set: u64, without: u64, share: f64| {
        let nodes = member
            .iter()
            .filter(|(m, _)| m & set != 0 && m & without == 0);
        let (count, weight) = nodes.fold((0, 0.0), |(n, w), (_, node)| (n + 1, w + node.weight));
        let (need, serves) = (promised * share, weight * per_weight);
        if count > 0 && need > serves * (1.0 + ROUNDING) {
            let (need, serves) = (show_rate(need), show_rate(serves));
            let message = format!(
                "pool \"{}\" has {count} nodes that serve {serves}, and quotas of {need} go there",
                name.value
            );
            found.push(a.wrong(Code::TooFewNodes, name, message));
        }
    };
    if let Some((name, p)) = pool(&route.pool) {
        look(&name, p.bit(), trial_set, 1.0 - share);
    }
    if let Some(((name, p), share)) = &trial {
        look(name, p.bit(), 0, *share);
    }
}

/// Each account's plan and quota, as far as the site knows the plan.
fn quotas<'a>(
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

/// Applications together.
pub fn together(apps: &[In<Application>], site: Option<&In<Site>>, found: &mut Vec<Diagnostic>) {
    let mut names: BTreeMap<&str, Place> = BTreeMap::new();
    let mut ids: HashMap<u64, (usize, &str, Place)> = HashMap::new();
    let mut addresses: BTreeMap<String, Place> = BTreeMap::new();
    for a in apps {
        let app = a.content;
        if let Some(name) = &app.name {
            if let Some(first) = names.get(name.value.as_str()) {
                let message = format!("two applications are called \"{}\"", name.value);
                found.push(
                    a.wrong(Code::ApplicationTwice, name, message)
                        .with(first.clone(), "the first one"),
                );
            } else {
                names.insert(&name.value, a.at(&name.span));
            }
        }
        for account in &app.accounts {
            let place = a.at(&account.id.span);
            match ids.get(&account.id.value) {
                Some((file, other, first)) if *file != a.file => {
                    let message =
                        format!("account {:016x} is \"{other}\"'s already", account.id.value);
                    found.push(
                        a.wrong(Code::AccountTwice, &account.id, message)
                            .with(first.clone(), "there"),
                    );
                }
                Some(_) => {} // twice in one file: told with that file
                None => drop(ids.insert(account.id.value, (a.file, app.called(), place))),
            }
        }
        for sidecar in &app.sidecars {
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
            for (address, span) in listen.into_iter().chain(peers).chain(paths) {
                let shown = address.trim_end_matches("/udp").to_string();
                if let Some(first) = addresses.get(&address) {
                    let wrong = Diagnostic::new(
                        Code::AddressTwice,
                        a.at(span),
                        format!("{shown} is taken already"),
                    );
                    found.push(wrong.with(first.clone(), "by this one"));
                } else {
                    addresses.insert(address, a.at(span));
                }
            }
        }
    }
    if let Some(site) = site {
        ceilings(apps, site, found);
    }
}

fn ceilings(apps: &[In<Application>], s: &In<Site>, found: &mut Vec<Diagnostic>) {
    // By plan: what each application promises, with the place of its first account on the plan.
    let mut promised: HashMap<&str, Vec<(&str, f64, Place)>> = HashMap::new();
    for a in apps {
        let mut own: BTreeMap<&str, (f64, Place)> = BTreeMap::new();
        for (plan, quota) in quotas(a.content, s.content) {
            own.entry(&plan.value)
                .or_insert_with(|| (0.0, a.at(&plan.span)))
                .0 += quota;
        }
        for (plan, (sum, place)) in own {
            promised
                .entry(plan)
                .or_default()
                .push((a.content.called(), sum, place));
        }
    }
    for ceiling in &s.content.ceilings {
        let (plan, most) = (ceiling.plan.value.as_str(), ceiling.rate.value);
        let Some(parts) = promised.get(plan) else {
            continue;
        };
        let sum: f64 = parts.iter().map(|p| p.1).sum();
        if sum <= most * (1.0 + ROUNDING) {
            continue;
        }
        // Shown at the one that went past it; the others, the greatest first, as its company.
        let mut so_far = 0.0;
        let past = parts.iter().position(|p| {
            so_far += p.1;
            so_far > most * (1.0 + ROUNDING)
        });
        let past = past.unwrap_or(parts.len() - 1);
        let mut others: Vec<&(&str, f64, Place)> = parts
            .iter()
            .enumerate()
            .filter(|(n, _)| *n != past)
            .map(|(_, p)| p)
            .collect();
        others.sort_by(|a, b| b.1.total_cmp(&a.1));
        let mut shown = vec![format!(
            "\"{}\" {}",
            parts[past].0,
            show_rate(parts[past].1)
        )];
        shown.extend(
            others
                .iter()
                .take(4)
                .map(|p| format!("\"{}\" {}", p.0, show_rate(p.1))),
        );
        let more = if others.len() > 4 {
            format!(" and {} more", others.len() - 4)
        } else {
            String::new()
        };
        let message = format!(
            "quotas on plan \"{plan}\" come to {}, and the ceiling is {}: {}{more}",
            show_rate(sum),
            show_rate(most),
            shown.join(" + "),
        );
        let mut wrong = Diagnostic::new(Code::CeilingTogether, parts[past].2.clone(), message)
            .with(
                s.at(&ceiling.rate.span),
                format!("the ceiling of {}", show_rate(most)),
            );
        for other in others.iter().take(4) {
            wrong = wrong.with(
                other.2.clone(),
                format!("\"{}\" has {} of it", other.0, show_rate(other.1)),
            );
        }
        found.push(wrong.help("lower a quota, or have the site raise the ceiling"));
    }
}
