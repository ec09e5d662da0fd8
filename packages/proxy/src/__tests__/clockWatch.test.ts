import type {HostEvent} from '@godwitspring/core';
import {expect} from 'chai';
import {ClockWatch} from '../timer/clockWatch.ts';
import type {TimerService} from '../timer/timerService.ts';

describe('a clock that does not count a suspension', () => {
  function watch(wallStepsMs: readonly number[]): HostEvent[] {
    let nowMs = 0;
    let wallMs = 5_000;
    let callBack: () => void = () => undefined;
    const timers: TimerService = {
      nowMs: () => nowMs,
      at: (_momentMs, next) => {
        callBack = next;
        return {cancel: () => undefined};
      },
    };
    const told: HostEvent[] = [];
    const clockWatch = new ClockWatch({
      timers,
      wallMs: () => wallMs,
      tell: (event) => {
        told.push(event);
      },
    });
    clockWatch.start();
    for (const stepMs of wallStepsMs) {
      nowMs += 100;
      wallMs += stepMs;
      callBack();
    }
    return told;
  }

  it('is noticed by the time of day, once', () => {
    expect(watch([100, 4_100, 100])).to.deep.equal([{type: 'timeLost', lostMs: 4_000}]);
  });

  it('is not mistaken for a clock that was set back', () => {
    expect(watch([100, -3_000, 100])).to.deep.equal([]);
  });
});
