//! Checks the table `identity`.

use super::findings::{quoted, report_duplicates, unknown_name, InFile};
use crate::callers;
use crate::codes::Code;
use crate::diagnostic::Diagnostic;
use crate::model::{Application, Identity, Issuer, Site, Tenant};
use wrenfork_identity::token::format_time;
use wrenfork_identity::trust::RotationProblem;

/// Checks that names are unique, keys follow each other without a gap, and accounts and classes exist. With `own`, the
/// tenants' accounts must be accounts of the application.
pub(super) fn identity(
    app_file: &InFile<Application>,
    site: &Site,
    own: bool,
    found: &mut Vec<Diagnostic>,
) {
    let Some(identity) = &app_file.content.identity else {
        return;
    };
    let issuers = identity.issuers.iter().map(|i| quoted(&i.name));
    report_duplicates(app_file, "issuer", issuers, found);
    let tenants = identity.tenants.iter().map(|t| quoted(&t.name));
    report_duplicates(app_file, "tenant", tenants, found);
    for issuer in &identity.issuers {
        report_duplicates(
            app_file,
            "key",
            issuer.keys.iter().map(|k| quoted(&k.name)),
            found,
        );
        check_rotation(app_file, identity, issuer, found);
    }
    for tenant in &identity.tenants {
        check_tenant_classes(app_file, site, tenant, found);
        if own {
            check_tenant_accounts(app_file, tenant, found);
        }
    }
}

/// Reports times at which an issuer has no valid key.
fn check_rotation(
    app_file: &InFile<Application>,
    identity: &Identity,
    issuer: &Issuer,
    found: &mut Vec<Diagnostic>,
) {
    let name = &issuer.name.value;
    let mut trust = callers::trust(identity);
    trust.issuers.retain(|i| i.name == *name);
    // Checked from the first key's start on: the check has no clock, and a gap is a mistake at any time.
    let start = issuer.keys.iter().map(|k| k.from).min().unwrap_or(0);
    for problem in trust.rotation_problems(start) {
        let message = match &problem {
            RotationProblem::Gap(_, at) => {
                format!("issuer \"{name}\" has no key from {} on", format_time(*at))
            }
            RotationProblem::EmptyPeriod(_, key) => format!("key \"{key}\" ends before it begins"),
            RotationProblem::NoKey(_) | RotationProblem::DuplicateKey(..) => continue,
        };
        found.push(app_file.diagnostic(Code::NoKeyNow, &issuer.name, message));
    }
}

fn check_tenant_classes(
    app_file: &InFile<Application>,
    site: &Site,
    tenant: &Tenant,
    found: &mut Vec<Diagnostic>,
) {
    let classes = || site.classes.iter().map(|c| c.name.value.as_str());
    let named = tenant.classes.iter().flatten();
    for class in named.filter(|c| classes().all(|known| known != c.value)) {
        found.push(unknown_name(
            app_file,
            Code::NoSuchClass,
            "class",
            class,
            classes(),
        ));
    }
}

fn check_tenant_accounts(
    app_file: &InFile<Application>,
    tenant: &Tenant,
    found: &mut Vec<Diagnostic>,
) {
    let is_own = |id: u64| {
        app_file
            .content
            .accounts
            .iter()
            .any(|own| own.id.value == id)
    };
    for id in tenant.accounts.iter().filter(|id| !is_own(id.value)) {
        let message = format!(
            "account {:016x} of tenant \"{}\" is not the application's",
            id.value, tenant.name.value
        );
        found.push(app_file.diagnostic(Code::NotItsAccount, id, message));
    }
}
