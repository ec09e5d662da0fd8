import type {HostEvent} from '@godwitspring/core';
import {expect} from 'chai';
import {SuspensionDetector} from '../timer/suspensionDetector.ts';
import type {TimerService} from '../timer/timerService.ts';

// The monotonic clock of a machine may stand still while the machine is suspended.
describe('SuspensionDetector', () => {
  /** Events reported when the wall clock advances by the given steps and the monotonic clock by 100 ms each. */
  function detect(wallStepsMs: readonly number[]): HostEvent[] {
    let nowMs = 0;
    let wallClockMs = 5_000;
    let callback: () => void = () => undefined;
    const timers: TimerService = {
      nowMs: () => nowMs,
      at: (_momentMs, next) => {
        callback = next;
        return {cancel: () => undefined};
      },
    };
    const events: HostEvent[] = [];
    const detector = new SuspensionDetector({
      timers,
      wallClockMs: () => wallClockMs,
      postToCore: (event) => {
        events.push(event);
      },
    });
    detector.start();
    for (const stepMs of wallStepsMs) {
      nowMs += 100;
      wallClockMs += stepMs;
      callback();
    }
    return events;
  }

  it('reports once the time by which the wall clock ran ahead', () => {
    expect(detect([100, 4_100, 100])).to.deep.equal([{type: 'clockGapDetected', lostMs: 4_000}]);
  });

  it('reports nothing when the wall clock is set back', () => {
    expect(detect([100, -3_000, 100])).to.deep.equal([]);
  });
});
