//! What the integration tests share: processes, callers and a site of stand-ins.

mod caller;
mod entry;
mod fleet;
mod folder;
mod site;

pub use caller::Answer;
pub use caller::Call;
pub use caller::call;
pub use entry::Entry;
pub use fleet::Fleet;
pub use folder::Folder;
pub use site::Site;
pub use site::SiteSettings;

use std::net::SocketAddr;

/// An address on the loopback interface with any free port.
pub fn any_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}
