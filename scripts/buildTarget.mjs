// Builds target/godwitspring.cjs, which the users' platform runs, with the bundle (app.cjs) and V8's code cache of
// the bundle (app.cache) beside it.
import {execFileSync} from 'node:child_process';
import {copyFileSync, mkdirSync, readFileSync, writeFileSync} from 'node:fs';
import {bundle} from './bundle.mjs';

mkdirSync('target', {recursive: true});
await bundle({outFile: 'target/app.cjs', entry: 'platform/src/main.ts', minify: true});
copyFileSync('scripts/startFromCache.cjs', 'target/godwitspring.cjs');
writeFileSync('target/app.cache', '');
// V8 accepts a code cache only under the flags under which it was made.
const flags =
  /^run = "node ((?:--\S+ )*)/m.exec(readFileSync('deploy/system.toml', 'utf8'))?.[1] ?? '';
execFileSync(
  process.execPath,
  [...flags.split(' ').filter(Boolean), 'scripts/writeCodeCache.cjs'],
  {
    stdio: ['ignore', 'ignore', 'inherit'],
  },
);
