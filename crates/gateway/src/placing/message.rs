//! Messages between an instance and the placer.

use crocushold_base::Event;
use crocushold_base::Millis;
use crocushold_routing::LoadReport;
use crocushold_routing::Outcome;
use crocushold_routing::ServedContent;
use crocushold_routing::Suspicion;
use serde::Deserialize;
use serde::Serialize;

use crate::fleet::BrittleService;
use crate::fleet::ColdPhase;
use crate::fleet::Need;
use crate::fleet::ServerDeparture;
use crate::fleet::ServerLimit;
use crate::fleet::ServerPace;
use crate::resumption::OriginQuery;
use crate::resumption::OriginReply;
use crate::resumption::StreamOrigin;
use crate::sharing::Message;

/// Any message between instances. Each is sent as one datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Packet {
    /// Load and members known to the sender.
    Gossip(Message),
    /// A placement request.
    Request(PlacementRequest),
    /// The reply to a placement request.
    Reply(PlacementReply),
    /// Updates of requests that the receiver placed, in ascending order of their time.
    Updates(Vec<RequestUpdate>),
    /// Requests under which servers ended.
    Suspicions(Vec<Suspicion>),
    /// The sender asks how long the receiver has had contact to the registry.
    ContactQuery,
    /// How long the sender has had contact to the registry without a failed call.
    Contact(Millis),
    /// Limits that servers name.
    Limits(Vec<ServerLimit>),
    /// Processes of servers that said they are leaving.
    Departures(Vec<ServerDeparture>),
    /// Services whose servers are brittle.
    Brittle(Vec<BrittleService>),
    /// Which software version began a stream.
    Origin(StreamOrigin),
    /// A question for the origin of a stream.
    OriginQuery(OriginQuery),
    /// The reply to such a question.
    OriginReply(OriginReply),
    /// Parts of prompts under which servers ended.
    PartSuspicions(Vec<Suspicion>),
    /// The sender has just started and asks what was served of late.
    ServedQuery,
    /// Requests that were served of late.
    Served(Vec<ServedContent>),
    /// Parts of prompts on which servers wrote answers of late.
    SoundParts(Vec<ServedContent>),
    /// Requests that the sender has just served repeatedly.
    NewlyServed(Vec<ServedContent>),
    /// Parts of prompts on which servers have just written answers repeatedly.
    NewlySoundParts(Vec<ServedContent>),
    /// Cold phases of servers, as far as the sender knows.
    ColdPhases(Vec<ColdPhase>),
    /// The sender has just started, knows the servers, and asks for their speeds.
    PacesQuery,
    /// How long work usually takes on servers, as far as it isn't what is published.
    Paces(Vec<ServerPace>),
}

/// A request for the placement of a caller's request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacementRequest {
    /// The sender's number of the request, referred to by the reply and the updates.
    pub number: u32,
    /// The sender's availability zone.
    pub zone: String,
    /// Time left until the deadline of the caller's request.
    pub remaining: Millis,
    /// Engines that were already tried, by hashes of their names.
    pub tried: Vec<u32>,
    /// The requirements of the caller's request.
    pub need: Need,
    /// Servers that asked the sender for rest, by hashes of their names.
    pub resting: Vec<u32>,
    /// On which terms it waits in line while no engine has room; `None` if it doesn't.
    pub line: Option<LineTerms>,
}

/// On which terms a request waits in line.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LineTerms {
    /// Hash of the client account's name; zero if it has none.
    pub account: u32,
    /// How much longer the caller bears to wait for the beginning of the prefill.
    pub limit: Millis,
    /// Hash of what is asked, which is the same when the caller comes back; never zero.
    pub request: u32,
}

/// The engine chosen for a request of another instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Placement {
    /// Hash of the engine's name.
    pub engine: u32,
    /// Hash of the name of the engine from which to fetch the shared prefix.
    pub source: Option<u32>,
    /// Expected wait of the request at the engine.
    pub wait: Millis,
    /// Number of prompt tokens that the engine is expected to read.
    pub read: u32,
}

/// The placer's decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PlacementVerdict {
    /// Send the request to this engine.
    Placed(Placement),
    /// At every engine the wait would exceed the request's limit.
    Late {
        /// The shortest expected wait.
        wait: Millis,
        /// When to retry.
        retry_delay: Millis,
    },
    /// The placer knows no server for the request.
    Unable,
    /// The servers are brittle, and none of them surely has room.
    Full {
        /// When to retry.
        retry_delay: Millis,
    },
    /// It waits in line. The decision follows; until then the sender asks again, so that the
    /// placer knows that it is still there.
    Waiting,
    /// The line refuses it.
    Refused {
        /// The expected wait; zero if it isn't known.
        wait: Millis,
        /// When to retry.
        retry_delay: Millis,
        /// Why.
        standing: LineStanding,
    },
}

/// How a request stood in line when that refused it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LineStanding {
    /// Number of requests of its rank and of more urgent ones that waited.
    pub ahead: u32,
    /// Share of its account in what began of its rank in about the last second, in percent.
    pub share: u8,
}

/// The reply to a [`PlacementRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacementReply {
    /// Number of the placement request.
    pub number: u32,
    /// The decision.
    pub verdict: PlacementVerdict,
}

/// An update of a placed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestUpdate {
    /// Number of the placement request.
    pub number: u32,
    /// The event.
    pub kind: UpdateKind,
}

/// An event of a placed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum UpdateKind {
    /// The answer has begun. Contains the numbers of running and waiting requests at the engine, if
    /// it reported them.
    Started(Option<[u32; 2]>),
    /// The request has ended.
    Ended(RequestEnd),
    /// The answer has begun, at an engine that reported the numbers of running and waiting requests,
    /// and how long work takes there at this moment, in percent of the usual time. It is encoded as
    /// [`UpdateKind::Started`] with a trailer; only one earlier version sends the variant itself.
    StartedAtPace([u32; 2], u16),
}

/// The end of a placed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestEnd {
    /// The outcome.
    pub result: Outcome,
    /// Number of tokens of the answer.
    pub tokens: u32,
    /// The longest pause of its stream, if known.
    pub pause: Option<Millis>,
}

impl LineStanding {
    /// Adds the fields that explain the refusal.
    pub fn log(&self, event: Event) -> Event {
        let share = format!("{}%", self.share);
        event
            .with("line-ahead", self.ahead)
            .with("line-share", share)
    }
}

impl UpdateKind {
    /// The engine's load report, if the update carries one.
    pub(crate) fn load(&self) -> Option<LoadReport> {
        let (requests, work_percent) = match *self {
            UpdateKind::Started(requests) => (requests, None),
            UpdateKind::StartedAtPace(requests, percent) => (Some(requests), Some(percent)),
            UpdateKind::Ended(_) => (None, None),
        };
        requests.map(|[running, waiting]| LoadReport {
            running,
            waiting,
            work_percent,
            ..LoadReport::default()
        })
    }

    /// How long work takes at the engine, in percent of the usual time, if the update tells it.
    pub(super) fn pace(&self) -> Option<u16> {
        match *self {
            UpdateKind::StartedAtPace(_, percent) => Some(percent),
            UpdateKind::Started(_) | UpdateKind::Ended(_) => None,
        }
    }

    /// The answer has begun, with the engine's load report.
    pub fn started(load: Option<LoadReport>) -> UpdateKind {
        let requests = |load: LoadReport| [load.running, load.waiting];
        match load.and_then(|load| Some((load, load.work_percent?))) {
            Some((load, percent)) => UpdateKind::StartedAtPace(requests(load), percent),
            None => UpdateKind::Started(load.map(requests)),
        }
    }
}
