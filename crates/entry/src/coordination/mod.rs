//! Coordination with the peers: votes on idempotency keys and own claims, account limits, orders to
//! engines, and requests under which servers end.
//!
//! `crocushold-ownership` makes the decisions. This module keeps their state behind a lock, sends
//! and receives their messages, and passes in the membership.

mod lending;
mod limits;
mod members;
mod order_loop;
mod orders;
mod suspects;
mod transport;

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use async_std::future::timeout;
use async_std::task;
use crocushold_base::Clock;
use crocushold_base::Event;
use crocushold_base::Millis;
use crocushold_http::Client;
use crocushold_ownership::ClaimId;
use crocushold_ownership::ClaimRequest;
use crocushold_ownership::ClaimRound;
use crocushold_ownership::ClaimSettings;
use crocushold_ownership::Claims;
use crocushold_ownership::Grant;
use crocushold_ownership::GroupId;
use crocushold_ownership::Member;
use crocushold_ownership::Refusal;
use crocushold_ownership::Settlement;
use crocushold_ownership::Transfer;
use crocushold_ownership::Verdict;
use crocushold_ownership::View;
use crocushold_ownership::Vote;
use crocushold_peers::Handler;
use crocushold_peers::PeerHandle;
use crocushold_peers::Request;
use crocushold_peers::Response;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use log::info;

use crate::coordination::limits::AccountLimits;
use crate::coordination::members::Members;
use crate::coordination::orders::EngineOrders;
use crate::coordination::transport::Transport;
use crate::decode::IdempotencyKey;
use crate::failpoint::Point;
use crate::failpoint::reach;

pub(crate) use limits::LimitExceeded;
pub(crate) use limits::LimitKind;
pub(crate) use limits::Permit;
pub(crate) use limits::TokenEstimate;
pub(crate) use orders::ModelDemand;
pub(crate) use suspects::CutAttempt;
pub(crate) use suspects::Suspects;

/// Time that a claim waits for votes. A group replies within a round trip; a suspended member must
/// not delay the request noticeably.
const VOTE_TIMEOUT: Millis = Millis(500);

/// Timeout of one message of a settlement or transfer.
const MESSAGE_TIMEOUT: Millis = Millis(1000);

/// Delay between attempts to deliver a settlement.
const SETTLE_RETRY_DELAY: Millis = Millis(500);

/// Maximum number of attempts to deliver a settlement. A voter that none of them reaches treats the
/// outcome as unknown.
const SETTLE_ATTEMPTS: usize = 20;

/// Interval between ticks of the claims.
const TICK: Millis = Millis(500);

/// Time that a graceful shutdown waits until other members have taken over its records.
const HANDOVER_TIMEOUT: Millis = Millis::from_secs(5);

/// Coordinates this instance with its peers.
pub(crate) struct Coordinator {
    clock: Clock,
    me: Member,
    settings: ClaimSettings,
    claims: Mutex<Claims>,
    members: Mutex<Members>,
    limits: Arc<AccountLimits>,
    orders: Arc<EngineOrders>,
    suspects: Arc<Suspects>,
    transport: Transport,
    next_claim: AtomicU64,
}

impl Coordinator {
    /// Creates the coordinator of an instance that has just started.
    pub(crate) fn new(
        clock: Clock,
        me: Member,
        settings: ClaimSettings,
        client: Client,
    ) -> Arc<Coordinator> {
        Arc::new(Coordinator {
            clock,
            me,
            settings,
            claims: Mutex::new(Claims::new(settings, me, clock.now())),
            members: Mutex::new(Members::new(me)),
            limits: AccountLimits::new(clock, me),
            orders: EngineOrders::new(clock, me, client),
            suspects: Suspects::new(clock, me),
            transport: Transport::new(me),
            next_claim: AtomicU64::new(0),
        })
    }

