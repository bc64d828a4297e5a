//! A plain service: any method and path, with a counter of effects by idempotency key.

mod command;
mod server;

pub use command::ServiceCommand;
pub use command::ServiceFault;
pub use command::ServiceSettings;
pub use command::ServiceStats;
pub use server::PlainService;
