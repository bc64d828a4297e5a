//! Aligned tables for a terminal.

use std::fmt;

/// Space between two columns.
const GAP: &str = "  ";

/// How a column is aligned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Align {
    /// Words.
    Left,
    /// Numbers.
    Right,
}

/// One column's head.
#[derive(Clone, Debug)]
pub(crate) struct Column {
    title: String,
    align: Align,
}

impl Column {
    /// A column of words.
    pub(crate) fn words(title: impl Into<String>) -> Column {
        Column {
            title: title.into(),
            align: Align::Left,
        }
    }

    /// A column of numbers.
    pub(crate) fn numbers(title: impl Into<String>) -> Column {
        Column {
            title: title.into(),
            align: Align::Right,
        }
    }
}

/// Rows of cells under a head.
#[derive(Clone, Debug)]
pub(crate) struct Table {
    columns: Vec<Column>,
    rows: Vec<Vec<String>>,
}

impl Table {
    pub(crate) fn new(columns: Vec<Column>) -> Table {
        Table {
            columns,
            rows: Vec::new(),
        }
    }

    pub(crate) fn row(&mut self, cells: impl IntoIterator<Item = String>) {
        self.rows
            .push(cells.into_iter().map(|c| plain(&c)).collect());
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    fn width(&self, place: usize) -> usize {
        let cells = self.rows.iter().filter_map(|row| row.get(place));
        let widths = cells.map(|c| c.chars().count());
        let title = self.columns[place].title.chars().count();
        widths.max().unwrap_or(0).max(title)
    }

    fn write_line<'a>(
        &self,
        f: &mut fmt::Formatter<'_>,
        cells: impl Iterator<Item = &'a str>,
    ) -> fmt::Result {
        let mut line = String::new();
        for (place, cell) in cells.enumerate().take(self.columns.len()) {
            let width = self.width(place);
            let padded = match self.columns[place].align {
                Align::Left => format!("{cell:<width$}"),
                Align::Right => format!("{cell:>width$}"),
            };
            if place > 0 {
                line.push_str(GAP);
            }
            line.push_str(&padded);
        }
        writeln!(f, "{}", line.trim_end())
    }
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.write_line(f, self.columns.iter().map(|c| c.title.as_str()))?;
        for row in &self.rows {
            self.write_line(f, row.iter().map(String::as_str))?;
        }
        Ok(())
    }
}

/// The text without control characters.
///
/// Names come from teams' texts and from other processes; one with an escape sequence would rewrite
/// the operator's terminal.
pub(crate) fn plain(text: &str) -> String {
    let replace = |c: char| if c.is_control() { '\u{fffd}' } else { c };
    text.chars().map(replace).collect()
}
