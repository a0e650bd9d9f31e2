import { expect } from 'chai';
import { createAccountFinder } from '../src/accounts.js';
import { API_KEY, createTestConfiguration } from './fake-entry.js';

describe('accounts', () => {
  it('finds the account of a valid key, and none for any other header', () => {
    const findAccount = createAccountFinder();
    const configuration = createTestConfiguration();
    expect(findAccount(configuration, `Bearer ${API_KEY}`)?.account).to.equal('baker');
    const wrong = [undefined, '', API_KEY, 'Bearer ', `Bearer ${API_KEY}x`, `Basic ${API_KEY}`];
    for (const header of wrong) expect(findAccount(configuration, header)).to.equal(undefined);
  });

  it('looks up keys in the given configuration', () => {
    const findAccount = createAccountFinder();
    const before = createTestConfiguration();
    expect(findAccount(before, `Bearer ${API_KEY}`)).to.not.equal(undefined);
    const baker = { ...before.accounts.baker!, keyHashes: ['0'.repeat(64)] };
    const after = { ...before, accounts: { baker } };
    expect(findAccount(after, `Bearer ${API_KEY}`)).to.equal(undefined);
    expect(findAccount(before, `Bearer ${API_KEY}`)).to.not.equal(undefined);
  });
});