    /// Sets the peer node, which was started with this coordinator as its handler.
    pub(crate) fn connect(&self, peers: PeerHandle) {
        self.transport.connect(peers);
    }

    /// The limits of client accounts.
    pub(crate) fn limits(&self) -> &Arc<AccountLimits> {
        &self.limits
    }

    /// The orders to engines.
    pub(crate) fn orders(&self) -> &Arc<EngineOrders> {
        &self.orders
    }

    /// The requests under which servers ended.
    pub(crate) fn suspects(&self) -> &Arc<Suspects> {
        &self.suspects
    }

    fn claims(&self) -> MutexGuard<'_, Claims> {
        self.claims.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn members(&self) -> MutexGuard<'_, Members> {
        self.members.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Handles a membership that has changed or was confirmed.
    pub(crate) fn on_view(self: &Arc<Self>, view: &crocushold_peers::View) {
        self.transport.update_names(view);
        // After a pause this instance's view may be outdated, and a vote given under it could be a
        // second vote.
        if view.settled {
            self.update_claims(|members| members.on_view(view));
        } else {
            self.members().on_view(view);
        }
        self.update_limit_shares();
    }

    /// Handles an update of the entry instances that the platform lists.
    pub(crate) fn on_instance_list<'a>(self: &Arc<Self>, names: impl Iterator<Item = &'a str>) {
        self.update_claims(|members| members.on_instance_list(names));
        self.update_limit_shares();
    }

    /// Splits the account limits again. This doesn't require a settled view: a share that is too
    /// small for a moment does less harm than one from before a pause.
    fn update_limit_shares(&self) {
        let (live, sharing) = self.members().limit_views();
        self.limits.on_view(live, &sharing);
    }

    /// Updates the claims to the members that `read` returns.
    ///
    /// The claims are locked before the members are read. A list and a view arrive in different
    /// tasks. If each read its members first and then waited for the claims, the older members
    /// could be applied last, as if a new member had gone or one that left had come back.
    fn update_claims(self: &Arc<Self>, read: impl FnOnce(&mut Members) -> View) {
        let transfers = {
            let mut claims = self.claims();
            let view = read(&mut self.members());
            claims.on_view(view, self.clock.now())
        };
        self.send_transfers(transfers);
    }

    /// Runs the timers of the claims as long as the process runs.
    pub(crate) async fn run_timers(self: Arc<Self>) {
        loop {
            let transfers = self.claims().on_tick(self.clock.now());
            self.send_transfers(transfers);
            task::sleep(TICK.into()).await;
        }
    }

    /// Transfers the records before a graceful shutdown, as far as the peers accept them in time.
    pub(crate) async fn hand_over(self: &Arc<Self>) {
        if self.members().without_me().members().is_empty() {
            return;
        }
        self.update_claims(|members| members.without_me());
        let done = timeout(HANDOVER_TIMEOUT.into(), async {
            while !self.claims().is_handover_complete() {
                task::sleep(Millis(50).into()).await;
            }
        });
        let whole = done.await.is_ok();
        let event = Event::new("claims-handed-over").with("whole", whole);
        info!("{}", event.with("records", self.claims().len()));
    }

    /// Claims an idempotency key. With the grant, the request may be sent once.
    ///
    /// # Errors
    ///
    /// Returns the refusal for the caller.
    pub(crate) async fn claim(
        self: &Arc<Self>,
        idempotency_key: IdempotencyKey,
    ) -> Result<Grant, Refusal> {
        let request = ClaimRequest {
            key: idempotency_key.key,
            claim: ClaimId {
                claimant: self.me,
                seq: self.next_claim.fetch_add(1, Ordering::Relaxed) + 1,
            },
            digest: idempotency_key.digest,
            account: idempotency_key.account,
            group: GroupId::default(),
        };
        let view = self.claims().view().clone();
        let round = ClaimRound::new(&self.settings, &view, request, self.clock.now());
        match self.collect(round).await {
            Verdict::Granted(grant) => Ok(grant),
            Verdict::Refused(refusal, settlement) => {
                self.settle(settlement);
                Err(refusal)
            }
        }
    }

    /// Collects votes until there is a verdict.
    async fn collect(self: &Arc<Self>, mut round: ClaimRound) -> Verdict {
        let request = *round.request();
        let voters = round.voters().to_vec();
        let mut votes: FuturesUnordered<_> = voters
            .into_iter()
            .map(|voter| async move { (voter, self.vote_of(voter, request).await) })
            .collect();
        while let Some((voter, vote)) = votes.next().await {
            reach(Point::Voted).await;
            let verdict = match vote {
                Some(vote) => round.on_vote(voter, vote),
                None => round.on_unreachable(voter),
            };
            if let Some(verdict) = verdict {
                return verdict;
            }
        }
        let verdict = round.on_deadline();
        verdict.expect("there is a verdict once all voters have replied or timed out")
    }

    async fn vote_of(&self, voter: Member, request: ClaimRequest) -> Option<Vote> {
        if voter == self.me {
            return Some(self.claims().on_claim(&request, self.clock.now()));
        }
        let call = Request::Claim(request);
        match self.transport.call(voter, call, VOTE_TIMEOUT).await? {
            Response::Vote(vote) => Some(vote),
            _ => None,
        }
    }

    /// Sends the outcome of a claim to the members, in the background.
    pub(crate) fn settle(self: &Arc<Self>, settlement: Settlement) {
        let coordinator = self.clone();
        task::spawn(async move { coordinator.deliver(settlement).await });
    }

    async fn deliver(&self, mut settlement: Settlement) {
        reach(Point::Settling).await;
        for _ in 0..SETTLE_ATTEMPTS {
            for member in settlement.pending().to_vec() {
                if self.send_settlement(member, &settlement).await {
                    settlement.on_acknowledged(member);
                }
            }
            if settlement.pending().is_empty() {
                return;
            }
            task::sleep(SETTLE_RETRY_DELAY.into()).await;
            let view = self.claims().view().clone();
            settlement.on_view(&view);
        }
    }

    async fn send_settlement(&self, member: Member, settlement: &Settlement) -> bool {
        let request = *settlement.request();
        if member == self.me {
            self.claims().on_settle(&request, self.clock.now());
            return true;
        }
        let call = Request::Settle(request);
        let answer = self.transport.call(member, call, MESSAGE_TIMEOUT).await;
        answer == Some(Response::Done)
    }

    fn send_transfers(self: &Arc<Self>, transfers: Vec<Transfer>) {
        for transfer in transfers {
            let coordinator = self.clone();
            task::spawn(async move { coordinator.send_transfer(&transfer).await });
        }
    }

    async fn send_transfer(self: &Arc<Self>, transfer: &Transfer) {
        let call = Request::Transfer(transfer.request.clone());
        let answer = self
            .transport
            .call(transfer.to, call, MESSAGE_TIMEOUT)
            .await;
        if answer == Some(Response::Done) {
            self.claims().on_transfer_acknowledged(transfer);
        }
    }
}

impl Handler for Coordinator {
    fn handle(&self, from: Member, request: Request) -> Response {
        let now = self.clock.now();
        match request {
            Request::Claim(request) => Response::Vote(self.claims().on_claim(&request, now)),
            Request::Settle(request) => {
                self.claims().on_settle(&request, now);
                Response::Done
            }
            Request::Transfer(request) => {
                self.claims().on_transfer(from, &request, now);
                Response::Done
            }
            Request::Borrow(request) => Response::Lent(self.limits.on_borrow(from, &request)),
            Request::Return(request) => {
                self.limits.on_return(from, &request);
                Response::Done
            }
            Request::Suspect(kind, suspicions) => {
                self.suspects.on_suspicions(kind, &suspicions);
                Response::Done
            }
        }
    }
}
