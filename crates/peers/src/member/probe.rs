//! Probes and suspicions.

use crocushold_base::Millis;

use crate::identity::InstanceId;
use crate::member::Member;
use crate::message::Body;
use crate::message::Status;
use crate::message::Update;

/// Maximum number of concurrent probes on behalf of others.
const MAX_RELAYED_PROBES: usize = 64;

/// A probe that hasn't been answered yet.
#[derive(Debug)]
struct Pending {
    target: InstanceId,
    sent: Millis,
    indirect: bool,
    helper_answered: bool,
}

/// A probe on behalf of another member.
#[derive(Debug)]
struct RelayedProbe {
    target: InstanceId,
    requester: InstanceId,
    deadline: Millis,
}

/// State of the failure detector.
#[derive(Debug, Default)]
pub(super) struct Prober {
    pending: Option<Pending>,
    relayed: Vec<RelayedProbe>,
    next_target: usize,
    last_probe: Option<Millis>,
}

impl Prober {
    /// Drops probes whose answers may have been lost during a pause of this process.
    pub(super) fn reset(&mut self) {
        self.pending = None;
        self.relayed.clear();
    }
}

impl Member {
    pub(super) fn advance_probe(&mut self, now: Millis) {
        self.probe_indirectly_on_timeout(now);
        self.conclude_probe(now);
        self.start_probe(now);
    }

    fn start_probe(&mut self, now: Millis) {
        let interval = self.scaled(self.settings.probe_interval);
        let waits = self
            .prober
            .last_probe
            .is_some_and(|t| now.since(t) < interval);
        if waits || self.prober.pending.is_some() {
            return;
        }
        let next_target = self.prober.next_target;
        let targets = self.targets();
        if targets.is_empty() {
            return;
        }
        let target = targets[next_target % targets.len()].clone();
        self.prober.next_target = next_target.wrapping_add(1);
        self.prober.last_probe = Some(now);
        self.prober.pending = Some(Pending {
            target: target.clone(),
            sent: now,
            indirect: false,
            helper_answered: false,
        });
        self.send(&target, Body::Probe(target.clone()));
    }

    fn probe_indirectly_on_timeout(&mut self, now: Millis) {
        let timeout = self.scaled(self.settings.probe_timeout);
        let late = self
            .prober
            .pending
            .as_ref()
            .is_some_and(|p| now.since(p.sent) >= timeout);
        if late {
            self.probe_indirectly();
        }
    }

    fn probe_indirectly(&mut self) {
        let Some(pending) = &mut self.prober.pending else {
            return;
        };
        if pending.indirect {
            return;
        }
        pending.indirect = true;
        let target = pending.target.clone();
        self.send_indirect_probes(&target);
    }

    fn send_indirect_probes(&mut self, target: &InstanceId) {
        let helpers = self.sample(self.settings.helpers + 1);
        let helpers = helpers.into_iter().filter(|h| h.id != *target);
        for helper in helpers.take(self.settings.helpers) {
            self.send(&helper.id, Body::Indirect(target.clone()));
        }
    }

    pub(super) fn probe_failed(&mut self, peer: &InstanceId) {
        let probed = self.prober.pending.as_ref().map(|p| &p.target);
        if probed == Some(peer) {
            self.probe_indirectly();
        }
    }

    fn conclude_probe(&mut self, now: Millis) {
        let interval = self.scaled(self.settings.probe_interval);
        let over = |pending: &mut Pending| now.since(pending.sent) >= interval;
        let Some(pending) = self.prober.pending.take_if(over) else {
            return;
        };
        // If not even a helper answered, this instance itself may well be at fault.
        if !pending.helper_answered {
            self.raise_health_score();
        }
        self.suspect(&pending.target, now);
    }

    fn suspect(&mut self, id: &InstanceId, now: Millis) {
        self.declare(id, Status::Suspect, now);
        let origin = self.origin();
        let Some(record) = self.table.get(id) else {
            return;
        };
        if record.status == Status::Suspect {
            let update = record.update(origin);
            self.confirm_suspicion(&update, now);
        }
    }

    /// Records an independent suspicion, and passes on the first few.
    pub(super) fn confirm_suspicion(&mut self, update: &Update, now: Millis) {
        let most = self.settings.confirmations + 1;
        let Some(record) = self.table.get_mut(&update.instance.id) else {
            return;
        };
        if record.incarnation != update.incarnation {
            return;
        }
        let Some(suspicion) = &mut record.suspicion else {
            return;
        };
        let known = suspicion.origins.contains(&update.origin);
        if !known && suspicion.origins.len() < most {
            suspicion.origins.push(update.origin);
            self.queue.push(update.clone(), now);
        }
    }

