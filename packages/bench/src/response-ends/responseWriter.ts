import {createHash} from 'node:crypto';
import type {Socket} from 'node:net';
import {setTimeout as wait} from 'node:timers/promises';
import type {PlannedResponse} from './planResponse.ts';
import type {ResponseStep} from './responsePlan.ts';
import type {AttemptRecord} from './trial.ts';

/** Time between two writes of bytes without end, in ms. */
const repeatGapMs = 2;

/** Sends a planned response on the socket of a server and records how far it came. */
export class ResponseWriter {
  readonly record: AttemptRecord;
  readonly #socket: Socket;
  readonly #planned: PlannedResponse;
  readonly #hash = createHash('sha256');

  constructor(socket: Socket, attempt: number, planned: PlannedResponse) {
    this.#socket = socket;
    this.#planned = planned;
    this.record = {
      attempt,
      wholeDigest: planned.wholeDigest,
      isSound: planned.ending === 'whole',
      writtenBytes: 0,
      writtenDigest: undefined,
      ending: 'open',
      isDeclaredByServer: false,
    };
  }

  /** Resolves once the response has ended; true where the connection is left to the next request. */
  async send(): Promise<boolean> {
    for (const step of this.#planned.steps) {
      if (this.#socket.destroyed) {
        return false;
      }
      // Steps that need no time follow each other in one turn: a reset has to follow its last bytes at once.
      const pending = this.#perform(step);
      if (pending !== undefined) {
        await pending;
      }
    }
    return this.#planned.steps.at(-1)?.type === 'keep';
  }

  #perform(step: ResponseStep): Promise<void> | undefined {
    switch (step.type) {
      case 'write':
        this.#write(step.bytes, step.payload);
        return undefined;
      case 'wait':
        return step.waitMs > 0 ? wait(step.waitMs) : undefined;
      case 'flush':
        return this.#flush();
      case 'repeat':
        return this.#repeat(step);
      case 'close':
        this.#finish();
        this.#socket.end();
        return undefined;
      case 'reset':
        this.#finish();
        this.#socket.resetAndDestroy();
        return undefined;
      case 'declare':
        this.record.isDeclaredByServer = true;
        return undefined;
      case 'keep':
        this.#finish();
        return undefined;
      case 'silence':
        return undefined;
    }
  }

  #finish(): void {
    const {record} = this;
    record.ending = this.#planned.ending;
    record.writtenDigest = record.ending === 'closed' ? this.#hash.digest('hex') : undefined;
  }

  #write(bytes: Buffer, payload: Buffer): void {
    this.#socket.write(bytes);
    this.#hash.update(payload);
    this.record.writtenBytes += payload.length;
  }

  async #flush(): Promise<void> {
    if (this.#socket.writableLength === 0) {
      return;
    }
    await new Promise<void>((resolve) => {
      this.#socket.once('close', resolve);
      this.#socket.write('', () => {
        this.#socket.off('close', resolve);
        resolve();
      });
    });
  }

  async #repeat({part, limitBytes}: Extract<ResponseStep, {type: 'repeat'}>): Promise<void> {
    for (let bytes = 0; bytes < limitBytes && !this.#socket.destroyed; bytes += part.length) {
      const next = part.subarray(0, limitBytes - bytes);
      this.#write(next, next);
      await this.#flush();
      await wait(repeatGapMs);
    }
  }
}
