import { readFileSync } from 'node:fs';
import { expect } from 'chai';
import { renderErrorPage } from '@masticbend/bench/error-page';

describe('error page', () => {
  it('matches the table of error kinds', () => {
    const page = readFileSync(new URL('../../../docs/ERRORS.md', import.meta.url), 'utf8');
    expect(page).to.equal(renderErrorPage());
  });
});
