import {Socket} from 'node:net';

/**
 * A socket whose reader can be held back without being paused itself. The HTTP client throws where a connection ends while
 * its parser is paused by a slow reader, so that its reads find nothing instead, and the end waits behind the bytes.
 */
export class ThrottledSocket extends Socket {
  #isHeldBack: () => boolean = () => false;
  #hasRefusedRead = false;

  /** Sets the condition under which reads find nothing; `resumeReads` has to be called once it no longer holds. */
  holdBackWhile(isHeldBack: () => boolean): void {
    this.#isHeldBack = isHeldBack;
  }

  /** Announces again what a read was refused. */
  resumeReads(): void {
    if (this.#hasRefusedRead && !this.#isHeldBack()) {
      this.#hasRefusedRead = false;
      this.emit('readable');
    }
  }

  // The type is that of the method that is overridden.
  // eslint-disable-next-line @typescript-eslint/no-explicit-any
  override read(size?: number): any {
    if (this.#isHeldBack()) {
      this.#hasRefusedRead = true;
      return null;
    }
    return super.read(size);
  }
}
