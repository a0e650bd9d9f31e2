import { expect } from 'chai';
import { Repeat, type GatewayRoute } from '@masticbend/settings/routing';
import { chooseService, createRouteIndex } from '../src/gateway-route.js';

function createRoute(name: string, host: string, prefix: string): GatewayRoute {
  return {
    name,
    host,
    prefix,
    targets: [{ service: name, weight: 1 }],
    repeat: Repeat.Never,
    streamed: false,
    timeoutMs: 1_000,
    objectiveMs: 100,
    pauseMs: 100,
    attempts: 1,
    tier: 0,
    anonymous: false,
  };
}

describe('gateway routes', () => {
  const index = createRouteIndex([
    createRoute('root', 'a.example', '/'),
    createRoute('short', 'a.example', '/x/'),
    createRoute('long', 'a.example', '/x/y/'),
    createRoute('other', 'b.example', '/x/'),
  ]);

  it('selects the route with the longest matching prefix of the host', () => {
    const found = [
      ['a.example', '/x/y/z?q=/x/'],
      ['a.example', '/x/y'],
      ['A.example:80', '/x/'],
      ['a.example', '/xy'],
      ['b.example', '/x/y/'],
      ['b.example', '/'],
      ['c.example', '/x/'],
      ['a.example', 'x'],
    ].map(([host, path]) => index.find(host!, path!)?.name);
    expect(found).to.deep.equal([
      ...['long', 'short', 'short', 'root', 'other'],
      ...[undefined, undefined, undefined],
    ]);
  });

  it('splits requests between services by weight', () => {
    const route = createRoute('split', 'a', '/');
    route.targets = [
      { service: 'old', weight: 90 },
      { service: 'new', weight: 10 },
    ];
    expect(
      [0, 0.5, 0.899, 0.9, 0.999].map((draw) => chooseService(route, () => draw)),
    ).to.deep.equal(['old', 'old', 'old', 'new', 'new']);
  });
});
