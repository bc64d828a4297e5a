//! Decides the next step for one engine.

use crocushold_base::Millis;

use super::message::EngineReport;
use super::message::Fencing;
use super::message::Order;
use super::message::OrderKind;
use super::message::Target;
use super::settings::OrderSettings;

/// What an instance knows of an engine and what it has sent to it.
#[derive(Clone, Debug)]
pub(super) struct Engine {
    pub(super) target: Target,
    /// When the current models and role were first seen.
    pub(super) target_since: Millis,
    /// The revision in which they were first seen.
    target_since_revision: u64,
    /// When this instance became the owner; `None` while another instance is.
    pub(super) owned_since: Option<Millis>,
    pub(super) report: Option<EngineReport>,
    /// When the last order was sent, and when the last report was requested.
    pub(super) last_order_at: Option<Millis>,
    pub(super) last_read_at: Option<Millis>,
    /// Whether an order is still unanswered.
    pub(super) pending: bool,
    /// The highest fencing token that the engine is known to have accepted.
    pub(super) fence: u64,
}

/// The next step for an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Step {
    Idle,
    Read,
    Send(Order),
}

impl Engine {
    pub(super) fn new(target: Target, now: Millis) -> Engine {
        Engine {
            target_since_revision: target.revision,
            target,
            target_since: now,
            owned_since: None,
            report: None,
            last_order_at: None,
            last_read_at: None,
            pending: false,
            fence: 0,
        }
    }

    /// Replaces the target by a newer one; an older one is ignored.
    pub(super) fn update_target(&mut self, target: Target, now: Millis) {
        if target.revision <= self.target.revision {
            return;
        }
        let same = target.models == self.target.models && target.role == self.target.role;
        if !same {
            self.target_since = now;
            self.target_since_revision = target.revision;
        }
        self.target = target;
    }

    pub(super) fn is_outdated(&self) -> bool {
        self.target.fencing == Fencing::Checked && self.fence > self.target.revision
    }

    /// `quorum_since` is the time since which this instance has seen a majority of the fleet.
    pub(super) fn step(
        &self,
        settings: &OrderSettings,
        quorum_since: Option<Millis>,
        now: Millis,
    ) -> Step {
        let Some(owned_since) = self.owned_since else {
            return Step::Idle;
        };
        if self.is_outdated() || self.is_within_order_interval(settings, now) {
            return Step::Idle;
        }
        match self.target.fencing {
            Fencing::Checked => self.next_order(settings, now),
            Fencing::Ignored => match quorum_since {
                Some(since) if self.takeover_elapsed(owned_since.max(since), settings, now) => {
                    self.next_order(settings, now)
                }
                _ => Step::Idle,
            },
        }
    }

    /// An engine that accepts orders from anyone is protected only by time and majority. A former
    /// owner that was paused or partitioned acts for up to a lease after its last confirmed view,
    /// and its last order may be in flight for up to the call timeout; until then, its orders could
    /// mix with ours. In a long partition each side has an owner, possibly with different
    /// revisions, and these would undo each other's orders forever; only one side can have a
    /// majority.
    fn takeover_elapsed(&self, since: Millis, settings: &OrderSettings, now: Millis) -> bool {
        now.since(since) >= settings.takeover_delay
    }

    fn next_order(&self, settings: &OrderSettings, now: Millis) -> Step {
        let Some(report) = self.fresh_report(settings, now) else {
            return self.next_read(settings, now);
        };
        let Some(kind) = self.next_change(report, settings, now) else {
            return Step::Idle;
        };
        Step::Send(Order {
            engine: self.target.engine,
            fence: self.target.revision,
            kind,
        })
    }

    /// A report from before the last order or before the takeover doesn't show the current state of
    /// the engine.
    fn fresh_report(&self, settings: &OrderSettings, now: Millis) -> Option<&EngineReport> {
        let report = self.report.as_ref()?;
        let after_order = self.last_order_at.is_none_or(|at| report.asked_at > at);
        let after_takeover = self.owned_since.is_some_and(|at| report.asked_at >= at);
        let recent = now.since(report.asked_at) <= settings.max_report_age;
        (after_order && after_takeover && recent).then_some(report)
    }

    fn next_read(&self, settings: &OrderSettings, now: Millis) -> Step {
        let waiting = self
            .last_read_at
            .is_some_and(|at| now.since(at) < settings.min_order_interval);
        if waiting { Step::Idle } else { Step::Read }
    }

    /// An order may be sent up to `min_order_interval` after it was decided, and is then in flight
    /// for up to the call timeout. If the wait were counted from the decision alone, it would end
    /// while the order can still arrive: an unload of an outdated configuration would be executed
    /// after the first order of the newer one.
    fn is_within_order_interval(&self, settings: &OrderSettings, now: Millis) -> bool {
        let since = self.last_order_at.map(|at| now.since(at));
        match since {
            Some(elapsed) if self.pending => {
                elapsed < settings.min_order_interval + settings.call_timeout
            }
            Some(elapsed) => elapsed < settings.min_order_interval,
            None => false,
        }
    }

    /// Loads come first, so that an engine never unloads a model before its replacement is loaded.
    fn next_change(
        &self,
        report: &EngineReport,
        settings: &OrderSettings,
        now: Millis,
    ) -> Option<OrderKind> {
        let missing = |model: &&_| !report.models.contains(model);
        if let Some(model) = self.target.models.iter().find(missing) {
            return Some(OrderKind::Load(*model));
        }
        // A target that flaps would unload models just as often, and loading them again takes
        // minutes of the weight store. Destructive orders wait until the target has been stable for
        // some time.
        if now.since(self.target_since) < settings.stabilization {
            return None;
        }
        if let Some(role) = self.target.role.filter(|role| *role != report.role) {
            return Some(OrderKind::Role(role));
        }
        let extra = |model: &&_| !self.target.models.contains(model);
        match report.models.iter().find(extra) {
            Some(model) => Some(OrderKind::Unload(*model)),
            None => self.raise_fence(report),
        }
    }

    /// An engine that already matches the target by chance still has an old fencing token and would
    /// accept orders from an instance that resumes with an older configuration. Loading a model
    /// that it already has raises the token without any other effect, and so does setting the role
    /// that it already has.
    fn raise_fence(&self, report: &EngineReport) -> Option<OrderKind> {
        let unfenced =
            self.target.fencing == Fencing::Checked && report.fence < self.target_since_revision;
        if !unfenced {
            return None;
        }
        let first = self.target.models.first();
        let load = first.map(|model| OrderKind::Load(*model));
        load.or(self.target.role.map(OrderKind::Role))
    }
}
