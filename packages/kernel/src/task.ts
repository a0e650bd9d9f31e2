/**
 * Tasks (actors): each task owns a piece of state, which other code accesses only by sending it
 * messages. A task handles its mailbox in order, one message at a time, so its state needs no
 * locks.
 */

/** Messages that a mailbox holds before `send` rejects further ones. */
export const MAILBOX_CAPACITY = 100_000;

/** Handle of a running task. */
export interface Task<Message> {
  name: string;
  /** Queues a message; returns false when the mailbox is full or the task has stopped. */
  send: (message: Message) => boolean;
  /** Returns the number of messages in the mailbox. */
  countPending: () => number;
  /** Discards the mailbox; no further message is handled. */
  stop: () => void;
}

/**
 * Starts a task.
 *
 * @example
 * const counter = createTask<number>('counter', (amount) => { total += amount; });
 * counter.send(2);
 */
export function createTask<Message>(
  name: string,
  handle: (message: Message) => void,
  onError: (error: unknown) => void = throwError,
): Task<Message> {
  let mailbox: Message[] = [];
  let scheduled = false;
  let stopped = false;

  function handleBatch(): void {
    scheduled = false;
    const batch = mailbox;
    mailbox = [];
    for (const message of batch) {
      if (stopped) return;
      try {
        handle(message);
      } catch (error) {
        onError(error);
      }
    }
  }

  return {
    name,
    send(message) {
      if (stopped || mailbox.length >= MAILBOX_CAPACITY) return false;
      mailbox.push(message);
      if (!scheduled) {
        scheduled = true;
        queueMicrotask(handleBatch);
      }
      return true;
    },
    countPending: () => mailbox.length,
    stop() {
      stopped = true;
      mailbox = [];
    },
  };
}

function throwError(error: unknown): void {
  throw error;
}
