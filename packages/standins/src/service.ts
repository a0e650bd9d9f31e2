/** Stand-in for a plain service with bookings, which must run at most once, and lookups. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { createFaults, dropAnswer, sendJson, startStandIn, waitFor, type StandIn } from './http.js';

/** A booking that took effect. */
export interface Booking {
  reference: string;
  requestId: string;
}

/** Stages of a booking that `onStage` reports. */
export const ServiceStage = { Received: 'received', Done: 'done' } as const;
export type ServiceStage = (typeof ServiceStage)[keyof typeof ServiceStage];

/** A running service. */
export interface Service extends StandIn {
  /** Every booking that took effect, in order. */
  bookings: Booking[];
  /** References of all bookings that arrived, whether or not they took effect. */
  received: string[];
  /** Parcels looked up, in order. */
  lookups: string[];
}

/** Called before a booking takes effect, and before its answer is sent. */
export type BookingStageListener = (stage: ServiceStage, reference: string) => Promise<void> | void;

const LOOKUP_PREFIX = '/parcels/';

/** Starts a service whose calls each take `workMs`. */
export async function startService(
  port: number,
  workMs: number,
  onStage: BookingStageListener = () => undefined,
): Promise<Service> {
  const bookings: Booking[] = [];
  const lookups: string[] = [];
  const received: string[] = [];
  const faults = createFaults();

  async function handleRequest(
    request: IncomingMessage,
    response: ServerResponse,
    body: Buffer,
  ): Promise<void> {
    const { method, url = '/' } = request;
    if (workMs > 0) await waitFor(workMs);
    if (method === 'POST' && url === '/bookings') {
      const reference = parseReference(body);
      await onStage(ServiceStage.Received, reference);
      bookings.push({ reference, requestId: String(request.headers['x-request-id'] ?? '') });
      const number = bookings.length;
      await onStage(ServiceStage.Done, reference);
      if (!dropAnswer(faults, response)) sendJson(response, 201, { reference, number });
    } else if (method === 'GET' && url.startsWith(LOOKUP_PREFIX)) {
      const parcel = url.slice(LOOKUP_PREFIX.length);
      lookups.push(parcel);
      if (!dropAnswer(faults, response)) sendJson(response, 200, { parcel, status: 'packed' });
    } else if (method === 'GET' && url === '/_record') {
      sendJson(response, 200, { bookings, received, lookups });
    } else {
      sendJson(response, 404, { error: 'no such path' });
    }
  }

  const standIn = await startStandIn(port, handleRequest, faults, (body) => {
    received.push(parseReference(body));
  });
  return Object.assign(standIn, { bookings, received, lookups });
}

function parseReference(body: Buffer): string {
  return (JSON.parse(body.toString('utf8')) as { reference: string }).reference;
}
