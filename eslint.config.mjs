// Lint rules: Airbnb for TypeScript; prettier handles the layout.
import { configs, plugins } from 'eslint-config-airbnb-extended';
import { verbRule } from './scripts/verb-rule.mjs';

const formatting = {
  '@stylistic/arrow-parens': 'off',
  '@stylistic/comma-dangle': 'off',
  '@stylistic/function-paren-newline': 'off',
  '@stylistic/implicit-arrow-linebreak': 'off',
  '@stylistic/indent': 'off',
  '@stylistic/max-len': [
    'error',
    {
      code: 100,
      ignoreUrls: true,
      ignoreStrings: true,
      ignoreTemplateLiterals: true,
      ignoreRegExpLiterals: true,
    },
  ],
  '@stylistic/newline-per-chained-call': 'off',
  '@stylistic/no-confusing-arrow': 'off',
  '@stylistic/no-mixed-operators': 'off',
  '@stylistic/object-curly-newline': 'off',
  '@stylistic/operator-linebreak': 'off',
  '@stylistic/quotes': 'off',
  '@stylistic/wrap-iife': 'off',
};

export default [
  { ignores: ['**/dist/**', '**/node_modules/**', 'reports/**', 'target/**', 'journal/**'] },
  plugins.stylistic,
  plugins.importX,
  plugins.node,
  plugins.typescriptEslint,
  ...configs.base.recommended,
  ...configs.base.typescript,
  {
    files: ['**/*.ts'],
    languageOptions: {
      parserOptions: { projectService: false, project: './tsconfig.test.json' },
    },
  },
  {
    plugins: { masticbend: { rules: { 'function-verb': verbRule } } },
    rules: {
      ...formatting,
      'masticbend/function-verb': 'error',
      // Node resolves workspace packages through their export maps; tsc checks every import.
      'import-x/extensions': 'off',
      'import-x/no-unresolved': 'off',
      'import-x/no-extraneous-dependencies': 'off',
      'import-x/prefer-default-export': 'off',
      'import-x/no-rename-default': 'off',
      // Modules are ordered top down: public functions first, then the private ones they call.
      'no-use-before-define': 'off',
      '@typescript-eslint/no-use-before-define': [
        'error',
        { functions: false, classes: true, variables: true, typedefs: false },
      ],
      // A constant object has the same name as the union type of its values.
      '@typescript-eslint/no-redeclare': 'off',
      'no-continue': 'off',
      'no-restricted-syntax': ['error', 'ForInStatement', 'WithStatement', 'TSEnumDeclaration'],
      // State is kept in plain objects that one module owns and mutates.
      'no-param-reassign': ['error', { props: false }],
      'no-plusplus': ['error', { allowForLoopAfterthoughts: true }],
      'no-await-in-loop': 'off',
    },
  },
  {
    // The wall clock may step; only the kernel's clock reads it, to detect suspension.
    files: ['packages/{gateway,scheduling}/src/**', 'platform/src/**'],
    rules: {
      'no-restricted-properties': [
        'error',
        { object: 'Date', property: 'now', message: 'use the monotonic clock' },
        { property: 'readWallTime', message: 'use the monotonic clock' },
      ],
      'no-restricted-syntax': [
        'error',
        'ForInStatement',
        'WithStatement',
        'TSEnumDeclaration',
        { selector: "NewExpression[callee.name='Date']", message: 'use the monotonic clock' },
      ],
    },
  },
  {
    files: ['**/test/**', 'scripts/**', 'packages/bench/src/**'],
    rules: { 'no-console': 'off', '@typescript-eslint/no-unused-expressions': 'off' },
  },
];
