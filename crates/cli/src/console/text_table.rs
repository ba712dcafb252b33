/// Rows of text in aligned columns.
pub struct TextTable {
    rows: Vec<Vec<String>>,
}

impl TextTable {
    /// A table with a heading.
    pub fn new(heading: &[&str]) -> Self {
        Self { rows: vec![heading.iter().map(|word| (*word).to_owned()).collect()] }
    }

    /// Adds a row.
    pub fn push(&mut self, row: Vec<String>) {
        self.rows.push(row);
    }

    /// The table as lines.
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
