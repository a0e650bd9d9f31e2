/** One version of the routing configuration, indexed for the request path. */
import { createRouteIndex, type RouteIndex } from '@masticbend/scheduling/gateway-route';
import type { GatewayAccount, RoutingConfiguration } from '@masticbend/settings/routing';

/** Configuration with its indexes. */
export interface ConfigurationView {
  configuration: RoutingConfiguration;
  routes: RouteIndex;
  /** Accounts by API key; undefined where the configuration has no accounts. */
  accounts: ReadonlyMap<string, GatewayAccount> | undefined;
}

/** Builds the indexes of a configuration. */
export function createConfigurationView(configuration: RoutingConfiguration): ConfigurationView {
  const keys = configuration.accounts?.flatMap((account) =>
    account.keys.map((key) => [key, account] as const),
  );
  return {
    configuration,
    routes: createRouteIndex(configuration.routes),
    accounts: keys && new Map(keys),
  };
}
