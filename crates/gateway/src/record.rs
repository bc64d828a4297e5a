//! What is kept of a request for its last line in the log.

use std::net::SocketAddr;

use crocushold_base::Event;
use crocushold_base::Millis;
use crocushold_routing::Fingerprint;

use crate::routes::Repeat;
use crate::shared::Shared;

/// What is kept of a request for its last line in the log.
#[derive(Clone, Debug)]
pub(crate) struct Record {
    pub(crate) id: String,
    pub(crate) route: String,
    /// What is asked, for whom.
    pub(crate) content: Fingerprint,
    /// The caller's account.
    pub(crate) account: Option<String>,
    pub(crate) repeat: Repeat,
    pub(crate) priority: u8,
    pub(crate) version: u64,
    pub(crate) arrived: Millis,
    pub(crate) attempts: u32,
    /// Most tokens of its answer.
    pub(crate) output: u32,
    /// What it shares with others, by which it is placed.
    pub(crate) prefix: Option<u32>,
    /// Another engine, from which the chosen one was to bring it.
    pub(crate) source: Option<SocketAddr>,
    /// The wait that was expected when its server was chosen.
    pub(crate) wait: Millis,
    /// The longest wait with which it is sent at all.
    pub(crate) limit: Option<Millis>,
    /// Tokens of its prompt that the server was expected to read.
    pub(crate) read: u32,
    /// The instance that chose its server, where it is another one.
    pub(crate) placer: Option<SocketAddr>,
}

impl Record {
    /// The last line in the log of a request that was resolved, without what its answer was like.
    pub(crate) fn ended(&self, shared: &Shared, outcome: &str) -> Event {
        let limit = self.limit.map(|limit| limit.to_string());
        let placer = self.placer.map(|placer| placer.to_string());
        Event::new("request-ended")
            .with("request", &self.id)
            .with("route", &self.route)
            .with("content", shared.content_names.pseudonym(self.content))
            .with("account", self.account.as_deref().unwrap_or("none"))
            .with("rank", self.priority)
            .with("config", self.version)
            .with("knowledge-age", shared.knowledge_age())
            .with("attempts", self.attempts)
            .with("placer", placer.as_deref().unwrap_or("none"))
            .with("expected-wait", self.wait)
            .with("expected-read", self.read)
            .with("wait-limit", limit.as_deref().unwrap_or("none"))
            .with("outcome", outcome)
            .with("total", shared.clock.now().since(self.arrived))
    }
}
