//! Polling the instance list.

use crocushold_base::Millis;

use crate::call::Action;
use crate::call::Answer;
use crate::call::Call;
use crate::call::Event;
use crate::call::Failure;
use crate::call::Machine;
use crate::call::Update;
use crate::health::Alarm;
use crate::health::Health;
use crate::outstanding::Outstanding;
use crate::pace::BackoffSettings;
use crate::report::Report;
use crate::wire::InstanceList;

/// Longest pause between two failed polls: a server that left during an outage has to be out of use
/// within a few seconds of its end.
const MAX_PAUSE: Millis = Millis::from_secs(2);

/// Pace and deadlines of an [`InstancePoller`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PollerSettings {
    /// Seed of the jitter; differs between instances.
    pub seed: u64,
    /// Shortest time between the starts of two calls: at most one call in this span.
    pub period: Millis,
    /// Deadline of a call.
    pub timeout: Millis,
    /// A wake later than this counts as late.
    pub late_wake_threshold: Millis,
    /// Pauses after failures.
    pub backoff: BackoffSettings,
}

impl Default for PollerSettings {
    fn default() -> PollerSettings {
        PollerSettings {
            seed: 0,
            period: Millis::from_secs(1),
            timeout: Millis::from_secs(1),
            late_wake_threshold: Millis::from_secs(1),
            backoff: BackoffSettings {
                max_pause: MAX_PAUSE,
                ..BackoffSettings::default()
            },
        }
    }
}

/// Polls the instance list, one call at a time. The end of each is published: whoever acts on the
/// list tells by it how old the list is.
///
/// A list that is older than an earlier one, or empty, is reported and not
/// applied: an empty list would take every backend server out of use at once, and at least this
/// instance belongs on it.
#[derive(Clone, Debug)]
pub struct InstancePoller {
    settings: PollerSettings,
    health: Health,
    alarm: Alarm,
    outstanding: Outstanding,
    next_start: Millis,
    revision: Option<u64>,
    confirmed: Option<Millis>,
    doubt: Option<Report>,
}

impl InstancePoller {
    /// A poller that has read nothing; its first [`Event::Tick`] starts it.
    pub fn new(settings: PollerSettings) -> InstancePoller {
        InstancePoller {
            health: Health::new(settings.backoff, settings.seed),
            alarm: Alarm::new(settings.late_wake_threshold),
            outstanding: Outstanding::default(),
            next_start: Millis::ZERO,
            revision: None,
            confirmed: None,
            doubt: None,
            settings,
        }
    }

    /// When the list in use was last confirmed; `None` before the first time, and after a late wake
    /// until it has been read again.
    pub fn confirmed_at(&self) -> Option<Millis> {
        self.confirmed
    }

    fn check_alarm(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let Some(late) = self.alarm.late(now) else {
            return;
        };
        for waiting in self.outstanding.take_all() {
            actions.push(Action::Cancel { id: waiting.id });
        }
        self.confirmed = None;
        actions.push(report(Report::LateWake { late }));
    }

    fn handle(&mut self, event: Event, now: Millis, actions: &mut Vec<Action>) {
        match event {
            Event::Answered { call, answer } if self.outstanding.take(call).is_some() => {
                self.take_answer(answer, now, actions);
            }
            Event::Failed { call, failure } if self.outstanding.take(call).is_some() => {
                self.fail(failure, now, actions);
            }
            _ => {}
        }
    }

    fn take_answer(&mut self, answer: Answer, now: Millis, actions: &mut Vec<Action>) {
        let Answer::Instances(list) = answer else {
            let failure = Failure::Malformed("answer to another call".into());
            return self.fail(failure, now, actions);
        };
        actions.extend(self.health.answered(now).map(report));
        self.health.reset();
        match self.doubt_of(&list) {
            Some(doubt) => self.tell_doubt(doubt, actions),
            None => self.apply(list, now, actions),
        }
    }

    fn doubt_of(&self, list: &InstanceList) -> Option<Report> {
        let held = self.revision.unwrap_or(0);
        if list.revision < held {
            let offered = list.revision;
            return Some(Report::OlderRevision { offered, held });
        }
        list.instances.is_empty().then_some(Report::EmptyList)
    }

    fn tell_doubt(&mut self, doubt: Report, actions: &mut Vec<Action>) {
        actions.push(Action::Publish(Update::Unavailable));
        if self.doubt.as_ref() != Some(&doubt) {
            actions.push(report(doubt.clone()));
            self.doubt = Some(doubt);
        }
    }

    fn apply(&mut self, list: InstanceList, now: Millis, actions: &mut Vec<Action>) {
        self.confirmed = Some(now);
        self.doubt = None;
        if self.revision == Some(list.revision) {
            actions.push(Action::Publish(Update::Unchanged));
            return;
        }
        self.revision = Some(list.revision);
        if let Some(first) = list.misfits.first() {
            let count = list.misfits.len();
            let cause = first.cause.clone();
            actions.push(report(Report::MalformedEntries { count, cause }));
        }
        actions.push(Action::Publish(Update::Instances(list)));
    }

    fn fail(&mut self, failure: Failure, now: Millis, actions: &mut Vec<Action>) {
        actions.push(Action::Publish(Update::Unavailable));
        actions.extend(self.health.fail(failure, now).map(report));
    }

    fn expire(&mut self, now: Millis, actions: &mut Vec<Action>) {
        for waiting in self.outstanding.take_expired(now) {
            actions.push(Action::Cancel { id: waiting.id });
            self.fail(Failure::Timeout, now, actions);
        }
    }

    fn start(&mut self, now: Millis, actions: &mut Vec<Action>) {
        if self.due().is_none_or(|due| now < due) {
            return;
        }
        self.next_start = now + self.settings.period;
        let timeout = self.settings.timeout;
        actions.push(self.outstanding.start(Call::Instances, now, timeout));
    }

    /// When the next call is due; `None` while one waits.
    fn due(&self) -> Option<Millis> {
        let idle = self.outstanding.iter().next().is_none();
        idle.then(|| self.health.ready_at().max(self.next_start))
    }
}

impl Machine for InstancePoller {
    fn step(&mut self, event: Event, now: Millis) -> Vec<Action> {
        let mut actions = Vec::new();
        self.check_alarm(now, &mut actions);
        self.handle(event, now, &mut actions);
        self.expire(now, &mut actions);
        self.start(now, &mut actions);
        let due = self.due().unwrap_or(Millis::MAX);
        self.alarm.set(due.min(self.outstanding.deadline()));
        actions
    }

    fn next_wake(&self) -> Millis {
        self.alarm.at()
    }
}

fn report(report: Report) -> Action {
    Action::Publish(Update::Report(report))
}
