/** Renders the page docs/ERRORS.md from the table of error kinds. */
import { ANSWERS } from '@masticbend/protocol/error';

const INTRODUCTION = `# Errors

Every failure has one of these kinds, in \`error.kind\` of the answer. \`ran\` tells what is known of
the call: \`no\` (it was never sent to a backend server), \`yes\` (it was sent, and the backend server
acted on it) or \`unknown\`. \`retry\` tells what a caller may do: \`never\` (the same request fails
again), \`after\` (send it again after the time in Retry-After), \`same-key\` (send it again with the
same Idempotency-Key to learn the outcome). This page is written from the table in
\`packages/protocol/src/error.ts\` by \`npm run errors\`.
`;

const HEADER_CELLS = ['kind', 'status', 'ran', 'retry', 'wait', 'message'];

/** Returns the page as Markdown. */
export function renderErrorPage(): string {
  const rows = Object.entries(ANSWERS).map(([kind, rule]) => {
    const wait = rule.retry === 'never' ? '' : `${rule.retryAfterMs} ms`;
    return [`\`${kind}\``, String(rule.status), rule.ran, rule.retry, wait, rule.message];
  });
  const widths = HEADER_CELLS.map((_, column) =>
    Math.max(...[HEADER_CELLS, ...rows].map((row) => row[column]!.length)),
  );
  const formatRow = (cells: string[]) =>
    `| ${cells.map((cell, column) => cell.padEnd(widths[column]!)).join(' | ')} |`;
  const separator = formatRow(widths.map((width) => '-'.repeat(width)));
  return [INTRODUCTION, formatRow(HEADER_CELLS), separator, ...rows.map(formatRow), ''].join('\n');
}
