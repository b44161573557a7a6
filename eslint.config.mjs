import { configs, plugins } from 'eslint-config-airbnb-extended';

export default [
  { ignores: ['dist/**', 'target/**', 'journal/**', 'node_modules/**'] },
  plugins.stylistic,
  plugins.importX,
  plugins.node,
  plugins.typescriptEslint,
  ...configs.base.recommended,
  ...configs.base.typescript,
  {
    rules: {
      // Modules import each other by the extension that the compiled file has.
      'import-x/extensions': 'off',
      // Packages of this workspace and their tests share the root manifest.
      'import-x/no-extraneous-dependencies': 'off',
      // A package exports one kind of thing by name; a default export would hide it.
      'import-x/prefer-default-export': 'off',
      // Controllers handle their work in order, one step after another.
      'no-await-in-loop': 'off',
      'no-restricted-syntax': 'off',
      'no-continue': 'off',
      'no-console': 'off',
      // Interfaces have implementations that need no state.
      'class-methods-use-this': 'off',
      'no-void': ['error', { allowAsStatement: true }],
      'no-param-reassign': ['error', { props: false }],
      'max-lines': ['warn', { max: 300 }],
      'max-lines-per-function': ['warn', { max: 40 }],
      // Formatting is the formatter's task.
      '@stylistic/indent': 'off',
      '@stylistic/operator-linebreak': 'off',
      '@stylistic/implicit-arrow-linebreak': 'off',
      '@stylistic/function-paren-newline': 'off',
      '@stylistic/object-curly-newline': 'off',
      '@stylistic/no-confusing-arrow': 'off',
      '@stylistic/newline-per-chained-call': 'off',
      '@stylistic/quotes': 'off',
      '@stylistic/generator-star-spacing': 'off',
      '@stylistic/max-len': [
        'error',
        { code: 110, ignoreStrings: true, ignoreTemplateLiterals: true },
      ],
    },
  },
  {
    files: ['packages/random/src/*.ts'],
    // Hash functions and generators are defined on bits.
    rules: { 'no-bitwise': 'off' },
  },
  {
    files: ['**/*.test.ts'],
    rules: { 'max-lines-per-function': 'off' },
  },
];
