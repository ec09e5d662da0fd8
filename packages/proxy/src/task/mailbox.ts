/** Queue of one task: messages are taken one at a time, in order, never inside the sender's call. */
export class Mailbox<Message> {
  readonly #take: (message: Message) => void;
  readonly #queue: Message[] = [];
  #isScheduled = false;

  constructor(take: (message: Message) => void) {
    this.#take = take;
  }

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

  #drain(): void {
    for (const message of this.#queue) {
      this.#take(message);
    }
    this.#queue.length = 0;
    this.#isScheduled = false;
  }
}
