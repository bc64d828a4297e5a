//! Coordination calls between instances. This crate transports them and the embedder answers them;
//! their semantics are defined in `crocushold-ownership`.

pub(crate) mod wire;

use crocushold_ownership::BorrowReply;
use crocushold_ownership::BorrowRequest;
use crocushold_ownership::ClaimRequest;
use crocushold_ownership::Member;
use crocushold_ownership::ReturnRequest;
use crocushold_ownership::SettleRequest;
use crocushold_ownership::TransferRequest;
use crocushold_ownership::Vote;
use crocushold_routing::SuspectKind;
use crocushold_routing::Suspicion;

/// A call to a peer.
#[derive(Clone, Debug, PartialEq)]
pub enum Request {
    /// Asks for a vote on an idempotency key.
    Claim(ClaimRequest),
    /// Reports the outcome of a claimed request.
    Settle(SettleRequest),
    /// Transfers records of idempotency keys to their new owner.
    Transfer(TransferRequest),
    /// Asks the owner of an account for a loan of its limits.
    Borrow(BorrowRequest),
    /// Returns borrowed slots.
    Return(ReturnRequest),
    /// Reports requests, or parts of prompts, during which servers ended.
    Suspect(SuspectKind, Vec<Suspicion>),
}

/// The answer to a [`Request`] of the same kind.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Response {
    /// Answer to a [`Request::Claim`].
    Vote(Vote),
    /// The request was accepted; it has no further answer.
    Done,
    /// Answer to a [`Request::Borrow`].
    Lent(BorrowReply),
    /// The handler can't answer at present.
    Refused,
}

/// Answers coordination calls of peers. It runs on the thread that serves all peers, so it must not
/// block.
pub trait Handler: Send + Sync + 'static {
    /// Answers a call of an authenticated peer.
    fn handle(&self, from: Member, request: Request) -> Response;
}

/// A handler that refuses every call.
#[derive(Clone, Copy, Debug, Default)]
pub struct RefuseAll;

impl Handler for RefuseAll {
    fn handle(&self, _from: Member, _request: Request) -> Response {
        Response::Refused
    }
}
