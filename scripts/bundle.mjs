// Bundles a program with all packages that it uses into one file.
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

/** esbuild plugin that leaves out the texts of the schema library in other languages: a third of the bundle. */
const withoutTranslations = {
  name: 'without-translations',
  setup(pluginBuild) {
    pluginBuild.onLoad({filter: /zod\/v4\/locales\/index\.js$/}, () => ({
      contents: "export {default as en} from './en.js';",
    }));
  },
};

/** Writes the bundle of `entry` to `outFile`; a minified bundle makes the process start faster. */
export async function bundle({outFile, entry = 'packages/cli/src/main.ts', minify = false}) {
  await build({
    entryPoints: [entry],
    bundle: true,
    platform: 'node',
    target: 'node20',
    format: 'cjs',
    outfile: outFile,
    minify,
    keepNames: true,
    plugins: [withoutNativeAddOns, withoutTranslations],
    logLevel: 'warning',
  });
}
