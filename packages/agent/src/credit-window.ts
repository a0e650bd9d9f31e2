/** Flow control of one answer: limits the bytes in flight until the receiver returns credit. */

/** Credit window of one answer, in bytes. */
export interface CreditWindow {
  /** Uses credit: resolves once this many bytes may be sent, or when the window is closed. */
  take: (bytes: number) => Promise<void>;
  add: (bytes: number) => void;
  close: () => void;
}

/** Creates a window with its initial credit. */
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
