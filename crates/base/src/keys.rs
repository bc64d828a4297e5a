//! Keys into the arenas that hold the configured and the live things.

use slotmap::new_key_type;

new_key_type! {
    /// A class of requests: one service level and priority.
    pub struct ClassKey;

    /// A client account.
    pub struct AccountKey;

    /// A service: a group of backend servers that serve the same requests.
    pub struct ServiceKey;

    /// A backend server.
    pub struct ServerKey;

    /// A language model that engines load.
    pub struct ModelKey;

    /// A request that an entry instance holds.
    pub struct RequestKey;
}
