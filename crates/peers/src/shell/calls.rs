//! The caller's side of a session.

use crocushold_base::Millis;
use crocushold_ownership::BorrowReply;
use crocushold_ownership::BorrowRequest;
use crocushold_ownership::ClaimRequest;
use crocushold_ownership::ReturnRequest;
use crocushold_ownership::SettleRequest;
use crocushold_ownership::TransferRequest;
use crocushold_routing::SuspectKind;
use crocushold_routing::Suspicion;

use crate::coordination::Request;
use crate::coordination::Response;
use crate::coordination::wire as codec;
use crate::coordination::wire::Claim;
use crate::coordination::wire::ResultCode;
use crate::message::Message;
use crate::shell::clients::PeerSession;
use crate::wire;

/// Sends a message and returns the answer.
pub(crate) async fn exchange(session: PeerSession, message: Message) -> capnp::Result<Message> {
    let mut request = session.client.exchange_request();
    wire::write(&message, session.version, request.get().init_message());
    let response = request.send().promise.await?;
    wire::read(response.get()?.get_message()?)
}

/// Makes a coordination call.
pub(crate) async fn coordinate(session: PeerSession, request: Request) -> capnp::Result<Response> {
    match request {
        Request::Claim(request) => claim(&session, &request).await,
        Request::Settle(request) => settle(&session, &request).await,
        Request::Transfer(request) => transfer(&session, &request).await,
        Request::Borrow(request) => borrow(&session, &request).await,
        Request::Return(request) => give_back(&session, &request).await,
        Request::Suspect(kind, suspicions) => suspect(&session, kind, &suspicions).await,
    }
}

async fn claim(session: &PeerSession, request: &ClaimRequest) -> capnp::Result<Response> {
    let mut call = session.client.claim_request();
    let mut params = call.get();
    params.set_group(request.group.0);
    let claim = Claim {
        key: request.key,
        id: request.claim,
        digest: request.digest,
        account: request.account,
    };
    codec::write_claim(&claim, params.init_claim());
    let response = call.send().promise.await?;
    let answer = response.get()?;
    let vote = codec::decode_vote(ResultCode {
        kind: answer.get_vote(),
        status: answer.get_status(),
        retry: Millis(answer.get_retry_ms()),
    });
    Ok(Response::Vote(vote))
}

async fn settle(session: &PeerSession, request: &SettleRequest) -> capnp::Result<Response> {
    let mut call = session.client.settle_request();
    let mut params = call.get();
    let outcome = codec::encode_outcome(request.outcome);
    params.set_outcome(outcome.kind);
    params.set_status(outcome.status);
    let claim = Claim {
        key: request.key,
        id: request.claim,
        digest: request.digest,
        account: request.account,
    };
    codec::write_claim(&claim, params.init_claim());
    call.send().promise.await?;
    Ok(Response::Done)
}

async fn transfer(session: &PeerSession, request: &TransferRequest) -> capnp::Result<Response> {
    let mut call = session.client.transfer_request();
    codec::write_transfer(request, call.get());
    call.send().promise.await?;
    Ok(Response::Done)
}

async fn borrow(session: &PeerSession, request: &BorrowRequest) -> capnp::Result<Response> {
    let mut call = session.client.borrow_request();
    let mut params = call.get();
    params.set_account(request.account.0);
    params.set_units(request.units);
    params.set_slots(request.slots);
    params.set_held(request.held);
    let response = call.send().promise.await?;
    let answer = response.get()?;
    Ok(Response::Lent(BorrowReply {
        units: answer.get_units(),
        slots: answer.get_slots(),
    }))
}

async fn give_back(session: &PeerSession, request: &ReturnRequest) -> capnp::Result<Response> {
    let mut call = session.client.give_back_request();
    let mut params = call.get();
    params.set_account(request.account.0);
    params.set_kept(request.kept);
    call.send().promise.await?;
    Ok(Response::Done)
}

async fn suspect(
    session: &PeerSession,
    kind: SuspectKind,
    suspicions: &[Suspicion],
) -> capnp::Result<Response> {
    let mut call = session.client.suspect_request();
    call.get().set_parts(kind == SuspectKind::Part);
    let mut list = call.get().init_suspicions(suspicions.len() as u32);
    for (at, suspicion) in suspicions.iter().enumerate() {
        codec::write_suspicion(suspicion, list.reborrow().get(at as u32));
    }
    call.send().promise.await?;
    Ok(Response::Done)
}
