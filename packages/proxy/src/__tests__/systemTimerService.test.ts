import {expect} from 'chai';
import {SystemTimerService} from '../timer/systemTimerService.ts';

// A timeout of the event loop may fire too early, as its clock lags behind `performance.now()`.
describe('SystemTimerService', () => {
  it('calls back at or after the given moment, never before it', async () => {
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
