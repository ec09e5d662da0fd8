// Writes the example documents, host lists and settings of two deployments, tasas and molinos, into examples/.
import {createHash} from 'node:crypto';
import {writeFileSync} from 'node:fs';

const sha256 = (text) => createHash('sha256').update(text).digest('hex');
const dataCentres = ['dc-1', 'dc-2', 'dc-3'];

/** Servers of one backend, on loopback addresses 127.INDEX.x.x, assigned to the data centres in turn. */
function servers(backendIndex, prefix, count) {
  return Array.from({length: count}, (_, index) => ({
    id: `${prefix}-${index + 1}`,
    origin: `http://127.${backendIndex}.${(index % 3) + 1}.${Math.floor(index / 3) + 1}:8080`,
    dataCentre: dataCentres[index % 3],
    state: 'in-service',
  }));
}

/** Customers from rows of id, rate in requests per second and burst in requests; the key of each is `example-key-ID`. */
function customers(rows) {
  return rows.map(([id, ratePerSecond, burstRequests]) => ({
    id,
    ratePerSecond,
    burstRequests,
    keyDigests: [sha256(`example-key-${id}`)],
  }));
}

/** Fields of a first document beside customers, backends and routes. */
function documentHead(reason) {
  return {
    formatVersion: 1,
    version: 1,
    author: 'example operator',
    reason,
    madeAt: '2026-01-01T00:00:00Z',
    dataCentres: dataCentres.map((id) => ({id, inService: true})),
  };
}

const tasas = {
  ...documentHead('first document of the court fee gateway'),
  customers: customers([
    ['estudio-belgrano', 200, 400],
    ['estudio-rivadavia', 150, 300],
    ['juzgado-central', 120, 240],
    ['colegio-abogados', 10, 20],
    ['defensoria-sur', 5, 10],
    ['perito-gomez', 3, 6],
    ['gestor-lopez', 2, 4],
    ['litigante-digital', 2, 4],
  ]),
  backends: [
    {
      id: 'nucleo-tasas',
      servers: servers(31, 'nucleo-tasas', 30),
      slotsPerServer: 2,
      connectionsPerServer: 400,
      floor: {totalServers: 20, serversByDataCentre: {}},
    },
    {
      id: 'legajos',
      servers: servers(32, 'legajos', 6),
      slotsPerServer: 2,
      connectionsPerServer: 400,
      floor: {totalServers: 4, serversByDataCentre: {}},
    },
  ],
  routes: [
    {
      id: 'consultas',
      pathPrefix: '/consultas',
      methods: ['GET', 'HEAD'],
      backend: 'nucleo-tasas',
      timeoutMs: 5000,
    },
    {
      id: 'pagos',
      pathPrefix: '/pagos',
      methods: ['POST'],
      backend: 'nucleo-tasas',
      idempotent: 'no',
      timeoutMs: 10000,
    },
    {
      id: 'documentos',
      pathPrefix: '/documentos',
      methods: ['POST'],
      backend: 'legajos',
      idempotent: 'no',
      timeoutMs: 120000,
      maxBodyBytes: 536870912,
    },
    {
      id: 'recibos',
      pathPrefix: '/recibos',
      methods: ['GET', 'HEAD'],
      backend: 'legajos',
      timeoutMs: 10000,
    },
    {
      id: 'estado',
      pathPrefix: '/estado',
      methods: ['GET'],
      backend: 'nucleo-tasas',
      openToAll: true,
      timeoutMs: 2000,
    },
  ],
};

const molinos = {
  ...documentHead('first document of the grinder service gateway'),
  customers: customers([
    ['cafes-antigua', 150, 300],
    ['cafes-volcan', 120, 240],
    ['repuestos-central', 90, 180],
    ['tecnicos-norte', 10, 20],
    ['tecnicos-sur', 5, 10],
    ['cafe-atitlan', 3, 6],
    ['cafe-coban', 2, 4],
    ['cafe-peten', 2, 4],
  ]),
  backends: [
    {
      id: 'taller-agenda',
      servers: servers(33, 'taller-agenda', 20),
      slotsPerServer: 2,
      connectionsPerServer: 330,
      floor: {totalServers: 14, serversByDataCentre: {}},
    },
    {
      id: 'almacen-medios',
      servers: servers(34, 'almacen-medios', 6),
      slotsPerServer: 2,
      connectionsPerServer: 330,
      floor: {totalServers: 4, serversByDataCentre: {}},
    },
  ],
  routes: [
    {
      id: 'desgaste',
      pathPrefix: '/desgaste',
      methods: ['GET', 'HEAD'],
      backend: 'taller-agenda',
      timeoutMs: 5000,
    },
    {
      id: 'turnos',
      pathPrefix: '/turnos',
      methods: ['POST'],
      backend: 'taller-agenda',
      idempotent: 'no',
      timeoutMs: 10000,
    },
    {
      id: 'repuestos',
      pathPrefix: '/repuestos',
      methods: ['POST'],
      backend: 'taller-agenda',
      idempotent: 'no',
      timeoutMs: 10000,
    },
    {
      id: 'medios',
      pathPrefix: '/medios',
      methods: ['PUT', 'GET', 'HEAD'],
      backend: 'almacen-medios',
      timeoutMs: 120000,
      maxBodyBytes: 1073741824,
    },
    {
      id: 'salud',
      pathPrefix: '/salud',
      methods: ['GET'],
      backend: 'taller-agenda',
      openToAll: true,
      timeoutMs: 2000,
    },
  ],
};

/** Hosts of a fleet, on loopback addresses 127.SUBNET.x.x, assigned to the data centres in turn. */
function hosts(subnet, count) {
  return Array.from({length: count}, (_, index) => ({
    id: `host-${index + 1}`,
    dataCentre: dataCentres[index % 3],
    peerAddress: `127.${subnet}.${(index % 3) + 1}.${Math.floor(index / 3) + 1}:7000`,
    state: 'live',
  }));
}

/** Settings file of one host, in TOML. */
function settings(subnet, host) {
  const ip = host.peerAddress.split(':')[0];
  return `# Settings of ${host.id}.
[host]
id = "${host.id}"
dataCentre = "${host.dataCentre}"

[listen]
callers = "${ip}:8080"
peers = "${host.peerAddress}"
admin = "${ip}:9900"

[platform]
origins = ["http://127.${subnet}.0.1:8500"]

[peers]
sharedSecret = "example-secret-of-the-fleet"
`;
}

for (const [name, subnet, document] of [
  ['tasas', 41, tasas],
  ['molinos', 42, molinos],
]) {
  writeFileSync(`examples/${name}.document.json`, `${JSON.stringify(document, null, 2)}\n`);
  const list = hosts(subnet, 6);
  writeFileSync(
    `examples/${name}.hosts.json`,
    `${JSON.stringify({version: 1, asOfMs: 0, hosts: list}, null, 2)}\n`,
  );
  for (const host of list) {
    writeFileSync(`examples/${name}.${host.id}.toml`, settings(subnet, host));
  }
}
