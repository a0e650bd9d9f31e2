/**
 * Scopes that own resources. Code that opens a resource (socket, timer, subscription) registers the
 * resource's release with a scope. Disposing the scope runs all releases once, in reverse order.
 */

/** Scope whose disposal releases the resources registered with it. */
export interface Owner {
  /** Registers a release; runs it immediately when the scope is already disposed. */
  onCleanup: (release: () => void) => void;
  /** Returns a scope that is disposed with this one, if not earlier. */
  createChild: () => Owner;
  /** Runs the releases in reverse order of registration. Later calls have no effect. */
  dispose: () => void;
  isDisposed: () => boolean;
}

/** Returns an empty scope. */
export function createOwner(): Owner {
  const releases = new Set<() => void>();
  let disposed = false;

  const owner: Owner = {
    onCleanup(release) {
      if (disposed) release();
      else releases.add(release);
    },
    createChild() {
      const child = createOwner();
      const release = () => child.dispose();
      owner.onCleanup(release);
      child.onCleanup(() => releases.delete(release));
      return child;
    },
    dispose() {
      if (disposed) return;
      disposed = true;
      const pending = [...releases].reverse();
      releases.clear();
      for (const release of pending) release();
    },
    isDisposed: () => disposed,
  };
  return owner;
}
