//! Ingresses that form a group: their site and application files, and the links between them.

use crate::arrivals::Accounts;
use crate::links::{self, Links};
use crate::scenario::{Effect, Group as GroupSpec, LinkFault, Scenario};
use std::fmt::Write as _;
use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// The name of the application and of the site.
const APP_NAME: &str = "fleet";

/// The addresses of a member.
pub struct MemberAddresses {
    /// The listener for clients.
    pub listen: SocketAddr,
    /// The discovery agent of the member.
    pub discovery: SocketAddr,
    /// The socket for messages of peers.
    pub peers: SocketAddr,
}

/// The members of a scenario's group.
pub struct Group {
    app: PathBuf,
    links: Links,
}

fn member(ingress: usize) -> String {
    format!("n{ingress}")
}

impl Group {
    /// Writes the files of a group into a folder, and opens the links between its members.
    ///
    /// # Errors
    ///
    /// If a file cannot be written or a socket cannot be opened.
    pub fn open(
        s: &Scenario,
        spec: &GroupSpec,
        members_at: &[MemberAddresses],
        dir: &Path,
    ) -> io::Result<Group> {
        let names: Vec<String> = (0..members_at.len()).map(member).collect();
        let names: Vec<&str> = names.iter().map(String::as_str).collect();
        let members: Vec<(&str, PathBuf)> = names.iter().map(|n| (*n, control(dir, n))).collect();
        let links = Links::open(&dir.join("l"), &names, &members)?;
        let app = dir.join("fleet.toml");
        fs::write(dir.join("site.toml"), site(s))?;
        fs::write(&app, application(s, spec, members_at, dir, &links))?;
        Ok(Group { app, links })
    }

    /// The command-line arguments of an ingress.
    pub fn arguments(&self, ingress: usize) -> Vec<String> {
        let app = self.app.display().to_string();
        vec!["--app".into(), app, "--sidecar".into(), member(ingress)]
    }

    /// Sets the fault of the links from some members to others; `None` restores the links.
    pub fn fail(&self, from: &[usize], to: &[usize], fault: Option<LinkFault>) {
        let fault = fault.map(|f| match f {
            LinkFault::Dropped => links::Fault::Dropped,
            LinkFault::Refused => links::Fault::Refused,
            LinkFault::Reset(byte) => links::Fault::Reset(byte as usize),
            LinkFault::Late(by) => links::Fault::Late(Duration::from_micros(by)),
            LinkFault::OneWay => links::Fault::OneWay,
        });
        for (a, b) in from
            .iter()
            .flat_map(|a| to.iter().map(move |b| (*a, *b)))
            .filter(|(a, b)| a != b)
        {
            self.links.set(&member(a), &member(b), fault);
        }
    }
}

fn control(dir: &Path, name: &str) -> PathBuf {
    dir.join(format!("{name}.control"))
}

fn us(span: u64) -> String {
    format!("\"{span}us\"")
}

/// The site file: halls, classes and plans.
fn site(s: &Scenario) -> String {
    let halls: Vec<String> = s.network.halls.iter().map(|h| format!("{h:?}")).collect();
    let mut text = format!(
        "version = 1\nkind = \"site\"\nname = \"{APP_NAME}\"\nhalls = [{}]\n\n[limits]\nretry-after = \"2s\"\n\
         second-copies = {}\nprobes = true\ntick = {}\nmessages = {}\n\n[rules]\ndrain-grace = {}\n",
        halls.join(", "),
        s.network.second_copies,
        us(s.network.tick),
        s.network.peer_in_per_s,
        us(s.network.drain_grace),
    );
    for c in &s.classes {
        let effect = match c.effect {
            Effect::Safe => "effect = \"safe\"".to_string(),
            Effect::Keyed { all, window } => {
                let group = if all { "all" } else { "group" };
                format!(
                    "effect = \"keyed\"\ngroup = \"{group}\"\nwindow = {}",
                    us(window)
                )
            }
            Effect::Unsafe => "effect = \"unsafe\"".to_string(),
        };
        let (wanted, deadline) = (us(c.aim), us(c.deadline));
        let _ = write!(
            text,
            "\n[[class]]\nname = {:?}\n{effect}\nwanted = {wanted}\ndeadline = {deadline}\nworth = {}\nunits = {}\n",
            c.name, c.worth, c.units
        );
    }
    for p in &s.plans {
        let _ = write!(
            text,
            "\n[[plan]]\nname = {:?}\nquota = \"{}/s\"\nburst = {}\nprice = {}\nbeyond-costs = {}\n",
            p.name, p.rate, p.burst, p.price, p.beyond_costs
        );
        if p.ceiling > 0.0 {
            let _ = write!(
                text,
                "never-over = \"{}/s\"\nnever-over-burst = {}\n",
                p.ceiling, p.ceiling_burst
            );
        }
    }
    text
}

/// The application file: the group, its members and accounts.
fn application(
    s: &Scenario,
    spec: &GroupSpec,
    members_at: &[MemberAddresses],
    dir: &Path,
    links: &Links,
) -> String {
    let sends: Vec<String> = s.classes.iter().map(|c| format!("{:?}", c.name)).collect();
    let alone = if spec.as_known { "as-known" } else { "refuse" };
    let mut text = format!(
        "version = 1\nkind = \"application\"\nname = \"{APP_NAME}\"\nsite = \"{APP_NAME}\"\nsends = [{}]\n\n[limits]\n\
         memory = \"{}MiB\"\ndescriptors = {}\ncores = {}\n\n[roster]\nlease = {}\nalone = \"{alone}\"\n",
        sends.join(", "),
        s.ingresses.memory_mb,
        s.ingresses.descriptors,
        s.ingresses.cores.min(1.0),
        us(spec.lease),
    );
    for (n, addresses) in members_at.iter().enumerate() {
        let (name, hall) = (member(n), &s.network.halls[n % s.network.halls.len()]);
        let (control, state) = (control(dir, &name), dir.join(format!("{name}.state")));
        let (folder, [listen, discovery, peers]) = (
            links.folder(&name),
            [addresses.listen, addresses.discovery, addresses.peers],
        );
        let _ = write!(
            text,
            "\n[[sidecar]]\nname = \"{name}\"\nhall = {hall:?}\nlisten = \"{listen}\"\ndiscovery = \"{discovery}\"\n\
             peers = \"{peers}\"\ncontrol = {control:?}\nstate = {state:?}\nlinks = {folder:?}\n"
        );
    }
    let accounts = Accounts::new(s);
    for account in 0..s.clients.accounts {
        let (id, plan) = (
            u64::from(account) + 1,
            &s.plans[accounts.plan(account)].name,
        );
        let _ = write!(text, "\n[[account]]\nid = \"{id:016x}\"\nplan = {plan:?}\n");
    }
    text
}
