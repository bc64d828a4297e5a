//! Benchmarks of crocushold, run as real processes next to a baseline in the same run; not part of
//! a release.
//!
//! * [`policy`] runs two traffic scenarios below, at and above capacity, with and without faults,
//!   through entry instances and at the same time through a [`proxy`] without request classes.
//! * [`relay`] measures the latency and processor time that an entry instance adds to a request.
//! * [`process`] starts processes and reads their processor time and memory.

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

/// The result of a fallible step of a measurement.
pub type MeasureResult<T> = Result<T, Box<dyn std::error::Error + Send + Sync>>;
