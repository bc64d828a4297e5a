//! A model engine with continuous batching, a prefix cache, streamed responses, delayed load
//! reports and orders.

mod answer;
mod batch;
mod cache;
mod command;
mod core;
mod events;
mod fault;
mod output;
mod progress;
mod reports;
mod request;
mod send;
mod server;
mod stats;
#[cfg(test)]
mod tests;
mod text;

pub use batch::Batch;
pub use batch::BatchSettings;
pub use batch::Job;
pub use batch::JobId;
pub use batch::StepResult;
pub use cache::prefix_hash;
pub use command::EngineCommand;
pub use command::EngineSettings;
pub use fault::Cut;
pub use fault::CutFraming;
pub use output::LengthDistribution;
pub use server::Engine;
pub use stats::Cancellation;
pub use stats::EngineStats;
pub use stats::OrderRecord;
