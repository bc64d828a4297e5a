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

/// The earlier refusal of a request that arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Visit {
    /// There was none of late.
    First,
    /// It comes back before its time.
    Early,
    /// It comes back in its time, and takes this place.
    InTime(u64),
}

#[derive(Clone, Copy, Debug)]
struct Return {
    at: Millis,
    place: u64,
}

/// Hands out return times, so that those who come back find room instead of each other: an earlier
/// refusal has an earlier time, and the times are as far apart as the requests take.
#[derive(Clone, Debug, Default)]
pub(super) struct Returns {
    next: Millis,
    kept: HashMap<u32, Return>,
    /// Until when each is kept.
    ends: BTreeSet<(Millis, u32)>,
}

impl Returns {
    /// Reserves a time of at least `earliest` for a request, `span` before the next one. After `latest`
    /// its caller wouldn't return; if there is no time until then, that is its time.
    pub(super) fn reserve(&mut self, earliest: Millis, latest: Millis, span: Millis) -> Millis {
        let at = self.next.max(earliest);
        if at >= latest {
            return latest;
        }
        self.next = at + span;
        at
    }

    /// Keeps the time and the place of a refused request, unless there are `max` already: those were
    /// refused before it.
    pub(super) fn keep(&mut self, request: u32, at: Millis, place: u64, max: usize) {
        if request == 0 || self.kept.len() >= max {
            return;
        }
        self.forget(request);
        self.kept.insert(request, Return { at, place });
        self.ends.insert((at + RETURN_SPAN, request));
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
        Visit::InTime(place)
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
