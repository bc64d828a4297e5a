//! Tracks which servers are cold, and until when.
//!
//! An entry contains how much longer its server is cold, but not when it was written. The remaining
//! time counts from when the entry was read, which overestimates the cold phase. Of several readings
//! of one entry the earliest is the most accurate, whether this instance or another one read it. After
//! an outage of the store all of them are late, so the instance that sends to cold servers asks each
//! server itself once.

use std::net::SocketAddr;
use std::sync::Arc;

use crocushold_base::Millis;
use crocushold_routing::Incarnation;
use serde::Deserialize;
use serde::Serialize;

use crate::fleet::Fleet;
use crate::routes::Heartbeat;
use crate::routes::SlowStart;

/// Maximum remaining cold phase that is accepted from an entry.
const MAX_COLD: Millis = Millis::from_secs(60);

/// Difference between two ends of a cold phase that is ignored: entries and messages take that long to
/// arrive.
const TOLERANCE: Millis = Millis(100);

/// Number of rounds in which other instances are told of an end that wasn't known here.
const TELL_ROUNDS: u8 = 3;

/// Maximum number of cold phases in a message, with up to 24 bytes each.
const MAX_SENT: usize = 48;

/// Maximum number of servers that are asked at a time, each on a connection of its own.
const MAX_QUERIES: usize = 32;

/// The cold phase of a server according to one of its entries, as sent to other instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ColdPhase {
    /// The process that wrote the entry.
    pub incarnation: Incarnation,
    /// Sequence number of the entry.
    pub sequence: u64,
    /// Remaining time according to the sender, in milliseconds.
    pub left: u32,
}

/// A question to a server of how much longer it is cold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ColdQuery {
    /// The server's name.
    pub id: Arc<str>,
    /// The address it listens on.
    pub address: SocketAddr,
    /// Path of its health check.
    pub path: String,
    /// Its cold phase as known here.
    pub phase: ColdPhase,
}

/// The cold phase of a server according to its last entry.
#[derive(Clone, Copy, Debug, Default)]
pub(in crate::fleet) struct ReportedCold {
    heartbeat: Heartbeat,
    pub(in crate::fleet) until: Millis,
    /// Number of rounds in which other instances are still told.
    rounds_left: u8,
    /// Whether the entry may be older than it was when it was read, and the server wasn't asked.
    unconfirmed: bool,
}

impl ReportedCold {
    /// Records the content of an entry.
    fn record(&mut self, heartbeat: Heartbeat, now: Millis) {
        let until = now + heartbeat.cold_remaining.min(MAX_COLD);
        if heartbeat == self.heartbeat {
            self.until = self.until.min(until);
            return;
        }
        if until > self.until + TOLERANCE {
            self.rounds_left = TELL_ROUNDS;
            self.unconfirmed = true;
        }
        self.heartbeat = heartbeat;
        self.until = until;
    }

    /// Number of the last entry.
    pub(in crate::fleet) fn sequence(&self) -> u64 {
        self.heartbeat.sequence
    }

    fn phase(&self, incarnation: Incarnation, now: Millis) -> ColdPhase {
        ColdPhase {
            incarnation,
            sequence: self.heartbeat.sequence,
            left: u32::try_from(self.until.since(now).0).unwrap_or(u32::MAX),
        }
    }
}

/// What a reading by another instance changed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ColdReview {
    /// The servers whose cold phase ends earlier than this instance believed, by name.
    pub shortened: Vec<String>,
    /// The cold phases that end earlier than the other instance believes.
    pub earlier: Vec<ColdPhase>,
}

impl Fleet {
    /// Sets the services whose servers start slowly.
    pub fn set_slow_starts(&mut self, slow_starts: &[SlowStart]) {
        let slow_starts = slow_starts.iter().cloned();
        let slow_starts = slow_starts.map(|spec| (spec.service.clone(), spec));
        self.slow_starts = slow_starts.collect();
        for (name, service) in &mut self.services {
            service.set_slow_start(self.slow_starts.get(name));
        }
    }

    /// The end of a server's cold phase; `None` if it is warm or its service doesn't start slowly.
    pub fn cold_until(&self, id: &str, now: Millis) -> Option<Millis> {
        let server = &self.servers[*self.ids.get(id)?];
        let starts_slowly = self.slow_starts.contains_key(&server.record.service);
        Some(server.cold_until()).filter(|until| starts_slowly && now < *until)
    }

    /// Records the remaining cold phase of a server, as reported by its entry.
    pub(in crate::fleet) fn record_cold(&mut self, id: &str, heartbeat: Heartbeat, now: Millis) {
        let Some(&key) = self.ids.get(id) else {
            return;
        };
        self.servers[key].reported_cold.record(heartbeat, now);
        self.push_pace(key, now);
    }

    /// Takes the cold phases of which other instances may know an earlier end.
    pub fn take_untold_cold(&mut self, now: Millis) -> Vec<ColdPhase> {
        let slow_starts = &self.slow_starts;
        let untold = self.servers.values_mut().filter(|server| {
            let cold = &server.reported_cold;
            cold.rounds_left > 0
                && now < cold.until
                && slow_starts.contains_key(&server.record.service)
        });
        let untold = untold.take(MAX_SENT).map(|server| {
            server.reported_cold.rounds_left -= 1;
            server.reported_cold.phase(server.incarnation, now)
        });
        untold.collect()
    }

    /// Takes the servers to ask how much longer they are cold, as their entries may be old. It is for the
    /// instance that sends to cold servers; each server is asked once for each cold phase.
    pub fn take_cold_queries(&mut self, now: Millis) -> Vec<ColdQuery> {
        if !self.sends_to_paced() {
            return Vec::new();
        }
        let slow_starts = &self.slow_starts;
        let queries = self.servers.values_mut().filter_map(|server| {
            let cold = &mut server.reported_cold;
            if !cold.unconfirmed || now >= cold.until {
                return None;
            }
            let path = slow_starts
                .get(&server.record.service)?
                .health_path
                .clone()?;
            cold.unconfirmed = false;
            Some(ColdQuery {
                id: server.id.clone(),
                address: server.record.address,
                path,
                phase: cold.phase(server.incarnation, now),
            })
        });
        queries.take(MAX_QUERIES).collect()
    }

    /// Compares the cold phases that another instance or a server itself knows with those known here, and
    /// takes over the earlier ends. Other entries than the last one that was read here don't count: the server may
    /// have become cold again.
    pub fn review_cold(&mut self, phases: &[ColdPhase], now: Millis) -> ColdReview {
        let mut review = ColdReview::default();
        for phase in phases {
            let mut servers = self.servers.iter_mut();
            let known = servers.find(|(_, server)| server.incarnation == phase.incarnation);
            let Some((key, server)) = known else {
                continue;
            };
            let cold = &mut server.reported_cold;
            if cold.heartbeat.sequence != phase.sequence {
                continue;
            }
            let until = now + Millis(u64::from(phase.left));
            if until + TOLERANCE < cold.until {
                cold.until = until;
                review.shortened.push(server.id.to_string());
                self.push_pace(key, now);
            } else if cold.until + TOLERANCE < until {
                review.earlier.push(cold.phase(phase.incarnation, now));
            }
        }
        review
    }
}
