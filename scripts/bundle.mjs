// Bundles the command line with all its packages into one file.
import {build} from 'esbuild';

/** Optional native add-ons: their users fall back when the module fails to load. */
const withoutNativeAddOns = {
  name: 'without-native-add-ons',
  setup(bundle) {
    const filter = /^(unix-dgram|msgpackr-extract|bufferutil|utf-8-validate)$/;
    bundle.onResolve({filter}, ({path}) => ({path, namespace: 'absent'}));
    bundle.onLoad({filter: /.*/, namespace: 'absent'}, ({path}) => ({
      contents: `throw new Error('${path} is not part of this binary');`,
    }));
  },
};

/** Writes the bundle to a file; `minify` makes a process start faster. */
export async function bundle({outFile, minify = false}) {
  await build({
    entryPoints: ['packages/cli/src/main.ts'],
    bundle: true,
    platform: 'node',
    target: 'node20',
    format: 'cjs',
    outfile: outFile,
    minify,
    keepNames: true,
    plugins: [withoutNativeAddOns],
    logLevel: 'warning',
  });
}
