import {expect} from 'chai';
import {Mailbox} from '../task/mailbox.ts';

describe('Mailbox', () => {
  // Guards against a task that receives nothing any more after one message that it could not handle.
  it('handles the messages behind one whose handler throws, and reports the error', async () => {
    const handled: number[] = [];
    const errors: unknown[] = [];
    const listeners = process.listeners('uncaughtException');
    process.removeAllListeners('uncaughtException');
    process.on('uncaughtException', (error) => errors.push(error));
    try {
      const mailbox = new Mailbox<number>((message) => {
        if (message === 2) {
          throw new Error('not handled');
        }
        handled.push(message);
      });
      for (const message of [1, 2, 3]) {
        mailbox.post(message);
      }
      await new Promise((resolve) => setTimeout(resolve, 10));
      mailbox.post(4);
      await new Promise((resolve) => setTimeout(resolve, 10));
    } finally {
      process.removeAllListeners('uncaughtException');
      for (const listener of listeners) {
        process.on('uncaughtException', listener);
      }
    }
    expect(handled).to.deep.equal([1, 3, 4]);
    expect(errors.map(String)).to.deep.equal(['Error: not handled']);
  });
});
