//! Tables with aligned columns for a terminal.

use std::fmt;

/// The separator of columns.
const COLUMN_SEPARATOR: &str = "  ";

/// The alignment of a column.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Align {
    /// For text.
    Left,
    /// For numbers.
    Right,
}

/// The title and alignment of a column.
#[derive(Clone, Debug)]
pub(crate) struct Column {
    title: String,
    align: Align,
}

impl Column {
    /// Creates a left-aligned column for text.
    pub(crate) fn text(title: impl Into<String>) -> Column {
        Column {
            title: title.into(),
            align: Align::Left,
        }
    }

    /// Creates a right-aligned column for numbers.
    pub(crate) fn number(title: impl Into<String>) -> Column {
        Column {
            title: title.into(),
            align: Align::Right,
        }
    }
}

/// A table with column titles.
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
        self.rows.push(
            cells
                .into_iter()
                .map(|c| replace_control_characters(&c))
                .collect(),
        );
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    fn width(&self, index: usize) -> usize {
        let cells = self.rows.iter().filter_map(|row| row.get(index));
        let widths = cells.map(|c| c.chars().count());
        let title = self.columns[index].title.chars().count();
        widths.max().unwrap_or(0).max(title)
    }

    fn write_line<'a>(
        &self,
        f: &mut fmt::Formatter<'_>,
        cells: impl Iterator<Item = &'a str>,
    ) -> fmt::Result {
        let mut line = String::new();
        for (index, cell) in cells.enumerate().take(self.columns.len()) {
            let width = self.width(index);
            let padded = match self.columns[index].align {
                Align::Left => format!("{cell:<width$}"),
                Align::Right => format!("{cell:>width$}"),
            };
            if index > 0 {
                line.push_str(COLUMN_SEPARATOR);
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

/// Replaces control characters.
///
/// Names come from the texts of teams and from other processes. Escape sequences in them could
/// overwrite the contents of the operator's terminal.
pub(crate) fn replace_control_characters(text: &str) -> String {
    let replace = |c: char| if c.is_control() { '\u{fffd}' } else { c };
    text.chars().map(replace).collect()
}
