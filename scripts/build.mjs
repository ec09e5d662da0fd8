// Builds dist/godwitspring: a single executable application (SEA) that contains the bundle and a copy of the
// Node.js binary that runs this script.
import {execFileSync} from 'node:child_process';
import {chmodSync, copyFileSync, mkdirSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import {inject} from 'postject';
import {bundle} from './bundle.mjs';

const outFile = 'dist/godwitspring';
rmSync('dist', {recursive: true, force: true});
mkdirSync('dist');
await bundle({outFile: 'dist/godwitspring.cjs'});
writeFileSync(
  'dist/sea.json',
  JSON.stringify({
    main: 'dist/godwitspring.cjs',
    output: 'dist/godwitspring.blob',
    disableExperimentalSEAWarning: true,
  }),
);
execFileSync(process.execPath, ['--experimental-sea-config', 'dist/sea.json'], {
  stdio: 'ignore',
});
copyFileSync(process.execPath, outFile);
chmodSync(outFile, 0o755);
await inject(outFile, 'NODE_SEA_BLOB', readFileSync('dist/godwitspring.blob'), {
  sentinelFuse: 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2',
});
for (const file of ['godwitspring.cjs', 'sea.json', 'godwitspring.blob']) {
  rmSync(`dist/${file}`);
}
