//! What an operator adds to an ingress that the platform's own file describes: pools and routes, the nearness of halls, and
//! where it is controlled. The same reader and the same checks as for all other files.

use crate::check;
use crate::enforced::{route, Pairs};
use crate::locality::ways_from;
use crate::set::Set;
use std::path::{Path, PathBuf};

/// What such a file says.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Operator {
    /// Pools, routes and callers, as keys and values of what is enforced.
    pub ways: Pairs,
    /// The control socket.
    pub control: Option<PathBuf>,
    /// The folder for what must not be forgotten.
    pub state: Option<PathBuf>,
    /// The file that says what became of the last reload.
    pub status: Option<PathBuf>,
}

/// Reads and checks the file beside the platform's halls and classes, for an ingress that stands in one of the halls.
///
/// # Errors
///
/// All that is wrong, a line each.
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
    let mut wrong: Vec<String> = found
        .iter()
        .filter(|d| d.refused())
        .map(|d| d.line(&set.sources))
        .collect();
    wrong.dedup();
    if !wrong.is_empty() {
        return Err(format!("refused:\n{}", wrong.join("\n")));
    }
    let [file] = &files[..] else {
        return Err(format!("{} has no kind = \"ingress\"", path.display()));
    };
    let (site, app) = file.content.at(halls, classes);
    let (pools, routes) = ways_from(&app, &site, site.halls.get(hall));
    let mut ways = Pairs::new();
    route(&mut ways, &pools, &routes);
    app.identity
        .iter()
        .for_each(|identity| crate::callers::put(&mut ways, identity));
    let place = |p: &Option<crate::reader::At<String>>| p.as_ref().map(|p| PathBuf::from(&p.value));
    let file = file.content;
    Ok(Operator {
        ways,
        control: place(&file.control),
        state: place(&file.state),
        status: place(&file.status),
    })
}

#[cfg(test)]
mod tests;
