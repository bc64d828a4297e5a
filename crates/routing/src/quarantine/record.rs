//! What is remembered of one request under which servers ended.

use super::Incarnation;
use super::QuarantineSettings;
use super::ReportedEnd;

/// Maximum number of ends kept per request. Also bounds how often its span is doubled.
const MOST_ENDS: usize = 6;

/// Rounds in which something new is told. Told to three others in each, and told on by whoever hears it, it reaches
/// every one of some hundred instances, also where a third of the packets is lost.
const TELLING_ROUNDS: u8 = 5;

/// Bytes of a fingerprint and of an end, encoded, at most.
const CONTENT_BYTES: usize = 20;
const END_BYTES: usize = 21;

/// The end of a server under a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct End {
    pub(super) server: Incarnation,
    pub(super) sent: i64,
    pub(super) ended: i64,
    /// Whether the request was served after.
    pub(super) cleared: bool,
}

#[derive(Clone, Debug, Default)]
pub(super) struct Record {
    /// By the time of the end, the latest last; one for each server.
    ends: Vec<End>,
    /// Rounds in which it is still to be told.
    rounds: u8,
}

impl Record {
    /// Adds what is known from elsewhere. The same again changes nothing, and the order doesn't matter.
    pub(super) fn merge(&mut self, ends: Vec<End>) {
        let mut changed = false;
        for end in ends {
            let known = self.ends.iter_mut();
            match known.into_iter().find(|known| known.server == end.server) {
                Some(known) => {
                    changed |= end.cleared && !known.cleared;
                    known.cleared |= end.cleared;
                    // Each way from one instance to the next makes an age too small by its delay.
                    known.sent = known.sent.min(end.sent);
                    known.ended = known.ended.min(end.ended);
                }
                None => changed |= self.add(end),
            }
        }
        if changed {
            self.rounds = TELLING_ROUNDS;
        }
        self.ends.sort_by_key(|end| end.ended);
    }

    /// Inserts the end of a server that isn't known and returns whether it was kept.
    ///
    /// Over the limit, evicts the oldest overlapping end or, if there is none, the oldest end.
    fn add(&mut self, end: End) -> bool {
        let place = self.ends.partition_point(|known| known.ended <= end.ended);
        self.ends.insert(place, end);
        if self.ends.len() <= MOST_ENDS {
            return true;
        }
        let evicted = self.oldest_overlapping().unwrap_or(0);
        self.ends.remove(evicted);
        place != evicted
    }

    /// Returns the index of the oldest end that isn't counted because its run overlaps with a counted one.
    ///
    /// Evicting by age alone would leave only overlapping ends when many copies of a request run concurrently, so the
    /// request would never be held back.
    fn oldest_overlapping(&self) -> Option<usize> {
        let mut last = i64::MIN;
        for (place, end) in self.ends.iter().enumerate() {
            if end.cleared {
                continue;
            }
            if end.sent < last {
                return Some(place);
            }
            last = end.ended;
        }
        None
    }

    /// The request was served; returns whether anything was held against it.
    pub(super) fn clear(&mut self) -> bool {
        let open = self.ends.iter().any(|end| !end.cleared);
        for end in &mut self.ends {
            end.cleared = true;
        }
        if open {
            self.rounds = TELLING_ROUNDS;
        }
        open
    }

    /// How many of its runs ended their servers, each sent after the one before had ended.
    ///
    /// Runs at the same time count once. A rack that loses power ends several servers at a moment, and an impatient
    /// caller has copies of its request on all of them; counted each, they would have it held back for nothing.
    pub(super) fn ends_in_turn(&self) -> usize {
        self.unexplained(&[])
    }

    /// The same without servers whose ends are explained by another request.
    pub(super) fn unexplained(&self, explained: &[Incarnation]) -> usize {
        let mut count = 0;
        let mut last = i64::MIN;
        let open = self.ends.iter().filter(|end| !end.cleared);
        for end in open.filter(|end| !explained.contains(&end.server)) {
            if end.sent >= last {
                count += 1;
                last = end.ended;
            }
        }
        count
    }

    /// Until when the request is held back after so many ends, if it is.
    pub(super) fn held_until(&self, ends: usize, settings: &QuarantineSettings) -> Option<i64> {
        let over = ends.checked_sub(settings.limit)?;
        Some(self.last_end() + span(settings, over))
    }

    /// Until when it matters: as long again as it is held back, so that the next end after that doubles the span.
    pub(super) fn kept_until(&self, settings: &QuarantineSettings) -> i64 {
        let over = self.ends_in_turn().saturating_sub(settings.limit);
        self.last_end() + 2 * span(settings, over)
    }

    /// When the last server ended under it.
    pub(super) fn last_end(&self) -> i64 {
        self.ends.last().map_or(i64::MIN / 2, |end| end.ended)
    }

    /// How many servers ended under it.
    pub(super) fn open_ends(&self) -> usize {
        self.ends.iter().filter(|end| !end.cleared).count()
    }

    pub(super) fn servers(&self) -> Vec<Incarnation> {
        let open = self.ends.iter().filter(|end| !end.cleared);
        open.map(|end| end.server).collect()
    }

    /// Whether others may not know it yet.
    pub(super) fn is_news(&self) -> bool {
        self.rounds > 0
    }

    /// It was told in one round.
    pub(super) fn told(&mut self) {
        self.rounds = self.rounds.saturating_sub(1);
    }

    pub(super) fn told_bytes(&self) -> usize {
        CONTENT_BYTES + self.ends.len() * END_BYTES
    }

    pub(super) fn tell(&self, now: i64) -> Vec<ReportedEnd> {
        let ends = self.ends.iter().map(|end| ReportedEnd {
            server: end.server,
            sent_ago: ago(now, end.sent),
            ended_ago: ago(now, end.ended),
            cleared: end.cleared,
        });
        ends.collect()
    }
}

fn span(settings: &QuarantineSettings, over: usize) -> i64 {
    let span = i64::try_from(settings.span.0).unwrap_or(i64::MAX);
    span.saturating_mul(1 << over.min(MOST_ENDS))
}

fn ago(now: i64, time: i64) -> u32 {
    u32::try_from((now - time).max(0)).unwrap_or(u32::MAX)
}
