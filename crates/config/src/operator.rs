//! Reads an operator's file, which extends an ingress that the platform's own file describes: pools, routes, nearness
//! of halls, callers and the control socket. The reader and the checks are those of all other files.

use crate::check;
use crate::enforced::{insert_routing, Pairs};
use crate::locality::pools_and_routes_from;
use crate::set::Set;
use std::path::{Path, PathBuf};

/// Contents of an operator's file for one ingress.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Operator {
    /// Enforced state for pools, routes and callers.
    pub routing: Pairs,
    /// Path of the control socket.
    pub control: Option<PathBuf>,
    /// Folder for the state that must survive a restart.
    pub state: Option<PathBuf>,
    /// File to which the ingress writes the result of the last reload.
    pub status: Option<PathBuf>,
}

/// Reads the file and checks it against the platform's halls and classes, for an ingress in the hall with index `hall`.
///
/// # Errors
///
/// Lists every mistake, one per line.
pub fn read(
    path: &Path,
    halls: &[String],
    classes: &[String],
    hall: usize,
) -> Result<Operator, String> {
    let set = Set::read([path]);
    let mut found = set.found.clone();
    let files = set.ingresses();
    if let [file] = &files[..] {
        check::ingress(file, Some((halls, classes)), &mut found);
    }
    let mut mistakes: Vec<String> = found
        .iter()
        .filter(|d| d.refused())
        .map(|d| d.line(&set.sources))
        .collect();
    mistakes.dedup();
    if !mistakes.is_empty() {
        return Err(format!("refused:\n{}", mistakes.join("\n")));
    }
    let [file] = &files[..] else {
        return Err(format!("{} has no kind = \"ingress\"", path.display()));
    };
    let (site, app) = file.content.with_platform_names(halls, classes);
    let (pools, routes) = pools_and_routes_from(&app, &site, site.halls.get(hall));
    let mut routing = Pairs::new();
    insert_routing(&mut routing, &pools, &routes);
    app.identity
        .iter()
        .for_each(|identity| crate::callers::insert_identity(&mut routing, identity));
    let path_buf =
        |path: &Option<crate::reader::At<String>>| path.as_ref().map(|p| PathBuf::from(&p.value));
    let file = file.content;
    Ok(Operator {
        routing,
        control: path_buf(&file.control),
        state: path_buf(&file.state),
        status: path_buf(&file.status),
    })
}

#[cfg(test)]
mod tests;
