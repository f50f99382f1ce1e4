//! `wrenctl witness`: runs a group member that votes but serves no requests.

use crate::change::failed;
use clap::Args;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use std::path::PathBuf;
use std::process::ExitCode;
use wrenfork_commit::metrics::IngressMetrics;
use wrenfork_commit::participant::ParticipantState;
use wrenfork_commit::protocol::AuditRecord;
use wrenfork_commit::state::State;
use wrenfork_config::group::group;
use wrenfork_config::set::Set;
use wrenfork_control_plane::durable_state::DurableState;
use wrenfork_control_plane::group::{GroupConfig, WithoutLease};
use wrenfork_control_plane::{socket, ControlServer, DataPlane, DataPlaneError, ServerConfig};
use wrenfork_rollout::MemberMetrics;

/// Maximum bytes of a message: a group state contains the whole policy, with up to some hundred thousand accounts.
const MAX_MESSAGE_BYTES: usize = 64 << 20;

#[derive(Args)]
pub struct Options {
    /// The application's file, which has the roster
    #[arg(value_name = "FILE")]
    app: PathBuf,
    /// The site's file; site.toml beside the application's without it
    #[arg(long, value_name = "FILE")]
    site: Option<PathBuf>,
    /// The witness, where the file has several
    #[arg(long, value_name = "NAME")]
    name: Option<String>,
    /// The folder for its promises, in place of the file's
    #[arg(long, value_name = "DIR")]
    state: Option<PathBuf>,
}

/// A data plane without requests: every state is accepted and none is enforced.
struct Witness;

impl DataPlane for Witness {
    fn check(&self, _: &State) -> Result<(), DataPlaneError> {
        Ok(())
    }

    fn activate(&self, _: &State) -> Result<(), DataPlaneError> {
        Ok(())
    }

    fn ingress_metrics(&self) -> IngressMetrics {
        IngressMetrics::default()
    }

    fn member_metrics(&self) -> MemberMetrics {
        MemberMetrics::default()
    }

    fn log(&self, record: &AuditRecord) {
        let AuditRecord {
            event,
            author,
            change,
            generation,
            detail,
            ..
        } = record;
        let detail = if detail.is_empty() {
            String::new()
        } else {
            format!(": {detail}")
        };
        eprintln!(
            "{event}{detail} (generation {generation}, change {change}, by {author:?})",
            change = change.short()
        );
    }
}

pub fn main(options: &Options) -> ExitCode {
    match run(options) {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => failed(why),
    }
}

fn run(options: &Options) -> Result<(), String> {
    let default_site = || {
        options
            .app
            .parent()
            .unwrap_or(std::path::Path::new(""))
            .join("site.toml")
    };
    let set = Set::read([
        options.site.clone().unwrap_or_else(default_site),
        options.app.clone(),
    ]);
    if set.refused() {
        crate::config::print::text(&set);
        return Err(format!("{} has errors", options.app.display()));
    }
    let apps = set.applications();
    let [app] = &apps[..] else {
        return Err(format!(
            "{} is not an application file",
            options.app.display()
        ));
    };
    let group_config = group(app.content).ok_or("the application has no roster")?;
    let witnesses: Vec<_> = group_config.members.iter().filter(|m| !m.serves).collect();
    let named = |name: &String| witnesses.iter().find(|m| m.short == *name).copied();
    let witness = match (&options.name, &witnesses[..]) {
        (Some(name), _) => named(name).ok_or_else(|| format!("the file has no witness {name}"))?,
        (None, [only]) => *only,
        (None, []) => return Err("the application has no witness: add a [[witness]]".into()),
        (None, _) => {
            return Err("the application has several witnesses: name one with --name".into())
        }
    };
    let folder = options
        .state
        .clone()
        .or_else(|| witness.state.clone())
        .ok_or("the witness has no state folder: add --state DIR")?;
    let mut signals = Signals::new([SIGTERM, SIGINT])
        .map_err(|e| format!("cannot register signal handlers: {e}"))?;
    let durable = DurableState::open(Some(&folder), || ParticipantState::new(1, State::default()))
        .map_err(|error| format!("state: {error}"))?;
    let socket =
        socket::listen(&witness.control, 0o600).map_err(|error| format!("control: {error}"))?;
    let control_sockets = group_config.links(&witness.name);
    let group = GroupConfig {
        initial_members: group_config.initial_membership(),
        control_sockets,
        without_lease: WithoutLease::Reject,
        inherited_lease: None,
    };
    let server = ControlServer::start(ServerConfig {
        name: witness.name.clone(),
        socket,
        durable,
        data_plane: Witness,
        max_message_bytes: MAX_MESSAGE_BYTES,
        group: Some(group),
    })
    .map_err(|error| error.to_string())?;
    eprintln!(
        "witness {} listens at {}",
        witness.name,
        witness.control.display()
    );
    let _ = signals.forever().next();
    server.close();
    Ok(())
}
