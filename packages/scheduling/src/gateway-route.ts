/**
 * Finds the route of a request by host and longest path prefix, and chooses a service by weight.
 */
import type { GatewayRoute } from '@masticbend/settings/routing';

/** Index of the routes of one configuration. */
export interface RouteIndex {
  /** Returns the host's route with the longest prefix that matches the path. */
  find: (host: string, path: string) => GatewayRoute | undefined;
}

/** Builds the index; a look-up takes one step per slash in the path, not one per route. */
export function createRouteIndex(routes: readonly GatewayRoute[]): RouteIndex {
  const hosts = new Map<string, Map<string, GatewayRoute>>();
  for (const route of routes) {
    const prefixes = hosts.get(route.host) ?? new Map<string, GatewayRoute>();
    prefixes.set(route.prefix, route);
    hosts.set(route.host, prefixes);
  }
  return {
    find(host, target) {
      const prefixes = hosts.get(host.replace(/:\d+$/, '').toLowerCase());
      if (!prefixes) return undefined;
      const [path] = target.split('?', 1);
      for (let end = path!.lastIndexOf('/'); end >= 0; end = path!.lastIndexOf('/', end - 1)) {
        const route = prefixes.get(path!.slice(0, end + 1));
        if (route) return route;
        if (end === 0) break;
      }
      return undefined;
    },
  };
}

/** Chooses the service of a request; `draw` returns numbers in [0, 1). */
export function chooseService(route: GatewayRoute, draw: () => number): string {
  const total = route.targets.reduce((sum, { weight }) => sum + weight, 0);
  let left = draw() * total;
  for (const { service, weight } of route.targets) {
    left -= weight;
    if (left < 0) return service;
  }
  return route.targets.at(-1)!.service;
}

/** Returns whether a route sends requests to a service. */
export function isRoutedTo(route: GatewayRoute, service: string): boolean {
  return route.targets.some((target) => target.service === service);
}
