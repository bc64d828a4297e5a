//! The report as an aligned table.

use std::fmt;

use crate::burn::BurnReport;
use crate::burn::BurnRule;
use crate::burn::BurnRules;
use crate::burn::ClassBurn;
use crate::burn::WindowBurn;
use crate::table::Column;
use crate::table::Table;
use crate::table::replace_control_characters;

impl fmt::Display for BurnReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut table = Table::new(self.columns());
        for class in &self.classes {
            table.row(cells(class));
        }
        write!(f, "{table}")?;
        self.write_legend(f)?;
        for finding in &self.findings {
            let problem = replace_control_characters(&finding.problem.to_string());
            writeln!(f, "finding: {}: {problem}", finding.address)?;
        }
        Ok(())
    }
}

impl BurnReport {
    fn columns(&self) -> Vec<Column> {
        let page = &self.rules.page;
        let ticket = &self.rules.ticket;
        let windows = [page.short, page.long, ticket.short, ticket.long];
        let mut columns = vec![Column::text("CLASS"), Column::number("OBJECTIVE")];
        columns.extend(windows.map(|w| Column::number(format!("BURN {w}"))));
        columns.push(Column::number("ATTAINED"));
        columns.push(Column::number("MISSED"));
        columns.push(Column::text("STATE"));
        columns
    }

    fn write_legend(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let BurnRules { page, ticket } = &self.rules;
        writeln!(
            f,
            "instances read: {}; attained and missed over {}; page at {}, ticket at {}",
            self.instances.len(),
            ticket.long,
            format_rule(page),
            format_rule(ticket)
        )
    }
}

fn format_rule(rule: &BurnRule) -> String {
    format!("{}x or {}% missed", rule.factor, rule.ceiling * 100.0)
}

fn cells(class: &ClassBurn) -> [String; 9] {
    let counts = class.ticket.long.counts;
    [
        class.class.clone(),
        format!("{:.3}%", class.objective * 100.0),
        format_burn(&class.page.short),
        format_burn(&class.page.long),
        format_burn(&class.ticket.short),
        format_burn(&class.ticket.long),
        counts.attained.to_string(),
        counts.missed.to_string(),
        class.severity.label().to_owned(),
    ]
}

fn format_burn(window: &WindowBurn) -> String {
    if window.counts.total() == 0 {
        return "-".to_owned();
    }
    format!("{:.2}x", window.burn)
}
