//! The loop's end of the control side: orders that its threads send, taken between two turns, and the start of those threads.

use crate::config::{compile, Config, Control, Enforced};
use crate::gate::Gate;
use mio::{Registry, Token, Waker};
use std::hash::{BuildHasher, RandomState};
use std::path::Path;
use std::sync::mpsc::{channel, sync_channel, Receiver, Sender, SyncSender};
use std::sync::Arc;
use std::time::{Duration, Instant};
use wrenfork_commit::metrics::IngressMetrics;
use wrenfork_commit::participant::ParticipantState;
use wrenfork_commit::protocol::{AuditRecord, CommitRequest, CommitResponse};
use wrenfork_commit::state::{Generation, State};
use wrenfork_config::enforced::Told;
use wrenfork_control_plane::durable_state::DurableState;
use wrenfork_control_plane::group::InheritedLease;
use wrenfork_control_plane::{
    client, clock, socket, ControlServer, DataPlane, DataPlaneError, ServerConfig,
    PROGRAM_VARIABLE, REPLACEMENT_VARIABLE,
};
use wrenfork_rollout::MemberMetrics;
use wrenfork_wire::call::Vocabulary;

/// How long the loop may take to its next turn before an order counts as lost: far longer than any turn.
const TURN: Duration = Duration::from_secs(30);
/// How long another ingress may take to say what it enforces, at a start without a folder.
const OTHERS: Duration = Duration::from_secs(1);
/// The thread that follows another process reads what is kept; nothing there goes deep.
const STACK: usize = 512 << 10;
/// The part of the memory that one message may take: it is parsed, and a promise is kept beside what is enforced.
const MESSAGE_SHARE: usize = 8;

/// What the loop is to do between two turns.
pub enum Order {
    /// Enforce this from now on, which is what a state says.
    Switch(Box<Enforced>, Box<State>, SyncSender<Vocabulary>),
    /// Tell how it goes.
    Figures(SyncSender<IngressMetrics>),
    /// Tell what was counted.
    Tally(SyncSender<MemberMetrics>),
}

/// The loop's end.
pub struct Port {
    orders: Receiver<Order>,
    server: ControlServer<Loop>,
}

impl Port {
    /// Orders that have come.
    pub fn orders(&self) -> Vec<Order> {
        self.orders.try_iter().collect()
    }

    /// What stands before requests.
    pub fn gate(&self) -> Gate {
        Gate::of(self.server.lease_guard())
    }

    /// Passes the control side on with all else, see [`ControlServer::hand_over`].
    ///
    /// # Errors
    ///
    /// Where all goes on as before.
    pub fn hand_over<T>(
        &self,
        mut meanwhile: impl FnMut(Vec<Order>),
        give: impl FnOnce(Option<InheritedLease>) -> Result<T, String>,
    ) -> Result<T, String> {
        self.server
            .hand_over(|| meanwhile(self.orders()), give)
            .map_err(|error| error.to_string())
    }

    /// Ends the control side.
    pub fn close(self) {
        self.server.close();
    }
}

/// The loop, as the control threads see it.
struct Loop {
    fixed: Vec<(String, String)>,
    orders: Sender<Order>,
    waker: Arc<Waker>,
    /// This process's life, and when it began.
    life: u64,
    began: Instant,
}

impl Loop {
    /// The name of the hall that it stands in.
    fn hall(&self) -> Option<&str> {
        let told = |key: &str| {
            self.fixed
                .iter()
                .find(|(k, _)| k == key)
                .map(|(_, value)| value.as_str())
        };
        told("zones")?.split(',').nth(told("zone")?.parse().ok()?)
    }

    fn order<T>(&self, make: impl FnOnce(SyncSender<T>) -> Order) -> Result<T, String> {
        let (done, answer) = sync_channel(1);
        self.orders.send(make(done)).map_err(|_| "it is stopping")?;
        self.waker
            .wake()
            .map_err(|e| format!("the loop can't be woken: {e}"))?;
        answer
            .recv_timeout(TURN)
            .map_err(|_| "the loop does not turn".to_string())
    }
}

impl DataPlane for Loop {
    fn check(&self, state: &State) -> Result<(), DataPlaneError> {
        compile(&self.fixed, state)
            .map(|_| ())
            .map_err(DataPlaneError::InvalidState)
    }

    fn activate(&self, state: &State) -> Result<(), DataPlaneError> {
        let enforced = compile(&self.fixed, state).map_err(DataPlaneError::InvalidState)?;
        // What was in its place comes back, to be dropped here: of 100,000 accounts that takes the loop some milliseconds.
        let state = Box::new(state.clone());
        self.order(|done| Order::Switch(Box::new(enforced), state, done))
            .map(drop)
            .map_err(DataPlaneError::Unavailable)
    }

