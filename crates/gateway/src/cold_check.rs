//! Asks cold servers how much longer they are cold.
//!
//! Their entries say so too, but may have been written long before they are read. A server that doesn't
//! answer counts as cold for as long as its entry says, or until it writes the next one.

use std::sync::Arc;

use async_std::task;
use crocushold_base::Millis;
use crocushold_http::RequestTarget;
use crocushold_http::Reuse;
use crocushold_http::SendLimits;
use http_types::Method;

use crate::fleet::ColdPhase;
use crate::fleet::ColdQuery;
use crate::shared::Shared;

/// How long a server may take for the answer. It handles the question like a request, which may wait for a
/// slot.
const ANSWER_TIMEOUT: Millis = Millis(500);

/// Starts the questions that are due.
pub(crate) fn start(shared: &Arc<Shared>) {
    let queries = shared.fleet().take_cold_queries(shared.clock.now());
    for query in queries {
        let shared = shared.clone();
        task::spawn(async move {
            if let Some(remaining) = ask(&shared, &query).await {
                let phase = ColdPhase {
                    left: u32::try_from(remaining.0).unwrap_or(u32::MAX),
                    ..query.phase
                };
                shared.review_cold(&[phase]);
            }
        });
    }
}

/// How much longer the server is cold; `None` if it doesn't say so.
async fn ask(shared: &Shared, query: &ColdQuery) -> Option<Millis> {
    let target = RequestTarget::parse(&query.path).ok()?;
    let limits = SendLimits {
        connect_timeout: ANSWER_TIMEOUT,
        write_timeout: ANSWER_TIMEOUT,
        head_timeout: ANSWER_TIMEOUT,
        stall_timeout: ANSWER_TIMEOUT,
        ..SendLimits::default()
    };
    let request = target.request(Method::Get);
    let sent = shared
        .client
        .send(query.address, request, &limits, Reuse::Fresh);
    let answer = sent.await.ok()?;
    let health = shared.protocol.health(&answer.headers);
    let is_same = health.server.as_deref() == Some(&*query.id);
    health.cold_remaining.filter(|_| is_same)
}
