//! How an instance that has just started finds the others without waiting for gossip rounds.
//!
//! Many instances may start at once: a release, a rack, or all of them after a loss of power. Until
//! an instance knows the placer, it chooses servers without knowing what the others send there.
//! Hellos and their answers are therefore sent between rounds while instances are joining.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use crocushold_base::Millis;

/// Interval of hellos to instances that haven't answered. It is a quarter of the shortest target
/// for a first token, which a request should still meet if it waits for one lost datagram.
const HELLO_INTERVAL: Millis = Millis(50);

/// How long hellos are sent that often. Seeds that start with the others answer well within it; the
/// hellos of the rounds go on after that.
const SPAN: Millis = Millis::from_secs(3);

/// How long requests may wait for a placer. Instances that start together are up within it; where
/// the seeds are down, no request is delayed for longer.
const RECENT: Millis = Millis::from_secs(1);

/// Maximum number of answers to hellos in a round: those of a third of the largest deployment. With
/// a quarter of a kilobyte each they take a quarter of a link of 10 Mbit/s.
const ANSWERS_PER_ROUND: usize = 128;

/// Maximum number of instances that wait for an answer: the number of instances in the largest
/// deployment. Those left out ask again.
const MAX_WAITING: usize = 512;

/// What an instance does between rounds to join the others and to let others join.
#[derive(Clone, Debug, Default)]
pub(super) struct Joining {
    /// When this instance began to look for others.
    since: Option<Millis>,
    /// When it began to look for another collector, since the one before was gone.
    rejoined: Option<Millis>,
    /// When the next hello is due.
    next_hello: Millis,
    /// Number of hellos sent. Instances start at different seeds, so that each seed gets a part of
    /// the hellos.
    hellos_sent: u64,
    /// The collectors to which this instance has introduced itself.
    introduced: BTreeSet<SocketAddr>,
    /// Instances whose hello wasn't answered yet.
    hellos: Vec<SocketAddr>,
    answers_left: usize,
    /// Instances whose hellos were answered in this round and before it.
    greeted: Vec<SocketAddr>,
    /// Number of those that the last round has already seen.
    seen: usize,
}

impl Joining {
    pub(super) fn new(seed: u64) -> Joining {
        Joining {
            hellos_sent: seed,
            answers_left: ANSWERS_PER_ROUND,
            ..Joining::default()
        }
    }

    /// Whether this instance has just started, or lost its collector.
    pub(super) fn is_active(&mut self, now: Millis) -> bool {
        let since = *self.since.get_or_insert(now);
        now.since(self.rejoined.unwrap_or(since)) < SPAN
    }

    /// Makes this instance look for a collector as after a start. Requests don't wait for it: this
    /// instance knows what the others sent.
    pub(super) fn rejoin(&mut self, now: Millis) {
        self.rejoined = Some(now);
        self.reintroduce();
    }

    /// Whether this instance began to look for others a moment ago.
    pub(super) fn is_recent(&self, now: Millis) -> bool {
        self.since.is_none_or(|since| now.since(since) < RECENT)
    }

    /// When the next hello is due.
    pub(super) fn next_hello(&self) -> Millis {
        self.next_hello
    }

    /// The next of `targets` to say hello to, if a hello is due.
    pub(super) fn take_target(
        &mut self,
        targets: &[SocketAddr],
        now: Millis,
    ) -> Option<SocketAddr> {
        if targets.is_empty() || now < self.next_hello {
            return None;
        }
        self.next_hello = now + HELLO_INTERVAL;
        let target = targets[(self.hellos_sent % targets.len() as u64) as usize];
        self.hellos_sent = self.hellos_sent.wrapping_add(1);
        Some(target)
    }

    /// Whether this instance has introduced itself to a collector.
    pub(super) fn is_introduced(&self, collector: &SocketAddr) -> bool {
        self.introduced.contains(collector)
    }

    /// Whether this instance has yet to introduce itself to a collector. Records that it does.
    pub(super) fn introduce(&mut self, collector: SocketAddr) -> bool {
        self.introduced.insert(collector)
    }

    /// Makes this instance introduce itself again.
    pub(super) fn reintroduce(&mut self) {
        self.introduced.clear();
    }

    /// Records the hello of an instance.
    pub(super) fn push_hello(&mut self, from: SocketAddr) {
        if self.hellos.len() < MAX_WAITING && !self.hellos.contains(&from) {
            self.hellos.push(from);
        }
    }

    /// Whether a hello can be answered before the next round.
    pub(super) fn has_hellos(&self) -> bool {
        !self.hellos.is_empty() && self.answers_left > 0
    }

    /// Takes the instances whose hellos are answered now.
    pub(super) fn take_hellos(&mut self) -> Vec<SocketAddr> {
        let next = self.hellos.len().min(self.answers_left);
        self.answers_left -= next;
        let taken: Vec<SocketAddr> = self.hellos.drain(..next).collect();
        self.greeted.extend(&taken);
        taken
    }

    /// The instances whose hellos were answered in the last round or in the time before it.
    pub(super) fn greeted(&self) -> &[SocketAddr] {
        &self.greeted
    }

    /// Begins a round.
    pub(super) fn begin_round(&mut self) {
        self.answers_left = ANSWERS_PER_ROUND;
        self.greeted.drain(..self.seen);
    }

    /// Ends a round.
    pub(super) fn end_round(&mut self) {
        self.seen = self.greeted.len();
    }
}
