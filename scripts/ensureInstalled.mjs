// Installs the locked dependencies when node_modules is absent or older than the lock file.
import {spawnSync} from 'node:child_process';
import {existsSync, statSync} from 'node:fs';

const marker = 'node_modules/.package-lock.json';
const isCurrent =
  existsSync(marker) && statSync(marker).mtimeMs >= statSync('package-lock.json').mtimeMs - 1000;
if (!isCurrent) {
  const {status} = spawnSync('npm', ['ci', '--no-audit', '--no-fund'], {
    stdio: ['ignore', 'inherit', 'inherit'],
  });
  if (status !== 0) {
    process.exit(status ?? 1);
  }
}
