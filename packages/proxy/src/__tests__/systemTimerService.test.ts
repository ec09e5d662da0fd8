import {expect} from 'chai';
import {SystemTimerService} from '../timer/systemTimerService.ts';

describe('the timer service', () => {
  it('calls back at the given moment or later, never before', async () => {
    const timers = new SystemTimerService();
    const earlyByMs: number[] = [];
    const calls: Promise<void>[] = [];
    for (let round = 0; round < 400; round += 1) {
      const momentMs = timers.nowMs() + 5 + round * 0.137;
      calls.push(
        new Promise<void>((resolve) => {
          timers.at(momentMs, () => {
            earlyByMs.push(momentMs - timers.nowMs());
            resolve();
          });
        }),
      );
    }
    await Promise.all(calls);
    timers.stop();
    expect(Math.max(...earlyByMs)).to.be.at.most(0);
  });
});