    fn figures(&self) -> IngressMetrics {
        self.order(Order::Figures).unwrap_or_default()
    }

    fn member_metrics(&self) -> MemberMetrics {
        let counted = self.order(Order::Tally).unwrap_or_default();
        MemberMetrics {
            program: self.running_program().unwrap_or_default(),
            is_replacement: told(REPLACEMENT_VARIABLE).is_some(),
            incarnation: self.life,
            uptime_ms: self.began.elapsed().as_millis() as u64,
            zone_group: self.hall().unwrap_or_default().to_string(),
            cpu_us: clock::cpu_time().as_micros() as u64,
            memory_kb: resident_kb(),
            ..counted
        }
    }

    fn running_program(&self) -> Option<String> {
        told(PROGRAM_VARIABLE)
    }

    fn log(&self, record: &AuditRecord) {
        let AuditRecord {
            event: what,
            author,
            change,
            generation,
            detail: why,
            ..
        } = record;
        let change = change.short();
        if why.is_empty() {
            tracing::info!(
                change,
                generation,
                author = author.as_str(),
                "control: {what}"
            );
        } else {
            tracing::warn!(
                change,
                generation,
                author = author.as_str(),
                "control: {what}: {why}"
            );
        }
    }
}

/// What whoever keeps this process tells it by the environment.
fn told(variable: &str) -> Option<String> {
    std::env::var(variable).ok().filter(|v| !v.is_empty())
}

/// Kilobytes of memory that this process holds; nought where the system does not tell.
fn resident_kb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    line.and_then(|l| l.split_whitespace().next()?.parse().ok())
        .unwrap_or(0)
}

/// What the control side keeps, and what is therefore enforced from the start on.
pub struct Kept {
    control: Control,
    fixed: Vec<(String, String)>,
    durable: DurableState,
    most: usize,
}

/// The control side of a process that another one handed over to: it comes once that has let go of the folder and the socket.
/// Until then the loop serves on by the right that it was passed.
pub struct Coming(Receiver<(Port, Option<Stands>)>);

/// What is kept and has to be enforced, with what it says.
pub type Stands = (Box<Enforced>, Box<State>);

impl Coming {
    /// It, once it is there; and what is kept, where that is not what was handed over.
    pub fn take(&self) -> Option<(Port, Option<Stands>)> {
        self.0.try_recv().ok()
    }
}

/// Between two tries at what another process lets go of, the first and the longest.
const AGAIN: (Duration, Duration) = (Duration::from_millis(2), Duration::from_millis(500));

/// Whether an ingress has a control side.
pub fn wanted(config: &Config) -> bool {
    config.control.socket.is_some() || config.control.state.is_some()
}

/// Opens what is kept and serves the control socket as soon as the process before has let go of both; the loop enforces what it was
/// `told` by then.
///
/// # Errors
///
/// Where no thread can be had.
pub fn follow(
    config: &Config,
    told: &Told,
    right: Option<InheritedLease>,
    registry: &Registry,
    token: Token,
) -> Result<Coming, String> {
    let waker = Waker::new(registry, token).map_err(|e| format!("control: no waker: {e}"))?;
    // What is fixed from the start on is what the loop goes on with, whatever the files say by now.
    let (fixed, state) = (told.fixed.clone(), State(told.state.clone()));
    let (mut control, most) = (config.control.clone(), config.memory / MESSAGE_SHARE);
    let (sender, coming) = channel();
    let waker = Arc::new(waker);
    if let Some(membership) = &mut control.membership {
        membership.inherited_lease = right;
    }
    let begin = move || {
        let (mut pause, mut told) = (AGAIN.0, false);
        loop {
            let first = || ParticipantState::new(1, state.clone());
            let durable = DurableState::open(control.state.as_deref(), first)
                .map_err(|error| format!("state: {error}"));
            let kept = durable.map(|durable| Kept {
                control: control.clone(),
                fixed: fixed.clone(),
                durable,
                most,
            });
            match kept.and_then(|kept| kept.resume(&state, waker.clone())) {
                Ok(Some(come)) => {
                    // Nobody takes it any more where the ingress has ended meanwhile.
                    let _ = sender.send(come);
                    let _ = waker.wake();
                    return;
                }
                Ok(None) => return,
                Err(why) if pause >= AGAIN.1 && !std::mem::replace(&mut told, true) => {
                    tracing::warn!("control: {why}; trying again");
                }
                Err(_) => {}
            }
            std::thread::sleep(pause);
            pause = (pause * 2).min(AGAIN.1);
        }
    };
    let thread = std::thread::Builder::new()
        .name("control".into())
        .stack_size(STACK);
    thread
        .spawn(begin)
        .map_err(|e| format!("control: no thread: {e}"))?;
    Ok(Coming(coming))
}

