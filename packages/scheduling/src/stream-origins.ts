/**
 * Origins of streams: the service and the software version of the backend server that brought the
 * first event of a stream. What two versions write does not fit together, so only servers of that
 * version may continue the stream.
 */

/** Time for which an origin is kept; longer than any caller goes on with a stream. */
const RETENTION_MS = 60_000;

/** Origin of a stream. */
export interface StreamOrigin {
  service: string;
  softwareVersion: string;
}

/** Known origins, by the id of the request that brought the first event. Times are monotonic. */
export interface StreamOrigins {
  set: (now: number, stream: string, origin: StreamOrigin) => void;
  find: (now: number, stream: string) => StreamOrigin | undefined;
  count: () => number;
}

interface KnownOrigin extends StreamOrigin {
  expiresAt: number;
}

/** Returns an empty collection. */
export function createStreamOrigins(): StreamOrigins {
  /** In the order of their expiry. */
  const origins = new Map<string, KnownOrigin>();

  function dropExpired(now: number): void {
    for (const [stream, { expiresAt }] of origins) {
      if (expiresAt > now) return;
      origins.delete(stream);
    }
  }

  return {
    set(now, stream, { service, softwareVersion }) {
      dropExpired(now);
      origins.delete(stream);
      origins.set(stream, { service, softwareVersion, expiresAt: now + RETENTION_MS });
    },
    find(now, stream) {
      dropExpired(now);
      return origins.get(stream);
    },
    count: () => origins.size,
  };
}
