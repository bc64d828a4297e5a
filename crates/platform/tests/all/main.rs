//! Tests of the platform's readers against a fake platform on a virtual clock.

mod driver;
mod fake;
mod instances;
mod outage;
mod pace;
mod random;
mod reading;
mod revisions;
mod shell;
mod transport;
mod wire;
