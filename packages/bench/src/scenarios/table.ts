/** A column of figures with a name, printed as a plain table. */
export type Row = Readonly<Record<string, string | number>>;

/** Renders rows with aligned columns. */
export function renderTable(rows: readonly Row[]): string {
  const columns = Object.keys(rows[0] ?? {});
  const widths = columns.map((column) =>
    Math.max(column.length, ...rows.map((row) => String(row[column] ?? '').length)),
  );
  const line = (cells: readonly string[]): string =>
    cells.map((cell, index) => cell.padEnd(widths[index] ?? 0)).join('  ');
  const lines = [line(columns)];
  for (const row of rows) {
    lines.push(line(columns.map((column) => String(row[column] ?? ''))));
  }
  return lines.map((text) => `  ${text.trimEnd()}`).join('\n');
}

export function round(value: number, digits = 2): number {
  return Number(value.toFixed(digits));
}
