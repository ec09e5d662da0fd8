import {expect} from 'chai';
import {RegistryWatchTask} from '../registry/registryWatchTask.ts';
import {VirtualTimers} from './__fixtures__/virtualTimers.ts';

// Without a shortest interval, constant changes would make the watch return and restart without a pause.
describe('RegistryWatchTask', () => {
  it('watches about three times a second while the registry changes all the time', async () => {
    const timers = new VirtualTimers();
    let watches = 0;
    let revision = 1;
    const task = new RegistryWatchTask({
      timers,
      postToCore: () => undefined,
      count: () => undefined,
      source: {
        readAll: () => Promise.resolve({epoch: 0, revision, changes: []}),
        watch: () => {
          watches += 1;
          revision += 1;
          return Promise.resolve({epoch: 0, revision, changes: []});
        },
        stop: () => Promise.resolve(),
      },
    });
    task.setEnabled(true, {epoch: 0, revision: 0});
    await timers.runUntil(3_000);
    task.setEnabled(false, {epoch: 0, revision: 0});
    expect(watches).to.be.within(8, 10);
  });

  // Guards against changes that wait for the pause between two watches after the registry dropped its history.
  it('reads everything at once where the registry no longer stores the changes since its position', async () => {
    const timers = new VirtualTimers();
    const calls: string[] = [];
    const task = new RegistryWatchTask({
      timers,
      postToCore: () => undefined,
      count: () => undefined,
      source: {
        readAll: () => {
          calls.push('read');
          return Promise.resolve({epoch: 0, revision: 9, changes: []});
        },
        watch: () => {
          calls.push('watch');
          return Promise.resolve(undefined);
        },
        stop: () => Promise.resolve(),
      },
    });
    task.setEnabled(true, {epoch: 0, revision: 5});
    await timers.runUntil(100);
    task.setEnabled(false, {epoch: 0, revision: 0});
    expect(calls).to.deep.equal(['watch', 'read']);
  });
});
