//! Reading the configuration.

use std::sync::Arc;

use crocushold_base::Millis;

use crate::call::Action;
use crate::call::Call;
use crate::call::Event;
use crate::call::Failure;
use crate::call::Machine;
use crate::call::Update;
use crate::health::Alarm;
use crate::health::Health;
use crate::outstanding::Outstanding;
use crate::pace::CallBudget;
use crate::reader::index::IndexTrust;
use crate::reader::parts::Parts;
use crate::report::Report;

mod answers;
mod index;
mod parts;
mod settings;
mod snapshot;

pub use settings::ReaderSettings;
pub use snapshot::Part;
pub use snapshot::Snapshot;

/// Reads and watches the configuration.
///
/// One index call at a time, a read or a watch, tells which parts changed; only those are read. A
/// [`Snapshot`] is published once every part of the index was read or has failed a few times: one
/// team's unreadable part delays the others by seconds only. Revisions published never decrease.
#[derive(Clone, Debug)]
pub struct ConfigReader {
    settings: ReaderSettings,
    budget: CallBudget,
    health: Health,
    alarm: Alarm,
    outstanding: Outstanding,
    index: IndexTrust,
    parts: Parts,
    /// Whether the next index call is a read rather than a watch.
    reread: bool,
    /// When the next index call may start, for the sake of the gap between two.
    gap_end: Millis,
    confirmed: Option<Millis>,
    doubt: Option<Report>,
    applied: Option<Arc<Snapshot>>,
}

impl ConfigReader {
    /// A reader that has read nothing; its first [`Event::Tick`] starts it.
    pub fn new(settings: ReaderSettings) -> ConfigReader {
        ConfigReader {
            budget: CallBudget::new(settings.interval, settings.burst),
            health: Health::new(settings.backoff, settings.seed),
            alarm: Alarm::new(settings.margin),
            outstanding: Outstanding::default(),
            index: IndexTrust::default(),
            parts: Parts::new(&settings),
            reread: true,
            gap_end: Millis::ZERO,
            confirmed: None,
            doubt: None,
            applied: None,
            settings,
        }
    }

    /// When the service last confirmed the newest revision that is known; `None` before the first
    /// time, and after a late wake until it has been read again.
    pub fn confirmed_at(&self) -> Option<Millis> {
        self.confirmed
    }

    /// The highest revision that any answer has carried.
    pub fn newest_revision(&self) -> u64 {
        self.index.highest()
    }

    /// The configuration that was published last.
    pub fn applied(&self) -> Option<&Arc<Snapshot>> {
        self.applied.as_ref()
    }

    fn check_alarm(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let Some(late) = self.alarm.late(now) else {
            return;
        };
        for waiting in self.outstanding.take_all() {
            actions.push(Action::Cancel { id: waiting.id });
        }
        self.confirmed = None;
        self.reread = true;
        actions.push(report(Report::LateWake { late }));
    }

    fn handle(&mut self, event: Event, now: Millis, actions: &mut Vec<Action>) {
        match event {
            Event::Tick => {}
            Event::Answered { call, answer } => {
                if let Some(waiting) = self.outstanding.take(call) {
                    self.take_answer(&waiting, answer, now, actions);
                }
            }
            Event::Failed { call, failure } => {
                if let Some(waiting) = self.outstanding.take(call) {
                    self.fail(&waiting, failure, now, actions);
                }
            }
            Event::Hint { revision } => self.take_hint(revision, actions),
            Event::Adopted(snapshot) => self.adopt(snapshot),
        }
    }

    fn take_hint(&mut self, revision: u64, actions: &mut Vec<Action>) {
        let reading = self.outstanding.iter().any(|w| w.call == Call::Index);
        if revision <= self.index.highest() || reading {
            return;
        }
        self.reread = true;
        let watch = self.outstanding.iter().find(|w| is_index(&w.call));
        if let Some(id) = watch.map(|w| w.id) {
            self.outstanding.take(id);
            actions.push(Action::Cancel { id });
        }
    }

