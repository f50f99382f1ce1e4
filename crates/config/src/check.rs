//! What files must not say: alone, beside the site, beside a fleet snapshot, and together. Each module has one part of
//! the files.

mod accounts;
mod findings;
mod fleet;
mod group;
mod identity;
mod pools;
mod routes;
mod sidecars;
mod site;
mod together;

pub use findings::In;
pub use fleet::{fleet, nodes};
pub use pools::table;
pub use site::site;
pub use together::together;

use crate::codes::Code;
use crate::diagnostic::Diagnostic;
use crate::model::{Application, Ingress, Site};
use crate::reader::At;
use findings::unknown;

/// The least that an ingress works with.
const LEAST_MEMORY: u64 = 16 << 20;
const LEAST_DESCRIPTORS: u64 = 64;
/// Rates are sums of numbers with fractions.
const ROUNDING: f64 = 1e-9;

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
    sidecars::sidecars(a, site, found);
    group::check(a, found);
    identity::identity(a, site, true, found);
    accounts::accounts(a, s, found);
    if !app.bad_pools {
        pools::pools(a, site, found);
    }
    routes::routes(a, site, found);
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
    site::nearness(
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
        pools::pools(&ways, &site, found);
    }
    routes::routes(&ways, &site, found);
    identity::identity(&ways, &site, false, found);
}
