//! Classification of attempts: what they prove, and what may be done with their answers.

use crocushold_http as http;
use crocushold_http::SendError;
use crocushold_http::SendErrorKind;
use crocushold_routing::Outcome;
use crocushold_routing::Stage;
use http_types::StatusCode;

use crate::protocol::AnswerMeta;
use crate::protocol::Executed;

/// Classification of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// The server's own answer, which is relayed.
    Good,
    /// The server's own answer, which reports a server failure. A retry may succeed.
    Failed,
    /// The server reports that it didn't run the request, for lack of capacity.
    Rejected,
    /// Another server now has the address, and didn't run the request.
    Misdirected,
    /// Not an answer to this request, or one that must not be relayed.
    Bad,
}

/// Whether the head of an answer is certain to be from the server that the request `id` was sent
/// to.
///
/// An answer with another request's ID was left on the connection by an earlier request. If it were
/// relayed, a caller would read another caller's data. An answer without the server's seal, or with
/// a content encoding, isn't what the server wrote.
pub(crate) fn is_from_server(status: StatusCode, meta: &AnswerMeta, id: &str) -> bool {
    match meta.executed {
        Executed::Misdirected => false,
        Executed::No => true,
        Executed::Unknown => {
            let is_intact = meta.id.as_deref() == Some(id) && !meta.encoded;
            is_intact && (meta.sealed || !status.is_success())
        }
    }
}

/// Classifies the head of an answer to the request `id`.
pub(crate) fn classify_answer(
    status: StatusCode,
    meta: &AnswerMeta,
    id: &str,
    idempotent: bool,
) -> Verdict {
    match meta.executed {
        Executed::Misdirected => return Verdict::Misdirected,
        Executed::No => return Verdict::Rejected,
        Executed::Unknown => {}
    }
    if !is_from_server(status, meta, id) {
        return Verdict::Bad;
    }
    if !idempotent && promises_not_run(status) {
        return Verdict::Bad;
    }
    if status.is_server_error() {
        return Verdict::Failed;
    }
    Verdict::Good
}

/// Whether callers take the status as a promise that the request didn't run.
fn promises_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::RequestTimeout
            | StatusCode::MisdirectedRequest
            | StatusCode::TooManyRequests
            | StatusCode::ServiceUnavailable
    )
}

/// The stage that a request without an answer had reached.
pub(crate) fn stage_of(error: &SendError) -> Stage {
    match error.stage {
        http::Stage::NotConnected => Stage::NotConnected,
        // No byte was written to the socket, so nothing was sent. This holds for new and for reused
        // connections.
        http::Stage::Connected => Stage::Connected,
        http::Stage::Written => Stage::Written,
        http::Stage::Answered => Stage::Answered,
    }
}

/// What an attempt without an answer says about its server.
pub(crate) fn outcome_of(error: &SendError) -> Outcome {
    match error.kind {
        // Servers close idle connections; this is no failure.
        SendErrorKind::Closed | SendErrorKind::Write(_) | SendErrorKind::Read(_)
            if error.reused =>
        {
            Outcome::Cancelled
        }
        SendErrorKind::Connect(_) => Outcome::Refused,
        SendErrorKind::ConnectTimeout => Outcome::Unreachable,
        SendErrorKind::HeadTimeout | SendErrorKind::WriteTimeout => Outcome::TimedOut,
        _ => Outcome::Cut,
    }
}

/// What an answer says about its server.
pub(crate) fn outcome_of_verdict(verdict: Verdict) -> Outcome {
    match verdict {
        Verdict::Good => Outcome::Complete,
        Verdict::Failed | Verdict::Bad => Outcome::Failed,
        Verdict::Rejected => Outcome::Overloaded,
        Verdict::Misdirected => Outcome::Replaced,
    }
}
