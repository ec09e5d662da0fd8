/** Finds the line from 1 of each table and each key of settings in TOML, by dotted path. */
export function locateToml(text: string): ReadonlyMap<string, number> {
  const lineByPath = new Map<string, number>();
  let table = '';
  for (const [index, content] of text.split('\n').entries()) {
    const header = /^\s*\[+\s*([\w.-]+)\s*\]+/.exec(content)?.[1];
    const key = /^\s*([\w.-]+)\s*=/.exec(content)?.[1];
    if (header !== undefined) {
      table = header;
      lineByPath.set(table, index + 1);
    } else if (key !== undefined) {
      lineByPath.set(table === '' ? key : `${table}.${key}`, index + 1);
    }
  }
  return lineByPath;
}
