//! Calls by which instances coordinate. They are carried here and answered by the embedder; what
//! they mean is decided in `crocushold-ownership`.

pub(crate) mod wire;

use crocushold_ownership::BorrowReply;
use crocushold_ownership::BorrowRequest;
use crocushold_ownership::ClaimRequest;
use crocushold_ownership::Member;
use crocushold_ownership::ReturnRequest;
use crocushold_ownership::SettleRequest;
use crocushold_ownership::TransferRequest;
use crocushold_ownership::Vote;
use crocushold_routing::Suspicion;

/// A call to a peer.
#[derive(Clone, Debug, PartialEq)]
pub enum Request {
    /// Asks for a vote on an idempotency key.
    Claim(ClaimRequest),
    /// States the outcome of a claimed request.
    Settle(SettleRequest),
    /// Hands records of idempotency keys over.
    Transfer(TransferRequest),
    /// Asks the owner of an account for a loan of its limits.
    Borrow(BorrowRequest),
    /// Gives lent slots back.
    Return(ReturnRequest),
    /// Tells of requests under which servers ended.
    Suspect(Vec<Suspicion>),
}

/// The answer to a [`Request`] of the same kind.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Response {
    /// Answer to a claim.
    Vote(Vote),
    /// The statement was taken in.
    Done,
    /// Answer to a wish for a loan.
    Lent(BorrowReply),
    /// The handler can't answer now.
    Refused,
}

/// Answers the calls of peers. Runs on the thread that serves all peers, so it must not block.
pub trait Handler: Send + Sync + 'static {
    /// Answers a call of a peer that has proved that it holds the key.
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
