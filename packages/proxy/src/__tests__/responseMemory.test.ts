import {ResponseMemoryBudget} from '@godwitspring/core';
import {expect} from 'chai';
import {Readable} from 'node:stream';
import {setTimeout as wait} from 'node:timers/promises';
import {bufferResponse} from '../backends/bufferResponse.ts';
import type {BufferResponseOptions} from '../backends/bufferResponse.ts';
import {readUndeclaredBody} from '../backends/readUndeclaredBody.ts';
import {RepeatedResponseDetector} from '../backends/repeatedResponseDetector.ts';
import {SystemTimerService} from '../timer/systemTimerService.ts';
import {ResponseMemoryError} from '../errors/hostErrors.ts';

const chunkBytes = 1_000;
const chunks = 10;
const budgetBytes = 15_000;

function bodyOfChunks(): Readable {
  return Readable.from(Array.from({length: chunks}, () => Buffer.alloc(chunkBytes)));
}

describe('the memory of responses that are read before they are passed on', () => {
  const timers = new SystemTimerService();
  let budget: ResponseMemoryBudget;

  after(() => {
    timers.stop();
  });

  beforeEach(() => {
    budget = new ResponseMemoryBudget({limitBytes: budgetBytes, freeBytesPerResponse: 0});
  });

  function optionsWith(framing: BufferResponseOptions['framing']): BufferResponseOptions {
    return {
      framing,
      maxBytes: 100_000,
      wasReset: () => false,
      onRead: () => undefined,
      memory: budget.open(),
      repeats: new RepeatedResponseDetector({requestNameHeader: 'x-request-id', attemptNames: []}),
    };
  }

  // Guards against many bodies without end that are each within their limit, and together exceed the memory.
  it('refuses a response without a declared end that it does not hold, and is free again at the end of the others', async () => {
    const first = await readUndeclaredBody(bodyOfChunks(), {...optionsWith('close'), timers});
    let failure: unknown;
    await readUndeclaredBody(bodyOfChunks(), {...optionsWith('close'), timers}).catch(
      (error: unknown) => {
        failure = error;
      },
    );
    expect(failure).to.be.instanceOf(ResponseMemoryError);
    expect(budget.usedBytes).to.equal(chunks * chunkBytes);
    first.body.destroy();
    await wait(1);
    expect(budget.usedBytes).to.equal(0);
  });

  it('passes on a response with a declared end without reading it completely', async () => {
    const first = await bufferResponse(bodyOfChunks(), optionsWith('length'));
    const second = await bufferResponse(bodyOfChunks(), optionsWith('length'));
    expect({first: first.wholeBytes, second: second.wholeBytes}).to.deep.equal({
      first: chunks * chunkBytes,
      second: undefined,
    });
    for (const {body} of [first, second]) {
      let bytes = 0;
      for await (const chunk of body) {
        bytes += (chunk as Buffer).length;
      }
      expect(bytes).to.equal(chunks * chunkBytes);
    }
    await wait(1);
    expect(budget.usedBytes).to.equal(0);
  });
});
