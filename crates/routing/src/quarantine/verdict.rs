//! Which requests are refused.

use crocushold_base::Millis;

use super::Fingerprint;
use super::Incarnation;
use super::Quarantine;
use super::QuarantineRefusal;
use super::RequestContent;
use super::SuspectKind;
use super::record::End;
use super::record::Record;
use super::signed;

/// Number of ends of a part up to which other suspects explain the rest: servers end for other reasons
/// now and then.
const MAX_UNEXPLAINED_ENDS: usize = 1;

impl Quarantine {
    /// Checks whether a request may be sent to a server.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the request or a part of its prompt is quarantined.
    pub fn admit(&self, content: &RequestContent, now: Millis) -> Result<(), QuarantineRefusal> {
        let request = self.check_request(content.request, now);
        let refusals = request.into_iter().chain(self.check_parts(content, now));
        let longest = refusals.max_by_key(|refusal| refusal.retry_after);
        longest.map_or(Ok(()), Err)
    }

    /// The longest refusal by a part of the request's prompt.
    pub(super) fn check_parts(
        &self,
        content: &RequestContent,
        now: Millis,
    ) -> Option<QuarantineRefusal> {
        let parts = content.parts.iter();
        let refusals = parts.filter_map(|part| self.check_part(*part, content, now));
        refusals.max_by_key(|refusal| refusal.retry_after)
    }

    /// Returns the time until a refusal of the request is settled; zero if it is. Until then another instance
    /// may say that it has served the request, which ends the quarantine.
    pub fn settles_in(&self, content: &RequestContent, now: Millis) -> Millis {
        let request = self.requests.get(content.request).into_iter();
        let parts = content.parts.iter();
        let parts = parts.filter_map(|part| self.parts.get(*part));
        let grave = request.chain(parts).filter_map(Record::grave_since);
        let latest = grave.max().unwrap_or(i64::MIN / 2);
        let left = latest + signed(self.settings.settle) - signed(now);
        let left = Millis(left.max(0).unsigned_abs());
        left.max(self.recall_until.since(now))
    }

    /// Whether a request would be quarantined if the servers that cut it and are being checked have ended.
    pub(super) fn is_being_checked(&self, request: Fingerprint, now: Millis) -> bool {
        let cuts = self.cuts.iter().filter(|cut| !cut.inconclusive);
        let cuts = cuts.filter(|cut| cut.run.content.request == request);
        let ends: Vec<End> = cuts.map(|cut| End::of_run(&cut.run, cut.at)).collect();
        if ends.is_empty() || self.served.contains(request, now) {
            return false;
        }
        let unknown = Record::default();
        let record = self.requests.get(request).unwrap_or(&unknown);
        record.ends_with(&ends) >= self.requests.limit
    }

    pub(super) fn check_request(
        &self,
        request: Fingerprint,
        now: Millis,
    ) -> Option<QuarantineRefusal> {
        let record = self.requests.get(request)?;
        let ends = self.unexplained_ends(record);
        self.refusal(record, ends, self.requests.limit, now)
    }

    fn check_part(
        &self,
        part: Fingerprint,
        content: &RequestContent,
        now: Millis,
    ) -> Option<QuarantineRefusal> {
        let record = self.parts.get(part)?;
        let refusal = self.part_refusal(record, now)?;
        (!self.is_explained_without(record, content)).then_some(refusal)
    }

    /// The refusal of requests with a part, unless they lack another suspect that explains its ends.
    fn part_refusal(&self, record: &Record, now: Millis) -> Option<QuarantineRefusal> {
        self.refusal(record, record.consecutive_ends(), self.parts.limit, now)
    }

    /// Whether the ends of a part of a request are explained by suspects that the request doesn't have,
    /// and that are about as grave.
    ///
    /// Parts overlap nearly always: what crashes servers stands beside the same system prompt each
    /// time. A request with the one but not the other shows which of them it is: its answer clears the
    /// part, or another end leaves only the part as a cause.
    fn is_explained_without(&self, record: &Record, content: &RequestContent) -> bool {
        let parts = self.parts.grave();
        let parts = parts.filter(|(part, _)| !content.parts.contains(part));
        let requests = self.requests.grave();
        let requests = requests.filter(|(request, _)| *request != content.request);
        let others = parts.chain(requests).map(|(_, other)| other);
        let grave =
            others.filter(|other| other.open_ends() + MAX_UNEXPLAINED_ENDS >= record.open_ends());
        let explained: Vec<Incarnation> = grave.flat_map(Record::servers).collect();
        record.ends_without(&explained) <= MAX_UNEXPLAINED_ENDS
    }

    fn refusal(
        &self,
        record: &Record,
        ends: usize,
        limit: usize,
        now: Millis,
    ) -> Option<QuarantineRefusal> {
        let until = record.quarantined_until(ends, self.settings.span, limit)?;
        let left = until - signed(now);
        (left > 0).then_some(QuarantineRefusal {
            retry_after: Millis(left.unsigned_abs()),
            ends,
        })
    }

    /// Returns the number of ends counted against a request that no graver suspect explains.
    ///
    /// A request that ends servers takes down other requests that happen to run there, possibly the
    /// same one twice. But it ran on more of the ended servers than any of the others.
    fn unexplained_ends(&self, record: &Record) -> usize {
        let ends = record.consecutive_ends();
        let limit = self.settings.limit;
        if ends < limit {
            return ends;
        }
        let requests = self.requests.grave().map(|(_, other)| other);
        let graver = requests.filter(|other| other.open_ends() > record.open_ends());
        let parts = self.parts.grave().map(|(_, other)| other);
        // What crashes servers is in the part rather than in one of the requests that have it.
        let parts = parts.filter(|other| other.open_ends() >= record.open_ends());
        let explained: Vec<Incarnation> = graver.chain(parts).flat_map(Record::servers).collect();
        let burst = signed(self.settings.burst);
        record.unexplained(&explained, burst, |ends, at| {
            self.had_common_cause(ends, at)
        })
    }

    /// Whether servers that ended around `at` had another cause than the requests of which each
    /// stands under `ends` of the ends.
    ///
    /// A request that ends servers in series takes few others with it each time, as these are sent
    /// to different servers after the first end. If the servers end for another reason, everything
    /// that ran on the first one is sent again, and much of it to the next ones.
    fn had_common_cause(&self, ends: usize, at: i64) -> bool {
        let burst = signed(self.settings.burst);
        let records = self.requests.records();
        let mut suspects =
            records.filter(|record| record.ends_between(at - burst, at + burst) >= ends);
        suspects.nth(self.settings.common_suspects - 1).is_some()
    }

    /// Returns the number of quarantined suspects of a kind.
    pub fn quarantined_count(&self, kind: SuspectKind, now: Millis) -> usize {
        match kind {
            SuspectKind::Request => {
                let requests = self.requests.contents();
                let held = requests.filter(|request| self.check_request(*request, now).is_some());
                held.count()
            }
            SuspectKind::Part => {
                let parts = self.parts.contents();
                parts.filter(|part| self.is_part_held(*part, now)).count()
            }
        }
    }

    pub(super) fn is_part_held(&self, part: Fingerprint, now: Millis) -> bool {
        let record = self.parts.get(part);
        record.is_some_and(|record| self.part_refusal(record, now).is_some())
    }
}
