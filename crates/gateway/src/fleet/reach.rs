//! Which servers this instance reaches.

use std::borrow::Cow;
use std::net::SocketAddr;
use std::sync::Arc;

use crocushold_base::Millis;
use crocushold_base::ServerKey;
use crocushold_routing::Fault;
use crocushold_routing::Incarnation;
use crocushold_routing::ReachChange;
use crocushold_routing::ReachEvidence;
use crocushold_routing::ReachFailure;
use crocushold_routing::SoftwareKey;
use crocushold_routing::State;

use super::Choice;
use super::Fleet;
use super::Need;
use super::Server;

/// Maximum number of ejections that are kept until they are taken.
const MAX_EJECTIONS: usize = 64;

/// Maximum number of servers out of reach in a placement request. The sender checks the reply.
const MAX_UNREACHABLE: usize = 64;

/// A server that was taken out of use for failing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ejection {
    /// The server's name.
    pub id: Arc<str>,
    /// Why it was taken out of use.
    pub fault: Fault,
    /// For how long.
    pub span: Millis,
}

/// What this instance knows of its path to a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerReach {
    /// The server's name.
    pub id: Arc<str>,
    /// Its service.
    pub service: String,
    /// Its availability zone.
    pub zone: String,
    /// When the last connection to it was established, if any.
    pub connected_at: Option<Millis>,
    /// The failure since which no connection was established, if any.
    pub failure: Option<ReachFailure>,
    /// How long work takes there by its reports, in percent of the usual time: as a rule, and now.
    pub work_percent: Option<[u16; 2]>,
}

/// A server to which a connection is opened to test the path.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProbeTarget {
    /// The server's key.
    pub server: ServerKey,
    /// Its process.
    pub incarnation: Incarnation,
    /// The address it listens on.
    pub address: SocketAddr,
}

impl Fleet {
    /// Whether a server that could take the request is within reach of this instance. It is true if
    /// there is no such server at all.
    pub fn can_reach(&mut self, need: &Need, now: Millis) -> bool {
        if self.reach.reaches_all() {
            return true;
        }
        self.update_routers(now);
        let servers = self.servers.iter();
        let mut suitable = servers.filter(|(_, server)| self.is_suitable(server, need));
        let Some((first, _)) = suitable.next() else {
            return true;
        };
        self.reach.reaches(first) || suitable.any(|(key, _)| self.reach.reaches(key))
    }

    /// Whether there is a server within reach that could take the request.
    pub fn can_send(&mut self, need: &Need, now: Millis) -> bool {
        let mut servers = self.servers.values();
        servers.any(|server| self.is_suitable(server, need)) && self.can_reach(need, now)
    }

    /// Whether the server accepts requests with this need at all.
    fn is_suitable(&self, server: &Server, need: &Need) -> bool {
        let record = &server.record;
        let is_in_region = need.regions.as_ref().is_none_or(|regions| {
            let region = self.settings.regions.get(&record.zone);
            region.is_some_and(|region| regions.contains(region))
        });
        let holds = |model: &String| record.models.contains(model);
        record.service == need.service
            && need.model.as_ref().is_none_or(holds)
            && is_in_region
            && need
                .software
                .is_none_or(|required| SoftwareKey::new(&server.software) == required)
            && !server.is_leaving(&self.departures)
            && !self.evacuated.contains(&record.zone)
    }

