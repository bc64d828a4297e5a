//! Feedback from attempts, load reports and cache events.

use std::cmp::Reverse;

use crocushold_base::Millis;
use crocushold_base::ServerKey;

use crate::cache::CacheChange;
use crate::cache::CacheEvent;
use crate::cache::Hint;
use crate::health::Fault;
use crate::health::Health;
use crate::health::SampleKind;
use crate::health::SpeedSample;
use crate::health::Verdict;
use crate::pool::SERVER_ALPHA;
use crate::router::AttemptKey;
use crate::router::Outcome;
use crate::router::Router;
use crate::router::types::InFlight;
use crate::server::LeftoverGaps;
use crate::server::LoadReport;
use crate::stats::Median;

/// Number of tokens between two samples of a stream's time per token. Fewer tokens measure network
/// jitter.
const SAMPLE_TOKENS: u32 = 16;

/// The reported time of work that is usual, in percent.
const USUAL_PERCENT: u16 = 100;

/// Maximum expected prefill ahead of a sample of the latency, in tokens.
const MAX_TOKENS_AHEAD: f64 = 100.0;

/// Maximum log ratio of speeds in one sample; a factor of twelve.
const MAX_LOG_RATIO: f64 = 2.5;

impl Router {
    /// Records that the attempt has a connection; its wait for a first byte starts here. Returns
    /// false if the attempt is unknown, as do the methods for the other events.
    pub fn connected(&mut self, attempt: AttemptKey, now: Millis) -> bool {
        self.detect_suspension(now);
        let flight = self.attempts.get_mut(attempt);
        flight.map(|flight| flight.waiting_since = now).is_some()
    }

    /// Records the first byte of an answer.
    pub fn first_byte(&mut self, attempt: AttemptKey, now: Millis) -> bool {
        self.detect_suspension(now);
        let Some(flight) = self.attempts.get_mut(attempt) else {
            return false;
        };
        if flight.first_byte_at.is_some() {
            return true;
        }
        flight.first_byte_at = Some(now);
        flight.sampled_at = now;
        let flight = *flight;
        if self.is_from_old_process(&flight) {
            return true;
        }
        self.record_prefill_wait(attempt, &flight, now);
        if flight.picked_at >= self.resumed_at {
            self.record_first_byte_time(&flight, now);
        }
        true
    }

    /// Records that `tokens` tokens of the answer have arrived so far.
    pub fn progress(&mut self, attempt: AttemptKey, tokens: u32, now: Millis) -> bool {
        self.detect_suspension(now);
        let Some(flight) = self.attempts.get_mut(attempt) else {
            return false;
        };
        let fresh = tokens.saturating_sub(flight.sampled_tokens);
        if flight.first_byte_at.is_none() || fresh < SAMPLE_TOKENS {
            return true;
        }
        let span = now.since(flight.sampled_at);
        let trusted = flight.sampled_at >= self.resumed_at;
        flight.sampled_tokens = tokens;
        flight.sampled_at = now;
        let flight = *flight;
        if trusted && !self.is_from_old_process(&flight) {
            self.record_token_time(&flight, fresh, span, now);
        }
        true
    }

    /// Records the longest pause of the attempt's stream.
    pub fn record_longest_pause(&mut self, attempt: AttemptKey, longest: Millis) {
        let Some(flight) = self.attempts.get(attempt).copied() else {
            return;
        };
        if self.is_from_old_process(&flight) {
            return;
        }
        if let Some(server) = self.servers.get_mut(flight.server) {
            let sample = longest.0.max(1) as f64;
            server
                .median_pause
                .get_or_insert(Median::with_initial(sample))
                .add(sample);
        }
    }

