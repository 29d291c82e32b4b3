//! Plain-text tables.

/// Formats rows as left-aligned columns under their headings.
#[must_use]
pub fn format_table<const N: usize>(headings: [&str; N], rows: &[[String; N]]) -> String {
    let mut widths = headings.map(|heading| heading.chars().count());
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = cell.chars().count().max(*width);
        }
    }
    let mut text = format_row(&headings.map(str::to_owned), &widths);
    for row in rows {
        text.push_str(&format_row(row, &widths));
    }
    text
}

fn format_row<const N: usize>(cells: &[String; N], widths: &[usize; N]) -> String {
    let padded: Vec<String> = cells
        .iter()
        .zip(widths)
        .map(|(cell, width)| format!("{cell:width$}"))
        .collect();
    format!("{}\n", padded.join("  ").trim_end())
}
