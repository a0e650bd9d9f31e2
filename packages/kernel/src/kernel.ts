/**
 * Service container of one process: services are registered and looked up by name, started in order
 * of registration and stopped in reverse order. `Services` maps each name to its service's type.
 */
import 'reflect-metadata';
import { container, type DependencyContainer } from 'tsyringe';

/** Longest wait for unfinished work when stopping. */
const STOP_TIMEOUT_MS = 600_000;
const STOP_CHECK_INTERVAL_MS = 20;

/** Methods of a service that the kernel calls; each is optional. */
export interface Lifecycle {
  start?: () => Promise<void> | void;
  /** Finishes accepted work, then returns. */
  stop?: () => Promise<void> | void;
  /** Returns plain data for the state dump; never secrets. */
  dump?: () => unknown;
}

/** Registry and lifecycle of the services of one process. */
export interface Kernel<Services extends object> {
  /** Registers a service, which is built on first use. */
  provide: <Name extends keyof Services & string>(
    name: Name,
    factory: (kernel: Kernel<Services>) => Services[Name],
  ) => void;
  /** Returns the service of a name; throws when none was provided under it. */
  find: <Name extends keyof Services & string>(name: Name) => Services[Name];
  /** Starts every service, in the order in which they were provided. */
  start: () => Promise<void>;
  /** Stops every service, in reverse order. */
  stop: () => Promise<void>;
  /** Returns the state of each service that has a dump, by name. */
  dump: () => Record<string, unknown>;
}

/** Returns a kernel with no services. */
export function createKernel<Services extends object>(): Kernel<Services> {
  const registry: DependencyContainer = container.createChildContainer();
  const names: (keyof Services & string)[] = [];

  const kernel: Kernel<Services> = {
    provide(name, factory) {
      let service: { value: unknown } | undefined;
      names.push(name);
      registry.register(name, {
        useFactory: () => {
          service ??= { value: factory(kernel) };
          return service.value;
        },
      });
    },
    find: (name) => registry.resolve(name),
    async start() {
      for (const name of names) await findLifecycle(kernel, name).start?.();
    },
    async stop() {
      for (const name of [...names].reverse()) await findLifecycle(kernel, name).stop?.();
    },
    dump() {
      const entries = names.map((name) => [name, findLifecycle(kernel, name).dump?.()] as const);
      return Object.fromEntries(entries.filter(([, state]) => state !== undefined));
    },
  };
  return kernel;
}

/** Waits until `countOpen` returns 0, at most for the stop timeout. */
export async function waitUntilIdle(countOpen: () => number): Promise<void> {
  const deadline = performance.now() + STOP_TIMEOUT_MS;
  do {
    await new Promise((resolve) => {
      setTimeout(resolve, STOP_CHECK_INTERVAL_MS);
    });
  } while (countOpen() > 0 && performance.now() < deadline);
}

function findLifecycle<Services extends object>(
  kernel: Kernel<Services>,
  name: keyof Services & string,
): Lifecycle {
  return kernel.find(name) as Lifecycle;
}