    /// Records the end of the attempt after `tokens` tokens of an answer and frees its slot.
    pub fn done(
        &mut self,
        attempt: AttemptKey,
        outcome: Outcome,
        tokens: u32,
        now: Millis,
    ) -> bool {
        self.progress(attempt, tokens, now);
        let Some(flight) = self.attempts.remove(attempt) else {
            return false;
        };
        if self.is_from_old_process(&flight) {
            self.release_slot(&flight);
            return true;
        }
        if outcome == Outcome::Complete {
            self.request_duration
                .add(now.since(flight.picked_at).0 as f64, 0.05);
            self.record_answer_speed(&flight, tokens, now);
        }
        if let Some(server) = self.servers.get_mut(flight.server) {
            server.queue_delay.on_end(attempt);
            if matches!(outcome, Outcome::Overloaded | Outcome::Resting) {
                server.queue_delay.on_rejection(now);
            }
        }
        self.release_slot(&flight);
        self.apply_outcome(&flight, outcome, now);
        true
    }

    /// Records a server's load report.
    pub fn load_report(&mut self, server: ServerKey, report: LoadReport, now: Millis) {
        self.detect_suspension(now);
        let alpha = 1.0 / self.present.max(1) as f64;
        if let Some(state) = self.servers.get_mut(server) {
            let others = state.record_report(report, now);
            self.remote_load.add(others, alpha);
            self.is_uneven |= report
                .work_percent
                .is_some_and(|percent| percent != USUAL_PERCENT);
        }
        self.update_slots(server);
    }

    /// Records a report that is too infrequent for the choice. It is used only to tell whether a
    /// borrowed server has a free slot.
    pub fn record_occupancy(&mut self, server: ServerKey, report: LoadReport) {
        if let Some(state) = self.servers.get_mut(server) {
            state.update_occupancy(report);
        }
        self.update_slots(server);
    }

    /// Records a cache event of a server.
    pub fn cache_event(&mut self, server: ServerKey, event: CacheEvent) {
        let Some(state) = self.servers.get_mut(server) else {
            return;
        };
        if !state.cursor.advance(event.seq) {
            return;
        }
        let epoch = state.cursor.epoch();
        match event.change {
            CacheChange::Stored => {
                // The event shows that the server holds the prefix, but not since when.
                let since = Millis::ZERO;
                let hint = Hint {
                    server,
                    epoch,
                    since,
                };
                self.hints.store(event.prefix, hint);
            }
            CacheChange::Evicted => self.hints.evict(event.prefix, server),
        }
    }

    /// Records that a server's cache events restarted, as after a restart of the server. Earlier
    /// hints become invalid.
    pub fn cache_restart(&mut self, server: ServerKey) {
        if let Some(state) = self.servers.get_mut(server) {
            state.cursor.restart();
        }
    }

    /// Records that the server's process restarted under its name, which invalidates what was
    /// learned about it.
    ///
    /// Otherwise old hints would attract prompts to an empty cache, old failures would keep a
    /// healthy process ejected, and the last observed wait would send requests away from an idle
    /// server. Attempts in flight belong to the previous process; their ends free their slots but
    /// aren't evidence about the new one.
    pub fn server_restarted(&mut self, server: ServerKey) {
        let Some(state) = self.servers.get_mut(server) else {
            return;
        };
        state.restart();
        self.change_health(server, |health| *health = Health::default());
    }

    /// Records how long an engine took to begin an answer, and that it now has the prompt cached.
    fn record_prefill_wait(&mut self, attempt: AttemptKey, flight: &InFlight, now: Millis) {
        let Some(server) = self.servers.get_mut(flight.server) else {
            return;
        };
        if let Some((sent, span)) = server.queue_delay.on_first_byte(attempt, now)
            && flight.picked_at >= self.resumed_at
            && flight.is_exact
        {
            let speed = &mut server.speed;
            let pace = speed.reported_pace_over(span, now);
            let [tokens, ahead] = [flight.prefill_tokens, flight.tokens_ahead];
            if self.is_uneven && flight.sees_queue && ahead <= MAX_TOKENS_AHEAD {
                let prefill_ms = self.prefill_rate.prefill_ms(tokens);
                self.latency.add_sample(tokens, prefill_ms, span / pace);
            }
            let span = (span - sent.latency) / pace;
            let usual_span = span / speed.unreported_prefill();
            self.prefill_rate.add_sample(tokens, ahead, usual_span);
            if flight.sees_queue {
                speed.add_prefill([tokens, ahead], span, &self.prefill_rate, now);
            }
        }
        if flight.prefill_tokens > 0.0 {
            self.record_prefix(flight.server, flight.prefix, flight.picked_at);
        }
    }

