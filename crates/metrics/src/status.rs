//! The document behind `GET /status`.
//!
//! Times are milliseconds; names are those of the configuration and the platform. A reader of another
//! version ignores fields that it doesn't know and takes defaults for those that are missing, so that
//! `crocushold status` works through an upgrade.

use serde::Deserialize;
use serde::Serialize;

use crate::window::Counts;
use crate::window::Window;

mod table;

/// One instance's view of itself and of the fleet.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, rename_all = "kebab-case")]
pub struct Status {
    /// Name of the instance.
    pub instance: String,
    /// Availability zone.
    pub zone: String,
    /// Version of the program.
    pub version: String,
    /// Stage of the instance's life.
    pub state: InstanceState,
    /// Time since the process started.
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

/// Stage of an instance's life.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum InstanceState {
    /// Has no configuration yet.
    #[default]
    Starting,
    /// Takes requests.
    Serving,
    /// Finishes its requests and takes no new ones.
    Draining,
}

/// The configuration in force.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, rename_all = "kebab-case")]
pub struct ConfigStatus {
    /// Revision in force; 0 before the first.
    pub revision: u64,
    /// Highest revision that the platform or a peer told of.
    pub newest_revision: u64,
    /// Since the platform last answered with a revision that isn't older than the one in force;
    /// missing when it never did.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub confirmed_ms: Option<u64>,
    /// The teams' parts.
    pub parts: Vec<PartStatus>,
}

/// One team's part.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, rename_all = "kebab-case")]
pub struct PartStatus {
    /// The team.
    pub team: String,
    /// Revision of the part in force; 0 when none of its texts was accepted.
    pub revision: u64,
    /// Revision of the part as published; greater than `revision` when that text was rejected.
    pub published: u64,
    /// Findings on the published text.
    pub findings: u64,
}

/// Another instance, as seen from this one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, rename_all = "kebab-case")]
pub struct PeerStatus {
    /// Name of the peer.
    pub instance: String,
    /// Its availability zone.
    pub zone: String,
    /// Its standing, such as `live`, `suspect` or `leaving`.
    pub standing: String,
    /// The configuration revision that it stated last.
    pub revision: u64,
    /// Since this instance itself last heard it; missing when it never did, or gets no answer.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub heard_ms: Option<u64>,
}

/// One class.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, rename_all = "kebab-case")]
pub struct ClassStatus {
    /// Name of the class.
    pub class: String,
    /// Priority; lower is sooner.
    pub priority: u32,
    /// Requests queued.
    pub queued: u64,
    /// Requests in flight.
    pub running: u64,
    /// Share of requests that should attain their targets.
    pub objective: f64,
    /// Requests by verdict, one entry a window.
    pub windows: Vec<WindowStatus>,
}

/// Requests of a class over one window.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct WindowStatus {
    /// The window.
    pub window: Window,
    /// Requests over it.
    pub counts: Counts,
}

/// One backend server, as seen from this instance.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, rename_all = "kebab-case")]
pub struct ServerStatus {
    /// Name of the server.
    pub server: String,
    /// The service that it belongs to.
    pub service: String,
    /// Its availability zone.
    pub zone: String,
    /// Whether it gets new requests.
    pub usable: bool,
    /// Its standing, such as `in`, `ejected`, `leaving` or `recovering`.
    pub standing: String,
    /// Why it stands so.
    pub reason: String,
    /// Requests that this instance has in flight there.
    pub running: u64,
}

/// One limit.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, rename_all = "kebab-case")]
pub struct LimitStatus {
    /// What is limited, such as `connections` or `account/portal/rate`.
    pub limit: String,
    /// How much is in use.
    pub used: u64,
    /// The bound, as this instance applies it.
    pub bound: u64,
}
