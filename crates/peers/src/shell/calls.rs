//! The calls of a session, from the caller's side.

use crocushold_base::Millis;

use crate::coordination::KeyHash;
use crate::coordination::Request;
use crate::coordination::Response;
use crate::coordination::Verdict;
use crate::message::Message;
use crate::shell::clients::Line;
use crate::wire;

/// Sends a message and reads the answer.
pub(crate) async fn exchange(line: Line, message: Message) -> capnp::Result<Message> {
    let mut request = line.session.exchange_request();
    wire::write(&message, line.version, request.get().init_message());
    let response = request.send().promise.await?;
    wire::read(response.get()?.get_message()?)
}

/// Makes a coordination call.
pub(crate) async fn coordinate(line: Line, request: Request) -> capnp::Result<Response> {
    match request {
        Request::Claim {
            key,
            claimant,
            view_digest,
        } => {
            let mut call = line.session.claim_request();
            let mut params = call.get();
            let (high, low) = halves(key);
            params.set_key_high(high);
            params.set_key_low(low);
            params.set_claimant(claimant.as_str());
            params.set_view_digest(view_digest);
            let response = call.send().promise.await?;
            let answer = response.get()?;
            Ok(Response::Claimed {
                verdict: Verdict::from_code(answer.get_verdict()),
                wait: Millis(answer.get_wait_ms()),
            })
        }
        Request::Settle { key, outcome } => {
            let mut call = line.session.settle_request();
            let mut params = call.get();
            let (high, low) = halves(key);
            params.set_key_high(high);
            params.set_key_low(low);
            params.set_outcome(outcome.code());
            call.send().promise.await?;
            Ok(Response::Done)
        }
        Request::Borrow { account, tokens } => {
            let mut call = line.session.borrow_request();
            let mut params = call.get();
            params.set_account(&*account);
            params.set_tokens(tokens);
            let response = call.send().promise.await?;
            let answer = response.get()?;
            Ok(Response::Lent {
                granted: answer.get_granted(),
                expires: Millis(answer.get_expires_ms()),
            })
        }
        Request::GiveBack { account, tokens } => {
            let mut call = line.session.give_back_request();
            let mut params = call.get();
            params.set_account(&*account);
            params.set_tokens(tokens);
            call.send().promise.await?;
            Ok(Response::Done)
        }
    }
}

fn halves(key: KeyHash) -> (u64, u64) {
    ((key.0 >> 64) as u64, key.0 as u64)
}
