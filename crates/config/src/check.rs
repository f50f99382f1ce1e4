//! Checks files alone, against the site, against a fleet snapshot and against each other. Each module checks one part
//! of the files.

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

pub use findings::InFile;
pub use fleet::{fleet, nodes};
pub use pools::table;
pub use site::site;
pub use together::together;

use crate::codes::Code;
use crate::diagnostic::Diagnostic;
use crate::model::{Application, Ingress, Site};
use crate::reader::At;
use findings::unknown_name;

/// Least memory limit of an ingress, in bytes.
const MIN_MEMORY_BYTES: u64 = 16 << 20;
/// Least file descriptor limit of an ingress: each open request holds two descriptors.
const MIN_DESCRIPTORS: u64 = 64;
/// Relative tolerance for rates: sums of fractional quotas carry rounding errors.
const ROUNDING_TOLERANCE: f64 = 1e-9;

/// Checks an application against its site.
pub fn application(
    app_file: &InFile<Application>,
    site_file: &InFile<Site>,
    found: &mut Vec<Diagnostic>,
) {
    let (app, site) = (app_file.content, site_file.content);
    if let (Some(name), Some(own)) = (&app.site, &site.name) {
        if name.value != own.value {
            let message = format!(
                "the application is for site \"{}\", the site given is \"{}\"",
                name.value, own.value
            );
            found.push(
                app_file
                    .diagnostic(Code::NoSite, name, message)
                    .with(site_file.place(&own.span), "the site given"),
            );
        }
    }
    let classes = site.classes.iter().map(|c| c.name.value.as_str());
    for class in &app.sends {
        if site.class(&class.value).is_none() {
            found.push(unknown_name(
                app_file,
                Code::NoSuchClass,
                "class",
                class,
                classes.clone(),
            ));
        }
    }
    if app.memory.value < MIN_MEMORY_BYTES {
        found.push(app_file.diagnostic(
            Code::TooTight,
            &app.memory,
            "a sidecar needs 16MiB of memory at the least",
        ));
    }
    if app.descriptors.value < MIN_DESCRIPTORS {
        found.push(app_file.diagnostic(
            Code::TooTight,
            &app.descriptors,
            "a sidecar needs 64 descriptors at the least",
        ));
    }
    sidecars::sidecars(app_file, site, found);
    group::check(app_file, found);
    identity::identity(app_file, site, true, found);
    accounts::accounts(app_file, site_file, found);
    if !app.invalid_pools {
        pools::pools(app_file, site, found);
    }
    routes::routes(app_file, site, found);
}

/// Checks an operator's file. `known` has the platform's halls and classes; without it, all halls and classes that the
/// file names are assumed to exist.
pub fn ingress(
    ingress_file: &InFile<Ingress>,
    known: Option<(&[String], &[String])>,
    found: &mut Vec<Diagnostic>,
) {
    let file = ingress_file.content;
    let values = |list: &[At<String>]| list.iter().map(|n| n.value.clone()).collect::<Vec<_>>();
    let (site, application) = match known {
        Some((halls, classes)) => file.with_platform_names(halls, classes),
        None => {
            let mut halls: Vec<String> = file
                .application
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
                .application
                .routes
                .iter()
                .map(|r| r.class.value.clone())
                .collect();
            file.with_platform_names(&halls, &classes)
        }
    };
    site::check_nearness(
        &InFile {
            file: ingress_file.file,
            content: &site,
        },
        found,
    );
    let application = InFile {
        file: ingress_file.file,
        content: &application,
    };
    if !application.content.invalid_pools {
        pools::pools(&application, &site, found);
    }
    routes::routes(&application, &site, found);
    identity::identity(&application, &site, false, found);
}
