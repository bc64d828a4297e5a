//! Relaying of a request through an instance that reaches its servers.

use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;

use crocushold_base::Event;
use crocushold_base::Millis;
use crocushold_http::Answer;
use crocushold_http::Hangup;
use crocushold_http::SendError;
use crocushold_http::SendLimits;
use futures::future::Either;
use futures::future::select;
use http_types::Response;
use log::info;

use super::Exchange;
use super::Failure;
use super::label;
use super::send_limits;
use crate::refusal::Reason;
use crate::refusal::Refusal;
use crate::relay::RelayOutcome;
use crate::relay::RelayedRequest;
use crate::settle::Upstream;
use crate::shared::Shared;
use crate::verdict::stage_of;

/// Connect timeout: dozens of round trips between availability zones.
const CONNECT_TIMEOUT: Millis = Millis(100);

/// Maximum number of peers that are asked for one request. Each one that can't send it answers
/// within a round trip.
const MAX_PEERS: usize = 4;

/// `Retry-After` if no peer reaches the servers either: the interval at which paths are tested.
const RETRY_AFTER: Millis = Millis(500);

/// What became of a request at a peer.
enum PeerResult {
    /// The peer's response is for the caller.
    Final(Box<Answer>, PeerGuard, RelayOutcome),
    /// The peer can't send it.
    Unable,
    Failed(SendError),
    CallerGone,
}

/// Counts a request at a peer until its answer has ended.
pub(crate) struct PeerGuard {
    shared: Arc<Shared>,
    pub(crate) peer: SocketAddr,
}

impl Drop for PeerGuard {
    fn drop(&mut self) {
        self.shared.relays().done(self.peer);
    }
}

