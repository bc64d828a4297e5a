//! Settings of the runtime.

use std::net::SocketAddr;

use crocushold_base::Millis;

use crate::auth::SharedKey;
use crate::identity::Instance;
use crate::node::NodeSettings;
use crate::wire::NEWEST_VERSION;
use crate::wire::OLDEST_VERSION;

/// Limits on the resources that a peer or an unauthenticated caller can use.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Maximum number of incoming connections.
    pub incoming: usize,
    /// Maximum number of those that haven't authenticated yet.
    pub unauthenticated: usize,
    /// Maximum number of outgoing connections.
    pub outgoing: usize,
    /// Timeout of connecting and authenticating.
    pub handshake_timeout: Millis,
    /// Timeout of a message of the membership or of the configuration and its answer.
    pub exchange_timeout: Millis,
    /// Maximum number of pending calls to one peer.
    pub pending_calls: usize,
    /// Maximum size of an encoded message in bytes.
    pub message_bytes: usize,
    /// Maximum nesting depth of an encoded message.
    pub nesting: i32,
    /// Time without a call after which a connection is closed.
    pub idle_timeout: Millis,
    /// Number of consecutive failures after which calls to a peer fail at once.
    pub failure_threshold: u32,
    /// Initial time for which they do; it doubles with each further failure.
    pub circuit_backoff: Millis,
    /// Maximum of that time.
    pub max_circuit_backoff: Millis,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            incoming: 512,
            unauthenticated: 32,
            outgoing: 512,
            handshake_timeout: Millis(2000),
            exchange_timeout: Millis(1500),
            pending_calls: 64,
            message_bytes: 512 << 10,
            nesting: 16,
            idle_timeout: Millis::from_secs(60),
            failure_threshold: 3,
            circuit_backoff: Millis(500),
            max_circuit_backoff: Millis::from_secs(8),
        }
    }
}

/// Range of supported protocol versions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Versions {
    /// Oldest supported version.
    pub oldest: u16,
    /// Newest supported version.
    pub newest: u16,
}

impl Default for Versions {
    fn default() -> Versions {
        Versions {
            oldest: OLDEST_VERSION,
            newest: NEWEST_VERSION,
        }
    }
}

impl Versions {
    /// Returns the newest version that both ends support.
    pub fn agree(self, other: Versions) -> Option<u16> {
        let newest = self.newest.min(other.newest);
        let oldest = self.oldest.max(other.oldest);
        (oldest <= newest).then_some(newest)
    }
}

/// Settings of a [`PeerNode`](crate::PeerNode).
#[derive(Clone, Debug)]
pub struct Settings {
    /// This instance. If its port is zero, it is replaced by the port that was bound.
    pub me: Instance,
    /// Address to listen on.
    pub listen: SocketAddr,
    /// The key that all instances share.
    pub key: SharedKey,
    /// Wall-clock time at which the process started, in milliseconds.
    pub start: u64,
    /// Seed of the random choices.
    pub seed: u64,
    /// Settings of the membership and of the configuration.
    pub node: NodeSettings,
    /// Resource limits.
    pub limits: Limits,
    /// Supported protocol versions.
    pub versions: Versions,
}

impl Settings {
    /// Creates settings with defaults for everything but the instance's identity.
    pub fn new(me: Instance, key: SharedKey, start: u64, seed: u64) -> Settings {
        Settings {
            listen: me.address,
            me,
            key,
            start,
            seed,
            node: NodeSettings::default(),
            limits: Limits::default(),
            versions: Versions::default(),
        }
    }
}
