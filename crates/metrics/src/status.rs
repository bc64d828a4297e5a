//! The document behind `GET /status`.
//!
//! Durations are in milliseconds. Names are those of the configuration and the platform. Unknown
//! fields are ignored and missing ones get their defaults, so that `crocushold status` can read
//! instances of other versions during an upgrade.

use serde::Deserialize;
use serde::Serialize;

use crate::window::Counts;
use crate::window::Window;

mod table;

/// The state of an instance, and its view of the fleet.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, rename_all = "kebab-case")]
pub struct Status {
    /// Name of the instance.
    pub instance: String,
    /// Availability zone.
    pub zone: String,
    /// Version of the program.
    pub version: String,
    /// The lifecycle state of the instance.
    pub state: InstanceState,
    /// The time since the process started.
    pub uptime_ms: u64,
    /// The configuration in force.
    pub config: ConfigStatus,
    /// The other instances.
    pub peers: Vec<PeerStatus>,
    /// The classes, by name.
    pub classes: Vec<ClassStatus>,
    /// The backend servers, by name.
    pub servers: Vec<ServerStatus>,
    /// The limits that are closest to their bounds.
    pub limits: Vec<LimitStatus>,
}

/// The lifecycle state of an instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum InstanceState {
    /// The instance has no configuration yet.
    #[default]
    Starting,
    /// The instance accepts requests.
    Serving,
    /// The instance finishes its requests and accepts no new ones.
    Draining,
}

/// The configuration in force.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, rename_all = "kebab-case")]
pub struct ConfigStatus {
    /// The revision in force; 0 before the first.
    pub revision: u64,
    /// The highest revision that the platform or a peer has announced.
    pub newest_revision: u64,
    /// The time since the platform last answered with a revision that isn't older than the one in
    /// force; missing if it never did.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub confirmed_ms: Option<u64>,
    /// The parts of the teams.
    pub parts: Vec<PartStatus>,
}

/// The configuration part of a team.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, rename_all = "kebab-case")]
pub struct PartStatus {
    /// The name of the team.
    pub team: String,
    /// The revision of the part in force; 0 if no revision of it was accepted.
    pub revision: u64,
    /// The revision of the published part; greater than `revision` if that text was rejected.
    pub published: u64,
    /// The number of findings in the published text.
    pub findings: u64,
}

/// A peer, as seen by this instance.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, rename_all = "kebab-case")]
pub struct PeerStatus {
    /// Name of the peer.
    pub instance: String,
    /// Its availability zone.
    pub zone: String,
    /// Its membership state, such as `live`, `suspect` or `leaving`.
    pub standing: String,
    /// The configuration revision that it last announced.
    pub revision: u64,
    /// The time since this instance last heard from the peer directly; missing if it never did, or
    /// if the peer doesn't answer.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub heard_ms: Option<u64>,
}

/// The state of a class.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, rename_all = "kebab-case")]
pub struct ClassStatus {
    /// Name of the class.
    pub class: String,
    /// The priority; lower values are served first.
    pub priority: u32,
    /// The number of queued requests.
    pub queued: u64,
    /// The number of requests in flight.
    pub running: u64,
    /// The share of requests that should attain their targets.
    pub objective: f64,
    /// The requests by verdict, with one entry per window.
    pub windows: Vec<WindowStatus>,
}

/// The requests of a class over a window.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct WindowStatus {
    /// The window.
    pub window: Window,
    /// The requests in the window.
    pub counts: Counts,
}

/// A backend server, as seen by this instance.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, rename_all = "kebab-case")]
pub struct ServerStatus {
    /// Name of the server.
    pub server: String,
    /// The service that it belongs to.
    pub service: String,
    /// Its availability zone.
    pub zone: String,
    /// Whether new requests are sent to it.
    pub usable: bool,
    /// Its routing state, such as `in`, `ejected`, `leaving` or `recovering`.
    pub standing: String,
    /// The reason for its state.
    pub reason: String,
    /// The number of requests that this instance has in flight on it.
    pub running: u64,
}

/// The use of a limit.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, rename_all = "kebab-case")]
pub struct LimitStatus {
    /// The name of the limit, such as `connections` or `account/portal/rate`.
    pub limit: String,
    /// The amount in use.
    pub used: u64,
    /// The bound that this instance applies.
    pub bound: u64,
}
