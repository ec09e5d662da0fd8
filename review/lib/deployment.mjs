import {createHash} from 'node:crypto';
import {Client} from './client.mjs';
import {Instance} from './instance.mjs';
import {System} from './system.mjs';

export const service = 'taller-agenda';
export const hostName = 'ficu95.example';
export const tenant = 'huka270';
export const apiKey = '2b9wu3fexd9dnn2ctnfz';
/** A second key of the same tenant. */
export const secondKey = 's989anu6wsjnbanfqasn';

/** A route as the operator writes it, with the defaults of these cases. */
export function route(name, routeType, more = {}) {
  return {
    host: hostName,
    prefix: `/${name}/`,
    routeType,
    timeout: '5000ms',
    targetLatency: '500ms',
    priority: 1,
    service,
    maxAttempts: 2,
    public: false,
    ...more,
  };
}

/** A service as the operator writes it. */
export function serviceEntry() {
  return {
    healthPath: '/health',
    maxConns: 330,
    protocol: 'h1',
    tls: false,
    warmup: '3s',
    warmupPerS: 4.7,
  };
}

/** A valid configuration with one service and three routes: `/safe/`, `/unsafe/` and `/upload/`. */
export function configuration(more = {}) {
  return {
    version: '00000007',
    routes: {
      'r-safe': route('safe', 'safe'),
      'r-unsafe': route('unsafe', 'unsafe'),
      'r-upload': route('upload', 'upload'),
    },
    services: {[service]: serviceEntry()},
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 67_108_864,
      headerTimeout: '3000ms',
      idleTimeout: '15000ms',
    },
    tenants: {[tenant]: {apiKeys: [apiKey, secondKey], priority: 1, ratePerS: 0, burst: 0}},
    ...more,
  };
}

/**
 * Starts a small deployment: three machines, one in each zone, and instances of the given services that answer with
 * `onRequest(request, socket, instance)`. All of it ends with the case.
 */
export async function startDeployment(
  record,
  {config, onRequest, services = Array(5).fill(service), machines = 3},
) {
  const system = new System();
  record.onEnd(() => system.stop());
  await system.prepare({machines, instances: services});
  for (const [index, name] of services.entries()) {
    const id = `i-7f3a91c${index}`;
    const address = `${system.instanceIps[index]}:${system.instancePort}`;
    const instance = new Instance({id, address, healthPath: '/health', onRequest});
    await instance.start();
    system.instances.push(instance);
    const zone = system.zones[index % system.zones.length];
    system.store.put(`servers/${id}`, instance.entry(name, zone));
  }
  system.store.put('op/config', config);
  await system.startMachines();
  record.note('the machines are ready', {machines, instances: services.length});
  return system;
}

/** Headers of a client's request. */
export function requestHeaders(id, deadlineMs, key = apiKey) {
  return {
    Host: hostName,
    'X-Godwitspring-Request-Id': id,
    'X-Godwitspring-Request-Deadline-Ms': deadlineMs,
    Authorization: `Token ${key}`,
  };
}

/** Id of a client attempt, different for each. */
export function newId(number) {
  return createHash('sha256').update(`${process.pid}/${number}`).digest('hex').slice(0, 16);
}

/** Sends one request on a client's connection, and records it with its answer. */
export async function ask(record, client, id, {method, path, deadlineMs, key}) {
  record.note('sent', {id, method, path});
  const length = method === 'POST' ? {'Content-Length': 0} : {};
  const headers = {...requestHeaders(id, deadlineMs, key), ...length};
  const answer = await client.send({method, path, headers, waitMs: deadlineMs});
  const {status, body, isWhole, ending = 'open'} = answer;
  const connection = answer.headers.connection ?? 'none';
  const fields = {id, status, bytes: body.length, whole: isWhole, ending, connection};
  record.note('answered', fields);
  return answer;
}

/** The same on a connection of its own. */
export async function askOnce(record, machine, id, request) {
  const client = new Client(machine.edge);
  const answer = await ask(record, client, id, request);
  client.close();
  return answer;
}
