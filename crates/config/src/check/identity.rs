//! Who may call.

use super::findings::{quoted, twice, unknown, In};
use crate::callers;
use crate::codes::Code;
use crate::diagnostic::Diagnostic;
use crate::model::{Application, Identity, Issuer, Site, Tenant};
use wrenfork_identity::token::format_time;
use wrenfork_identity::trust::RotationProblem;

/// Who may call: names once, keys without a gap, and accounts and classes that there are. Whether tenants' accounts must
/// be the application's own is `own`.
pub(super) fn identity(a: &In<Application>, site: &Site, own: bool, found: &mut Vec<Diagnostic>) {
    let Some(identity) = &a.content.identity else {
        return;
    };
    let issuers = identity.issuers.iter().map(|i| quoted(&i.name));
    twice(a, "issuer", issuers, found);
    let tenants = identity.tenants.iter().map(|t| quoted(&t.name));
    twice(a, "tenant", tenants, found);
    for issuer in &identity.issuers {
        twice(a, "key", issuer.keys.iter().map(|k| quoted(&k.name)), found);
        rotation(a, identity, issuer, found);
    }
    for tenant in &identity.tenants {
        tenant_classes(a, site, tenant, found);
        if own {
            tenant_accounts(a, tenant, found);
        }
    }
}

/// The keys of an issuer follow each other without a gap.
fn rotation(
    a: &In<Application>,
    identity: &Identity,
    issuer: &Issuer,
    found: &mut Vec<Diagnostic>,
) {
    let name = &issuer.name.value;
    let mut trust = callers::trust(identity);
    trust.issuers.retain(|i| i.name == *name);
    // From the first key's start on: there is no clock here, and a gap is one whenever it comes.
    let start = issuer.keys.iter().map(|k| k.from).min().unwrap_or(0);
    for problem in trust.rotation_problems(start) {
        let message = match &problem {
            RotationProblem::Gap(_, at) => {
                format!("issuer \"{name}\" has no key from {} on", format_time(*at))
            }
            RotationProblem::EmptyPeriod(_, key) => format!("key \"{key}\" ends before it begins"),
            RotationProblem::NoKey(_) | RotationProblem::DuplicateKey(..) => continue,
        };
        found.push(a.wrong(Code::NoKeyNow, &issuer.name, message));
    }
}

fn tenant_classes(a: &In<Application>, site: &Site, tenant: &Tenant, found: &mut Vec<Diagnostic>) {
    let classes = || site.classes.iter().map(|c| c.name.value.as_str());
    let named = tenant.classes.iter().flatten();
    for class in named.filter(|c| classes().all(|known| known != c.value)) {
        found.push(unknown(a, Code::NoSuchClass, "class", class, classes()));
    }
}

fn tenant_accounts(a: &In<Application>, tenant: &Tenant, found: &mut Vec<Diagnostic>) {
    let is_own = |id: u64| a.content.accounts.iter().any(|own| own.id.value == id);
    for id in tenant.accounts.iter().filter(|id| !is_own(id.value)) {
        let message = format!(
            "account {:016x} of tenant \"{}\" is not the application's",
            id.value, tenant.name.value
        );
        found.push(a.wrong(Code::NotItsAccount, id, message));
    }
}
