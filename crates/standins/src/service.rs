//! A plain service that accepts any method and path and counts side effects by idempotency key.

mod command;
mod server;

pub use command::ServiceCommand;
pub use command::ServiceFault;
pub use command::ServiceSettings;
pub use command::ServiceStats;
pub use server::PlainService;
