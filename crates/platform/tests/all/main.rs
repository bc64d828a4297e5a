//! Tests of the reads of the platform against a fake platform on a virtual clock.

mod backoff;
mod driver;
mod fake;
mod instances;
mod random;
mod shell;
mod transport;
mod wire;
