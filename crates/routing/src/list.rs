//! The instance list as the router reads it.

use crocushold_base::ServerKey;

/// One reading of the instance list, cut down to the servers that the router knows.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ListSnapshot {
    /// The list's revision.
    pub revision: u64,
    /// The servers that it names.
    pub servers: Vec<Listed>,
}

/// One server in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Listed {
    /// The server.
    pub server: ServerKey,
    /// What the list says of it.
    pub presence: Presence,
}

/// What the list says of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Presence {
    /// It takes work.
    Live,
    /// It is shutting down.
    Leaving,
}

/// What the router made of a list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ListVerdict {
    /// Taken as it stands.
    Accepted,
    /// Older than one already seen; nothing was taken from it.
    Outdated,
    /// It is empty, or lacks over half of the servers it should name. Only its explicit leavings
    /// were taken.
    Suspect,
}
