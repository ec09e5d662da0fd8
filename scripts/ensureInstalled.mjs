// Installs the dependencies of the lock file where node_modules is missing or older than the lock file.
import {spawnSync} from 'node:child_process';
import {existsSync, statSync} from 'node:fs';

/** File that npm writes at the end of an install. */
const installMarker = 'node_modules/.package-lock.json';
const isCurrent =
  existsSync(installMarker) &&
  statSync(installMarker).mtimeMs >= statSync('package-lock.json').mtimeMs - 1000;
if (!isCurrent) {
  const {status} = spawnSync('npm', ['ci', '--no-audit', '--no-fund'], {
    stdio: ['ignore', 'inherit', 'inherit'],
  });
  if (status !== 0) {
    process.exit(status ?? 1);
  }
}
