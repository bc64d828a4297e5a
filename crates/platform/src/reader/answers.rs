//! What the reader makes of answers and failures.

use crocushold_base::Millis;

use crate::call::Action;
use crate::call::Answer;
use crate::call::Call;
use crate::call::Failure;
use crate::outstanding::Waiting;
use crate::reader::ConfigReader;
use crate::reader::index::Trust;
use crate::reader::parts::PartFailure;
use crate::reader::report;
use crate::report::Report;
use crate::wire::ConfigIndex;
use crate::wire::PartText;

impl ConfigReader {
    pub(super) fn take_answer(
        &mut self,
        waiting: &Waiting,
        answer: Answer,
        now: Millis,
        actions: &mut Vec<Action>,
    ) {
        match (&waiting.call, answer) {
            (Call::Index | Call::Watch { .. }, Answer::Index(index)) => {
                self.take_index(waiting, &index, now, actions);
            }
            (Call::Part { team }, Answer::Part(text)) => {
                self.take_part(team, text, now, actions);
            }
            _ => {
                let failure = Failure::Malformed("answer to another call".into());
                self.fail(waiting, failure, now, actions);
            }
        }
    }

    fn take_index(
        &mut self,
        waiting: &Waiting,
        index: &ConfigIndex,
        now: Millis,
        actions: &mut Vec<Action>,
    ) {
        actions.extend(self.health.answered(now).map(report));
        match self.index.judge(index) {
            Trust::Accepted => {}
            Trust::Older => {
                let held = self.index.highest();
                let offered = index.revision;
                return self.reject(Report::OlderRevision { offered, held }, now, actions);
            }
            Trust::Differs => {
                let revision = index.revision;
                return self.reject(Report::SameRevisionDiffers { revision }, now, actions);
            }
        }
        self.confirmed = Some(now);
        self.reread = false;
        self.pace_after(waiting, index, now, actions);
        if self.index.is_news(index) {
            let reports = self.parts.aim(index);
            actions.extend(reports.into_iter().map(report));
            self.index.accept(index);
        }
    }

    /// Doesn't believe an answer: tells once, and reads again later.
    fn reject(&mut self, doubt: Report, now: Millis, actions: &mut Vec<Action>) {
        self.reread = true;
        self.health.back_off(now);
        self.tell_doubt(doubt, actions);
    }

    /// Puts off the next watch when this one came back at once for nothing.
    ///
    /// A service that doesn't hold watches would otherwise be asked in a loop, out of the budget
    /// that all readers share.
    fn pace_after(
        &mut self,
        waiting: &Waiting,
        index: &ConfigIndex,
        now: Millis,
        actions: &mut Vec<Action>,
    ) {
        let waited = now.since(waiting.started);
        let hasty = match waiting.call {
            Call::Watch { after, wait } => index.revision == after && waited.0 < wait.0 / 2,
            _ => false,
        };
        if hasty {
            self.health.back_off(now);
            if !matches!(self.doubt, Some(Report::HastyWatch { .. })) {
                self.tell_doubt(Report::HastyWatch { waited }, actions);
            }
        } else {
            self.health.reset();
            self.doubt = None;
        }
    }

    fn tell_doubt(&mut self, doubt: Report, actions: &mut Vec<Action>) {
        if self.doubt.as_ref() != Some(&doubt) {
            actions.push(report(doubt.clone()));
            self.doubt = Some(doubt);
        }
    }

    fn take_part(&mut self, team: &str, text: PartText, now: Millis, actions: &mut Vec<Action>) {
        let revision = text.revision;
        if let Err(failure) = self.parts.take(team, text) {
            return self.fail_part(team, failure, now, actions);
        }
        // The part changed after the index was read: the index is older than what is known to
        // exist, and nothing is published until it has caught up.
        if self.index.raise(revision) {
            self.reread = true;
        }
    }

    pub(super) fn fail(
        &mut self,
        waiting: &Waiting,
        failure: Failure,
        now: Millis,
        actions: &mut Vec<Action>,
    ) {
        match &waiting.call {
            Call::Part { team } => {
                self.health.throttle(&failure, now);
                let failure = PartFailure::Call(failure);
                self.fail_part(team, failure, now, actions);
            }
            _ => {
                self.reread = true;
                actions.extend(self.health.fail(failure, now).map(report));
            }
        }
    }

    fn fail_part(
        &mut self,
        team: &str,
        failure: PartFailure,
        now: Millis,
        actions: &mut Vec<Action>,
    ) {
        let told = self.parts.fail(team, failure, &mut self.health, now);
        actions.extend(told.map(report));
    }
}
