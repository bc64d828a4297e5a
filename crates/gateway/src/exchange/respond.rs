//! The response to a caller, made from an answer of a server or of another instance.

use crocushold_http::Answer;
use crocushold_http::AnswerTimeout;
use crocushold_http::EventCounter;
use crocushold_http::RelayBody;
use crocushold_http::is_event_stream;
use crocushold_http::keep_content_type;
use crocushold_http::relay_headers;
use http_types::Response;
use http_types::StatusCode;
use http_types::headers::CONTENT_TYPE;
use http_types::headers::HeaderValues;

use super::Exchange;
use crate::fleet::Choice;
use crate::reach;
use crate::record::RequestRecord;
use crate::settle::AnswerObserver;
use crate::settle::PauseTracker;
use crate::settle::Upstream;

impl Exchange<'_> {
    /// Returns the response with which an answer reaches the caller, or the instance that relayed the
    /// request.
    pub(super) fn respond(&self, mut answer: Answer, upstream: Upstream) -> Response {
        let now = self.shared.clock.now();
        let record = self.record();
        let label = record.repeat.label();
        let duration = now.since(record.arrived);
        let metrics = &self.shared.metrics;
        metrics.observe_latency(label, record.priority, "head", duration);
        let mut response = Response::new(answer.status);
        relay_headers(&answer.headers, response.as_mut());
        let server = match &upstream {
            Upstream::Server(choice, _) => Some(choice.clone()),
            Upstream::Peer(_) => None,
        };
        let settle = AnswerObserver {
            shared: self.shared.clone(),
            record,
            upstream,
            status: answer.status.into(),
            head_at: now,
            writing: None,
            survived: false,
            delimiter: answer.body.delimiter(),
            counter: EventCounter::new(),
            pauses: PauseTracker::from(now),
        };
        let content_type = answer.headers.get(CONTENT_TYPE);
        self.check_end(&mut answer.body, response.status(), content_type, server);
        response.ext_mut().insert(AnswerTimeout(self.remaining()));
        let body = answer.body.into_body(settle);
        keep_content_type(&mut response, |response| response.set_body(body));
        response
    }

    /// Sets what shows whether an answer that ends with its connection is complete.
    fn check_end(
        &self,
        body: &mut RelayBody,
        status: StatusCode,
        content_type: Option<&HeaderValues>,
        server: Option<Choice>,
    ) {
        // A failure on a stream's route is described in some other way.
        let untyped_events = self.job.repeat.is_stream() && status.is_success();
        let has_events = match content_type {
            Some(content_type) => is_event_stream(content_type.last().as_str()),
            None => untyped_events,
        };
        if has_events {
            body.expect_events();
        }
        if let Some(server) = server {
            body.set_end_check(reach::is_alive(self.shared.clone(), server));
        }
    }

    /// The data for the log line at the end of the request.
    pub(crate) fn record(&self) -> RequestRecord {
        RequestRecord {
            id: self.job.id.clone(),
            route: self.job.route.clone(),
            content: self.job.content.clone(),
            account: self.job.account.clone(),
            repeat: self.job.repeat,
            priority: self.job.need.priority,
            version: self.job.version,
            arrived: self.job.arrived,
            attempts: self.facts.attempts,
            max_output_tokens: self.job.need.max_output_tokens,
            prefix: self.job.need.prefix,
            source: self.source,
            expected_wait: self.expected_wait,
            wait_limit: self.job.need.wait_limit,
            line_wait: self.line_wait,
            line_limit: self.job.line_limit,
            line_standing: self.line_standing,
            expected_prefill: self.expected_prefill,
            placer: self.placer,
            entry: self.job.entry.clone(),
            resumption: self.job.resumption.clone(),
        }
    }
}