    /// Returns whether the attempt was sent to a previous process of its server.
    fn is_from_old_process(&self, flight: &InFlight) -> bool {
        let server = self.servers.get(flight.server);
        server.is_some_and(|server| server.generation != flight.generation)
    }

    /// Frees the slot. Forgets a removed server with its last attempt.
    fn release_slot(&mut self, flight: &InFlight) {
        let key = flight.server;
        let Some(server) = self.servers.get_mut(key) else {
            return;
        };
        server.in_flight = server.in_flight.saturating_sub(1);
        server.tokens = server.tokens.saturating_sub(u64::from(flight.tokens));
        if let Some(ticket) = flight.live
            && server.generation == flight.generation
        {
            server.live.remove(ticket);
        }
        let removed = server.departure == Some(crate::server::Departure::Removed);
        if removed && server.in_flight == 0 {
            self.servers.remove(key);
            return;
        }
        self.update_slots(key);
    }

    fn apply_outcome(&mut self, flight: &InFlight, outcome: Outcome, now: Millis) {
        let fault = match outcome {
            Outcome::Complete => return self.record_success(flight.server),
            Outcome::Cancelled => return,
            Outcome::Overloaded => Fault::Overloaded,
            Outcome::Resting => Fault::Resting,
            Outcome::Refused | Outcome::Replaced => {
                return self.eject(flight.server, Fault::Refused, now);
            }
            Outcome::Unreachable => Fault::Unreachable,
            Outcome::Cut | Outcome::Failed => Fault::Failing,
            Outcome::TimedOut => Fault::Hung,
        };
        let late = matches!(outcome, Outcome::TimedOut | Outcome::Unreachable);
        if late && flight.picked_at < self.resumed_at {
            return;
        }
        self.record_failure(flight, fault, now);
    }

    fn record_success(&mut self, key: ServerKey) {
        let Some(share) = self.servers.get(key).map(|server| server.share) else {
            return;
        };
        self.change_health(key, |health| health.record_success(share));
    }

    fn record_failure(&mut self, flight: &InFlight, fault: Fault, now: Millis) {
        let key = flight.server;
        let settings = self.settings.health.clone();
        let mut verdict = Verdict::Keep;
        let mut expiry = None;
        let in_flight = self.servers.get(key).map_or(0, |server| server.in_flight);
        self.change_health(key, |health| {
            let before = health.failures();
            verdict = health.record_failure(&settings, fault, now);
            expiry = health.failure_expires(&settings).filter(|_| before == 0);
            let is_rejection = matches!(fault, Fault::Overloaded | Fault::Resting);
            if is_rejection && health.failures() > before {
                health.halve_limit(in_flight);
            }
        });
        if let Some(due) = expiry {
            self.timers.push(Reverse((due, key)));
        }
        // When most servers time out together, the timeout's estimate is wrong. Without this sample
        // it would never learn that answers now take longer.
        if fault == Fault::Hung && self.suspects * 2 > self.present {
            let span = now.since(flight.waiting_since);
            self.pools[flight.pool].record_first_byte(span);
        }
        if verdict == Verdict::Eject {
            self.eject(key, fault, now);
        }
    }

    fn record_first_byte_time(&mut self, flight: &InFlight, now: Millis) {
        let span = now.since(flight.waiting_since);
        let pool = &mut self.pools[flight.pool];
        let typical = pool.is_typical(span);
        pool.record_first_byte(span);
        let server = self.servers.get(flight.server);
        if let (true, Some(share)) = (typical, server.map(|server| server.share)) {
            self.change_health(flight.server, |health| health.record_first_byte(share));
        }
    }

