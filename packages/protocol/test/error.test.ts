import { expect } from 'chai';
import { ANSWERS, createFailureAnswer, ErrorKind } from '../src/error.js';

describe('error', () => {
  it('has an answer for every kind', () => {
    const answers = Object.values(ErrorKind).map((kind) => createFailureAnswer({ kind }));
    expect(answers).toMatchSnapshot();
  });

  it('never reports a request as not executed when it may have been', () => {
    const kinds = Object.values(ErrorKind).filter((kind) => ANSWERS[kind].ran === 'no');
    expect(kinds).not.to.include(ErrorKind.OutcomeUnknown);
    expect(kinds).not.to.include(ErrorKind.BackendTruncated);
  });
});
