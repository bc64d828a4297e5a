//! Burn of the error budget, over a short and a long window.
//!
//! The burn rate of a window is the share of missed requests divided by the share that the objective
//! leaves for misses. A rule fires when *both* its windows burn at its factor: the long one shows
//! that it matters, the short one that it still goes on.

use serde::Serialize;

use crate::window::Window;

mod report;
mod scrape;
mod table;

pub use report::BurnReport;
pub use report::ClassBurn;
pub use report::Finding;
pub use report::PairBurn;
pub use report::Problem;
pub use report::WindowBurn;
pub use scrape::Scrape;

/// How urgent a burning class is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Severity {
    /// Within the budget.
    Fine,
    /// The budget will be gone in days: worth a ticket.
    Ticket,
    /// The budget will be gone in hours: worth waking somebody.
    Page,
}

impl Severity {
    /// The word that the table shows.
    pub const fn label(self) -> &'static str {
        match self {
            Severity::Fine => "fine",
            Severity::Ticket => "ticket",
            Severity::Page => "page",
        }
    }
}

/// A pair of windows and the burn rate at which both together fire.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct BurnRule {
    /// The window that shows that the burn goes on.
    pub short: Window,
    /// The window that shows that it matters.
    pub long: Window,
    /// Burn rate that both must reach.
    pub factor: f64,
}

/// The rules that a report applies.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct BurnRules {
    /// Fires [`Severity::Page`].
    pub page: BurnRule,
    /// Fires [`Severity::Ticket`].
    pub ticket: BurnRule,
}

impl Default for BurnRules {
    /// 14.4 times over 5 minutes and an hour (2% of a month's budget in that hour) pages; 6 times
    /// over 30 minutes and six hours (5% of it) is a ticket.
    fn default() -> BurnRules {
        BurnRules {
            page: BurnRule {
                short: Window::FiveMinutes,
                long: Window::Hour,
                factor: 14.4,
            },
            ticket: BurnRule {
                short: Window::HalfHour,
                long: Window::SixHours,
                factor: 6.0,
            },
        }
    }
}
