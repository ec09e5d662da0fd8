import tseslint from 'typescript-eslint';

const inputOutputModules = [
  {group: ['node:*'], message: 'The core does no input or output.'},
  {
    group: ['ws', 'undici', 'hono', 'hono/*', 'pino', 'hot-shots', 'msgpackr'],
    message: 'The core does no input or output.',
  },
];

const ambientGlobals = [
  'process',
  'setTimeout',
  'setInterval',
  'setImmediate',
  'fetch',
  'console',
  'performance',
  'Buffer',
];

export default tseslint.config(
  {ignores: ['**/node_modules/**', 'dist/**', 'target/**', 'scripts/**', '*.js']},
  ...tseslint.configs.strict,
  ...tseslint.configs.stylistic,
  {
    languageOptions: {
      parserOptions: {projectService: true, tsconfigRootDir: import.meta.dirname},
    },
    rules: {
      '@typescript-eslint/no-floating-promises': 'error',
      '@typescript-eslint/no-misused-promises': 'error',
      '@typescript-eslint/consistent-type-imports': ['error', {fixStyle: 'separate-type-imports'}],
      '@typescript-eslint/no-extraneous-class': 'off',
      'no-restricted-syntax': [
        'error',
        {
          selector: "CallExpression[callee.property.name='forEach']",
          message: 'Use a for of loop.',
        },
      ],
    },
  },
  {
    files: ['packages/core/src/**/*.ts', 'packages/document/src/**/*.ts'],
    ignores: ['**/__tests__/**'],
    rules: {
      'no-restricted-imports': ['error', {patterns: inputOutputModules}],
      'no-restricted-globals': ['error', ...ambientGlobals],
      'no-restricted-properties': [
        'error',
        {object: 'Date', property: 'now', message: 'Time comes in as an argument.'},
        {
          object: 'Math',
          property: 'random',
          message: 'Randomness comes in as an argument.',
        },
      ],
    },
  },
  {
    files: ['**/__tests__/**'],
    rules: {
      '@typescript-eslint/no-unused-expressions': 'off',
      '@typescript-eslint/no-non-null-assertion': 'off',
    },
  },
);
