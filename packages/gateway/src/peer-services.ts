/**
 * Services of an entry that talk to the other entries: membership, the connections to peers, and
 * what passes over these.
 */
import type { Kernel } from '@masticbend/kernel/kernel';
import { LogEvent } from '@masticbend/kernel/log';
import { Metric } from '@masticbend/kernel/metrics';
import { listNotices } from '@masticbend/scheduling/server-notice';
import { createMembers, type Members } from './members.js';
import { createOriginExchange, type OriginExchange } from './origin-exchange.js';
import { isBelowFullPace } from './paces-service.js';
import { createPeerMesh, type PeerMesh } from './peer-mesh.js';
import type { GatewayServices } from './services.js';
import type { GatewaySettings } from './settings.js';
import { createTableRelay, type TableRelay } from './table-relay.js';
import { createVersionRecords, type VersionRecords } from './version-records.js';

export function createRelayService(
  kernel: Kernel<GatewayServices>,
  { instance }: GatewaySettings,
): TableRelay {
  return createTableRelay({
    self: instance,
    clock: kernel.find('clock'),
    log: kernel.find('log'),
    listOthers: () =>
      kernel
        .find('members')
        .listOthers()
        .map((member) => member.instance),
    listLive: () => kernel.find('mesh').listLive(),
    send: (peer, message) => kernel.find('mesh').send(peer, message),
  });
}

export function createOriginsService(
  kernel: Kernel<GatewayServices>,
  { instance }: GatewaySettings,
): OriginExchange {
  return createOriginExchange({
    self: instance,
    clock: kernel.find('clock'),
    listLive: () => kernel.find('mesh').listLive(),
    send: (peer, message) => kernel.find('mesh').send(peer, message),
  });
}

export function createVersionsService(
  kernel: Kernel<GatewayServices>,
  { instance, isFirstStart = false }: GatewaySettings,
): VersionRecords {
  return createVersionRecords({
    self: instance,
    isFirstStart,
    store: kernel.find('store'),
    clock: kernel.find('clock'),
    log: kernel.find('log'),
    listLive: () => kernel.find('mesh').listLive(),
    send: (peer, message) => kernel.find('mesh').send(peer, message),
  });
}

export function createMembersService(
  kernel: Kernel<GatewayServices>,
  { instance, meshAddress }: GatewaySettings,
  incarnation: string,
  getElapsed: () => number,
): Members {
  const members: Members = createMembers({
    store: kernel.find('store'),
    self: { instance, address: meshAddress },
    incarnation,
    clock: kernel.find('clock'),
    getElapsed,
    log: kernel.find('log'),
    drawRandom: Math.random,
    listLive: () => kernel.find('mesh').listLive(),
    listBlocked: () => kernel.find('crashes').listStored(),
    onBlocked: (evidence) => kernel.find('crashes').addStored(evidence),
    onChange: () => kernel.find('mesh').setMembers(members.listOthers()),
  });
  return members;
}

export function createMeshService(
  kernel: Kernel<GatewayServices>,
  { instance, meshAddress }: GatewaySettings,
  incarnation: string,
): PeerMesh {
  const clock = kernel.find('clock');
  const log = kernel.find('log');
  const serverPool = kernel.find('board');
  const limits = kernel.find('limits');
  const demand = kernel.find('demand');
  const members = kernel.find('members');
  const permits = kernel.find('permits');
  const view = kernel.find('view');
  let share = 0;
  kernel.find('metrics').registerGauge(Metric.LimitShare, () => share);

  /**
   * Sets this entry's limit share: the fraction of all entries that are live, itself included; 0
   * while its lease is not held, and until all others count it, as they use its share until then.
   * For repeats it is a member without a lease as well while all others are connected.
   */
  function updateShare(livePeers: number): void {
    const liveEntries = livePeers + 1;
    const knownEntries = Math.max(liveEntries, members.listOthers().length + 1);
    const areAllLive = liveEntries === knownEntries;
    const isMember = members.isLeaseHeld() || (members.areOthersKnown() && areAllLive);
    kernel.find('repeats').setInstances(clock.now(), isMember ? knownEntries : undefined);
    const isCounted = areAllLive || members.isCountedByRow();
    const nextShare = members.isLeaseHeld() && isCounted ? liveEntries / knownEntries : 0;
    if (nextShare === share) return;
    share = nextShare;
    limits.setShare(clock.now(), share);
    demand.setShare(share);
    log.info(LogEvent.LimitShareChanged, {
      share: Number(share.toFixed(3)),
      heard: liveEntries,
      all: knownEntries,
    });
  }

  /** Returns this entry's demand for the services with limited servers, or below full pace. */
  function describeDemand(): Map<string, number> {
    const limited = serverPool
      .listServers()
      .filter((entry) => entry.limit.perSecond !== undefined || isBelowFullPace(entry));
    const services = new Set(limited.map(({ server }) => server.service));
    const now = clock.now();
    return new Map([...services].map((service) => [service, demand.getRate(now, service)]));
  }

  const mesh: PeerMesh = createPeerMesh({
    self: { instance, address: meshAddress },
    incarnation,
    clock,
    log,
    bounds: kernel.find('connections'),
    describeState: () => ({
      running: serverPool.listRunning(permits.findLoad),
      usage: limits.listUsage(),
      version: view.getView()?.configuration.version ?? 0,
      notices: listNotices(clock.now(), serverPool.listServers()),
      demand: describeDemand(),
    }),
    onReport(peer, { running, usage, version, notices, demand: peerDemand }) {
      view.recordPeerVersion(version);
      for (const notice of notices) kernel.find('notices').handlePeer(peer, notice);
      serverPool.setPeerLoad(peer, running);
      demand.setPeerRates(peer, peerDemand);
      for (const [name, used] of usage) limits.recordPeerUsage(clock.now(), name, used);
      kernel.find('requests').sendWaiting();
    },
    onOpened(peer) {
      kernel.find('crashes').sendAll(peer);
      kernel.find('rollouts').sendAll(peer);
    },
    onCrashMessage: (peer, message) => kernel.find('crashes').receive(peer, message),
    onTableMessage: (peer, message) => kernel.find('relay').receive(peer, message),
    onOriginMessage: (peer, message) => kernel.find('origins').receive(peer, message),
    onRolloutMessage: (...message) => kernel.find('rollouts').receive(...message),
    onVersionRecord: (message) => kernel.find('versions').receive(message),
    onLost(peer) {
      serverPool.setPeerLoad(peer, new Map());
      demand.dropPeer(peer);
      kernel.find('crashes').dropPeer();
      kernel.find('rollouts').dropPeer(peer);
    },
    onRound: updateShare,
  });
  return mesh;
}