    fn adopt(&mut self, snapshot: Arc<Snapshot>) {
        if self.index.adopt(&snapshot) {
            self.parts.adopt(&snapshot);
            self.applied = Some(snapshot);
        }
    }

    fn expire(&mut self, now: Millis, actions: &mut Vec<Action>) {
        for waiting in self.outstanding.take_expired(now) {
            actions.push(Action::Cancel { id: waiting.id });
            self.fail(&waiting, Failure::Timeout, now, actions);
        }
    }

    fn publish(&mut self, actions: &mut Vec<Action>) {
        let Some(revision) = self.index.current() else {
            return;
        };
        if !self.parts.are_settled() {
            return;
        }
        let snapshot = self.parts.snapshot(revision);
        if self.applied.as_ref().is_some_and(|a| a.same_as(&snapshot)) {
            return;
        }
        let snapshot = Arc::new(snapshot);
        self.applied = Some(Arc::clone(&snapshot));
        actions.push(Action::Publish(Update::Config(snapshot)));
    }

    fn start_index(&mut self, now: Millis, actions: &mut Vec<Action>) {
        if self.index_due().is_none_or(|due| now < due) || !self.budget.take(now) {
            return;
        }
        self.gap_end = now + self.settings.gap;
        let settings = &self.settings;
        let (call, timeout) = if self.reread {
            (Call::Index, settings.timeout)
        } else {
            let after = self.index.highest();
            let wait = settings.wait;
            (Call::Watch { after, wait }, wait + settings.grace)
        };
        actions.push(self.outstanding.start(call, now, timeout));
    }

    fn start_parts(&mut self, now: Millis, actions: &mut Vec<Action>) {
        while let Some((team, due)) = self.next_part() {
            if now < due || !self.budget.take(now) {
                return;
            }
            let call = Call::Part { team };
            let timeout = self.settings.timeout;
            actions.push(self.outstanding.start(call, now, timeout));
        }
    }

    /// When the next index call is due; `None` while one waits.
    fn index_due(&self) -> Option<Millis> {
        if self.outstanding.iter().any(|w| is_index(&w.call)) {
            return None;
        }
        Some(self.health.ready_at().max(self.gap_end))
    }

    /// The part that is due first, and when; `None` while as many wait as may.
    fn next_part(&self) -> Option<(String, Millis)> {
        let reads = self.outstanding.iter().filter(|w| !is_index(&w.call));
        let reading: Vec<&str> = reads.map(|w| part_team(&w.call)).collect();
        if reading.len() >= self.settings.parallel {
            return None;
        }
        let (team, due) = self.parts.next(&reading)?;
        Some((team.to_owned(), due.max(self.health.hold())))
    }

    fn wake_at(&self) -> Millis {
        let part = self.next_part().map(|(_, due)| due);
        let starts = [self.index_due(), part].into_iter().flatten().min();
        let start = starts.map_or(Millis::MAX, |due| due.max(self.budget.ready_at()));
        start.min(self.outstanding.deadline())
    }
}

impl Machine for ConfigReader {
    fn step(&mut self, event: Event, now: Millis) -> Vec<Action> {
        let mut actions = Vec::new();
        self.check_alarm(now, &mut actions);
        self.handle(event, now, &mut actions);
        self.expire(now, &mut actions);
        self.publish(&mut actions);
        self.start_index(now, &mut actions);
        self.start_parts(now, &mut actions);
        self.alarm.set(self.wake_at());
        actions
    }

    fn next_wake(&self) -> Millis {
        self.alarm.at()
    }
}

fn is_index(call: &Call) -> bool {
    matches!(call, Call::Index | Call::Watch { .. })
}

fn part_team(call: &Call) -> &str {
    match call {
        Call::Part { team } => team,
        _ => "",
    }
}

fn report(report: Report) -> Action {
    Action::Publish(Update::Report(report))
}
