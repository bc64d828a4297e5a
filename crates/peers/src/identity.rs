//! Who an instance is.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

/// The platform's name of an instance, such as `entry-1`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct InstanceId(Arc<str>);

impl InstanceId {
    /// Wraps a name.
    pub fn new(name: &str) -> InstanceId {
        InstanceId(Arc::from(name))
    }

    /// The name.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for InstanceId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// One life of an instance, ordered.
///
/// `start` tells a replacement from its predecessor at the same address; `counter` lets a running
/// instance overrule what others say about it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Incarnation {
    /// Wall-clock milliseconds at which the process started.
    pub start: u64,
    /// How often this life has refuted a report of its death.
    pub counter: u32,
}

impl Incarnation {
    /// The first incarnation of a process started at `start`.
    pub fn starting(start: u64) -> Incarnation {
        Incarnation { start, counter: 0 }
    }

    /// The next incarnation of the same life.
    #[must_use]
    pub fn next(self) -> Incarnation {
        Incarnation {
            start: self.start,
            counter: self.counter.saturating_add(1),
        }
    }
}

/// An instance and where it can be reached.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Instance {
    /// The platform's name.
    pub id: InstanceId,
    /// Address of the peer port.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: Arc<str>,
}

impl Instance {
    /// Makes an instance.
    pub fn new(id: &str, address: SocketAddr, zone: &str) -> Instance {
        Instance {
            id: InstanceId::new(id),
            address,
            zone: Arc::from(zone),
        }
    }
}
