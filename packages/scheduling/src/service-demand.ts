/**
 * Demand for each service, here and at the peers: an instance's part of it is its part of what the
 * service's limited servers take.
 */
import { createUsageWindow, type UsageWindow } from './usage-window.js';

/** Window of the counts; the rate is that of its newest eighth. */
const WINDOW_MS = 32_000;

/** Demand in requests a second. Times are monotonic, in milliseconds. */
export interface ServiceDemand {
  recordRequest: (now: number, service: string) => void;
  /** Replaces the rates of a peer, by service. */
  setPeerRates: (peer: string, rates: ReadonlyMap<string, number>) => void;
  dropPeer: (peer: string) => void;
  /** Sets the fraction of all instances in contact with this one, itself included: 0 to 1. */
  setShare: (share: number) => void;
  getRate: (now: number, service: string) => number;
  /** Returns this instance's part of the demand of all instances, 0 to 1. */
  findPart: (now: number, service: string) => number;
}

/** Returns the demand of an instance without contact to any other. */
export function createServiceDemand(): ServiceDemand {
  const own = new Map<string, UsageWindow>();
  const peers = new Map<string, ReadonlyMap<string, number>>();
  let share = 0;

  function getRate(now: number, service: string): number {
    return (own.get(service)?.getRecentRate(now) ?? 0) * 1_000;
  }

  return {
    recordRequest(now, service) {
      const window = own.get(service) ?? createUsageWindow(WINDOW_MS);
      own.set(service, window);
      window.add(now, 1);
    },
    setPeerRates(peer, rates) {
      peers.set(peer, rates);
    },
    dropPeer: (peer) => peers.delete(peer),
    setShare(next) {
      share = next;
    },
    getRate,
    findPart(now, service) {
      const ownRate = getRate(now, service);
      const rates = [...peers.values()].map((peer) => peer.get(service) ?? ownRate);
      const total = rates.reduce((sum, rate) => sum + rate, ownRate);
      return (total > 0 ? ownRate / total : 1 / (peers.size + 1)) * share;
    },
  };
}