    /// Returns the time from suspicion to death. It starts at its maximum and shrinks with each
    /// independent suspicion.
    fn suspicion_timeout(&self, suspicions: usize) -> Millis {
        let settings = &self.settings;
        let magnitude = (self.live().max(10) as f64).log10();
        let interval = settings.probe_interval.0 as f64;
        let least = settings.suspicion_intervals as f64 * magnitude * interval;
        let most = least * settings.suspicion_factor as f64;
        let confirmed = suspicions.saturating_sub(1) as f64;
        let share = (confirmed + 1.0).ln() / (settings.confirmations as f64 + 1.0).ln();
        Millis((most - (most - least) * share).max(least) as u64)
    }

    pub(super) fn expire_suspicions(&mut self, now: Millis) {
        let suspects = self.table.live().filter_map(|record| {
            let suspicion = record.suspicion.as_ref()?;
            let span = self.suspicion_timeout(suspicion.origins.len());
            let expired = now.since(suspicion.since) >= span;
            expired.then(|| (record.instance.id.clone(), suspicion.final_probe))
        });
        let suspects: Vec<_> = suspects.collect();
        for (id, final_probe) in suspects {
            match final_probe {
                None => self.send_final_probe(&id, now),
                Some(t) if now.since(t) >= self.scaled(self.settings.probe_interval) => {
                    self.declare(&id, Status::Dead, now);
                }
                Some(_) => {}
            }
        }
    }

    /// Probes a suspect once more, directly and through helpers. Its refutation may have been lost
    /// only on the way to this instance; declaring it dead would remove a healthy member from every
    /// view.
    fn send_final_probe(&mut self, id: &InstanceId, now: Millis) {
        let record = self.table.get_mut(id);
        if let Some(suspicion) = record.and_then(|record| record.suspicion.as_mut()) {
            suspicion.final_probe = Some(now);
        }
        self.send(id, Body::Probe(id.clone()));
        self.send_indirect_probes(id);
    }

    /// Restarts the timeouts of all suspicions, as refutations may have been lost during a pause of
    /// this process.
    pub(super) fn restart_suspicions(&mut self, now: Millis) {
        let suspects: Vec<InstanceId> = self
            .table
            .live()
            .filter(|record| record.suspicion.is_some())
            .map(|record| record.instance.id.clone())
            .collect();
        for id in suspects {
            self.restart_suspicion(&id, now);
        }
    }

    fn restart_suspicion(&mut self, id: &InstanceId, now: Millis) {
        let record = self.table.get_mut(id);
        if let Some(suspicion) = record.and_then(|record| record.suspicion.as_mut()) {
            *suspicion = suspicion.restarted(now);
        }
    }

    pub(super) fn on_ack(&mut self, from: &InstanceId, id: &InstanceId, now: Millis) {
        if from != id {
            self.declare(from, Status::Dead, now);
            return;
        }
        self.join.settle();
        self.complete_probe(from);
        self.confirm_relayed_probes(from);
    }

    fn complete_probe(&mut self, target: &InstanceId) {
        let settled = self.prober.pending.take_if(|p| p.target == *target);
        if settled.is_some() {
            self.lower_health_score();
        }
    }

    fn confirm_relayed_probes(&mut self, target: &InstanceId) {
        let relayed = &mut self.prober.relayed;
        let answered: Vec<RelayedProbe> = relayed.extract_if(.., |r| r.target == *target).collect();
        for relay in answered {
            self.confirm_relayed_probe(relay, true);
        }
    }

    fn confirm_relayed_probe(&mut self, relay: RelayedProbe, alive: bool) {
        let target = relay.target;
        self.send(&relay.requester, Body::Confirm { target, alive });
    }

    pub(super) fn on_indirect(&mut self, from: &InstanceId, target: &InstanceId, now: Millis) {
        let relay = RelayedProbe {
            target: target.clone(),
            requester: from.clone(),
            deadline: now + self.settings.probe_timeout,
        };
        let known = self.table.get(target).is_some();
        if !known || self.prober.relayed.len() >= MAX_RELAYED_PROBES {
            self.confirm_relayed_probe(relay, false);
            return;
        }
        self.prober.relayed.push(relay);
        self.send(target, Body::Probe(target.clone()));
    }

    pub(super) fn expire_relayed_probes(&mut self, now: Millis) {
        let relayed = &mut self.prober.relayed;
        let expired: Vec<RelayedProbe> = relayed.extract_if(.., |r| now >= r.deadline).collect();
        for relay in expired {
            self.confirm_relayed_probe(relay, false);
        }
    }

    pub(super) fn on_confirm(&mut self, target: &InstanceId, alive: bool, now: Millis) {
        if alive {
            self.complete_probe(target);
            self.restart_suspicion(target, now);
            return;
        }
        if let Some(pending) = &mut self.prober.pending
            && pending.target == *target
        {
            pending.helper_answered = true;
        }
    }
}
