import {
  askOnce,
  configuration,
  newId,
  route,
  service,
  serviceEntry,
  startDeployment,
} from '../lib/deployment.mjs';
import {answerPlain} from '../lib/plainAnswers.mjs';
import {runCase} from '../lib/runCase.mjs';
import {wait} from '../lib/system.mjs';

const otherService = 'almacen-medios';
/** Time after the confirmation at which the requests start, in ms; `configApply` is 2 s. */
const settledMs = 3_000;
const paths = ['/tasas/17', '/tasas/recibos', '/tasas/recibos?y=2026', '/tasas/recibos-2026'];

/** Service to which a configuration sends a path: that of the longest prefix that begins the path. */
function serviceOf({routes}, path) {
  const matching = Object.values(routes).filter(({prefix}) => path.startsWith(prefix));
  matching.sort((one, other) => other.prefix.length - one.prefix.length);
  return matching[0]?.service;
}

await runCase(import.meta.url, async (record) => {
  const serviceById = new Map();
  const ranAt = new Map();
  const services = {[service]: serviceEntry(), [otherService]: serviceEntry()};
  const routes = {'r-tasas': route('tasas', 'unsafe')};
  const configurations = [configuration({services, routes})];
  const instanceServices = [service, service, service, otherService, otherService];
  const system = await startDeployment(record, {
    services: instanceServices,
    config: configurations[0],
    onRequest: async (request, socket, instance) => {
      await request.whenWhole;
      const id = request.headers['x-godwitspring-request-id'];
      const ranBy = serviceById.get(instance.id);
      ranAt.set(id, ranBy);
      record.note('run', {id, path: request.path, at: instance.id, service: ranBy});
      answerPlain(request, socket, `from ${ranBy}`);
    },
  });
  for (const [index, {id}] of system.instances.entries()) {
    serviceById.set(id, instanceServices[index]);
  }
  if (record.hasTrouble) {
    const added = route('tasas/recibos', 'unsafe', {service: otherService});
    const next = configuration({
      version: '00000008',
      services,
      routes: {...routes, 'r-recibos': added},
    });
    configurations.push(next);
    system.store.put('op/config', next);
    record.note('confirmed by the store', {version: '00000008', added: added.prefix});
  }
  await wait(settledMs);
  const breaks = [];
  for (let number = 0; number < 3 * paths.length; number += 1) {
    const id = newId(number);
    const path = paths[number % paths.length];
    const machine = system.machines[number % system.machines.length];
    await askOnce(record, machine, id, {method: 'POST', path, deadlineMs: 3_000});
    const allowed = configurations.map((config) => serviceOf(config, path));
    const ranBy = ranAt.get(id);
    if (ranBy !== undefined && !allowed.includes(ranBy)) {
      breaks.push(`${id} ${path} was run by ${ranBy}; allowed: ${[...new Set(allowed)].join(' ')}`);
    }
  }
  return breaks;
});
