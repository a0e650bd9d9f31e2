import { expect } from 'chai';
import { describeRequest } from '../src/explain.js';

const LOG = [
  'level=info time=2026-05-17T23:04:20.000Z process=e1 event=server-changed server=i-7 change=seen',
  'level=info time=2026-05-17T23:04:51.000Z process=e1 event=server-changed server=i-7 change=leaving',
  'level=info time=2026-05-17T23:04:51.500Z process=e1 event=server-changed server=i-8 change=gone',
  'level=warn time=2026-05-17T23:04:52.000Z process=e1 event=platform-unavailable table=op reason="status 503"',
  'level=warn time=2026-05-17T23:04:52.100Z process=e2 event=platform-unavailable table=op reason=silent',
  'level=info time=2026-05-17T23:04:54.439Z process=e1 event=request-placed request=6a8e server=i-7 held=3',
  'level=info time=2026-05-17T23:04:54.500Z process=e1 event=request-placed request=other server=i-7',
  'level=info time=2026-05-17T23:04:56.567Z process=e1 event=request-failed request=6a8e error=outcome-unknown',
  'level=info time=2026-05-17T23:04:57.000Z process=e1 event=keys-stale ageMs=4900',
].join('\n');

describe('explain', () => {
  it('shows a request with the context lines about its servers and the store', () => {
    expect(describeRequest('6a8e', [LOG, 'not a log line\n'])).toMatchSnapshot();
  });

  it('keeps the order of a process whose wall clock stepped back', () => {
    const lines = [
      'level=info time=2026-05-17T23:04:52.400Z process=e1 event=request-placed request=6a8e server=i-7',
      'level=info time=2026-05-17T23:04:51.000Z process=e1 event=attempt-failed request=6a8e server=i-7',
      'level=info time=2026-05-17T23:04:51.200Z process=e1 event=request-failed request=6a8e',
    ];
    expect(describeRequest('6a8e', [lines.join('\n')])).to.deep.equal(lines);
  });

  it('shows nothing for an unknown request', () => {
    expect(describeRequest('none', [LOG])).to.deep.equal([]);
  });
});
