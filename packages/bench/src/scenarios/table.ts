/** One row of a table of results: values by column name. */
export type Row = Readonly<Record<string, string | number>>;

/** Renders rows as a plain text table with aligned columns; the first row sets the columns. */
export function renderTable(rows: readonly Row[]): string {
  const columns = Object.keys(rows[0] ?? {});
  const widths = columns.map((column) =>
    Math.max(column.length, ...rows.map((row) => String(row[column] ?? '').length)),
  );
  const formatLine = (cells: readonly string[]): string =>
    cells.map((cell, index) => cell.padEnd(widths[index] ?? 0)).join('  ');
  const lines = [formatLine(columns)];
  for (const row of rows) {
    lines.push(formatLine(columns.map((column) => String(row[column] ?? ''))));
  }
  return lines.map((text) => `  ${text.trimEnd()}`).join('\n');
}

/** Rounds to a number of decimal places. */
export function round(value: number, digits = 2): number {
  return Number(value.toFixed(digits));
}