impl Exchange<'_> {
    /// Whether no server that could take the request is within reach of this instance.
    pub(super) fn is_cut_off(&self) -> bool {
        let now = self.shared.clock.now();
        !self.shared.fleet().can_reach(&self.job.need, now)
    }

    /// Whether this instance knows no server that accepts the request, and may relay it to one that does.
    pub(super) fn may_be_served_elsewhere(&self) -> bool {
        self.unserved && self.job.entry.is_none()
    }

    /// Relays a request for which this instance knows no server. Fails with `failure` if no other instance
    /// can send it either.
    pub(super) async fn relay_unserved(
        &mut self,
        failure: Failure,
        hangup: &Hangup,
    ) -> Result<Response, Failure> {
        match self.relay_through_peer(hangup).await {
            None => Err(failure),
            Some(Err(Failure::Refused(refusal))) if refusal.reason == Reason::Unreachable => {
                Err(failure)
            }
            Some(result) => result,
        }
    }

    /// Relays the request. Returns `None` if there is no other instance.
    pub(super) async fn relay_through_peer(
        &mut self,
        hangup: &Hangup,
    ) -> Option<Result<Response, Failure>> {
        if self.shared.relays().is_empty() {
            return None;
        }
        let now = self.shared.clock.now();
        let mut tried = self.shared.relays().unaware(&self.job.need.service, now);
        for _ in 0..MAX_PEERS {
            let now = self.shared.clock.now();
            if now >= self.job.deadline {
                let refusal = self.final_refusal(Reason::Overdue, Some(RETRY_AFTER));
                return Some(Err(Failure::Refused(refusal)));
            }
            let regions = self.job.need.regions.as_deref();
            let Some(peer) = self.shared.relays().choose(&tried, regions, now) else {
                break;
            };
            tried.push(peer);
            match self.ask_peer(peer, hangup).await {
                PeerResult::CallerGone => return Some(Err(Failure::CallerGone)),
                PeerResult::Unable => {
                    self.record_relay(peer, RelayOutcome::Unable.label());
                    self.record_unable(peer);
                }
                PeerResult::Final(answer, guard, outcome) => {
                    self.record_relay(peer, outcome.label());
                    return Some(Ok(self.respond(*answer, Upstream::Peer(guard))));
                }
                PeerResult::Failed(error) => {
                    if let Err(failure) = self.review_relay_failure(peer, &error) {
                        return Some(Err(failure));
                    }
                }
            }
        }
        let refusal = self.final_refusal(Reason::Unreachable, Some(RETRY_AFTER));
        Some(Err(Failure::Refused(refusal)))
    }

    /// Whether a request that no instance could send may wait for a server within reach. One that takes
    /// up a stream may: it needs a server of one version, of which all that are listed may just have
    /// ended.
    pub(super) fn may_wait_for_path(&self, failure: &Failure) -> bool {
        let is_unreachable = matches!(
            failure,
            Failure::Refused(refusal) if refusal.reason == Reason::Unreachable
        );
        is_unreachable && self.job.need.software.is_some()
    }

    async fn ask_peer(&self, peer: SocketAddr, hangup: &Hangup) -> PeerResult {
        let guard = PeerGuard {
            shared: self.shared.clone(),
            peer,
        };
        let sent = pin!(self.send_to_peer(peer));
        let gone = pin!(hangup.wait());
        // Dropping the future closes the connection, which cancels the request at the peer.
        match select(sent, gone).await {
            Either::Left((Ok((_, RelayOutcome::Unable)), _)) => PeerResult::Unable,
            Either::Left((Ok((answer, outcome)), _)) => {
                PeerResult::Final(Box::new(answer), guard, outcome)
            }
            Either::Left((Err(error), _)) => PeerResult::Failed(error),
            Either::Right(_) => PeerResult::CallerGone,
        }
    }

    async fn send_to_peer(&self, peer: SocketAddr) -> Result<(Answer, RelayOutcome), SendError> {
        let job = self.job;
        let remaining = self.remaining();
        let limits = SendLimits {
            close_delimited: false,
            ..send_limits(CONNECT_TIMEOUT, remaining)
        };
        let relayed = RelayedRequest {
            entry: self.shared.settings.id.clone(),
            id: job.id.clone(),
            route: job.route.clone(),
            repeat: job.repeat,
            version: job.version,
            account: job.account.clone(),
            attempts: job.attempts.saturating_sub(self.sent).max(1),
            need: job.need.clone(),
            remaining,
            stream: job.stream,
            held: job.held_until.since(self.shared.clock.now()),
        };
        let mut request = job.request();
        relayed.write(request.as_mut());
        let sent = self
            .shared
            .client
            .send(peer, request, &limits, self.reuse());
        let mut answer = sent.await?;
        answer.body.set_total_timeout(self.remaining());
        let outcome = RelayOutcome::take(&mut answer.headers);
        Ok((answer, outcome))
    }

    /// Decides whether another peer may be asked after a failure on the way to one.
    fn review_relay_failure(&mut self, peer: SocketAddr, error: &SendError) -> Result<(), Failure> {
        let stage = stage_of(error);
        self.record_relay(peer, label(stage));
        let now = self.shared.clock.now();
        self.shared.relays().record_failure(peer, now);
        if stage.proves_unsent() {
            return Ok(());
        }
        // The peer may have sent the request to a server.
        self.sent += 1;
        self.facts.written = true;
        self.retry_or_refuse(stage, Reason::ServerFailed)
    }

    /// Records that a peer can't send the request: it has lost its path as well, or knows no server either.
    fn record_unable(&self, peer: SocketAddr) {
        let now = self.shared.clock.now();
        let mut relays = self.shared.relays();
        if self.unserved {
            relays.record_unaware(peer, &self.job.need.service, now);
        } else {
            relays.record_unable(peer, now);
        }
    }

    fn record_relay(&mut self, peer: SocketAddr, outcome: &str) {
        self.shared.metrics.count_relayed("out", outcome);
        let event = Event::new("request-relayed")
            .with("request", &self.job.id)
            .with("peer", peer)
            .with("outcome", outcome);
        info!("{event}");
    }
}

/// The refusal of a request that an instance can't send to any server, and mustn't relay again.
pub(super) fn unreachable() -> Failure {
    Failure::Refused(Refusal::later(Reason::Unreachable, RETRY_AFTER))
}
