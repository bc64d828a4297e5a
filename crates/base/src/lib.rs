//! Small parts that every crate of crocushold shares.
//!
//! * [`Millis`] is the one unit of time; [`Clock`] reads it. Decisions take the time as an argument
//!   and never read a clock themselves, so that tests are deterministic.
//! * The key types ([`ServerKey`], [`ClassKey`], ...) are small `Copy` handles into arenas. They
//!   carry a generation: a late event about a slot that was reused finds nothing.
//! * [`MemoryBudget`] bounds what requests in progress hold together.
//! * [`Pseudonymizer`] names values in logs without giving them away.
//! * [`Event`] formats a log record as one line of `key=value` pairs with escaped values.

mod clock;
mod event;
mod keys;
mod memory;
mod pseudonym;

pub use clock::Clock;
pub use clock::Millis;
pub use event::Event;
pub use keys::AccountKey;
pub use keys::ClassKey;
pub use keys::ModelKey;
pub use keys::RequestKey;
pub use keys::ServerKey;
pub use keys::ServiceKey;
pub use memory::MemoryBudget;
pub use memory::Reservation;
pub use pseudonym::Pseudonymizer;
