//! What the integration tests share: processes, callers and a site of stand-ins.

mod balancer;
mod caller;
mod entry;
mod fleet;
mod folder;
mod links;
mod listener;
mod load;
mod raw;
mod relay;
mod site;
mod wait;

pub use balancer::Balancer;
pub use caller::Answer;
pub use caller::Call;
pub use caller::call;
pub use caller::call_beside;
pub use entry::Entry;
pub use fleet::Fleet;
pub use folder::Folder;
pub use listener::RawServer;
pub use listener::answer_rest;
pub use listener::wait_cut;
pub use load::Load;
pub use load::Totals;
pub use raw::Raw;
pub use relay::Relay;
pub use site::Site;
pub use site::SiteSettings;
pub use wait::wait;
pub use wait::wait_long;

use std::net::SocketAddr;

/// An address on the loopback interface with any free port.
pub fn any_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}
