// Writes V8's code cache of target/app.cjs, in a process with the flags with which the program runs.
const {writeFileSync} = require('node:fs');
const path = require('node:path');

/** Delay before the code cache is written, in ms, so that it includes the functions compiled at start-up. */
const cacheDelayMs = 1_000;

const start = path.join(__dirname, '../target/godwitspring.cjs');
process.argv = [process.execPath, start, '--help'];
const {script} = require(start);
setTimeout(() => {
  writeFileSync(path.join(__dirname, '../target/app.cache'), script.createCachedData());
}, cacheDelayMs);
