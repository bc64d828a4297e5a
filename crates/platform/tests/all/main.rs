//! Tests of the platform client, most of them against a fake platform on a virtual clock.

mod backoff;
mod driver;
mod fake;
mod instances;
mod random;
mod shell;
mod target;
mod transport;
mod wire;
