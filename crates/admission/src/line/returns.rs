//! When refused requests may return.

use crocushold_base::Millis;

/// Hands out return times, so that those who come back find room instead of each other: an earlier
/// refusal has an earlier time, and the times are as far apart as the requests take.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Returns {
    next: Millis,
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
}
