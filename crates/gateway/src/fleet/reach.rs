//! Which servers this instance reaches.

use std::sync::Arc;

use crocushold_base::Millis;
use crocushold_base::ServerKey;
use crocushold_routing::Fault;
use crocushold_routing::ReachChange;
use crocushold_routing::ReachEvidence;
use crocushold_routing::ReachFailure;
use crocushold_routing::State;

use super::Choice;
use super::Fleet;

/// Maximum number of ejections that are kept until they are taken.
const MAX_EJECTIONS: usize = 64;

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
}

impl Fleet {
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
        let known = self.accepting_servers();
        self.reach
            .record_failure(choice.server, choice.chosen, ReachEvidence::Request, known)
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
    pub fn server_reaches(&self) -> Vec<ServerReach> {
        let servers = self.servers.iter().map(|(key, server)| {
            let reach = self.reach.of(key);
            ServerReach {
                id: server.id.clone(),
                service: server.record.service.clone(),
                zone: server.record.zone.clone(),
                connected_at: reach.connected_at,
                failure: reach.failure,
            }
        });
        let mut servers: Vec<ServerReach> = servers.collect();
        servers.sort_unstable_by(|a, b| a.id.cmp(&b.id));
        servers
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

    fn is_current(&self, choice: &Choice) -> bool {
        let server = self.servers.get(choice.server);
        server.is_some_and(|server| server.incarnation == choice.incarnation)
    }

    /// Number of listed servers that aren't leaving.
    fn accepting_servers(&self) -> usize {
        let servers = self.servers.values();
        let accepting = servers.filter(|server| !server.is_leaving(&self.departures));
        accepting.count()
    }
}