/// Opens what is kept, and has the configuration say what was enforced last: the files say what is wanted, and that is
/// applied or not.
///
/// # Errors
///
/// Where the folder can't be used, or what is kept there can't be enforced by this program.
pub fn open(config: &mut Config) -> Result<Option<Kept>, String> {
    if !wanted(config) {
        return Ok(None);
    }
    let (control, own) = (config.control.clone(), State(config.told.state.clone()));
    // A group says itself what stands, and nothing is served before it has.
    let first = || {
        if control.membership.is_some() {
            ParticipantState::new(1, own.clone())
        } else {
            first(&control, &own)
        }
    };
    let durable = DurableState::open(control.state.as_deref(), first)
        .map_err(|error| format!("state: {error}"))?;
    let memory = durable.memory();
    let Generation { number, digest } = &memory.enforced;
    if *memory.state != own {
        tracing::warn!(
            generation = number,
            digest = digest.short(),
            "control: enforcing what was applied last, not the files"
        );
    }
    config.enforced = compile(&config.told.fixed, &memory.state).map_err(|why| {
        format!("state: generation {number}, which was enforced last, can't be: {why}")
    })?;
    config.told.state = memory.state.0.clone();
    tracing::info!(
        generation = number,
        digest = digest.short(),
        "control: enforcing"
    );
    if let Some(promise) = memory.prepared.as_ref().map(|p| &p.vote) {
        let (change, author) = (promise.change.short(), promise.author.as_str());
        tracing::warn!(
            change,
            author,
            "control: a change is promised and not decided; wrenctl apply --resume ends it"
        );
    }
    let most = config.memory / MESSAGE_SHARE;
    Ok(Some(Kept {
        control,
        fixed: config.told.fixed.clone(),
        durable,
        most,
    }))
}

/// What an ingress begins with that has nothing kept: what the others enforce, since what was applied there was applied here.
/// A change that they have only promised is not decided: what was enforced before it is the safest, as all have kept to it.
fn first(control: &Control, own: &State) -> ParticipantState {
    let asked = control.others.iter().filter_map(|at| status(at));
    match asked
        .max_by_key(|(generation, _)| generation.number)
        .filter(|(g, _)| g.number > 1)
    {
        Some((generation, state)) => {
            tracing::info!(
                generation = generation.number,
                "control: nothing was kept; taken from another ingress"
            );
            ParticipantState::new(generation.number, state)
        }
        None => ParticipantState::new(1, own.clone()),
    }
}

fn status(at: &Path) -> Option<(Generation, Arc<State>)> {
    match client::request(at, &CommitRequest::Status, OTHERS) {
        Ok(CommitResponse::Status {
            generation, state, ..
        }) if state.digest() == generation.digest => Some((generation, state)),
        _ => None,
    }
}

impl Kept {
    /// Serves the control socket, if there is one; the loop is woken by a token.
    ///
    /// # Errors
    ///
    /// Where the socket can't be had.
    pub fn serve(self, registry: &Registry, token: Token) -> Result<Option<Port>, String> {
        let waker = Waker::new(registry, token).map_err(|e| format!("control: no waker: {e}"))?;
        self.listen(Arc::new(waker))
    }

    /// The same behind another process, whose loop's state is what must be enforced.
    fn resume(
        self,
        state: &State,
        waker: Arc<Waker>,
    ) -> Result<Option<(Port, Option<Stands>)>, String> {
        // What is written is enforced before anything else is done: both had been when the other process handed over. Where a
        // folder was put in another's place meanwhile, what is kept there stands.
        let kept = self.durable.memory().state.clone();
        let stands = if *kept == *state {
            None
        } else {
            tracing::warn!(
                "control: what was handed over is not what is kept, which is enforced from now on"
            );
            Some((
                Box::new(compile(&self.fixed, &kept)?),
                Box::new(State::clone(&kept)),
            ))
        };
        Ok(self.listen(waker)?.map(|port| (port, stands)))
    }

    fn listen(self, waker: Arc<Waker>) -> Result<Option<Port>, String> {
        let Some(path) = &self.control.socket else {
            return Ok(None);
        };
        let socket = socket::listen(path, 0o600).map_err(|why| format!("control: {why}"))?;
        let (sender, orders) = channel();
        let (life, began) = (RandomState::new().hash_one(0), Instant::now());
        let served = Loop {
            fixed: self.fixed,
            orders: sender,
            waker,
            life,
            began,
        };
        let server = ControlServer::start(ServerConfig {
            name: self.control.name.clone(),
            socket,
            durable: self.durable,
            data_plane: served,
            max_message_bytes: self.most,
            group: self.control.membership,
        })
        .map_err(|error| error.to_string())?;
        tracing::info!("control: listening at {}", path.display());
        Ok(Some(Port { orders, server }))
    }
}
