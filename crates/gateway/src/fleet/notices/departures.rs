//! Processes of backend servers that said in an answer that they are leaving.
//!
//! A process that is leaving never accepts requests again, whatever its entry shows: the registry
//! may be down or lag, and an entry that expired may be written again. So departures are kept by
//! process, apart from the entries. A new process under the same name or address isn't affected.

use std::cmp::Reverse;
use std::collections::HashMap;

use crocushold_base::Millis;
use crocushold_routing::Incarnation;
use serde::Deserialize;
use serde::Serialize;

use crate::fleet::Choice;
use crate::fleet::Fleet;

/// How long a departure is remembered after the last answer that mentions it, once the server is no
/// longer listed. A process that is leaving exits within seconds.
const MEMORY: Millis = Millis::from_secs(600);

/// Maximum number of departures that are remembered.
const MAX_DEPARTURES: usize = 4096;

/// Maximum number of departures in a message, with up to 15 bytes each.
const MAX_SENT: usize = 64;

/// A departure, as sent to other instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerDeparture {
    /// The process that is leaving.
    pub incarnation: Incarnation,
    /// How long the sender will remember it, in milliseconds. Without that bound, instances would
    /// remind each other of a departure forever.
    pub left: u32,
}

/// What is known of a departure.
#[derive(Clone, Copy, Debug)]
struct Departure {
    /// When it is forgotten unless the server is listed: some time after the last known answer that
    /// mentions it.
    expires: Millis,
    /// Whether the other instances aren't told yet.
    unsent: bool,
}

/// The processes that are known to be leaving.
#[derive(Clone, Debug, Default)]
pub(in crate::fleet) struct Departures(HashMap<Incarnation, Departure>);

impl Departures {
    pub(in crate::fleet) fn contains(&self, incarnation: Incarnation) -> bool {
        self.0.contains_key(&incarnation)
    }

    /// Records that a process is leaving. Returns whether that wasn't known.
    fn record(&mut self, incarnation: Incarnation, expires: Millis) -> bool {
        if let Some(known) = self.0.get_mut(&incarnation) {
            known.expires = known.expires.max(expires);
            return false;
        }
        self.make_room();
        let departure = Departure {
            expires,
            unsent: true,
        };
        self.0.insert(incarnation, departure);
        true
    }

    fn make_room(&mut self) {
        if self.0.len() < MAX_DEPARTURES {
            return;
        }
        let oldest = self.0.iter().min_by_key(|(_, known)| known.expires);
        if let Some(oldest) = oldest.map(|(incarnation, _)| *incarnation) {
            self.0.remove(&oldest);
        }
    }

    fn take_unsent(&mut self, now: Millis) -> Vec<ServerDeparture> {
        let unsent = self.0.iter_mut().filter(|(_, known)| known.unsent);
        let unsent = unsent.take(MAX_SENT).map(|(incarnation, known)| {
            known.unsent = false;
            known.message(*incarnation, now)
        });
        unsent.collect()
    }

    /// The departures that were mentioned last, as many as fit into a message.
    fn latest(&self, now: Millis) -> Vec<ServerDeparture> {
        let mut known: Vec<_> = self.0.iter().collect();
        known.sort_unstable_by_key(|(_, known)| Reverse(known.expires));
        let known = known.into_iter().take(MAX_SENT);
        known
            .map(|(incarnation, known)| known.message(*incarnation, now))
            .collect()
    }
}

impl Departure {
    fn message(&self, incarnation: Incarnation, now: Millis) -> ServerDeparture {
        ServerDeparture {
            incarnation,
            left: u32::try_from(self.expires.since(now).0).unwrap_or(u32::MAX),
        }
    }
}

impl Fleet {
    /// Records that the server that answered said it is leaving. Returns whether that wasn't known.
    pub fn record_departure(&mut self, choice: &Choice, now: Millis) -> bool {
        let new = self.departures.record(choice.incarnation, now + MEMORY);
        if new {
            self.mark_changed(choice.incarnation);
        }
        new
    }

    /// Records the departures that another instance knows. Returns the names of the listed servers
    /// whose departure wasn't known.
    pub fn record_remote_departures(
        &mut self,
        departed: &[ServerDeparture],
        now: Millis,
    ) -> Vec<String> {
        let mut new = Vec::new();
        for departure in departed {
            let left = Millis(u64::from(departure.left)).min(MEMORY);
            if self.departures.record(departure.incarnation, now + left) {
                new.extend(self.mark_changed(departure.incarnation));
            }
        }
        new
    }

    /// Takes the departures that the other instances aren't told yet.
    pub fn take_unsent_departures(&mut self, now: Millis) -> Vec<ServerDeparture> {
        self.departures.take_unsent(now)
    }

    /// The departures that were mentioned last.
    pub fn known_departures(&self, now: Millis) -> Vec<ServerDeparture> {
        self.departures.latest(now)
    }

    /// Forgets the departures of processes that must have exited.
    pub(in crate::fleet) fn expire_departures(&mut self, now: Millis) {
        let servers = &self.servers;
        let is_listed = |incarnation| {
            let mut servers = servers.values();
            servers.any(|server| server.incarnation == incarnation)
        };
        self.departures
            .0
            .retain(|&incarnation, known| now < known.expires || is_listed(incarnation));
    }

    /// Makes the service of a process be configured anew. Returns the server's name if it is
    /// listed.
    fn mark_changed(&mut self, incarnation: Incarnation) -> Option<String> {
        let mut servers = self.servers.values();
        let server = servers.find(|server| server.incarnation == incarnation)?;
        self.changed.insert(server.record.service.clone());
        Some(server.id.to_string())
    }
}
