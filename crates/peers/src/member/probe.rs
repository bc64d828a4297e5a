//! Probes, suspicions and what becomes of them.

use crocushold_base::Millis;

use crate::identity::InstanceId;
use crate::member::Member;
use crate::message::Body;
use crate::message::Status;
use crate::message::Update;

/// Probes that are made for others at a time.
const RELAYS: usize = 64;

/// A probe that isn't answered yet.
#[derive(Debug)]
struct Pending {
    target: InstanceId,
    sent: Millis,
    indirect: bool,
    denied: bool,
}

/// A probe made for another.
#[derive(Debug)]
struct Relay {
    target: InstanceId,
    requester: InstanceId,
    deadline: Millis,
}

/// State of the probing.
#[derive(Debug, Default)]
pub(super) struct Prober {
    pending: Option<Pending>,
    relays: Vec<Relay>,
    turn: usize,
    last: Option<Millis>,
}

impl Prober {
    /// Drops probes whose answers may have been lost in an own pause.
    pub(super) fn reset(&mut self) {
        self.pending = None;
        self.relays.clear();
    }
}

impl Member {
    pub(super) fn advance_probe(&mut self, now: Millis) {
        self.ask_helpers_when_late(now);
        self.judge_when_over(now);
        self.start_probe(now);
    }

    fn start_probe(&mut self, now: Millis) {
        let interval = self.scaled(self.settings.probe_interval);
        let waits = self.prober.last.is_some_and(|t| now.since(t) < interval);
        if waits || self.prober.pending.is_some() {
            return;
        }
        let turn = self.prober.turn;
        let targets = self.targets();
        if targets.is_empty() {
            return;
        }
        let target = targets[turn % targets.len()].clone();
        self.prober.turn = turn.wrapping_add(1);
        self.prober.last = Some(now);
        self.prober.pending = Some(Pending {
            target: target.clone(),
            sent: now,
            indirect: false,
            denied: false,
        });
        self.send(&target, Body::Probe(target.clone()));
    }

    fn ask_helpers_when_late(&mut self, now: Millis) {
        let timeout = self.scaled(self.settings.probe_timeout);
        let late = self
            .prober
            .pending
            .as_ref()
            .is_some_and(|p| now.since(p.sent) >= timeout);
        if late {
            self.ask_helpers();
        }
    }

    fn ask_helpers(&mut self) {
        let Some(pending) = &mut self.prober.pending else {
            return;
        };
        if pending.indirect {
            return;
        }
        pending.indirect = true;
        let target = pending.target.clone();
        self.send_to_helpers(&target);
    }

    fn send_to_helpers(&mut self, target: &InstanceId) {
        let helpers = self.sample(self.settings.helpers + 1);
        let helpers = helpers.into_iter().filter(|h| h.id != *target);
        for helper in helpers.take(self.settings.helpers) {
            self.send(&helper.id, Body::Indirect(target.clone()));
        }
    }

    pub(super) fn probe_failed(&mut self, peer: &InstanceId) {
        let probed = self.prober.pending.as_ref().map(|p| &p.target);
        if probed == Some(peer) {
            self.ask_helpers();
        }
    }

    fn judge_when_over(&mut self, now: Millis) {
        let interval = self.scaled(self.settings.probe_interval);
        let over = |pending: &mut Pending| now.since(pending.sent) >= interval;
        let Some(pending) = self.prober.pending.take_if(over) else {
            return;
        };
        // When not even a helper answered, the fault may well be this instance's own.
        if !pending.denied {
            self.worsen();
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

    /// Counts an independent suspicion, and passes it on the first times.
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

    /// Time from suspicion to death: long at first, shorter with each independent suspicion.
    fn suspicion_span(&self, suspicions: usize) -> Millis {
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
            let span = self.suspicion_span(suspicion.origins.len());
            let expired = now.since(suspicion.since) >= span;
            expired.then(|| (record.instance.id.clone(), suspicion.last_call))
        });
        let suspects: Vec<_> = suspects.collect();
        for (id, last_call) in suspects {
            match last_call {
                None => self.make_last_call(&id, now),
                Some(t) if now.since(t) >= self.scaled(self.settings.probe_interval) => {
                    self.declare(&id, Status::Dead, now);
                }
                Some(_) => {}
            }
        }
    }

    /// Probes a suspect once more, directly and through helpers. Its refutation may have got lost on the way here alone; a death
    /// declared then would take a healthy member out of every view.
    fn make_last_call(&mut self, id: &InstanceId, now: Millis) {
        let record = self.table.get_mut(id);
        if let Some(suspicion) = record.and_then(|record| record.suspicion.as_mut()) {
            suspicion.last_call = Some(now);
        }
        self.send(id, Body::Probe(id.clone()));
        self.send_to_helpers(id);
    }

    /// Starts running suspicions again, as refutations may have been lost in an own pause.
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
        self.join.answered();
        self.settle_probe(from);
        self.answer_relays(from);
    }

    fn settle_probe(&mut self, target: &InstanceId) {
        let settled = self.prober.pending.take_if(|p| p.target == *target);
        if settled.is_some() {
            self.improve();
        }
    }

    fn answer_relays(&mut self, target: &InstanceId) {
        let relays = &mut self.prober.relays;
        let answered: Vec<Relay> = relays.extract_if(.., |r| r.target == *target).collect();
        for relay in answered {
            self.answer_relay(relay, true);
        }
    }

    fn answer_relay(&mut self, relay: Relay, alive: bool) {
        let target = relay.target;
        self.send(&relay.requester, Body::Confirm { target, alive });
    }

    pub(super) fn on_indirect(&mut self, from: &InstanceId, target: &InstanceId, now: Millis) {
        let relay = Relay {
            target: target.clone(),
            requester: from.clone(),
            deadline: now + self.settings.probe_timeout,
        };
        let known = self.table.get(target).is_some();
        if !known || self.prober.relays.len() >= RELAYS {
            self.answer_relay(relay, false);
            return;
        }
        self.prober.relays.push(relay);
        self.send(target, Body::Probe(target.clone()));
    }

    pub(super) fn expire_relays(&mut self, now: Millis) {
        let relays = &mut self.prober.relays;
        let expired: Vec<Relay> = relays.extract_if(.., |r| now >= r.deadline).collect();
        for relay in expired {
            self.answer_relay(relay, false);
        }
    }

    pub(super) fn on_confirm(&mut self, target: &InstanceId, alive: bool, now: Millis) {
        if alive {
            self.settle_probe(target);
            self.restart_suspicion(target, now);
            return;
        }
        if let Some(pending) = &mut self.prober.pending
            && pending.target == *target
        {
            pending.denied = true;
        }
    }
}
