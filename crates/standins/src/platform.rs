//! The platform: a configuration service with reads and watches, and the instance list.

mod budget;
mod command;
mod config;
mod instances;
mod server;
#[cfg(test)]
mod tests;

pub use command::PlatformCommand;
pub use command::PlatformSettings;
pub use command::PlatformStats;
pub use instances::Instance;
pub use instances::InstanceState;
pub use instances::Role;
pub use server::Platform;
