//! The data for the log line at the end of a request.

use std::net::SocketAddr;

use crocushold_base::Event;
use crocushold_base::Millis;
use crocushold_routing::RequestContent;

use crate::placing::LineStanding;
use crate::protocol::Resumption;
use crate::routes::Repeat;
use crate::shared::Shared;

/// The data for the log line at the end of a request.
#[derive(Clone, Debug)]
pub(crate) struct RequestRecord {
    pub(crate) id: String,
    pub(crate) route: String,
    /// What is asked.
    pub(crate) content: RequestContent,
    /// The caller's account.
    pub(crate) account: Option<String>,
    pub(crate) repeat: Repeat,
    pub(crate) priority: u8,
    pub(crate) version: u64,
    pub(crate) arrived: Millis,
    pub(crate) attempts: u32,
    /// Maximum length of the answer, in tokens.
    pub(crate) max_output_tokens: u32,
    /// Hash of the shared prompt prefix, used for placement.
    pub(crate) prefix: Option<u32>,
    /// Engine from which the chosen server was to fetch the prefix.
    pub(crate) source: Option<SocketAddr>,
    /// Expected wait when the server was chosen.
    pub(crate) expected_wait: Millis,
    /// Maximum wait with which the request is sent.
    pub(crate) wait_limit: Option<Millis>,
    /// How long it waited in the placer's line, if it did.
    pub(crate) line_wait: Option<Millis>,
    /// How long it may wait there and at an engine.
    pub(crate) line_limit: Option<Millis>,
    /// How it stood in line when that refused it.
    pub(crate) line_standing: Option<LineStanding>,
    /// Number of prompt tokens that the server was expected to prefill.
    pub(crate) expected_prefill: u32,
    /// The other instance that chose the server, if any.
    pub(crate) placer: Option<SocketAddr>,
    /// The instance that the caller is connected to, if that relayed the request to this one.
    pub(crate) entry: Option<String>,
    /// The stream that the caller takes up, if it does.
    pub(crate) resumption: Option<Resumption>,
}

impl RequestRecord {
    /// The log event at the end of a request, without the fields that describe its answer.
    pub(crate) fn end_event(&self, shared: &Shared, outcome: &str) -> Event {
        let limit = self.wait_limit.map(|limit| limit.to_string());
        let line_wait = self.line_wait.map(|wait| wait.to_string());
        let line_limit = self.line_limit.filter(|_| shared.settings.waiting_line);
        let line_limit = line_limit.map(|limit| limit.to_string());
        let placer = self.placer.map(|placer| placer.to_string());
        let event = Event::new("request-ended")
            .with("request", &self.id)
            .with("route", &self.route)
            .with(
                "content",
                shared.content_names.pseudonym(self.content.request),
            )
            .with("account", self.account.as_deref().unwrap_or("none"))
            .with("rank", self.priority)
            .with("config", self.version)
            .with("knowledge-age", shared.knowledge_age())
            .with("attempts", self.attempts)
            .with("placer", placer.as_deref().unwrap_or("none"))
            .with("expected-wait", self.expected_wait)
            .with("expected-read", self.expected_prefill)
            .with("wait-limit", limit.as_deref().unwrap_or("none"))
            .with("line-wait", line_wait.as_deref().unwrap_or("none"))
            .with("line-limit", line_limit.as_deref().unwrap_or("none"))
            .with("entry", self.entry.as_deref().unwrap_or("here"))
            .with("outcome", outcome)
            .with("total", shared.clock.now().since(self.arrived));
        let event = match &self.line_standing {
            Some(standing) => standing.log(event),
            None => event,
        };
        let Some(resumption) = &self.resumption else {
            return event;
        };
        let text = |id: &Option<String>| id.clone().unwrap_or_else(|| "none".to_owned());
        event
            .with("first-attempt", text(&resumption.first_attempt))
            .with("last-event", text(&resumption.last_event))
    }
}
