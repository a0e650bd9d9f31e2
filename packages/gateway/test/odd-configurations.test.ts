/** Values in the configuration document that no part of the entry can use. */
import { expect } from 'chai';
import { formatAnswer, type Script } from './backend.js';
import {
  createDocument,
  HOST,
  KEY,
  startDeployment,
  waitFor,
  waitUntil,
  type Deployment,
} from './harness.js';
import { dialEntry, formatRequest, listStatuses } from './raw-caller.js';

/** Time in which two entries exchange reports several times. */
const REPORTS_MS = 1_200;
/** Work of a request, longer than a timer that fires at once. */
const WORK_MS = 50;
const LONG_NAME = 'n'.repeat(600);
const FIRST_ACCOUNT = { name: 'bakery', api_keys: [KEY], priority: 1 };
const ROUTE = {
  name: 'odd',
  host: HOST,
  prefix: '/odd/',
  route_kind: 'idempotent',
  service: 'plain',
  anonymous: true,
  max_attempts: 2,
};
const DOCUMENT = createDocument() as { routes: object[]; services: object[]; limits: object };

/** Changes of the document, each with one odd value; the rest of the document holds. */
const ODD_CHANGES: Readonly<Record<string, object>> = {
  'a negative idle timeout': { limits: { ...DOCUMENT.limits, idle_timeout_ms: -5_000 } },
  'an idle timeout beyond that of timers': {
    limits: { ...DOCUMENT.limits, idle_timeout_ms: 1e12 },
  },
  'a negative header timeout': { limits: { ...DOCUMENT.limits, header_timeout_ms: -1 } },
  'a negative body limit': { limits: { ...DOCUMENT.limits, max_body_bytes: -1 } },
  'a negative header limit': { limits: { ...DOCUMENT.limits, max_header_bytes: -1 } },
  'an account with a long name': {
    tenants: [
      FIRST_ACCOUNT,
      { name: LONG_NAME, api_keys: ['key-2'], unit: 'tokens', rate_per_s: 100, burst: 100 },
    ],
  },
  'an account whose requests have negative sizes': {
    tenants: [
      FIRST_ACCOUNT,
      {
        name: 'odd',
        api_keys: ['key-2'],
        unit: 'tokens',
        rate_per_s: 100,
        burst: 100,
        uncached_tokens: -7,
      },
    ],
  },
  'an account with a name that no header can hold': {
    tenants: [FIRST_ACCOUNT, { name: 'first\nsecond', api_keys: ['key-2'] }],
  },
  'a service with a long name': { services: [...DOCUMENT.services, { name: LONG_NAME }] },
  'a route with a timeout beyond that of timers': {
    routes: [...DOCUMENT.routes, { ...ROUTE, timeout_ms: 1e12 }],
  },
  'a route with objectives beyond those of timers': {
    routes: [...DOCUMENT.routes, { ...ROUTE, slo_ms: 1e12, gap_slo_ms: 1e12 }],
  },
  'a route with weights beyond numbers': {
    routes: [
      ...DOCUMENT.routes,
      {
        ...ROUTE,
        split: [
          { service: 'plain', weight: 1e308 },
          { service: 'plain', weight: 1e308 },
        ],
      },
    ],
  },
};

describe('an odd value in the configuration', () => {
  let deployment: Deployment;

  afterEach(() => deployment.close());

  async function start(): Promise<void> {
    const work: Script = ({ socket }) =>
      setTimeout(() => socket.write(formatAnswer(200, 'done')), WORK_MS);
    deployment = await startDeployment([work, work], { isLogged: true });
    await deployment.startEntry();
    await deployment.waitUntilConnected(1);
  }

  function listEvents(event: string): string[] {
    return deployment.logLines.filter((line) => line.includes(`event=${event}`));
  }

  async function checkServed(): Promise<void> {
    const caller = dialEntry(deployment.settings.callerAddress);
    for (const [index, target] of ['/once/a', '/odd/a', '/once/b'].entries()) {
      // Without a deadline of the caller, that of the route holds.
      const request = formatRequest({ id: `a${index}`, target });
      caller.socket.write(request.replace(/X-Masticbend-Deadline-Ms: .*\r\n/, ''));
      await waitUntil(() => listStatuses(caller).length > index);
    }
    const [first, odd, last] = listStatuses(caller);
    expect([first, last]).to.deep.equal([200, 200]);
    expect(odd).to.be.oneOf([200, 404]);
    expect(
      (await deployment.call('/open/a', { headers: { 'x-masticbend-key': 'key-2' } })).status,
    ).to.equal(200);
    await deployment.call('/once/c', { headers: { 'x-masticbend-key': 'key-2' } });
    caller.socket.destroy();
  }

  function addValueTest(place: string, changes: object): void {
    // Such a value ended the process where it was used, closed all links between entries, or let
    // requests expire at their arrival.
    it(`costs neither other requests nor links: ${place}`, async () => {
      await start();
      deployment.writeConfiguration({ version: 4, ...changes });
      await waitUntil(() => listEvents('configuration-applied').length === 2);
      await checkServed();
      await waitFor(REPORTS_MS);
      expect(listEvents('peer-closed')).to.deep.equal([]);
      expect(listEvents('attempt-silent')).to.deep.equal([]);
    });
  }

  for (const [place, changes] of Object.entries(ODD_CHANGES)) addValueTest(place, changes);

  function addVersionTest(version: number): void {
    // The version is part of every report between entries, which closed the links on it.
    it(`leaves the last version in force: version ${version}`, async () => {
      await start();
      deployment.writeConfiguration({ version });
      await waitUntil(() => listEvents('configuration-rejected').length > 0);
      await waitFor(REPORTS_MS);
      expect(listEvents('peer-closed')).to.deep.equal([]);
      await checkServed();
    });
  }

  for (const version of [-1, 4.5, 1e300]) addVersionTest(version);
});
