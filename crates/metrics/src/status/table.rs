//! The status document as aligned tables.

use std::fmt;

use crocushold_base::Millis;

use crate::status::ClassStatus;
use crate::status::InstanceState;
use crate::status::Status;
use crate::table::Column;
use crate::table::Table;
use crate::table::replace_control_characters;
use crate::window::Counts;
use crate::window::Window;

impl InstanceState {
    /// The word shown in the table.
    pub const fn label(self) -> &'static str {
        match self {
            InstanceState::Starting => "starting",
            InstanceState::Serving => "serving",
            InstanceState::Draining => "draining",
        }
    }
}

impl fmt::Display for Status {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.write_header(f)?;
        let tables = [
            self.parts_table(),
            self.peers_table(),
            self.classes_table(),
            self.servers_table(),
            self.limits_table(),
        ];
        for table in tables.iter().filter(|t| !t.is_empty()) {
            write!(f, "\n{table}")?;
        }
        Ok(())
    }
}

impl Status {
    fn write_header(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let config = &self.config;
        writeln!(
            f,
            "instance {} zone {} version {} {} up {}",
            replace_control_characters(&self.instance),
            replace_control_characters(&self.zone),
            replace_control_characters(&self.version),
            self.state.label(),
            format_seconds(self.uptime_ms)
        )?;
        let confirmed = match config.confirmed_ms {
            Some(age) => format!("last confirmed {} ago", format_seconds(age)),
            None => "never confirmed".to_owned(),
        };
        writeln!(
            f,
            "configuration {} in force, newest known {}, {confirmed} by the platform",
            config.revision, config.newest_revision
        )
    }

    fn parts_table(&self) -> Table {
        let mut table = Table::new(vec![
            Column::text("TEAM"),
            Column::number("IN FORCE"),
            Column::number("PUBLISHED"),
            Column::number("FINDINGS"),
        ]);
        for part in &self.config.parts {
            table.row([
                part.team.clone(),
                part.revision.to_string(),
                part.published.to_string(),
                part.findings.to_string(),
            ]);
        }
        table
    }

    fn peers_table(&self) -> Table {
        let mut table = Table::new(vec![
            Column::text("PEER"),
            Column::text("ZONE"),
            Column::text("STANDING"),
            Column::number("REVISION"),
            Column::number("HEARD"),
        ]);
        for peer in &self.peers {
            table.row([
                peer.instance.clone(),
                peer.zone.clone(),
                peer.standing.clone(),
                peer.revision.to_string(),
                peer.heard_ms.map_or("never".to_owned(), format_seconds),
            ]);
        }
        table
    }

    fn classes_table(&self) -> Table {
        let mut table = Table::new(vec![
            Column::text("CLASS"),
            Column::number("PRIORITY"),
            Column::number("QUEUED"),
            Column::number("RUNNING"),
            Column::number("OBJECTIVE"),
            Column::number("ATTAINED 5m"),
            Column::number("ATTAINED 1h"),
        ]);
        for class in &self.classes {
            table.row([
                class.class.clone(),
                class.priority.to_string(),
                class.queued.to_string(),
                class.running.to_string(),
                format_share(class.objective),
                format_attained(class, Window::FiveMinutes),
                format_attained(class, Window::Hour),
            ]);
        }
        table
    }

    fn servers_table(&self) -> Table {
        let mut table = Table::new(vec![
            Column::text("SERVER"),
            Column::text("SERVICE"),
            Column::text("ZONE"),
            Column::text("USE"),
            Column::text("STANDING"),
            Column::number("RUNNING"),
            Column::text("REASON"),
        ]);
        for server in &self.servers {
            let usable = if server.usable { "in" } else { "out" };
            table.row([
                server.server.clone(),
                server.service.clone(),
                server.zone.clone(),
                usable.to_owned(),
                server.standing.clone(),
                server.running.to_string(),
                server.reason.clone(),
            ]);
        }
        table
    }

    fn limits_table(&self) -> Table {
        let mut table = Table::new(vec![
            Column::text("LIMIT"),
            Column::number("USED"),
            Column::number("BOUND"),
        ]);
        for limit in &self.limits {
            table.row([
                limit.limit.clone(),
                limit.used.to_string(),
                limit.bound.to_string(),
            ]);
        }
        table
    }
}

fn format_attained(class: &ClassStatus, window: Window) -> String {
    let mut windows = class.windows.iter();
    let found = windows.find(|w| w.window == window);
    let attainment = found.and_then(|w| Counts::attainment(w.counts));
    attainment.map_or("-".to_owned(), format_share)
}

fn format_share(share: f64) -> String {
    format!("{:.2}%", share * 100.0)
}

fn format_seconds(ms: u64) -> String {
    format!("{:.1}s", Millis(ms).as_secs_f64())
}
