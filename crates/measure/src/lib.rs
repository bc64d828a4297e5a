//! Measurements of crocushold as real processes against baselines in the same run; never shipped.
//!
//! * [`policy`] runs both users' traffic below, at and above capacity, with faults, once through
//!   entry instances and at the same time through the [`proxy`] that knows no classes.
//! * [`relay`] measures what an entry instance adds to a request.
//! * [`process`] starts processes and reads what they use.

mod arrivals;
mod control;
mod drive;
mod fleet;
mod page;
mod plot;
mod point;
pub mod policy;
pub mod process;
pub mod proxy;
pub mod relay;
mod scenario;
mod summary;

/// The outcome of a measurement.
pub type MeasureResult<T> = Result<T, Box<dyn std::error::Error + Send + Sync>>;
