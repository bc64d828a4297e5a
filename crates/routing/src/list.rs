//! The instance list as the router reads it.

use crocushold_base::ServerKey;

/// A snapshot of the instance list, restricted to the servers that the router knows.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ListSnapshot {
    /// The list's revision.
    pub revision: u64,
    /// The servers in the list.
    pub servers: Vec<Listed>,
}

/// A server in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Listed {
    /// The server.
    pub server: ServerKey,
    /// Its listed state.
    pub presence: Presence,
}

/// The listed state of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Presence {
    /// It accepts requests.
    Live,
    /// It is shutting down.
    Leaving,
}

/// How the router treated a list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ListVerdict {
    /// The list was applied.
    Accepted,
    /// The list is older than one already seen; nothing of it was applied.
    Outdated,
    /// The list is empty or lacks over half of the expected servers. Only the servers explicitly
    /// listed as leaving were applied.
    Suspect,
}
