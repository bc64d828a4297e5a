//! When refused requests may return, and which of them have.

use std::collections::BTreeSet;
use std::collections::HashMap;

use crocushold_base::Millis;

/// How much earlier than its time a request may come back. Callers' timers and clocks count whole
/// milliseconds, some of them several.
const EARLY_SLACK: Millis = Millis(10);

/// How long after its time a request may come back. Callers may round up to whole seconds, and have to
/// connect first.
const RETURN_SPAN: Millis = Millis(1500);

/// Divisor of the rate at which requests begin for the rate at which refused ones may return. Those who
/// return go first and are late already; if they took all that begins, each newcomer would be refused
/// and served late as well.
const RATE_DIVISOR: u64 = 4;

/// The earlier refusal of a request that arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Visit {
    /// There was none of late, or it comes back at a time that wasn't reserved for it.
    First,
    /// It comes back before its time.
    Early,
    /// It comes back in its time, and takes this place.
    InTime(u64),
}

#[derive(Clone, Copy, Debug)]
struct Return {
    at: Millis,
    /// Its place, if the time is reserved for it.
    place: Option<u64>,
}

/// Hands out return times, so that those who come back find room instead of each other: an earlier
/// refusal has an earlier time, and the times are as far apart as [`RATE_DIVISOR`] requests take.
#[derive(Clone, Debug, Default)]
pub(super) struct Returns {
    next: Millis,
    kept: HashMap<u32, Return>,
    /// Until when each is kept.
    ends: BTreeSet<(Millis, u32)>,
}

impl Returns {
    /// Gives a refused request of this hash a time between `earliest` and `latest`, after which its
    /// caller wouldn't return, and keeps that and its place, unless there are `max` already: those were
    /// refused before it. `interval` is that between two requests that begin.
    ///
    /// If all times until then are reserved, it is given the latest one and no place: it returns like
    /// one that arrives for the first time.
    pub(super) fn reserve(
        &mut self,
        request: u32,
        place: u64,
        [earliest, latest]: [Millis; 2],
        interval: Millis,
        max: usize,
    ) -> Millis {
        let reserved = self.next.max(earliest);
        let kept = if reserved < latest {
            self.next = reserved + Millis(interval.0 * RATE_DIVISOR);
            Return {
                at: reserved,
                place: Some(place),
            }
        } else {
            Return {
                at: latest,
                place: None,
            }
        };
        if request != 0 && self.kept.len() < max {
            self.forget(request);
            self.kept.insert(request, kept);
            self.ends.insert((kept.at + RETURN_SPAN, request));
        }
        kept.at
    }

    /// Whether a request that arrives was refused of late. Its place is taken with that.
    pub(super) fn visit(&mut self, request: u32, now: Millis) -> Visit {
        self.expire(now);
        let Some(&Return { at, place }) = self.kept.get(&request) else {
            return Visit::First;
        };
        if now + EARLY_SLACK < at {
            return Visit::Early;
        }
        self.forget(request);
        place.map_or(Visit::First, Visit::InTime)
    }

    /// The time at which a request may return that came back before, if that is still to come.
    pub(super) fn pending(&self, request: u32, now: Millis) -> Option<Millis> {
        let kept = self.kept.get(&request);
        kept.map(|kept| kept.at).filter(|&at| now < at)
    }

    /// Forgets the refusal of a request.
    pub(super) fn forget(&mut self, request: u32) {
        if let Some(kept) = self.kept.remove(&request) {
            self.ends.remove(&(kept.at + RETURN_SPAN, request));
        }
    }

    /// Forgets those who haven't come back in their time.
    pub(super) fn expire(&mut self, now: Millis) {
        while let Some(&(end, request)) = self.ends.first()
            && end <= now
        {
            self.forget(request);
        }
    }

    /// Number of times that are kept.
    pub(super) fn len(&self) -> usize {
        self.kept.len()
    }
}
