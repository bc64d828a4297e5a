//! Arena keys of configured and live objects.

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

    /// A request held by an entry instance.
    pub struct RequestKey;
}
