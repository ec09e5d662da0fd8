// Builds target/godwitspring.cjs, which the users' platform runs, with the bundle (app.cjs) and V8's code cache of
// the bundle (app.cache) beside it.
import {copyFileSync, mkdirSync, writeFileSync} from 'node:fs';
import {createRequire} from 'node:module';
import {bundle} from './bundle.mjs';

/** Delay before the code cache is written, in ms, so that it includes the functions compiled at start-up. */
const cacheDelayMs = 1_000;

mkdirSync('target', {recursive: true});
await bundle({outFile: 'target/app.cjs', minify: true});
copyFileSync('scripts/startFromCache.cjs', 'target/godwitspring.cjs');
writeFileSync('target/app.cache', '');
process.argv = [process.execPath, 'target/godwitspring.cjs', '--version'];
const {script} = createRequire(import.meta.url)('../target/godwitspring.cjs');
setTimeout(() => {
  writeFileSync('target/app.cache', script.createCachedData());
}, cacheDelayMs);
