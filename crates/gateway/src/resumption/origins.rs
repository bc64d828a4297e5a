//! The known origins of streams, as a state machine.

use std::collections::HashMap;
use std::collections::VecDeque;

use crocushold_base::Millis;
use crocushold_routing::SoftwareKey;

use super::message::StreamKey;
use super::message::StreamOrigin;
use super::span::LongestSpan;

/// Maximum number of origins, with some forty bytes each. The oldest make room for new ones.
const MAX_ORIGINS: usize = 32 * 1024;

/// How long an origin is kept beyond the deadline of its caller, for clocks that differ and callers
/// that come late.
const GRACE: Millis = Millis::from_secs(5);

/// Maximum time for which an origin is kept, whatever another instance says.
const MAX_LIFETIME: Millis = Millis::from_secs(3600);

#[derive(Clone, Copy, Debug)]
struct Origin {
    /// `None` if two versions began streams under the same name.
    software: Option<SoftwareKey>,
    until: Millis,
}

/// The origins of streams that this instance began, or was told of.
#[derive(Clone, Debug, Default)]
pub struct Origins {
    known: HashMap<StreamKey, Origin>,
    /// The known streams in the order in which they were recorded.
    order: VecDeque<StreamKey>,
    span: LongestSpan,
}

impl Origins {
    /// Number of known origins.
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Whether no origin is known.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Records the origin of a stream, or that the stream goes on.
    pub fn record(&mut self, origin: StreamOrigin, now: Millis) {
        self.record_span(origin.remaining, now);
        let until = now + origin.remaining.min(MAX_LIFETIME) + GRACE;
        if let Some(known) = self.known.get_mut(&origin.key) {
            known.until = known.until.max(until);
            if known.software != Some(origin.software) {
                known.software = None;
            }
            return;
        }
        if self.known.len() >= MAX_ORIGINS
            && let Some(oldest) = self.order.pop_front()
        {
            self.known.remove(&oldest);
        }
        let software = Some(origin.software);
        self.known.insert(origin.key, Origin { software, until });
        self.order.push_back(origin.key);
    }

    /// The software version that began a stream, if that is known.
    pub fn software(&self, key: StreamKey, now: Millis) -> Option<SoftwareKey> {
        let origin = self.known.get(&key)?;
        origin.software.filter(|_| now < origin.until)
    }

    /// Records that callers may hold streams for so long.
    pub fn record_span(&mut self, span: Millis, now: Millis) {
        self.span.record(span, now);
    }

    /// The longest time for which callers hold streams, according to the last hour or two.
    pub fn longest_span(&mut self, now: Millis) -> Millis {
        self.span.longest(now)
    }

    /// Forgets the streams that can't be taken up any more.
    pub fn expire(&mut self, now: Millis) {
        self.known.retain(|_, origin| now < origin.until);
        let known = &self.known;
        self.order.retain(|key| known.contains_key(key));
    }
}