    /// Takes the remaining speed sample from an ended answer.
    ///
    /// The gaps of streams too short for a sample are accumulated. An answer that wasn't streamed,
    /// or has no gap between tokens, is compared as a whole with others of its size. Otherwise a
    /// server that only gets such requests could never be detected as slow.
    fn record_answer_speed(&mut self, flight: &InFlight, tokens: u32, now: Millis) {
        if flight.picked_at < self.resumed_at {
            return;
        }
        if flight.first_byte_at.is_none() || tokens <= 1 {
            return self.record_answer_time(flight, tokens, now);
        }
        // The first token arrived with the first byte, before any gap.
        let gaps = tokens.saturating_sub(flight.sampled_tokens.max(1));
        let span = now.since(flight.sampled_at);
        if let Some(leftover) = self.accumulate_gaps(flight, gaps, span) {
            self.record_token_time(flight, leftover.gaps, leftover.span, now);
        }
    }

    fn record_answer_time(&mut self, flight: &InFlight, tokens: u32, now: Millis) {
        // With a queue inside the server, the time measures its load. Ejecting it would move that
        // load to its peers.
        let ttl = self.settings.report_ttl;
        let server = self.servers.get(flight.server);
        if server.is_some_and(|server| server.has_queue(ttl, now)) {
            return;
        }
        let span = now.since(flight.waiting_since).0 as f64;
        let pace = self.pace_during(flight, span, now);
        let pool = &mut self.pools[flight.pool];
        let log_ratio = pool.record_answer_time(flight.tokens, tokens, span / pace);
        self.apply_speed_sample(flight, SampleKind::WholeAnswer, log_ratio, pace, now);
    }

    /// Adds gaps to the server's leftover gaps. Returns and resets them when they are enough for a
    /// sample.
    fn accumulate_gaps(
        &mut self,
        flight: &InFlight,
        gaps: u32,
        span: Millis,
    ) -> Option<LeftoverGaps> {
        let server = self.servers.get_mut(flight.server)?;
        let mut members = server.members.iter_mut();
        let leftover = &mut members.find(|member| member.pool == flight.pool)?.leftover;
        leftover.gaps += gaps;
        leftover.span += span;
        (leftover.gaps >= SAMPLE_TOKENS).then(|| std::mem::take(leftover))
    }

    /// Records that `tokens` tokens took `span`.
    fn record_token_time(&mut self, flight: &InFlight, tokens: u32, span: Millis, now: Millis) {
        let span = span.0 as f64;
        let pace = self.pace_during(flight, span, now);
        let token_time = span / f64::from(tokens) / pace;
        let log_ratio = self.pools[flight.pool].record_token_time(token_time);
        self.apply_speed_sample(flight, SampleKind::TokenTime, log_ratio, pace, now);
    }

    /// Returns how long work of `span` milliseconds has taken on the attempt's server by its reports,
    /// relative to a usual one.
    fn pace_during(&self, flight: &InFlight, span: f64, now: Millis) -> f64 {
        let server = self.servers.get(flight.server);
        server.map_or(1.0, |server| server.speed.reported_pace_over(span, now))
    }

    /// Records a speed sample relative to the peers, as a logarithm, with the reported `pace` taken
    /// out; `None` if too little is known.
    ///
    /// A server is no straggler while others use its machine, nor at its own usual speed.
    fn apply_speed_sample(
        &mut self,
        flight: &InFlight,
        kind: SampleKind,
        log_ratio: Option<f64>,
        pace: f64,
        now: Millis,
    ) {
        let Some(log_ratio) = log_ratio else {
            return;
        };
        let Some(server) = self.servers.get_mut(flight.server) else {
            return;
        };
        let speed = &mut server.speed;
        let settings = self.settings.health.clone();
        let excused = speed.excused(settings.straggler_ratio);
        speed.add_step(log_ratio, now);
        // The ratio is bounded so that a server that was stuck once recovers within a few samples.
        let bounded = log_ratio.clamp(-MAX_LOG_RATIO, MAX_LOG_RATIO);
        server.slowness.add(bounded, SERVER_ALPHA);
        server.slowness_sampled = now;
        // A report that is wrong about being fast doesn't make the server slow.
        let log_ratio = log_ratio + pace.min(1.0).ln() - excused;
        let mut verdict = Verdict::Keep;
        self.change_health(flight.server, |health| {
            verdict = health.record_speed(&settings, SpeedSample { kind, log_ratio }, now);
        });
        if verdict == Verdict::Eject {
            self.eject(flight.server, Fault::Straggling, now);
        }
    }
}
