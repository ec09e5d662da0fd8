import {expect} from 'chai';
import {RegistryWatchTask} from '../registry/registryWatchTask.ts';
import {VirtualTimers} from './__fixtures__/virtualTimers.ts';

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
