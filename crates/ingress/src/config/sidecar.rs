//! Reads the configuration files of a sidecar.

use super::error::ConfigError;
use super::source::SidecarFiles;
use super::{Config, ControlConfig};
use std::hash::{BuildHasher, RandomState};
use std::path::{Path, PathBuf};
use wrenfork_config::model::Application;
use wrenfork_config::reader::At;
use wrenfork_config::set::Set;
use wrenfork_config::{enforced, group};
use wrenfork_control_plane::group::{GroupConfig, WithoutLease};

impl Config {
    /// Reads the files of a sidecar. If they are refused, the error has one line for each problem.
    pub(super) fn read_sidecar(files: &SidecarFiles) -> Result<Config, ConfigError> {
        let set = Set::read(paths(files));
        if set.refused() {
            return Err(ConfigError::SidecarFiles(findings(&set)));
        }
        let apps = set.applications();
        let (Some(site), [app]) = (set.site(), &apps[..]) else {
            let path = files.app.display().to_string();
            return Err(ConfigError::NotAnApplication(path));
        };
        let (site, app) = (site.content, app.content);
        let name = sidecar_name(files, app)?;
        let fleet = set.fleet().map(|fleet| fleet.content);
        let (json, pairs) =
            enforced::sidecar(app, site, fleet, name).map_err(ConfigError::setting)?;
        let mut config = Config::from_json(&json, pairs, |_| None)?;
        config.platform_only = false;
        config.seed = RandomState::new().hash_one(name);
        config.control = control(app, name);
        Ok(config)
    }
}

/// Paths of all files, in the order site, application, fleet snapshot.
fn paths(files: &SidecarFiles) -> impl Iterator<Item = PathBuf> {
    let site = files.site.clone().unwrap_or_else(|| {
        let folder = files.app.parent().unwrap_or(Path::new(""));
        folder.join("site.toml")
    });
    [site, files.app.clone()]
        .into_iter()
        .chain(files.fleet.clone())
}

/// Formats the problems for which the files are refused, one per line.
fn findings(set: &Set) -> String {
    let refusing = set.found.iter().filter(|d| d.refused());
    let lines: Vec<String> = refusing.map(|d| d.line(&set.sources)).collect();
    lines.join("\n")
}

/// Name of the sidecar that this ingress runs as.
fn sidecar_name<'a>(
    files: &'a SidecarFiles,
    app: &'a Application,
) -> Result<&'a String, ConfigError> {
    match (&files.sidecar, &app.sidecars[..]) {
        (Some(name), _) => Ok(name),
        (None, [only]) => Ok(&only.name.value),
        (None, _) => Err(ConfigError::SidecarNotNamed),
    }
}

/// Control port of the sidecar with this name.
fn control(app: &Application, name: &str) -> ControlConfig {
    let path = |p: &Option<At<String>>| p.as_ref().map(|p| PathBuf::from(&p.value));
    let own = app.sidecars.iter().find(|s| s.name.value == *name);
    let others = app.sidecars.iter().filter(|s| s.name.value != *name);
    ControlConfig {
        name: app.member_name(name),
        socket: own.and_then(|s| path(&s.control)),
        state: own.and_then(|s| path(&s.state)),
        others: others.filter_map(|s| path(&s.control)).collect(),
        membership: membership(app, name),
    }
}

/// Group that the sidecar with this name belongs to, if any.
fn membership(app: &Application, name: &str) -> Option<GroupConfig> {
    let group = group::group(app)?;
    Some(GroupConfig {
        initial_members: group.initial_membership(),
        control_sockets: group.links(&app.member_name(name)),
        without_lease: if group.as_known {
            WithoutLease::ServeLastKnown
        } else {
            WithoutLease::Reject
        },
        inherited_lease: None,
    })
}
