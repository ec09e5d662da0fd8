import type {FleetDocument} from '@godwitspring/document';
import {documentSchema} from '@godwitspring/document';
import {sha256} from './simulatedFleet.ts';

/** What a test may vary in its document. */
export interface TestDocumentOptions {
  readonly version: number;
  readonly customers: readonly {
    id: string;
    ratePerSecond: number;
    burstRequests: number;
  }[];
  readonly serverCount: number;
  /** Least number of servers that must stay in service. */
  readonly floorServers: number;
}

/** Defaults: four customers of different size and 30 servers with a floor of 20. */
export const DEFAULT_TEST_DOCUMENT_OPTIONS: TestDocumentOptions = {
  version: 1,
  customers: [
    {id: 'large', ratePerSecond: 200, burstRequests: 400},
    {id: 'medium', ratePerSecond: 20, burstRequests: 40},
    {id: 'small', ratePerSecond: 2, burstRequests: 4},
    {id: 'tight', ratePerSecond: 50, burstRequests: 5},
  ],
  serverCount: 30,
  floorServers: 20,
};

/** A document with one backend whose servers are spread over three data centres, for tests and measurements. */
export function testDocument(options: Partial<TestDocumentOptions> = {}): FleetDocument {
  const {version, customers, serverCount, floorServers} = {
    ...DEFAULT_TEST_DOCUMENT_OPTIONS,
    ...options,
  };
  const dataCentres = ['dc-1', 'dc-2', 'dc-3'];
  return documentSchema.parse({
    formatVersion: 1,
    version,
    author: 'test',
    reason: `version ${version}`,
    madeAt: '2026-01-01T00:00:00Z',
    dataCentres: dataCentres.map((id) => ({id})),
    customers: customers.map((customer) => ({
      ...customer,
      keyDigests: [sha256(`example-key-${customer.id}`)],
    })),
    backends: [
      {
        id: 'nucleo',
        servers: Array.from({length: serverCount}, (_, index) => ({
          id: `nucleo-${index + 1}`,
          origin: `http://127.0.0.1:${9_000 + index}`,
          dataCentre: dataCentres[index % dataCentres.length],
        })),
        floor: {totalServers: floorServers},
      },
    ],
    routes: [
      {
        id: 'consultas',
        pathPrefix: '/consultas',
        methods: ['GET'],
        backend: 'nucleo',
        timeoutMs: 5_000,
      },
      {
        id: 'pagos',
        pathPrefix: '/pagos',
        methods: ['POST'],
        backend: 'nucleo',
        timeoutMs: 5_000,
      },
      {
        id: 'estado',
        pathPrefix: '/estado',
        backend: 'nucleo',
        openToAll: true,
        timeoutMs: 2_000,
      },
    ],
  });
}
