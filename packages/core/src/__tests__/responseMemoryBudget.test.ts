import {expect} from 'chai';
import fc from 'fast-check';
import {ResponseMemoryBudget} from '../responses/responseMemoryBudget.ts';
import type {ResponseMemory} from '../responses/responseMemoryBudget.ts';

describe('ResponseMemoryBudget', () => {
  // Guards against a process that runs out of memory as many servers send bytes without end.
  it('bounds what all responses take together', () => {
    const budget = new ResponseMemoryBudget({limitBytes: 1_000, freeBytesPerResponse: 100});
    const responses = Array.from({length: 50}, () => budget.open());
    let grantedBytes = 0;
    for (let piece = 0; piece < 40; piece += 1) {
      for (const response of responses) {
        grantedBytes += response.tryTake(25) ? 25 : 0;
      }
    }
    expect(budget.usedBytes).to.equal(1_000);
    expect(grantedBytes).to.equal(1_000 + 50 * 100);
  });

  // Guards against small responses that fail while servers that send without end hold the budget.
  it('grants the first part of each response also when nothing is left', () => {
    const budget = new ResponseMemoryBudget({limitBytes: 1_000, freeBytesPerResponse: 100});
    expect(budget.open().tryTake(1_100)).to.equal(true);
    const small = budget.open();
    expect(small.tryTake(60)).to.equal(true);
    expect(small.tryTake(41)).to.equal(false);
    expect(small.tryTake(40)).to.equal(true);
    expect(small.tryTake(1)).to.equal(false);
    expect(budget.usedBytes).to.equal(1_000);
  });

  it('takes nothing where it refuses, and keeps what was taken before', () => {
    const budget = new ResponseMemoryBudget({limitBytes: 1_000, freeBytesPerResponse: 0});
    const response = budget.open();
    expect(response.tryTake(600)).to.equal(true);
    expect(response.tryTake(401)).to.equal(false);
    expect(budget.usedBytes).to.equal(600);
    expect(response.tryTake(400)).to.equal(true);
  });

  // Guards against a budget that shrinks, or grows, with each response that ends in more than one way.
  it('frees everything of a response once, and grants it nothing afterwards', () => {
    const budget = new ResponseMemoryBudget({limitBytes: 1_000, freeBytesPerResponse: 100});
    const [first, second] = [budget.open(), budget.open()];
    first.tryTake(500);
    second.tryTake(300);
    first.release();
    first.release();
    expect(budget.usedBytes).to.equal(200);
    expect(first.tryTake(1)).to.equal(false);
    second.release();
    expect(budget.usedBytes).to.equal(0);
  });

  it('holds one large response besides the free parts of the others with the defaults', () => {
    const budget = new ResponseMemoryBudget();
    expect(budget.open().tryTake(16_777_216 + 65_536)).to.equal(true);
    expect(budget.open().tryTake(65_536)).to.equal(true);
    expect(budget.open().tryTake(65_537)).to.equal(false);
  });

  it('agrees with the sum of what its responses were granted, in any order of events', () => {
    const events = fc.array(
      fc.record({
        response: fc.nat({max: 5}),
        bytes: fc.nat({max: 300}),
        ends: fc.integer({min: 0, max: 9}).map((number) => number === 0),
      }),
      {maxLength: 200},
    );
    fc.assert(
      fc.property(events, (sequence) => {
        const budget = new ResponseMemoryBudget({limitBytes: 700, freeBytesPerResponse: 90});
        const open = new Map<number, {memory: ResponseMemory; bytes: number}>();
        for (const {response, bytes, ends} of sequence) {
          const state = open.get(response) ?? {memory: budget.open(), bytes: 0};
          open.set(response, state);
          if (ends) {
            state.memory.release();
            open.delete(response);
          } else if (state.memory.tryTake(bytes)) {
            state.bytes += bytes;
          }
          let countedBytes = 0;
          for (const {bytes: taken} of open.values()) {
            countedBytes += Math.max(0, taken - 90);
          }
          expect(budget.usedBytes).to.equal(countedBytes);
          expect(budget.usedBytes).to.be.at.most(700);
        }
      }),
      {seed: 1, numRuns: 300},
    );
  });
});
