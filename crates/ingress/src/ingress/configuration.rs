//! Configuration changes, applied through the control port or reloaded from files on SIGHUP.

use super::Ingress;
use crate::config::ActiveConfig;
use crate::control::{ControlCommand, ControlPort, NewConfig, PendingControlServer};
use crate::reload::Reload;
use crate::request_metrics::RequestEnd;
use crate::routing::EndpointWork;
use crate::timers::Due;
use crate::variant::Variant;
use std::collections::BTreeMap;
use wrenfork_commit::metrics::{IngressMetrics, PlanUsage};
use wrenfork_control_plane::clock;
use wrenfork_decision::{BackendId, EndpointListKind, Event};
use wrenfork_rollout::MemberMetrics;
use wrenfork_wire::call::Vocabulary;

impl<V: Variant> Ingress<V> {
    /// Executes the commands of the control threads. Called between two turns.
    pub(super) fn take_control_commands(&mut self) {
        let pending = self.pending_control.as_ref();
        if let Some(ready) = pending.and_then(PendingControlServer::take_ready_port) {
            self.pending_control = None;
            self.clients.admission = ready.port.admission_guard();
            self.control = Some(ready.port);
            if let Some(stored) = ready.stored {
                drop(self.apply_state(stored));
            }
        }
        let commands = self.control.as_ref().map(ControlPort::commands);
        self.execute_commands(commands.unwrap_or_default());
    }

    pub(super) fn execute_commands(&mut self, commands: Vec<ControlCommand>) {
        for command in commands {
            // Sending the answer fails if the control thread has timed out. That is harmless: only the answer is lost.
            match command {
                ControlCommand::Apply(config, reply) => {
                    let replaced = self.apply_state(config);
                    let _ = reply.send(replaced);
                }
                ControlCommand::ReportIngressMetrics(reply) => {
                    drop(reply.send(self.ingress_metrics()))
                }
                ControlCommand::ReportCohortMetrics(reply) => {
                    let _ = reply.send(self.member_metrics());
                }
            }
        }
    }

    fn apply_state(&mut self, config: NewConfig) -> Vocabulary {
        self.reloader.set_enforced(config.state.0);
        self.apply_config(*config.compiled)
    }

    /// Enforces another configuration and returns the replaced vocabulary. Open requests finish under the configuration with
    /// which they arrived.
    pub(super) fn apply_config(&mut self, active: ActiveConfig) -> Vocabulary {
        let longest_deadline = active.longest_deadline();
        let settings = active.settings;
        self.clients.set_callers(active.callers);
        self.limits.max_attempts = settings.limits.max_attempts as usize;
        self.limits.connect_timeout = active.connect_timeout;
        self.requests
            .set_max_open(settings.limits.max_pending as usize);
        self.backends
            .set_timeouts(active.connect_timeout, active.keepalive);
        self.shutdown.allow_deadline(longest_deadline);
        self.cohort_metrics
            .set_weights(&settings, &self.clients.vocabulary);
        let replaced = std::mem::replace(&mut self.clients.vocabulary, active.vocabulary);
        self.metrics
            .set_classes(self.clients.vocabulary.class_names());
        if self.discovery.address() != active.discovery {
            self.discovery.move_to(active.discovery, self.now);
        }
        self.events
            .push_back(Event::SettingsChanged(Box::new(settings)));
        // Report the pool membership of the endpoints directly after the settings that define the pools.
        if let Some(endpoints) = self.routing.set_table(active.routes) {
            let event = Event::EndpointsChanged(EndpointListKind::Full, endpoints);
            self.events.push_back(event);
        }
        self.process_events();
        replaced
    }

    /// Reads the configuration files again and enforces the result, or schedules a retry if the files can't be read yet.
    pub(super) fn reload(&mut self) {
        match self.reloader.read(self.now) {
            Reload::Apply(active) => drop(self.apply_config(*active)),
            Reload::RetryAt(at) => self.timers.set(at, Due::Reload),
            Reload::Nothing => {}
        }
        let counts = self.reloader.counts();
        self.metrics.config_accepted = counts.accepted;
        self.metrics.config_refused = counts.refused;
    }

    /// The metrics by which versions are compared in a rollout. Processor time is that of the event loop: other threads answer
    /// operators and renew leases, which costs the same however many requests there are.
    fn member_metrics(&mut self) -> MemberMetrics {
        MemberMetrics {
            cpu_us: clock::thread_cpu_time().as_micros() as u64,
            ..self.cohort_metrics.report(&self.clients.vocabulary)
        }
    }

    /// The usage metrics against which a planned change is checked.
    fn ingress_metrics(&self) -> IngressMetrics {
        IngressMetrics {
            received: self.metrics.admitted,
            served: self.metrics.total(RequestEnd::Served),
            rejected: self.metrics.total(RequestEnd::Rejected),
            failed: self.metrics.total(RequestEnd::Failed),
            plans: self.plan_usage(),
            nodes: self.routing.endpoints(|id| self.endpoint_work(id)),
        }
    }

    /// Usage of each plan that has customers, by plan name.
    fn plan_usage(&self) -> BTreeMap<String, PlanUsage> {
        let names = self.clients.vocabulary.plans.iter();
        let plans = names.zip(self.gateway.plan_usage());
        let used = plans.filter(|(name, usage)| !name.is_empty() && usage.customers > 0);
        let usage = used.map(|(name, usage)| {
            let plan = PlanUsage {
                customers: usage.customers,
                rate: usage.rate,
                open_attempts: usage.in_flight,
            };
            (name.clone(), plan)
        });
        usage.collect()
    }

    fn endpoint_work(&self, id: BackendId) -> EndpointWork {
        let status = self.gateway.backend_status(id);
        let classes = &self.clients.vocabulary.classes;
        let names = status
            .ejected_for
            .into_iter()
            .filter_map(|class| classes.get(class));
        EndpointWork {
            takes_work: status.accepts_work,
            ejected_for: names.map(|class| class.name.clone()).collect(),
        }
    }
}
