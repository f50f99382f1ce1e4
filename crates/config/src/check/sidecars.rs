//! Checks the sidecars of an application.

use super::findings::{quoted, report_duplicates, unknown_name, InFile};
use crate::codes::Code;
use crate::diagnostic::Diagnostic;
use crate::model::{Application, Site};
use crate::values::Listener;

/// Checks sidecars against the halls of the site, and their addresses.
pub(super) fn sidecars(app_file: &InFile<Application>, site: &Site, found: &mut Vec<Diagnostic>) {
    let app = app_file.content;
    report_duplicates(
        app_file,
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
            found.push(unknown_name(
                app_file,
                Code::NoSuchHall,
                "hall",
                hall,
                halls(),
            ));
        }
        let listens_on_tcp = matches!(
            sidecar.listen.as_ref().map(|l| &l.value),
            Some(Listener::Tcp(_))
        );
        if let Some(user) = sidecar.users.first().filter(|_| listens_on_tcp) {
            let message = format!(
                "sidecar \"{}\" can't tell whose a connection is",
                sidecar.name.value
            );
            let diagnostic = app_file.diagnostic(Code::IdleUsers, user, message);
            found.push(diagnostic.help("listen = \"unix:/run/...\" can, or take users out"));
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
            let diagnostic = app_file.diagnostic(Code::AddressTwice, own, message);
            found.push(diagnostic.help("discovery is another program's address"));
        }
        if app.sidecars.len() > 1 && sidecar.peers.is_none() {
            let message = format!(
                "sidecar \"{}\" can't be told what the others let through",
                sidecar.name.value
            );
            let diagnostic =
                Diagnostic::new(Code::NoPeer, app_file.place(&sidecar.name.span), message);
            found.push(diagnostic.help("add peers = \"127.0.0.1:7946\", an address of its own"));
        }
    }
}
