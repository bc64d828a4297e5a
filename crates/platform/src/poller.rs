//! Polls the instance list.

use crocushold_base::Millis;

use crate::backoff::BackoffSettings;
use crate::call::Action;
use crate::call::Answer;
use crate::call::Call;
use crate::call::Event;
use crate::call::Failure;
use crate::call::Machine;
use crate::call::Update;
use crate::health::Health;
use crate::health::WakeDeadline;
use crate::pending::PendingCalls;
use crate::report::Report;
use crate::wire::InstanceList;

/// Longest pause between two failed polls. A server that left the list during an outage must be out
/// of use within a few seconds after the outage ends.
const MAX_PAUSE: Millis = Millis::from_secs(2);

/// Polling interval, timeout and backoff of an [`InstancePoller`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PollerSettings {
    /// Seed of the jitter; must differ between instances.
    pub seed: u64,
    /// Minimum time between the starts of two calls.
    pub period: Millis,
    /// Timeout of a call.
    pub timeout: Millis,
    /// A wake-up delayed by more than this counts as late.
    pub late_wake_threshold: Millis,
    /// Backoff after failures.
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

/// Polls the instance list, one call at a time.
///
/// The end of each call is published, so that users of the list know how old it is.
///
/// A list that is empty or older than an earlier one is reported and not applied. An empty list
/// would take every backend server out of use at once, and can't be correct, since it should
/// contain at least this instance.
#[derive(Clone, Debug)]
pub struct InstancePoller {
    settings: PollerSettings,
    health: Health,
    wake: WakeDeadline,
    pending: PendingCalls,
    next_start: Millis,
    revision: Option<u64>,
    confirmed: Option<Millis>,
    rejection: Option<Report>,
}

impl InstancePoller {
    /// Creates a poller. The first [`Event::Tick`] starts it.
    pub fn new(settings: PollerSettings) -> InstancePoller {
        InstancePoller {
            health: Health::new(settings.backoff, settings.seed),
            wake: WakeDeadline::new(settings.late_wake_threshold),
            pending: PendingCalls::default(),
            next_start: Millis::ZERO,
            revision: None,
            confirmed: None,
            rejection: None,
            settings,
        }
    }

    /// Returns when the list in use was last confirmed. `None` before the first read, and after a
    /// late wake-up until the list has been read again.
    pub fn confirmed_at(&self) -> Option<Millis> {
        self.confirmed
    }

    fn check_lateness(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let Some(late) = self.wake.lateness(now) else {
            return;
        };
        for call in self.pending.take_all() {
            actions.push(Action::Cancel { id: call.id });
        }
        self.confirmed = None;
        actions.push(report(Report::LateWake { late }));
    }

    fn handle(&mut self, event: Event, now: Millis, actions: &mut Vec<Action>) {
        match event {
            Event::Answered { call, answer } if self.pending.take(call).is_some() => {
                self.take_answer(answer, now, actions);
            }
            Event::Failed { call, failure } if self.pending.take(call).is_some() => {
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
        actions.extend(self.health.record_success(now).map(report));
        self.health.clear_backoff();
        match self.rejection_of(&list) {
            Some(rejection) => self.report_rejection(rejection, actions),
            None => self.apply(list, now, actions),
        }
    }

    fn rejection_of(&self, list: &InstanceList) -> Option<Report> {
        let held = self.revision.unwrap_or(0);
        if list.revision < held {
            let offered = list.revision;
            return Some(Report::OlderRevision { offered, held });
        }
        list.instances.is_empty().then_some(Report::EmptyList)
    }

    fn report_rejection(&mut self, rejection: Report, actions: &mut Vec<Action>) {
        actions.push(Action::Publish(Update::Unavailable));
        if self.rejection.as_ref() != Some(&rejection) {
            actions.push(report(rejection.clone()));
            self.rejection = Some(rejection);
        }
    }

    fn apply(&mut self, list: InstanceList, now: Millis, actions: &mut Vec<Action>) {
        self.confirmed = Some(now);
        self.rejection = None;
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
        actions.extend(self.health.record_failure(failure, now).map(report));
    }

    fn expire(&mut self, now: Millis, actions: &mut Vec<Action>) {
        for expired in self.pending.take_expired(now) {
            actions.push(Action::Cancel { id: expired.id });
            self.fail(Failure::Timeout, now, actions);
        }
    }

    fn start(&mut self, now: Millis, actions: &mut Vec<Action>) {
        if self.due().is_none_or(|due| now < due) {
            return;
        }
        self.next_start = now + self.settings.period;
        let timeout = self.settings.timeout;
        actions.push(self.pending.start(Call::Instances, now, timeout));
    }

    /// Returns when the next call is due, or `None` while one is in progress.
    fn due(&self) -> Option<Millis> {
        let idle = self.pending.iter().next().is_none();
        idle.then(|| self.health.ready_at().max(self.next_start))
    }
}

impl Machine for InstancePoller {
    fn step(&mut self, event: Event, now: Millis) -> Vec<Action> {
        let mut actions = Vec::new();
        self.check_lateness(now, &mut actions);
        self.handle(event, now, &mut actions);
        self.expire(now, &mut actions);
        self.start(now, &mut actions);
        let due = self.due().unwrap_or(Millis::MAX);
        self.wake.set(due.min(self.pending.earliest_deadline()));
        actions
    }

    fn next_wake(&self) -> Millis {
        self.wake.at()
    }
}

fn report(report: Report) -> Action {
    Action::Publish(Update::Report(report))
}
