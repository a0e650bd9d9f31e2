/**
 * Origins of the streams that this entry relays: recorded with the first event, and found again for
 * a request that takes up a stream.
 */
import { formatBoundedId } from '@masticbend/scheduling/bounded-id';
import { isRoutedTo } from '@masticbend/scheduling/gateway-route';
import type { StreamOrigin } from '@masticbend/scheduling/stream-origins';
import { Repeat, type BackendServer } from '@masticbend/settings/routing';
import type { OriginExchange } from './origin-exchange.js';
import type { RequestState } from './request-state.js';
import type { VersionRecords } from './version-records.js';

/** Result for a request that takes up a stream. */
export type TakenUpStream =
  | { kind: 'origin'; origin: StreamOrigin }
  /** The stream cannot go on here. */
  | { kind: 'none'; reason: string };

const UNKNOWN_ORIGIN: TakenUpStream = { kind: 'none', reason: 'stream of unknown origin' };

/** Origins of streams, as the request handling uses them. */
export interface TakenUpStreams {
  /** Records the origin of a stream that another attempt or request may continue. */
  recordStart: (state: RequestState, server: BackendServer) => void;
  /** Calls `onFound` once with the origin of the stream that a request takes up. */
  find: (state: RequestState, onFound: (stream: TakenUpStream) => void) => void;
}

/** Dependencies. */
export interface TakenUpStreamsOptions {
  origins: Pick<OriginExchange, 'record' | 'find'>;
  /** Calls back with the only software version that an open stream of a route can have. */
  findOnlyVersion: VersionRecords['findOnly'];
}

/** Returns whether the caller takes up a stream that another request began. */
export function isTakenUp({ route, incoming }: RequestState): boolean {
  return route.streamed && incoming.metadata.lastEventId !== undefined;
}

/** Returns the origins of one entry's streams. */
export function createTakenUpStreams(options: TakenUpStreamsOptions): TakenUpStreams {
  const { origins, findOnlyVersion } = options;

  /** Finds the origin of a stream without a record, where it can be one only. */
  function findOnlyOrigin(state: RequestState, onFound: (stream: TakenUpStream) => void): void {
    const { route, service } = state;
    if (route.targets.length > 1) {
      onFound(UNKNOWN_ORIGIN);
      return;
    }
    findOnlyVersion(route, service, (softwareVersion) => {
      onFound(
        softwareVersion === undefined
          ? UNKNOWN_ORIGIN
          : checkOrigin(state, { service, softwareVersion }),
      );
    });
  }

  return {
    recordStart(state, { softwareVersion }) {
      const { route, service, incoming } = state;
      if (route.repeat !== Repeat.Resume) return;
      state.origin ??= { service, softwareVersion };
      const { resumes, requestId } = incoming.metadata;
      // A caller whose stream breaks off again may name either of its requests.
      for (const id of new Set([requestId, resumes ?? requestId])) {
        origins.record(formatBoundedId(id), state.origin);
      }
    },
    find(state, onFound) {
      const { resumes } = state.incoming.metadata;
      if (resumes === undefined) {
        findOnlyOrigin(state, onFound);
        return;
      }
      origins.find(formatBoundedId(resumes), (result) => {
        if (result.kind === 'known') onFound(checkOrigin(state, result.origin));
        else if (result.kind === 'unknown') findOnlyOrigin(state, onFound);
        else onFound({ kind: 'none', reason: 'no answer about the stream' });
      });
    },
  };
}

function checkOrigin({ route }: RequestState, origin: StreamOrigin): TakenUpStream {
  if (!isRoutedTo(route, origin.service)) {
    return { kind: 'none', reason: 'stream of another service' };
  }
  return { kind: 'origin', origin };
}
