/** The services of an entry, by the names under which the kernel provides them. */
import type { Clock } from '@masticbend/kernel/clock';
import type { ConnectionBounds } from '@masticbend/kernel/connection-bounds';
import type { Lifecycle } from '@masticbend/kernel/kernel';
import type { Logger } from '@masticbend/kernel/log';
import type { Metrics } from '@masticbend/kernel/metrics';
import type { RepeatBudget } from '@masticbend/scheduling/repeat-budget';
import type { ServerPool } from '@masticbend/scheduling/server-pool';
import type { ServiceDemand } from '@masticbend/scheduling/service-demand';
import type { SharedLimits } from '@masticbend/scheduling/shared-limit';
import type { BackendClient } from './backend-client.js';
import type { ConfigurationView } from './configuration-view.js';
import type { CrashWatch } from './crash-watch.js';
import type { Ingress } from './ingress.js';
import type { Members } from './members.js';
import type { OriginExchange } from './origin-exchange.js';
import type { PeerMesh } from './peer-mesh.js';
import type { PermitClient } from './permit-client.js';
import type { Requests } from './requests.js';
import type { RolloutService } from './rollout-service.js';
import type { ServerNotices } from './server-notices.js';
import type { EraStore } from './store-era.js';
import type { TableFeed } from './table-feed.js';
import type { TableRelay } from './table-relay.js';
import type { VersionRecords } from './version-records.js';

export interface GatewayServices {
  clock: Clock;
  log: Logger;
  metrics: Metrics;
  connections: ConnectionBounds & Lifecycle;
  store: EraStore & Lifecycle;
  client: BackendClient & Lifecycle;
  board: ServerPool & Lifecycle;
  limits: SharedLimits & Lifecycle;
  repeats: RepeatBudget & Lifecycle;
  demand: ServiceDemand & Lifecycle;
  view: ViewService & Lifecycle;
  servers: TableFeed & Lifecycle;
  requests: Requests & Lifecycle;
  notices: ServerNotices & Lifecycle;
  ingress: Ingress & Lifecycle;
  members: Members & Lifecycle;
  permits: PermitClient & Lifecycle;
  mesh: PeerMesh & Lifecycle;
  relay: TableRelay & Lifecycle;
  origins: OriginExchange & Lifecycle;
  crashes: CrashWatch & Lifecycle;
  versions: VersionRecords & Lifecycle;
  rollouts: RolloutService & Lifecycle;
  administration: Lifecycle;
}

/** The configuration in force and its age. */
export interface ViewService {
  getView: () => ConfigurationView | undefined;
  /** A peer has this version of the configuration in force. */
  recordPeerVersion: (version: number) => void;
  /** Returns whether the keys were confirmed recently enough to admit requests by them. */
  areKeysFresh: () => boolean;
  /** Returns whether the configuration was confirmed recently enough for the entry to be ready. */
  isConfigurationRecent: () => boolean;
  refresh: TableFeed['refresh'];
  /** Time since the last successful read was sent, in milliseconds; undefined before the first. */
  getAgeMs: TableFeed['getAgeMs'];
}
