/** Flow control of one answer: how many bytes may be sent before the receiver returns credit. */

/** Credit of one stream. */
export interface CreditWindow {
  /** Resolves once this many bytes may be sent, or when the window is closed. */
  take: (bytes: number) => Promise<void>;
  add: (bytes: number) => void;
  close: () => void;
}

/** Returns a window with its first credit. */
export function createCreditWindow(initialBytes: number): CreditWindow {
  let credit = initialBytes;
  let closed = false;
  let resolveWaiter: (() => void) | undefined;

  function waitForCredit(): Promise<void> {
    return new Promise((resolve) => {
      resolveWaiter = resolve;
    });
  }

  function resumeWaiter(): void {
    resolveWaiter?.();
    resolveWaiter = undefined;
  }

  return {
    async take(bytes) {
      while (credit < bytes && !closed) await waitForCredit();
      credit -= bytes;
    },
    add(bytes) {
      credit += bytes;
      resumeWaiter();
    },
    close() {
      closed = true;
      resumeWaiter();
    },
  };
}
