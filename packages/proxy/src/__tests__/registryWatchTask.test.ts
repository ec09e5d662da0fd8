import {expect} from 'chai';
import {RegistryWatchTask} from '../registry/registryWatchTask.ts';
import type {TimerService} from '../timer/timerService.ts';

/** Virtual time: moments pass in order, each after what the former set off has settled. */
class VirtualTimers implements TimerService {
  #nowMs = 0;
  readonly #calls: {momentMs: number; callBack: () => void}[] = [];

  nowMs(): number {
    return this.#nowMs;
  }

  at(momentMs: number, callBack: () => void): {cancel: () => void} {
    this.#calls.push({momentMs, callBack});
    return {cancel: () => undefined};
  }

  async runUntil(endMs: number): Promise<void> {
    while (this.#nowMs < endMs) {
      this.#nowMs += 1;
      for (const call of this.#calls.filter(({momentMs}) => momentMs <= this.#nowMs)) {
        this.#calls.splice(this.#calls.indexOf(call), 1);
        call.callBack();
      }
      await new Promise<void>((resolve) => {
        setImmediate(resolve);
      });
    }
  }
}

describe('a watch of the registry', () => {
  it('asks three times a second or so while there is news all the time', async () => {
    const timers = new VirtualTimers();
    let asked = 0;
    let revision = 1;
    const task = new RegistryWatchTask({
      timers,
      tell: () => undefined,
      count: () => undefined,
      source: {
        readAll: () => Promise.resolve({revision, changes: []}),
        watch: () => {
          asked += 1;
          revision += 1;
          return Promise.resolve({revision, changes: []});
        },
        stop: () => Promise.resolve(),
      },
    });
    task.setWanted(true, 0);
    await timers.runUntil(3_000);
    task.setWanted(false, 0);
    expect(asked).to.be.within(8, 10);
  });
});
