//! Services whose servers say that they are brittle: they may let fewer requests wait, and one that
//! has to turn away more than some number within a second falls over.
//!
//! It is a notice of a service, said in the answers of all its servers, and binds all instances
//! together: what a server turns away counts wherever it came from. The instances that see it tell
//! the placer, which keeps the count of what each server has; the instances that choose by
//! themselves keep to their share. It ends when answers no longer say so.

use crocushold_base::Millis;
use crocushold_routing::Brittleness;
use serde::Deserialize;
use serde::Serialize;

use crate::fleet::Choice;
use crate::fleet::Fleet;
use crate::fleet::Need;
use crate::fleet::OVERCOMMIT;
use crate::fleet::short_hash;

/// How long the notice holds after the last answer with it. It covers the time for which all
/// servers may be away after they fell over.
const HOLD_TIME: Millis = Millis::from_secs(3);

/// How long it is reported to the placer after an answer to this instance.
const REPORT_TIME: Millis = Millis::from_secs(2);

/// Maximum number of services in a message.
const MAX_SERVICES: usize = 32;

/// A brittle service, as sent to other instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BrittleService {
    /// Hash of the service's name.
    pub service: u32,
    /// Requests that a server may turn away within a second without falling over.
    pub rejections: u32,
    /// Age of the answer that is the source, in milliseconds.
    pub age: u32,
}

/// What is known of a service's brittleness.
#[derive(Clone, Copy, Debug, Default)]
pub(in crate::fleet) struct NamedBrittleness {
    /// Requests that a server survives to turn away; `None` if it survives any number.
    pub(in crate::fleet) rejections: Option<u32>,
    /// The end of the notice unless another answer says the same.
    until: Millis,
    /// When an answer to this instance last said so; `None` if none did.
    seen_at: Option<Millis>,
}

impl NamedBrittleness {
    /// Applies an answer that is `age` old. Returns whether the number changed.
    fn observe(&mut self, rejections: u32, age: Millis, now: Millis) -> bool {
        let until = Millis((now + HOLD_TIME).0.saturating_sub(age.0));
        if until <= now || until < self.until {
            return false;
        }
        self.until = until;
        self.rejections.replace(rejections) != Some(rejections)
    }

    /// Ends the notice once it is over. Returns whether it has ended now.
    fn expire(&mut self, now: Millis) -> bool {
        self.rejections.is_some() && self.until <= now && self.rejections.take().is_some()
    }
}

impl Fleet {
    /// Records that an answer of the chosen server says that its service is brittle. Returns whether
    /// that is new.
    pub fn record_brittle(&mut self, choice: &Choice, rejections: u32, now: Millis) -> bool {
        let Some(service) = self.services.get_mut(&*choice.service) else {
            return false;
        };
        service.brittle.seen_at = Some(now);
        let changed = service.brittle.observe(rejections, Millis::ZERO, now);
        if changed {
            self.push_brittle(&choice.service);
        }
        changed
    }

    /// Records the brittle services that another instance knows. Returns the names of those that are
    /// new.
    pub fn record_remote_brittle(&mut self, known: &[BrittleService], now: Millis) -> Vec<String> {
        let mut changed = Vec::new();
        for (name, service) in &mut self.services {
            let mut known = known.iter();
            let Some(entry) = known.find(|entry| entry.service == short_hash(name)) else {
                continue;
            };
            let age = Millis(u64::from(entry.age));
            if service.brittle.observe(entry.rejections, age, now) {
                changed.push(name.clone());
            }
        }
        for name in &changed {
            self.push_brittle(name);
        }
        changed
    }

    /// The brittle services that answers to this instance named lately.
    pub fn seen_brittle(&self, now: Millis) -> Vec<BrittleService> {
        let services = self.services.iter();
        let seen = services.filter_map(|(name, service)| {
            let age = now.since(service.brittle.seen_at?);
            (age < REPORT_TIME).then_some(BrittleService {
                service: short_hash(name),
                rejections: service.brittle.rejections?,
                age: age.0 as u32,
            })
        });
        seen.take(MAX_SERVICES).collect()
    }

    /// How many requests per second a server of the service survives to turn away, if it is brittle.
    pub fn brittleness_of(&self, service: &str) -> Option<u32> {
        self.services.get(service)?.brittle.rejections
    }

    /// Whether the servers that could take the request are brittle.
    pub fn is_brittle(&self, need: &Need) -> bool {
        self.brittleness_of(&need.service).is_some()
    }

    /// Ends the notices that no answer has confirmed lately. Returns the names of the services.
    pub fn expire_brittle(&mut self, now: Millis) -> Vec<String> {
        let services = self.services.iter_mut();
        let ended = services
            .filter_map(|(name, service)| service.brittle.expire(now).then(|| name.clone()));
        let ended: Vec<String> = ended.collect();
        for name in &ended {
            self.push_brittle(name);
        }
        ended
    }

    /// Sets the number of instances, including this one.
    pub fn set_instances(&mut self, instances: u32) {
        if self.instances == instances {
            return;
        }
        self.instances = instances;
        let names: Vec<String> = self.services.keys().cloned().collect();
        for name in names {
            self.push_brittle(&name);
        }
    }

    /// Passes a service's brittleness to its router.
    fn push_brittle(&mut self, name: &str) {
        let instances = self.instances;
        if let Some(service) = self.services.get_mut(name) {
            let rejections = service.brittle.rejections;
            service
                .router
                .set_brittle(rejections.map(|rejections| Brittleness {
                    rejections,
                    overcommit: OVERCOMMIT,
                    instances,
                }));
        }
    }
}
