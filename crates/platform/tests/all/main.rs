//! Tests of the reads of the platform against a fake platform on a virtual clock.

mod driver;
mod fake;
mod instances;
mod pace;
mod random;
mod shell;
mod transport;
mod wire;
