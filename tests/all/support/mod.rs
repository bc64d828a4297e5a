//! Shared by the integration tests: entry processes, callers, and a site of stand-ins.

mod balancer;
mod caller;
mod entry;
mod fleet;
mod links;
mod load;
mod raw_caller;
mod raw_server;
mod relay;
mod site;
mod temp_dir;
mod wait;

pub use balancer::Balancer;
pub use caller::Answer;
pub use caller::Call;
pub use caller::call;
pub use caller::spawn_call;
pub use entry::Entry;
pub use fleet::Fleet;
pub use load::Load;
pub use load::Totals;
pub use raw_caller::RawCaller;
pub use raw_server::RawServer;
pub use raw_server::answer_rest;
pub use raw_server::wait_cut;
pub use relay::Relay;
pub use site::Site;
pub use site::SiteSettings;
pub use temp_dir::TempDir;
pub use wait::wait;
pub use wait::wait_long;

use std::net::SocketAddr;

/// An address on the loopback interface with any free port.
pub fn any_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}
