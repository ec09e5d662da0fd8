/**
 * Message queue of a task. Messages are handled one at a time and in order, in a microtask, so that the
 * handler never runs within the sender's call.
 */
export class Mailbox<Message> {
  readonly #handle: (message: Message) => void;
  readonly #queue: Message[] = [];
  #isScheduled = false;

  constructor(handle: (message: Message) => void) {
    this.#handle = handle;
  }

  /** Appends a message and returns before it is handled. */
  post(message: Message): void {
    this.#queue.push(message);
    if (this.#isScheduled) {
      return;
    }
    this.#isScheduled = true;
    queueMicrotask(() => {
      this.#drain();
    });
  }

  /** Handles all messages; an error ends only the handling of its message, and reaches the process as unhandled. */
  #drain(): void {
    for (const message of this.#queue) {
      try {
        this.#handle(message);
      } catch (error) {
        queueMicrotask(() => {
          throw error;
        });
      }
    }
    this.#queue.length = 0;
    this.#isScheduled = false;
  }
}
