import {
  apiKey,
  askOnce,
  configuration,
  newId,
  secondKey,
  startDeployment,
  tenant,
} from '../lib/deployment.mjs';
import {answerPlain} from '../lib/plainAnswers.mjs';
import {runCase} from '../lib/runCase.mjs';
import {wait} from '../lib/system.mjs';

/** Bound of the rule: the time after which a key that was taken away may not be used any more, in ms. */
const revokeMs = 5_000;

await runCase(import.meta.url, async (record) => {
  const ranIds = new Set();
  const system = await startDeployment(record, {
    config: configuration(),
    onRequest: async (request, socket, instance) => {
      await request.whenWhole;
      const id = request.headers['x-godwitspring-request-id'];
      ranIds.add(id);
      const {'x-godwitspring-tenant': name} = request.headers;
      record.note('run', {id, at: instance.id, tenant: name});
      answerPlain(request, socket, 'paid');
    },
  });
  const tenants = {[tenant]: {apiKeys: [apiKey], priority: 1, ratePerS: 0, burst: 0}};
  if (record.hasTrouble) {
    tenants.estudio_perez = {apiKeys: ['x4kq07vmzjw1nd6rbt3c'], priority: 1, ratePerS: 0, burst: 0};
  }
  system.store.put('op/config', configuration({version: '00000008', tenants}));
  const confirmedMs = Date.now();
  record.note('confirmed by the store', {version: '00000008', takenAway: secondKey});
  const breaks = [];
  for (let number = 0; number < 30; number += 1) {
    const id = newId(number);
    const machine = system.machines[number % system.machines.length];
    const sentMs = Date.now() - confirmedMs;
    const request = {method: 'POST', path: '/unsafe/pay', deadlineMs: 3_000, key: secondKey};
    await askOnce(record, machine, id, request);
    if (ranIds.has(id) && sentMs > revokeMs) {
      breaks.push(`${id}, sent ${sentMs} ms after the confirmation, ran with the key taken away`);
    }
    await wait(400);
  }
  return breaks;
});
