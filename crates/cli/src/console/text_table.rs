/// Rows of text, printed in aligned columns.
pub struct TextTable {
    rows: Vec<Vec<String>>,
}

impl TextTable {
    /// Creates a table whose first row is the headings.
    pub fn new(headings: &[&str]) -> Self {
        Self { rows: vec![headings.iter().map(|heading| (*heading).to_owned()).collect()] }
    }

    /// Appends a row; missing cells at its end stay empty.
    pub fn push(&mut self, row: Vec<String>) {
        self.rows.push(row);
    }

    /// Formats one row per line. Columns are as wide as their longest cell and
    /// separated by two spaces.
    pub fn render(&self) -> String {
        let columns = self.rows.iter().map(Vec::len).max().unwrap_or(0);
        let widths: Vec<usize> = (0..columns)
            .map(|column| {
                let cells = self.rows.iter().filter_map(|row| row.get(column));
                cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
            })
            .collect();
        let mut text = String::new();
        for row in &self.rows {
            let cells: Vec<String> =
                row.iter().zip(&widths).map(|(cell, width)| format!("{cell:<width$}")).collect();
            text.push_str(cells.join("  ").trim_end());
            text.push('\n');
        }
        text
    }
}
