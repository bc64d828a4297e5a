//! Protection of live streams from the prefill of prompts beside them.

use crocushold_base::Millis;
use crocushold_base::ServerKey;

use super::expected::PAUSE_COST;
use crate::live_streams::LiveTicket;
use crate::live_streams::PauseModel;
use crate::router::AttemptKey;
use crate::router::Demand;
use crate::router::Router;
use crate::server::Server;

/// Weight of the prefill of prompts that a request overtakes.
const OVERTAKEN_WEIGHT: f64 = 0.25;

impl Router {
    /// Sets the number of tokens in one event of a stream; `None` if it is unknown or live streams
    /// need no protection from prefills.
    pub fn protect_live_streams(&mut self, event_tokens: Option<u32>) {
        self.pause_model = event_tokens.map(PauseModel::new);
    }

    /// Whether a stream beside prompts is expected to pause for longer than `max_pause`.
    /// `was_expected` is the last answer, which changes only if the pause does by much.
    pub fn expects_live_delays(
        &self,
        event_tokens: u32,
        max_pause: Millis,
        was_expected: bool,
    ) -> bool {
        let model = PauseModel::new(event_tokens);
        model.expects_delays(max_pause, self.prefill_rate(), was_expected)
    }

    /// Returns the time since the answer of the attempt began; `None` if it hasn't.
    pub fn answer_span(&self, attempt: AttemptKey, now: Millis) -> Option<Millis> {
        let began = self.attempts.get(attempt)?.first_byte_at?;
        Some(now.since(began))
    }

    /// Returns the cost of choosing the server, in milliseconds, by the live streams that would
    /// pause for too long: those that it runs, beside `waiting` milliseconds of prompts and the
    /// request's `own`, and the request itself, whose own prefill precedes its first event.
    pub(super) fn live_delay_cost(
        &self,
        server: &Server,
        demand: &Demand<'_>,
        waiting: f64,
        own: f64,
    ) -> f64 {
        let tolerated = self.tolerated_prefill(server, demand);
        let is_delayed = tolerated.is_some_and(|tolerated| waiting > tolerated);
        let delayed = server.live.delayed_by(waiting + own) + u32::from(is_delayed);
        PAUSE_COST * f64::from(delayed)
    }

    /// Returns the part of the prefill that waits at a server which matters for the request, in
    /// milliseconds: `all` of it, of which `ahead` may go before the request's own.
    ///
    /// Prompts that the request overtakes are prefilled between its tokens. Where the effect of
    /// that on live streams is known, it hardly matters for the others, which tolerate longer
    /// pauses: the wait for their first token counts.
    pub(super) fn relevant_prefill(&self, demand: &Demand<'_>, all: f64, ahead: f64) -> f64 {
        if self.pause_model.is_none() || demand.max_pause.is_some() {
            return all;
        }
        ahead + OVERTAKEN_WEIGHT * (all - ahead).max(0.0)
    }

    /// Records a request at the server it was sent to, and returns its membership of the live
    /// streams there.
    pub(super) fn add_live_stream(
        &mut self,
        server: ServerKey,
        demand: &Demand<'_>,
        prefill_tokens: f64,
        now: Millis,
    ) -> Option<LiveTicket> {
        self.pause_model?;
        let state = &self.servers[server];
        let tolerated = self.tolerated_prefill(state, demand);
        let own = state.speed.prefill_ms(prefill_tokens, &self.prefill_rate);
        let pace = state.speed.momentary_pace_over(own, now);
        let waiting = state.queue_delay.central_estimate(pace, now);
        let state = &mut self.servers[server];
        state.live.record_prefill(waiting + own * pace);
        let tolerated = tolerated.filter(|tolerated| waiting <= *tolerated)?;
        Some(state.live.add(tolerated))
    }

    fn tolerated_prefill(&self, server: &Server, demand: &Demand<'_>) -> Option<f64> {
        let model = self.pause_model?;
        let speed = &server.speed;
        let rate = self.prefill_rate() / speed.prefill_factor();
        model.tolerated_prefill(demand.max_pause?, rate, speed.step_factor())
    }
}
