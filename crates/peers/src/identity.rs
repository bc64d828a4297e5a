//! Identity of an instance.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

/// Name that the platform gives to an instance, such as `entry-1`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct InstanceId(Arc<str>);

impl InstanceId {
    /// Creates an identifier from a name.
    pub fn new(name: &str) -> InstanceId {
        InstanceId(Arc::from(name))
    }

    /// Returns the name.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for InstanceId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Version number of an instance's state.
///
/// Incarnations are ordered. `start` distinguishes a process from an earlier one at the same
/// address; `counter` lets a running instance refute what others report about it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Incarnation {
    /// Wall-clock time at which the process started, in milliseconds.
    pub start: u64,
    /// Number of times that this process has refuted a report of its failure.
    pub counter: u32,
}

impl Incarnation {
    /// Returns the first incarnation of a process started at `start`.
    pub fn starting(start: u64) -> Incarnation {
        Incarnation { start, counter: 0 }
    }

    /// Returns the next incarnation of the same process.
    #[must_use]
    pub fn next(self) -> Incarnation {
        Incarnation {
            start: self.start,
            counter: self.counter.saturating_add(1),
        }
    }
}

/// An instance and its address.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Instance {
    /// Name given by the platform.
    pub id: InstanceId,
    /// Address of the peer port.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: Arc<str>,
}

impl Instance {
    /// Creates an instance.
    pub fn new(id: &str, address: SocketAddr, zone: &str) -> Instance {
        Instance {
            id: InstanceId::new(id),
            address,
            zone: Arc::from(zone),
        }
    }
}
