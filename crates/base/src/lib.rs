//! Basic types shared by all crates of crocushold.
//!
//! * [`Millis`] is the only unit of time; [`Clock`] reads it. Decision code takes the time as an
//!   argument and never reads a clock, which keeps tests deterministic.
//! * The key types ([`ServerKey`], [`ClassKey`], ...) are small `Copy` handles into arenas. They
//!   carry a generation, so that a late event for a slot that was reused finds nothing.
//! * [`MemoryBudget`] limits the memory that requests in progress hold together.
//! * [`Pseudonymizer`] replaces values in logs by pseudonyms that don't reveal them.
//! * [`Event`] formats a log record as one line of `key=value` pairs with escaped values.

mod clock;
mod event;
mod keys;
mod memory;
mod pseudonym;

pub use clock::Clock;
pub use clock::Millis;
pub use event::Event;
pub use event::one_word;
pub use keys::AccountKey;
pub use keys::ClassKey;
pub use keys::ModelKey;
pub use keys::RequestKey;
pub use keys::ServerKey;
pub use keys::ServiceKey;
pub use memory::MemoryBudget;
pub use memory::Reservation;
pub use pseudonym::Pseudonymizer;
