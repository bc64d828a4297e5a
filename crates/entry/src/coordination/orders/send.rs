//! Sends an order to an engine.

use async_std::future::timeout;
use async_std::io::ReadExt;
use crocushold_base::Millis;
use crocushold_http::Answer;
use crocushold_http::Client;
use crocushold_http::Reuse;
use crocushold_http::SendLimits;
use crocushold_ownership::OrderAnswer;
use crocushold_platform::wire::OrderRefusal;
use http_types::Method;
use http_types::Request;
use http_types::StatusCode;
use http_types::Url;

use super::message::OutboundOrder;

/// Maximum number of bytes read of an answer.
const MAX_ANSWER_BYTES: u64 = 4096;

/// Sends an order and waits for its answer, for at most `limit`.
pub(super) async fn send(client: &Client, outbound: &OutboundOrder, limit: Millis) -> OrderAnswer {
    let sent = timeout(limit.into(), exchange(client, outbound, limit));
    sent.await.unwrap_or(OrderAnswer::Failed)
}

async fn exchange(client: &Client, outbound: &OutboundOrder, limit: Millis) -> OrderAnswer {
    let Some(request) = request(outbound) else {
        return OrderAnswer::Failed;
    };
    let limits = SendLimits {
        head_timeout: limit,
        ..SendLimits::default()
    };
    // Uses a new connection: if a reused one turns out to be closed, the repeat could come too
    // late.
    let sent = client.send(outbound.address, request, &limits, Reuse::Fresh);
    match sent.await {
        Ok(answer) => read(answer).await,
        Err(_) => OrderAnswer::Failed,
    }
}

fn request(outbound: &OutboundOrder) -> Option<Request> {
    let url = Url::parse(&format!("http://{}/orders", outbound.address)).ok()?;
    let mut request = Request::new(Method::Post, url);
    request.set_body(serde_json::to_string(&outbound.body).ok()?);
    request.insert_header("content-type", "application/json");
    Some(request)
}

async fn read(answer: Answer) -> OrderAnswer {
    let status = answer.status;
    if status.is_success() {
        return OrderAnswer::Obeyed;
    }
    if status != StatusCode::Conflict {
        return OrderAnswer::Failed;
    }
    let mut text = String::new();
    let mut body = answer.body.take(MAX_ANSWER_BYTES);
    if body.read_to_string(&mut text).await.is_err() {
        return OrderAnswer::Failed;
    }
    let refusal = serde_json::from_str::<OrderRefusal>(&text);
    refusal.map_or(OrderAnswer::Failed, |refusal| OrderAnswer::Fenced {
        fence: refusal.fence,
    })
}
