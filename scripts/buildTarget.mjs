// Builds target/godwitspring.cjs, the bundle that the users' platform runs.
import {mkdirSync} from 'node:fs';
import {bundle} from './bundle.mjs';

mkdirSync('target', {recursive: true});
await bundle({outFile: 'target/godwitspring.cjs', minify: true});
