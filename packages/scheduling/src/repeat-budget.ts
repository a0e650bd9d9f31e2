/**
 * Bounds how often requests are sent to a further backend server. The bound holds for all instances
 * together: each uses the ratio on the requests that it sent itself, and its part of the fixed
 * number, so that no instance needs to know the others' counts.
 */

/** Part of the bound that is used; the rest covers the difference between the windows compared. */
const USED_PART = 0.8;
/** Spans that a window is counted in. */
const SPANS = 10;

/** Bound over all instances, for each service. */
export interface RepeatBound {
  /** Repeats for each request. */
  ratio: number;
  /** Repeats on top of the ratio. */
  slack: number;
  windowMs: number;
}

/** Budget of one instance. */
export interface RepeatBudget {
  recordRequest: (now: number, service: string) => void;
  /** Takes one repeat; false when the budget is spent. `instances` share the fixed number. */
  tryTake: (now: number, service: string, instances: number) => boolean;
}

interface Span {
  index: number;
  requests: number;
  repeats: number;
}

/** Returns an unused budget. */
export function createRepeatBudget(bound: RepeatBound): RepeatBudget {
  const spanMs = bound.windowMs / SPANS;
  const services = new Map<string, Span[]>();

  function findSpan(now: number, service: string): { span: Span; spans: Span[] } {
    const index = Math.floor(now / spanMs);
    const kept = (services.get(service) ?? []).filter((span) => span.index > index - SPANS - 1);
    let span = kept.at(-1);
    if (span?.index !== index) {
      span = { index, requests: 0, repeats: 0 };
      kept.push(span);
    }
    services.set(service, kept);
    return { span, spans: kept };
  }

  return {
    recordRequest(now, service) {
      findSpan(now, service).span.requests += 1;
    },
    tryTake(now, service, instances) {
      const { span, spans } = findSpan(now, service);
      const requests = spans.reduce((sum, each) => sum + each.requests, 0);
      const repeats = spans.reduce((sum, each) => sum + each.repeats, 0);
      const allowed = bound.ratio * requests + bound.slack / Math.max(1, instances);
      if (repeats + 1 > allowed * USED_PART) return false;
      span.repeats += 1;
      return true;
    },
  };
}
