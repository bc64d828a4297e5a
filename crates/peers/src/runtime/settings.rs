//! Settings of the shell.

use std::net::SocketAddr;

use crocushold_base::Millis;

use crate::auth::SharedKey;
use crate::identity::Instance;
use crate::node::NodeSettings;
use crate::wire::NEWEST_VERSION;
use crate::wire::OLDEST_VERSION;

/// What a peer or a stranger can use up at most.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Connections that peers may hold open to this instance.
    pub incoming: usize,
    /// Of these, connections that haven't proved yet that they hold the key.
    pub unauthenticated: usize,
    /// Connections that this instance holds open to peers.
    pub outgoing: usize,
    /// Time for connecting and for the proofs.
    pub handshake_timeout: Millis,
    /// Time for a message of the membership or of the spread and its answer.
    pub exchange_timeout: Millis,
    /// Calls to one peer that wait for an answer.
    pub pending_calls: usize,
    /// Largest encoded message, in bytes.
    pub message_bytes: usize,
    /// Deepest nesting of an encoded message.
    pub nesting: i32,
    /// Time without a call after which a connection is closed.
    pub idle_timeout: Millis,
    /// Failures in a row after which calls to a peer fail at once.
    pub failure_threshold: u32,
    /// First time for which they do; it doubles with each further failure.
    pub circuit_backoff: Millis,
    /// Longest such time.
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

/// Protocol versions that are supported.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Versions {
    /// Oldest.
    pub oldest: u16,
    /// Newest.
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
    /// The newest version that both ends speak.
    pub fn agree(self, other: Versions) -> Option<u16> {
        let newest = self.newest.min(other.newest);
        let oldest = self.oldest.max(other.oldest);
        (oldest <= newest).then_some(newest)
    }
}

/// Settings of a [`PeerNode`](crate::PeerNode).
#[derive(Clone, Debug)]
pub struct Settings {
    /// This instance. When its port is zero, the port that was bound takes its place.
    pub me: Instance,
    /// Address to listen on.
    pub listen: SocketAddr,
    /// The key that all instances share.
    pub key: SharedKey,
    /// Wall-clock milliseconds at which the process started.
    pub start: u64,
    /// Seed of random choices.
    pub seed: u64,
    /// Membership and spread.
    pub node: NodeSettings,
    /// Limits.
    pub limits: Limits,
    /// Protocol versions.
    pub versions: Versions,
}

impl Settings {
    /// Settings with the defaults for everything but who this instance is.
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
