//! What servers say about the requests that they accept.
//!
//! | notice | said in | binds | ends |
//! | --- | --- | --- | --- |
//! | it is cold | its entry | all instances together | at its time, as the first that read the entry has it |
//! | it and all of its service are brittle | answers | all instances together | some seconds after the last answer that says so |
//! | it has a limit | answers | all instances together | step by step, with answers that name none |
//! | it is leaving | its entry, and answers | each instance | with the process |
//! | it wants rest | rejections | the instance that was rejected | at its time |
//!
//! Every notice but that of brittle servers concerns one process and ends with it at the latest. A
//! notice that binds all instances together is a pace of the server, or the room that it has, which
//! only the placer spends. A server that is leaving isn't passed to the routers. A rest is no state
//! of the server: it is passed with each request, as the rests of the instance that sends it.
//!
//! What binds several instances is told to them, with its age, by [`crate::sharing`]. A rest is
//! told to the placer alone, with each request for a placement.

mod brittle;
mod cold;
mod departures;
mod limits;
mod rests;

use crocushold_base::Millis;
use crocushold_base::ServerKey;

pub use self::brittle::BrittleService;
pub(in crate::fleet) use self::brittle::NamedBrittleness;
pub use self::cold::ColdPhase;
pub use self::cold::ColdQuery;
pub use self::cold::ColdReview;
pub(in crate::fleet) use self::cold::ReportedCold;
pub(in crate::fleet) use self::departures::Departures;
pub use self::departures::ServerDeparture;
pub(in crate::fleet) use self::limits::NamedLimit;
pub use self::limits::ServerLimit;
use crate::fleet::Choice;
use crate::fleet::Fleet;
use crate::protocol::Notice;

/// What is new in a notice.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum NoticeChange {
    /// The server is leaving.
    Leaving,
    /// The server rests from now on, for this time.
    Resting(Millis),
    /// The server's limit in requests per second; `None` if it has none any longer.
    Limit(Option<f64>),
    /// The servers of the service fall over once they turn away more requests per second than this;
    /// `None` if they survive any number.
    Brittle(Option<u32>),
}

impl Fleet {
    /// Records what an answer says about the requests that its server accepts. Returns what is new.
    ///
    /// Only a successful answer without a limit withdraws one: a server that rejects a request, or
    /// fails, may leave its limit out.
    pub fn record_notice(
        &mut self,
        choice: &Choice,
        notice: Notice,
        is_success: bool,
        now: Millis,
    ) -> Vec<NoticeChange> {
        let mut changes = Vec::new();
        if notice.leaving && self.record_departure(choice, now) {
            changes.push(NoticeChange::Leaving);
        }
        if let Some(span) = notice.rest
            && self.record_rest(choice, span, now)
        {
            changes.push(NoticeChange::Resting(span));
        }
        if let Some(rejections) = notice.brittle
            && self.record_brittle(choice, rejections, now)
        {
            changes.push(NoticeChange::Brittle(Some(rejections)));
        }
        let tells_limit = is_success || notice.limit.is_some();
        if tells_limit && self.record_limit(choice, notice.limit, now) {
            changes.push(NoticeChange::Limit(self.limit_of(&choice.id)));
        }
        changes
    }

    /// Passes the cold phases and the limits of a service's servers to its router after the router
    /// received them anew.
    pub(in crate::fleet) fn push_paces(&mut self, service: &str, now: Millis) {
        let servers = self.servers.iter();
        let servers = servers.filter(|(_, server)| server.record.service == service);
        let keys: Vec<ServerKey> = servers.map(|(key, _)| key).collect();
        for key in keys {
            self.push_pace(key, now);
        }
    }

    /// Passes a server's cold phase and limit to the router of its service.
    fn push_pace(&mut self, key: ServerKey, now: Millis) {
        let server = &self.servers[key];
        if let Some(service) = self.services.get_mut(&server.record.service) {
            service.router.set_cold(key, server.cold_until());
            service.router.set_limit(key, server.limit.rate, now);
        }
    }
}
