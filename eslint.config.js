import tseslint from 'typescript-eslint';

export default tseslint.config(
  { ignores: ['target', 'node_modules', 'journal', '*.mjs', 'eslint.config.js'] },
  ...tseslint.configs.strict,
  {
    rules: {
      '@typescript-eslint/no-explicit-any': 'error',
      '@typescript-eslint/no-unused-vars': ['error', { argsIgnorePattern: '^_', ignoreRestSiblings: true }],
      // Events and late results use methods as statements on purpose.
      '@typescript-eslint/no-invalid-void-type': 'off',
    },
  },
);
