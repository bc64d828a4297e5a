//! Limits that servers name in their answers: how many requests per second they accept from all
//! instances together.
//!
//! Only the placer sends requests to such a server, at its pace. It relays few answers itself, so
//! every instance reports the limits that it sees: at once to the placer and to some other
//! instances, which forward what is new to them, and repeatedly to the placer while answers name
//! them.
//!
//! The latest answer decides. One that names no limit counts from when its request was sent, since
//! the server may have produced it before a limit that was received earlier; one that names a limit
//! counts from when it was received. A limit that is no longer named ends step by step: a server
//! that has just recovered has no queue, and without a pace it would get a burst.

use crocushold_base::Millis;
use crocushold_routing::MIN_PACED_RATE;
use serde::Deserialize;
use serde::Serialize;

use crate::fleet::Choice;
use crate::fleet::Fleet;

/// Factor by which each answer without a limit raises the rate.
const RAISE_FACTOR: f64 = 2.0;

/// Rate from which a server isn't paced any longer, in requests per second. It is several times the
/// lowest limits, so that a server in need has had answers in which to name its limit again.
const UNPACED_RATE: f64 = 16.0;

/// How long a limit is reported to the placer after an answer named it.
const REPORT_TIME: Millis = Millis::from_secs(5);

/// Maximum number of limits in a message, with up to 16 bytes each.
const MAX_LIMITS: usize = 64;

/// Units of [`ServerLimit::rate`] in a request per second.
const RATE_UNITS: f64 = 1000.0;

/// The limit of a server, as sent to other instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerLimit {
    /// Hash of the server's name.
    pub server: u32,
    /// Requests per 1,000 seconds; `None` if it no longer names a limit.
    pub rate: Option<u32>,
    /// Age of the answer that is the source, in milliseconds.
    pub age: u32,
}

/// The time of an answer on this instance's clock, in milliseconds. An answer to another instance
/// may be older than this instance, whose clock began at zero.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct AnswerTime(i64);

impl AnswerTime {
    /// Before any answer.
    const NEVER: AnswerTime = AnswerTime(i64::MIN);

    fn at(time: Millis) -> AnswerTime {
        AnswerTime(i64::try_from(time.0).unwrap_or(i64::MAX))
    }

    fn with_age(age: u32, now: Millis) -> AnswerTime {
        AnswerTime(AnswerTime::at(now).0 - i64::from(age))
    }

    fn age(self, now: Millis) -> u32 {
        let age = AnswerTime::at(now).0.saturating_sub(self.0);
        u32::try_from(age.max(0)).unwrap_or(u32::MAX)
    }
}

impl Default for AnswerTime {
    fn default() -> AnswerTime {
        AnswerTime::NEVER
    }
}

/// What is known of a server's limit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(in crate::fleet) struct NamedLimit {
    /// Requests per second; `None` if it names no limit.
    pub(in crate::fleet) rate: Option<f64>,
    /// The time for which this is known.
    as_of: AnswerTime,
    /// When an answer to this instance last named a limit; `None` if none did.
    seen_at: Option<Millis>,
    /// Whether the other instances aren't told yet.
    unsent: bool,
}

impl NamedLimit {
    /// The state of a process that has started at `now`.
    pub(in crate::fleet) fn of_new_process(now: Millis) -> NamedLimit {
        NamedLimit {
            as_of: AnswerTime::at(now),
            ..NamedLimit::default()
        }
    }

    /// Applies an answer to a request that was sent at `sent`. Returns whether the limit changed.
    fn observe(&mut self, limit: Option<f64>, sent: Millis, now: Millis) -> bool {
        // Instances must agree on the number, or each would report its own as a change.
        let limit = limit.map(|limit| rate_from_units(rate_to_units(limit)));
        let sent = AnswerTime::at(sent);
        let overlaps = sent <= self.as_of;
        let rate = match (limit, self.rate) {
            (Some(limit), Some(held)) if overlaps => Some(limit.min(held)),
            (Some(limit), _) => Some(limit),
            (None, _) if overlaps => return false,
            (None, held) => held.and_then(raised),
        };
        let changed = rate != self.rate;
        self.rate = rate;
        match limit {
            Some(_) => {
                self.as_of = AnswerTime::at(now);
                self.seen_at = Some(now);
            }
            None => self.as_of = sent,
        }
        self.unsent |= changed;
        changed
    }

