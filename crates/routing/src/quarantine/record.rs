//! The record of one request or prompt part that ran on servers whose processes ended.

use crocushold_base::Millis;

use super::Incarnation;
use super::ReportedEnd;
use super::Run;
use super::signed;

/// Number of ends kept per request: those that ended first, and those that ended last. An end has its
/// place by its own time and server, so that instances keep the same ones in whatever order they
/// hear of them.
const MAX_FIRST_ENDS: usize = 16;
const MAX_LAST_ENDS: usize = 16;

/// Maximum number of times that the span is doubled.
const MAX_DOUBLINGS: usize = 4;

/// Number of gossip rounds that repeat a change. Sent to three instances per round and passed on by
/// each receiver, it reaches every one of some hundred instances even if a third of the packets is
/// lost.
const GOSSIP_ROUNDS: u8 = 5;

/// Maximum encoded sizes of a fingerprint and of an end, in bytes.
const CONTENT_BYTES: usize = 20;
const END_BYTES: usize = 21;

/// The end of a server that ran the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct End {
    pub(super) server: Incarnation,
    pub(super) sent: i64,
    pub(super) ended: i64,
    /// Whether it was served afterwards.
    pub(super) cleared: bool,
}

impl End {
    /// The end of the server that cut a run at `cut`.
    pub(super) fn of_run(run: &Run, cut: Millis) -> End {
        End {
            server: run.server,
            sent: signed(run.sent),
            ended: signed(cut),
            cleared: false,
        }
    }

    /// Its place among the ends of a request.
    fn place(&self) -> (i64, Incarnation) {
        (self.ended, self.server)
    }
}

#[derive(Clone, Debug, Default)]
pub(super) struct Record {
    /// Sorted by time of the end and by server; one for each server.
    ends: Vec<End>,
    /// Remaining gossip rounds.
    remaining_rounds: u8,
    /// Since when this instance has known of enough ends for a quarantine, if it does.
    grave_since: Option<i64>,
    /// When this instance last tried it.
    tried_at: Option<i64>,
}

impl Record {
    /// Merges ends that are known from elsewhere. The operation is idempotent and independent of
    /// the order.
    pub(super) fn merge(&mut self, ends: Vec<End>) {
        let mut changed = false;
        for end in ends {
            let known = self.ends.iter_mut();
            match known.into_iter().find(|known| known.server == end.server) {
                Some(known) => {
                    changed |= end.cleared && !known.cleared;
                    known.cleared |= end.cleared;
                    // Each hop between instances makes an age too small by its delay.
                    known.sent = known.sent.min(end.sent);
                    known.ended = known.ended.min(end.ended);
                }
                None => changed |= self.add(end),
            }
        }
        if changed {
            self.remaining_rounds = GOSSIP_ROUNDS;
        }
        self.ends.sort_by_key(End::place);
    }

    /// Inserts the end of an unknown server and returns whether it was kept.
    ///
    /// Over the limit, evicts an end from the middle. The last ends alone would all overlap when
    /// many copies of a request run concurrently, so the request would never be quarantined; any of
    /// them that was sent after the first ones ended counts beside those.
    fn add(&mut self, end: End) -> bool {
        let index = self
            .ends
            .partition_point(|known| known.place() < end.place());
        self.ends.insert(index, end);
        if self.ends.len() <= MAX_FIRST_ENDS + MAX_LAST_ENDS {
            return true;
        }
        self.ends.remove(MAX_FIRST_ENDS);
        index != MAX_FIRST_ENDS
    }

    /// Clears the ends before a time. Returns whether any of them counted.
    pub(super) fn clear_before(&mut self, time: i64) -> bool {
        let ends = self.ends.iter_mut();
        let mut changed = false;
        for end in ends.filter(|end| !end.cleared && end.ended < time) {
            end.cleared = true;
            changed = true;
        }
        if changed {
            self.remaining_rounds = GOSSIP_ROUNDS;
        }
        changed
    }

    /// Returns the number of runs that ended their servers, each sent after the previous one had
    /// ended.
    ///
    /// Overlapping runs count once. A rack that loses power ends several servers at once, and an
    /// impatient caller may have copies of its request on all of them. Counting each copy would
    /// quarantine the request without cause.
    pub(super) fn consecutive_ends(&self) -> usize {
        count_consecutive(self.open())
    }

    /// Like `consecutive_ends`, with further ends of other servers.
    pub(super) fn ends_with(&self, further: &[End]) -> usize {
        let mut ends: Vec<&End> = self.open().chain(further).collect();
        ends.sort_by_key(|end| end.place());
        count_consecutive(ends.into_iter())
    }

    /// Like `consecutive_ends`, only those between two times.
    pub(super) fn ends_between(&self, from: i64, to: i64) -> usize {
        count_consecutive(self.open().filter(|end| (from..to).contains(&end.ended)))
    }

    /// Like `consecutive_ends`, without those of the given servers.
    pub(super) fn ends_without(&self, servers: &[Incarnation]) -> usize {
        count_consecutive(self.open().filter(|end| !servers.contains(&end.server)))
    }

