import {writeFile} from 'node:fs/promises';
import {fileURLToPath} from 'node:url';

/** Longest time that a case may take, in ms. */
const limitMs = 110_000;

/** Exit codes: the rule held, it was broken, or the case could not run. */
const exitCodes = {held: 0, broken: 1, notRun: 2};

/** Rejects as soon as the case has to be given up: it takes too long, is to stop, or failed outside of `play`. */
async function untilGivenUp() {
  await new Promise((_resolve, reject) => {
    setTimeout(() => {
      reject(new Error(`not done within ${limitMs} ms`));
    }, limitMs);
    for (const signal of ['SIGTERM', 'SIGINT']) {
      process.once(signal, () => {
        reject(new Error(signal));
      });
    }
    for (const event of ['uncaughtException', 'unhandledRejection']) {
      process.on(event, reject);
    }
  });
}

/**
 * Runs one case and ends the process: with 1 if `play` returns breaks of the rule, 0 if it returns none, and 2 if the
 * case could not run. `play` gets the record, to which it writes what was sent, answered and run. The record tells
 * whether there is to be a disruption, and ends with `onEnd` what `play` started.
 */
export async function runCase(caseUrl, play) {
  const startedMs = Date.now();
  const lines = [];
  const endings = [];
  const hasTrouble = process.env.TROUBLE !== '0';
  const record = {
    hasTrouble,
    note: (event, fields = {}) => {
      const atS = ((Date.now() - startedMs) / 1000).toFixed(3);
      const text = Object.entries(fields).map(([name, value]) => ` ${name}=${value}`);
      lines.push(`${atS} s  ${event}${text.join('')}`);
    },
    onEnd: (end) => endings.push(end),
  };
  const noteFailure = (error) => {
    record.note(`could not run: ${error instanceof Error ? error.stack : String(error)}`);
    return exitCodes.notRun;
  };
  let code = exitCodes.notRun;
  try {
    record.note(hasTrouble ? 'with the disruption' : 'without the disruption');
    const breaks = await Promise.race([play(record), untilGivenUp()]);
    for (const text of breaks) {
      record.note(`BROKEN: ${text}`);
    }
    const isBroken = breaks.length > 0;
    record.note(isBroken ? `the rule was broken ${breaks.length} times` : 'the rule held');
    code = isBroken ? exitCodes.broken : exitCodes.held;
  } catch (error) {
    code = noteFailure(error);
  }
  for (const end of endings) {
    try {
      await end();
    } catch (error) {
      code = noteFailure(error);
    }
  }
  await writeFile(fileURLToPath(new URL('record.txt', caseUrl)), `${lines.join('\n')}\n`);
  process.stdout.write(`${lines.slice(-3).join('\n')}\n`);
  process.exit(code);
}
