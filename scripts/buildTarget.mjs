// Builds target/godwitspring.cjs, which the users' platform runs: a bundle and V8's code cache of it.
import {copyFileSync, mkdirSync, writeFileSync} from 'node:fs';
import {createRequire} from 'node:module';
import {bundle} from './bundle.mjs';

/** Time after which the functions that a start needs are compiled and go into the cache, in ms. */
const warmMs = 1_000;

mkdirSync('target', {recursive: true});
await bundle({outFile: 'target/app.cjs', minify: true});
copyFileSync('scripts/startFromCache.cjs', 'target/godwitspring.cjs');
writeFileSync('target/app.cache', '');
process.argv = [process.execPath, 'target/godwitspring.cjs', '--version'];
const {script} = createRequire(import.meta.url)('../target/godwitspring.cjs');
setTimeout(() => {
  writeFileSync('target/app.cache', script.createCachedData());
}, warmMs);