    /// Applies what another instance knew at `as_of`. Returns whether the limit changed.
    fn merge(&mut self, rate: Option<f64>, as_of: AnswerTime) -> bool {
        if as_of <= self.as_of {
            // The sender is corrected.
            self.unsent |= rate != self.rate;
            return false;
        }
        self.as_of = as_of;
        let changed = rate != self.rate;
        self.rate = rate;
        self.unsent |= changed;
        changed
    }

    fn message(&self, server: u32, now: Millis) -> ServerLimit {
        ServerLimit {
            server,
            rate: self.rate.map(rate_to_units),
            age: self.as_of.age(now),
        }
    }
}

fn rate_to_units(rate: f64) -> u32 {
    (rate * RATE_UNITS).round() as u32
}

fn rate_from_units(units: u32) -> f64 {
    f64::from(units) / RATE_UNITS
}

/// The rate after an answer without a limit; `None` once the server isn't paced any longer.
fn raised(rate: f64) -> Option<f64> {
    let rate = rate.max(MIN_PACED_RATE) * RAISE_FACTOR;
    (rate < UNPACED_RATE).then_some(rate)
}

impl Fleet {
    /// Records what the head of an answer says about its server's limit. Returns whether the limit
    /// changed.
    pub fn record_limit(&mut self, choice: &Choice, limit: Option<f64>, now: Millis) -> bool {
        let Some(server) = self.servers.get_mut(choice.server) else {
            return false;
        };
        let changed = server.incarnation == choice.incarnation
            && server.limit.observe(limit, choice.chosen, now);
        if changed {
            self.update_routers(now);
            self.push_pace(choice.server, now);
        }
        changed
    }

    /// Records the limits that another instance knows. Returns the names of the servers whose
    /// limits changed.
    pub fn record_remote_limits(&mut self, limits: &[ServerLimit], now: Millis) -> Vec<String> {
        let mut changed = Vec::new();
        for limit in limits {
            let Some(&key) = self.hashes.get(&limit.server) else {
                continue;
            };
            let server = &mut self.servers[key];
            let rate = limit.rate.map(rate_from_units);
            let as_of = AnswerTime::with_age(limit.age, now);
            if server.limit.merge(rate, as_of) {
                changed.push(server.id.to_string());
                self.update_routers(now);
                self.push_pace(key, now);
            }
        }
        changed
    }

    /// The limit that a server names, in requests per second.
    pub fn limit_of(&self, id: &str) -> Option<f64> {
        self.servers[*self.ids.get(id)?].limit.rate
    }

    /// Takes the limits that the other instances aren't told yet.
    pub fn take_unsent_limits(&mut self, now: Millis) -> Vec<ServerLimit> {
        let servers = self.servers.values_mut();
        let unsent = servers.filter(|server| server.limit.unsent);
        let unsent = unsent.take(MAX_LIMITS).map(|server| {
            server.limit.unsent = false;
            server.limit.message(server.hash, now)
        });
        unsent.collect()
    }

    /// The limits that answers to this instance named lately.
    pub fn seen_limits(&self, now: Millis) -> Vec<ServerLimit> {
        let servers = self.servers.values();
        let seen = servers.filter(|server| {
            let seen_at = server.limit.seen_at;
            server.limit.rate.is_some() && seen_at.is_some_and(|at| now.since(at) < REPORT_TIME)
        });
        let seen = seen.take(MAX_LIMITS);
        seen.map(|server| server.limit.message(server.hash, now))
            .collect()
    }

    /// All known limits.
    pub fn known_limits(&self, now: Millis) -> Vec<ServerLimit> {
        let servers = self.servers.values();
        let known = servers.filter(|server| server.limit.rate.is_some());
        let known = known.take(MAX_LIMITS);
        known
            .map(|server| server.limit.message(server.hash, now))
            .collect()
    }

    /// Whether the requests of a service are placed by one instance, since one of its servers is paced,
    /// or all are brittle, or they are a few plain servers of unlike speed. How fast those are changes
    /// within a second, in which most instances get no answer of theirs.
    pub fn needs_placer(&mut self, service: &str, now: Millis) -> bool {
        self.update_routers(now);
        let service = self.services.get(service);
        service.is_some_and(|service| {
            service.brittle.rejections.is_some()
                || service.router.has_paced(now)
                || service.is_few_uneven()
        })
    }
}
