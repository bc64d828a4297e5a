//! The headers between two instances.

use base64::Engine;
use base64::engine::general_purpose::STANDARD_NO_PAD;
use crocushold_base::Millis;
use http_types::Headers;
use http_types::Request;
use serde::Deserialize;
use serde::Serialize;

use crate::fleet::Need;
use crate::resumption::StreamKey;
use crate::routes::Repeat;

/// Carries a [`RelayedRequest`] in a request, and a [`RelayOutcome`] in its answer.
pub(crate) const RELAY_HEADER: &str = "crocushold-relay";

/// What an instance has decided about a request that it relays.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayedRequest {
    /// Name of the instance that relays it.
    pub entry: String,
    /// Request ID, as sent by the caller.
    pub id: String,
    /// The route's name.
    pub route: String,
    /// How often it may run.
    pub repeat: Repeat,
    /// Version of the configuration under which it was accepted.
    pub version: u64,
    /// The caller's account.
    pub account: Option<String>,
    /// Maximum number of servers that it may still be sent to.
    pub attempts: u32,
    /// Its requirements.
    pub need: Need,
    /// Time left until its deadline.
    pub remaining: Millis,
    /// The stream that it begins or takes up.
    pub stream: Option<StreamKey>,
    /// Time left until its caller gives up, over all of its attempts.
    pub held: Millis,
}

impl RelayedRequest {
    /// Sets the header that carries it.
    pub(crate) fn write(&self, headers: &mut Headers) {
        let bytes = postcard::to_allocvec(self).expect("numbers and names always serialise");
        headers.insert(RELAY_HEADER, STANDARD_NO_PAD.encode(bytes));
    }

    /// Takes it from the header of a request; `None` if the header is missing or malformed.
    pub(crate) fn take(request: &mut Request) -> Option<RelayedRequest> {
        let values = request.remove_header(RELAY_HEADER)?;
        let bytes = STANDARD_NO_PAD.decode(values.last().as_str()).ok()?;
        postcard::from_bytes(&bytes).ok()
    }
}

/// What a peer says about a relayed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RelayOutcome {
    /// The answer is a server's.
    Answered,
    /// The peer refused or gave up the request; its response is final.
    Refused,
    /// The peer can't send requests of this kind now. Nothing was sent.
    Unable,
}

impl RelayOutcome {
    /// The value of the header, which is also the label in logs and metrics.
    pub(crate) fn label(self) -> &'static str {
        match self {
            RelayOutcome::Answered => "answered",
            RelayOutcome::Refused => "refused",
            RelayOutcome::Unable => "unable",
        }
    }

    /// Takes the outcome from the headers of a peer's answer. An answer without it was given before
    /// the peer has read the request, as by a listener that is full.
    pub(crate) fn take(headers: &mut Headers) -> RelayOutcome {
        let values = headers.remove(RELAY_HEADER);
        let value = values.as_ref().map(|values| values.last().as_str());
        let given = [RelayOutcome::Answered, RelayOutcome::Refused];
        let outcome = given
            .into_iter()
            .find(|outcome| value == Some(outcome.label()));
        outcome.unwrap_or(RelayOutcome::Unable)
    }
}
