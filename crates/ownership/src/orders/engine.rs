//! What one engine needs next.

use crocushold_base::Millis;

use super::message::EngineReport;
use super::message::Fencing;
use super::message::Order;
use super::message::OrderKind;
use super::message::Target;
use super::settings::OrderSettings;

/// What an instance knows of an engine and has begun on it.
#[derive(Clone, Debug)]
pub(super) struct Engine {
    pub(super) target: Target,
    /// When this target was first seen.
    pub(super) stated_at: Millis,
    /// The revision at which it was first seen.
    stated_in: u64,
    /// When this instance became the owner; `None` while another is.
    pub(super) owned_since: Option<Millis>,
    pub(super) report: Option<EngineReport>,
    /// When the last order was sent or the last reading was asked for.
    pub(super) order_at: Option<Millis>,
    pub(super) read_at: Option<Millis>,
    /// An order whose answer hasn't come.
    pub(super) pending: bool,
    /// The highest number that the engine is known to have obeyed.
    pub(super) fence: u64,
}

/// The next step on an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Step {
    Idle,
    Read,
    Send(Order),
}

impl Engine {
    pub(super) fn new(target: Target, now: Millis) -> Engine {
        Engine {
            stated_in: target.revision,
            target,
            stated_at: now,
            owned_since: None,
            report: None,
            order_at: None,
            read_at: None,
            pending: false,
            fence: 0,
        }
    }

    /// Replaces the target by a newer one; an older one is dropped.
    pub(super) fn retarget(&mut self, target: Target, now: Millis) {
        if target.revision <= self.target.revision {
            return;
        }
        let same = target.models == self.target.models && target.role == self.target.role;
        if !same {
            self.stated_at = now;
            self.stated_in = target.revision;
        }
        self.target = target;
    }

    pub(super) fn is_outdated(&self) -> bool {
        self.target.fencing == Fencing::Checked && self.fence > self.target.revision
    }

    /// `quorum_since` is when this instance last began to see a majority of the fleet.
    pub(super) fn step(
        &self,
        settings: &OrderSettings,
        quorum_since: Option<Millis>,
        now: Millis,
    ) -> Step {
        let Some(owned_since) = self.owned_since else {
            return Step::Idle;
        };
        if self.is_outdated() || self.is_spaced(settings, now) {
            return Step::Idle;
        }
        match self.target.fencing {
            Fencing::Checked => self.act(settings, now),
            Fencing::Ignored => match quorum_since {
                Some(since) if self.has_outwaited(owned_since.max(since), settings, now) => {
                    self.act(settings, now)
                }
                _ => Step::Idle,
            },
        }
    }

    /// An engine that obeys everybody is protected by time and majority alone. A former owner that
    /// was stopped or cut off acts for a lease after its last confirmed view, and its last order is
    /// under way for a call's limit; until then its orders could mix with ours. In a long partition
    /// each side has an owner, perhaps with another revision, and they would undo each other's
    /// orders for ever; only one side can hold a majority.
    fn has_outwaited(&self, since: Millis, settings: &OrderSettings, now: Millis) -> bool {
        now.since(since) >= settings.takeover_delay
    }

    fn act(&self, settings: &OrderSettings, now: Millis) -> Step {
        let Some(report) = self.fresh_report(settings, now) else {
            return self.read(settings, now);
        };
        let Some(kind) = self.difference(report, settings, now) else {
            return Step::Idle;
        };
        Step::Send(Order {
            engine: self.target.engine,
            fence: self.target.revision,
            kind,
        })
    }

    /// A report from before the last order or before the takeover says nothing of the engine's
    /// present state.
    fn fresh_report(&self, settings: &OrderSettings, now: Millis) -> Option<&EngineReport> {
        let report = self.report.as_ref()?;
        let after_order = self.order_at.is_none_or(|at| report.asked_at > at);
        let after_takeover = self.owned_since.is_some_and(|at| report.asked_at >= at);
        let young = now.since(report.asked_at) <= settings.max_report_age;
        (after_order && after_takeover && young).then_some(report)
    }

    fn read(&self, settings: &OrderSettings, now: Millis) -> Step {
        let waiting = self
            .read_at
            .is_some_and(|at| now.since(at) < settings.min_order_interval);
        if waiting { Step::Idle } else { Step::Read }
    }

    /// An order may leave until `spacing` after it was decided, and is under way for a call's limit from
    /// then on. Counted from the decision alone, the wait would end while it can still arrive: an unload
    /// of a replaced text would be obeyed after the first order of the newer one.
    fn is_spaced(&self, settings: &OrderSettings, now: Millis) -> bool {
        let since = self.order_at.map(|at| now.since(at));
        match since {
            Some(span) if self.pending => {
                span < settings.min_order_interval + settings.call_timeout
            }
            Some(span) => span < settings.min_order_interval,
            None => false,
        }
    }

    /// Loads come first, so that an engine never loses a model before its successor is there.
    fn difference(
        &self,
        report: &EngineReport,
        settings: &OrderSettings,
        now: Millis,
    ) -> Option<OrderKind> {
        let missing = |model: &&_| !report.models.contains(model);
        if let Some(model) = self.target.models.iter().find(missing) {
            return Some(OrderKind::Load(*model));
        }
        // A target that changes to and fro would tear models down as often; loading again costs the
        // weight store minutes. Destructive orders wait until the target has stood for a while.
        if now.since(self.stated_at) < settings.stabilization {
            return None;
        }
        if let Some(role) = self.target.role.filter(|role| *role != report.role) {
            return Some(OrderKind::Role(role));
        }
        let extra = |model: &&_| !self.target.models.contains(model);
        match report.models.iter().find(extra) {
            Some(model) => Some(OrderKind::Unload(*model)),
            None => self.raise(report),
        }
    }

    /// An engine that is as wanted by luck still has an old number, and would obey an instance that
    /// wakes with an old text. A load of a model that it has raises the number and changes nothing, and
    /// so does the role that it plays already.
    fn raise(&self, report: &EngineReport) -> Option<OrderKind> {
        let unfenced = self.target.fencing == Fencing::Checked && report.fence < self.stated_in;
        if !unfenced {
            return None;
        }
        let first = self.target.models.first();
        let load = first.map(|model| OrderKind::Load(*model));
        load.or(self.target.role.map(OrderKind::Role))
    }
}