    /// The servers that a request of this instance must not be sent to: those that were `tried`, and
    /// those out of reach, unless all are.
    pub(super) fn excluded<'a>(
        &mut self,
        need: &Need,
        tried: &'a [ServerKey],
        now: Millis,
    ) -> Cow<'a, [ServerKey]> {
        if self.reach.reaches_all() || !self.can_reach(need, now) {
            return tried.into();
        }
        let mut excluded = tried.to_vec();
        excluded.extend(self.reach.unreachable());
        excluded.into()
    }

    /// The hashes of the servers that the placer must not choose for a request of this instance:
    /// those that were `tried`, and those out of reach.
    pub fn excluded_hashes(&mut self, need: &Need, tried: &[ServerKey], now: Millis) -> Vec<u32> {
        let excluded = self.excluded(need, tried, now).into_owned();
        let servers = excluded.iter().filter_map(|key| self.servers.get(*key));
        let servers = servers.filter(|server| server.record.service == need.service);
        let hashes = servers.map(|server| server.hash);
        hashes.take(tried.len() + MAX_UNREACHABLE).collect()
    }

    /// The servers to probe after the chosen one has turned out to be out of reach.
    pub fn spread_probes(&mut self, choice: &Choice) -> Vec<ProbeTarget> {
        let usable = self.usable_servers();
        let servers = self.reach.spread_probes(choice.server, &usable);
        self.probe_targets(&servers)
    }

    /// The servers whose probes are due.
    pub fn due_probes(&mut self, now: Millis) -> Vec<ProbeTarget> {
        if self.reach.reaches_all() {
            return Vec::new();
        }
        let usable = self.usable_servers();
        let servers = self.reach.due_probes(&usable, now);
        self.probe_targets(&servers)
    }

    /// Records that a probe of the chosen server was refused at `now`.
    pub fn record_refusal(&mut self, choice: &Choice, now: Millis) -> Vec<ReachChange> {
        let target = self.probe_target(choice);
        target.map_or_else(Vec::new, |target| {
            self.record_probe(&target, false, now, now)
        })
    }

    /// Records the end of a probe that was started at `started`.
    pub fn record_probe(
        &mut self,
        target: &ProbeTarget,
        connected: bool,
        started: Millis,
        now: Millis,
    ) -> Vec<ReachChange> {
        let server = self.servers.get(target.server);
        if server.is_none_or(|server| server.incarnation != target.incarnation) {
            return Vec::new();
        }
        if connected {
            return self.reach.record_connected(target.server, now);
        }
        self.record_unreachable(target.server, started, ReachEvidence::Probe)
    }

    fn probe_targets(&self, servers: &[ServerKey]) -> Vec<ProbeTarget> {
        let targets = servers.iter().map(|&key| ProbeTarget {
            server: key,
            incarnation: self.servers[key].incarnation,
            address: self.servers[key].record.address,
        });
        targets.collect()
    }

    /// The chosen server as the target of a probe; `None` if its process is no longer listed.
    pub fn probe_target(&self, choice: &Choice) -> Option<ProbeTarget> {
        let targets = self.is_current(choice).then_some([choice.server]);
        self.probe_targets(targets.as_ref()?).pop()
    }

    /// The listed servers that aren't leaving.
    fn usable_servers(&self) -> Vec<ServerKey> {
        let servers = self.servers.iter();
        let usable = servers.filter(|(_, server)| !server.is_leaving(&self.departures));
        usable.map(|(key, _)| key).collect()
    }

    /// Lifts what was held against servers if the path turns out to be the cause.
    fn pardon_if_lost(&mut self, changes: &[ReachChange]) {
        let is_lost = |change: &ReachChange| matches!(change, ReachChange::PathLost { .. });
        if !changes.iter().any(is_lost) {
            return;
        }
        let servers: Vec<ServerKey> = self.reach.unreachable().collect();
        for key in servers {
            let service = &self.servers[key].record.service;
            if let Some(service) = self.services.get_mut(service) {
                service.router.pardon(key);
            }
        }
    }

    /// Records that a connection to the chosen server was established.
    pub fn record_connected(&mut self, choice: &Choice, now: Millis) -> Vec<ReachChange> {
        if !self.is_current(choice) {
            return Vec::new();
        }
        self.reach.record_connected(choice.server, now)
    }

    /// Records that no connection to the chosen server could be established.
    pub fn record_connect_failure(&mut self, choice: &Choice) -> Vec<ReachChange> {
        if !self.is_current(choice) {
            return Vec::new();
        }
        self.record_unreachable(choice.server, choice.chosen, ReachEvidence::Request)
    }

    fn record_unreachable(
        &mut self,
        server: ServerKey,
        started: Millis,
        evidence: ReachEvidence,
    ) -> Vec<ReachChange> {
        let known = self.usable_servers().len();
        let changes = self.reach.record_failure(server, started, evidence, known);
        self.pardon_if_lost(&changes);
        changes
    }

    /// The name of a listed server.
    pub fn name_of(&self, server: ServerKey) -> Option<Arc<str>> {
        self.servers.get(server).map(|server| server.id.clone())
    }

    /// Since when no server is within reach, if that is so.
    pub fn path_lost_since(&self) -> Option<Millis> {
        self.reach.lost_since()
    }

    /// Number of servers out of reach.
    pub fn unreachable_count(&self) -> usize {
        self.reach.unreachable().count()
    }

    /// What is known of the paths to all listed servers, by name.
    pub fn server_reaches(&self, now: Millis) -> Vec<ServerReach> {
        let servers = self.servers.iter().map(|(key, server)| {
            let reach = self.reach.of(key);
            let service = self.services.get(&server.record.service);
            let pace = service.and_then(|service| service.router.reported_pace(key, now));
            ServerReach {
                id: server.id.clone(),
                service: server.record.service.clone(),
                zone: server.record.zone.clone(),
                connected_at: reach.connected_at,
                failure: reach.failure,
                work_percent: pace.map(|factors| factors.map(percent)),
            }
        });
        let mut servers: Vec<ServerReach> = servers.collect();
        servers.sort_unstable_by(|a, b| a.id.cmp(&b.id));
        servers
    }

    /// Number of servers by whose last reports work takes at least `factor` times as long as usual there.
    pub fn slow_count(&self, factor: f64, now: Millis) -> usize {
        let servers = self.servers.iter();
        let paces = servers.filter_map(|(key, server)| {
            let service = self.services.get(&server.record.service)?;
            service.router.reported_pace(key, now)
        });
        paces
            .filter(|[usual, at_present]| *at_present >= factor * usual)
            .count()
    }

    /// Takes the ejections since the last call.
    pub fn take_ejections(&mut self) -> Vec<Ejection> {
        std::mem::take(&mut self.ejections)
    }

    /// Keeps the ejection of a server that wasn't ejected `before`.
    pub(super) fn note_ejection(&mut self, choice: &Choice, before: Option<State>, now: Millis) {
        let is_out = |state: &Option<State>| matches!(state, Some(State::Out { .. }));
        let state = self.state_of(choice);
        if is_out(&before) || self.ejections.len() >= MAX_EJECTIONS {
            return;
        }
        if let Some(State::Out { fault, until }) = state {
            self.ejections.push(Ejection {
                id: choice.id.clone(),
                fault,
                span: until.since(now),
            });
        }
    }

    /// The state of the chosen server at its router.
    pub(super) fn state_of(&self, choice: &Choice) -> Option<State> {
        let service = self.services.get(&*choice.service)?;
        let standing = service.router.standing(choice.server)?;
        Some(standing.state)
    }

    /// Whether the chosen server is still listed with the process that was chosen.
    pub(super) fn is_current(&self, choice: &Choice) -> bool {
        let server = self.servers.get(choice.server);
        server.is_some_and(|server| server.incarnation == choice.incarnation)
    }
}

/// A factor in percent.
fn percent(factor: f64) -> u16 {
    (factor * 100.0).round() as u16
}
