/** Lint rule: the name of every function declaration begins with a verb from docs/VERBS.md. */
import { readFileSync } from 'node:fs';
import { URL } from 'node:url';

const page = readFileSync(new URL('../docs/VERBS.md', import.meta.url), 'utf8');
const verbs = new Set([...page.matchAll(/^\| ([a-z]+) +\|/gm)].map(([, verb]) => verb));

/** Returns the first word of a camel-case name. */
function findFirstWord(name) {
  return /^[a-z]+/.exec(name)?.[0] ?? '';
}

export const verbRule = {
  meta: { type: 'suggestion', schema: [] },
  create: (context) => ({
    FunctionDeclaration(node) {
      if (!node.id || verbs.has(findFirstWord(node.id.name))) return;
      context.report({
        node: node.id,
        message: `"${node.id.name}" does not begin with a verb from docs/VERBS.md`,
      });
    },
  }),
};
