// Bundles the command-line interface with all packages that it uses into one file.
import {build} from 'esbuild';

/**
 * esbuild plugin that leaves out optional native add-ons: each is replaced by a module that throws when it is
 * loaded, and the packages that use it have a fallback for that.
 */
const withoutNativeAddOns = {
  name: 'without-native-add-ons',
  setup(pluginBuild) {
    const filter = /^(unix-dgram|msgpackr-extract|bufferutil|utf-8-validate)$/;
    pluginBuild.onResolve({filter}, ({path}) => ({path, namespace: 'absent'}));
    pluginBuild.onLoad({filter: /.*/, namespace: 'absent'}, ({path}) => ({
      contents: `throw new Error('${path} is not part of this binary');`,
    }));
  },
};

/** Writes the bundle to `outFile`; a minified bundle makes the process start faster. */
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
