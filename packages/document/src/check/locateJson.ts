/** Lines of the parts of a JSON text, or the line of its first syntax error. */
export interface JsonLines {
  /** Line from 1 of each object member and array element, by dotted path. */
  readonly lineByPath: ReadonlyMap<string, number>;
  /** Line from 1 of the first syntax error; undefined where there is none. */
  readonly errorLine: number | undefined;
}

/** One token of JSON, a run of blanks or a line end. */
const tokenPattern =
  /[ \t\r]+|\n|[{}[\],:]|"(?:[^"\\\u0000-\u001f]|\\(?:["\\/bfnrt]|u[0-9a-fA-F]{4}))*"|-?(?:0|[1-9]\d*)(?:\.\d+)?(?:[eE][+-]?\d+)?|true|false|null/y;

/** An open object or array. */
interface Frame {
  readonly isObject: boolean;
  readonly path: string;
  /** Key of the current member, or number of the current element. */
  key: string | number;
}

/** What may follow in the text. */
type Expected =
  'value' | 'value-or-end' | 'key' | 'key-or-end' | 'colon' | 'comma-or-end' | 'nothing';

/** Scans a JSON text once without recursion, so that deep nesting does not exhaust the stack. */
class JsonScanner {
  readonly lineByPath = new Map<string, number>();
  readonly #frames: Frame[] = [];
  #expected: Expected = 'value';

  /** True if the text may end here. */
  get isComplete(): boolean {
    return this.#expected === 'nothing';
  }

  /** Takes the next token; returns false where it may not stand there. */
  accept(token: string, line: number): boolean {
    const frame = this.#frames.at(-1);
    const expected = this.#expected;
    if (token === '}' || token === ']') {
      const canEnd =
        expected === 'comma-or-end' || expected === (token === '}' ? 'key-or-end' : 'value-or-end');
      this.#frames.pop();
      this.#endValue();
      return canEnd && frame?.isObject === (token === '}');
    }
    switch (expected) {
      case 'key':
      case 'key-or-end':
        if (frame === undefined || !token.startsWith('"')) {
          return false;
        }
        frame.key = JSON.parse(token) as string;
        this.lineByPath.set(this.#path(frame), line);
        this.#expected = 'colon';
        return true;
      case 'colon':
        this.#expected = 'value';
        return token === ':';
      case 'comma-or-end':
        if (typeof frame?.key === 'number') {
          frame.key += 1;
        }
        this.#expected = frame?.isObject === true ? 'key' : 'value';
        return token === ',';
      case 'nothing':
        return false;
      default:
        return this.#startValue(token, line, frame);
    }
  }

  #startValue(token: string, line: number, frame: Frame | undefined): boolean {
    const path = frame === undefined ? '' : this.#path(frame);
    if (frame?.isObject === false) {
      this.lineByPath.set(path, line);
    }
    if (token === '{' || token === '[') {
      const isObject = token === '{';
      this.#frames.push({isObject, path, key: isObject ? '' : 0});
      this.#expected = isObject ? 'key-or-end' : 'value-or-end';
      return true;
    }
    this.#endValue();
    return token !== ',' && token !== ':';
  }

  #endValue(): void {
    this.#expected = this.#frames.length === 0 ? 'nothing' : 'comma-or-end';
  }

  #path({path, key}: Frame): string {
    return path === '' ? String(key) : `${path}.${key}`;
  }
}

/** Finds the line of each part of a JSON text, up to the first syntax error. */
export function locateJson(text: string): JsonLines {
  const scanner = new JsonScanner();
  let line = 1;
  tokenPattern.lastIndex = 0;
  while (tokenPattern.lastIndex < text.length) {
    const token = tokenPattern.exec(text)?.[0];
    if (token === undefined) {
      return {lineByPath: scanner.lineByPath, errorLine: line};
    }
    if (token === '\n') {
      line += 1;
      continue;
    }
    if (token.trim() !== '' && !scanner.accept(token, line)) {
      return {lineByPath: scanner.lineByPath, errorLine: line};
    }
  }
  return {lineByPath: scanner.lineByPath, errorLine: scanner.isComplete ? undefined : line};
}
