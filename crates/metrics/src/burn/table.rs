//! The report as an aligned table.

use std::fmt;

use crate::burn::BurnReport;
use crate::burn::ClassBurn;
use crate::burn::PairBurn;
use crate::burn::WindowBurn;

/// Narrowest column of class names.
const MIN_NAME: usize = 5;

impl fmt::Display for BurnReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let width = self.name_width();
        self.write_header(f, width)?;
        for class in &self.classes {
            write_class(f, class, width)?;
        }
        self.write_instances(f)?;
        for finding in &self.findings {
            writeln!(f, "finding: {}: {}", finding.address, finding.problem)?;
        }
        Ok(())
    }
}

impl BurnReport {
    fn name_width(&self) -> usize {
        let widths = self.classes.iter().map(|c| c.class.chars().count());
        widths.max().unwrap_or(0).max(MIN_NAME)
    }

    fn write_header(&self, f: &mut fmt::Formatter<'_>, width: usize) -> fmt::Result {
        let page = &self.rules.page;
        let ticket = &self.rules.ticket;
        write!(f, "{:<width$}  {:>9}", "CLASS", "OBJECTIVE")?;
        for window in [page.short, page.long, ticket.short, ticket.long] {
            let title = format!("BURN {window}");
            write!(f, "  {title:>9}")?;
        }
        writeln!(f, "  {:>10}  {:>10}  STATE", "ATTAINED", "MISSED")
    }

    fn write_instances(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let page = self.rules.page.factor;
        let ticket = self.rules.ticket.factor;
        let long = self.rules.ticket.long;
        writeln!(
            f,
            "{} instances read; attained and missed over {long}; page at {page}x, ticket at {ticket}x",
            self.instances.len()
        )
    }
}

fn write_class(f: &mut fmt::Formatter<'_>, class: &ClassBurn, width: usize) -> fmt::Result {
    write!(
        f,
        "{:<width$}  {:>8.3}%",
        class.class,
        class.objective * 100.0
    )?;
    write_pair(f, &class.page)?;
    write_pair(f, &class.ticket)?;
    let counts = class.ticket.long.counts;
    let state = class.severity.label();
    writeln!(
        f,
        "  {:>10}  {:>10}  {state}",
        counts.attained, counts.missed
    )
}

fn write_pair(f: &mut fmt::Formatter<'_>, pair: &PairBurn) -> fmt::Result {
    write_burn(f, &pair.short)?;
    write_burn(f, &pair.long)
}

fn write_burn(f: &mut fmt::Formatter<'_>, burn: &WindowBurn) -> fmt::Result {
    if burn.counts.total() == 0 {
        return write!(f, "  {:>9}", "-");
    }
    write!(f, "  {:>8.2}x", burn.burn)
}