    /// Like `consecutive_ends`, without the servers whose ends another suspect explains. Ends within
    /// `burst` of each other count once if `is_common` says that so many consecutive ends around a time
    /// have another cause.
    pub(super) fn unexplained(
        &self,
        explained: &[Incarnation],
        burst: i64,
        is_common: impl Fn(usize, i64) -> bool,
    ) -> usize {
        let open = self.open().filter(|end| !explained.contains(&end.server));
        let open: Vec<&End> = open.collect();
        let mut rest = open.as_slice();
        let mut run = Consecutive::default();
        while let Some(first) = rest.first() {
            let within = rest.partition_point(|end| end.ended < first.ended + burst);
            let (group, later) = rest.split_at(within);
            rest = later;
            let consecutive = count_consecutive(group.iter().copied());
            let counted = if consecutive > 1 && is_common(consecutive, first.ended) {
                &group[..1]
            } else {
                group
            };
            run.extend(counted.iter().copied());
            if counted.len() < group.len() {
                run.last = group[group.len() - 1].ended;
            }
        }
        run.count
    }

    fn open(&self) -> impl Iterator<Item = &End> {
        self.ends.iter().filter(|end| !end.cleared)
    }

    /// Returns until when it is quarantined after `ends` ends, first for `span` from `limit` ends on,
    /// or `None` if it isn't.
    pub(super) fn quarantined_until(&self, ends: usize, span: Millis, limit: usize) -> Option<i64> {
        let excess = ends.checked_sub(limit)?;
        Some(self.last_end() + doubled(span, excess))
    }

    /// Returns when the record expires. It is kept for twice the quarantine, so that another end
    /// after the quarantine doubles the span.
    pub(super) fn expires_at(&self, span: Millis, limit: usize) -> i64 {
        let excess = self.consecutive_ends().saturating_sub(limit);
        self.last_end() + 2 * doubled(span, excess)
    }

    /// Returns when the last server ended.
    pub(super) fn last_end(&self) -> i64 {
        self.ends.last().map_or(i64::MIN / 2, |end| end.ended)
    }

    /// Returns the number of ends that aren't cleared.
    pub(super) fn open_ends(&self) -> usize {
        self.ends.iter().filter(|end| !end.cleared).count()
    }

    pub(super) fn servers(&self) -> Vec<Incarnation> {
        let open = self.ends.iter().filter(|end| !end.cleared);
        open.map(|end| end.server).collect()
    }

    /// Updates since when this instance has known of `limit` consecutive ends or more.
    pub(super) fn update_grave(&mut self, limit: usize, now: i64) {
        let is_grave = self.consecutive_ends() >= limit;
        self.grave_since = is_grave.then(|| self.grave_since.unwrap_or(now));
    }

    /// Returns since when this instance has known of enough ends for a quarantine.
    pub(super) fn grave_since(&self) -> Option<i64> {
        self.grave_since
    }

    /// Starts a trial if the last end and the last trial are an `interval` ago.
    pub(super) fn start_trial(&mut self, interval: i64, now: i64) -> bool {
        let last = self
            .tried_at
            .map_or(self.last_end(), |at| at.max(self.last_end()));
        let is_due = now >= last + interval;
        if is_due {
            self.tried_at = Some(now);
        }
        is_due
    }

    /// Returns whether other instances may not know the record yet.
    pub(super) fn needs_gossip(&self) -> bool {
        self.remaining_rounds > 0
    }

    /// Records that the record was sent in one round.
    pub(super) fn mark_sent(&mut self) {
        self.remaining_rounds = self.remaining_rounds.saturating_sub(1);
    }

    pub(super) fn encoded_bytes(&self) -> usize {
        CONTENT_BYTES + self.ends.len() * END_BYTES
    }

    pub(super) fn report(&self, now: i64) -> Vec<ReportedEnd> {
        let ends = self.ends.iter().map(|end| ReportedEnd {
            server: end.server,
            sent_ago: ago(now, end.sent),
            ended_ago: ago(now, end.ended),
            cleared: end.cleared,
        });
        ends.collect()
    }
}

/// Counts ends, each of a run that was sent after the one before had ended.
struct Consecutive {
    count: usize,
    /// When the last one ended.
    last: i64,
}

impl Default for Consecutive {
    fn default() -> Consecutive {
        Consecutive {
            count: 0,
            last: i64::MIN,
        }
    }
}

impl Consecutive {
    fn extend<'a>(&mut self, ends: impl Iterator<Item = &'a End>) {
        for end in ends {
            if end.sent >= self.last {
                self.count += 1;
                self.last = end.ended;
            }
        }
    }
}

fn count_consecutive<'a>(ends: impl Iterator<Item = &'a End>) -> usize {
    let mut run = Consecutive::default();
    run.extend(ends);
    run.count
}

fn doubled(span: Millis, excess: usize) -> i64 {
    let span = i64::try_from(span.0).unwrap_or(i64::MAX);
    span.saturating_mul(1 << excess.min(MAX_DOUBLINGS))
}

pub(super) fn ago(now: i64, time: i64) -> u32 {
    u32::try_from((now - time).max(0)).unwrap_or(u32::MAX)
}
