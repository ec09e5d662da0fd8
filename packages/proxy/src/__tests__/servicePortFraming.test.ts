import {get} from 'node:http';
import type {IncomingHttpHeaders} from 'node:http';
import {expect} from 'chai';
import {GossipFleetFixture} from './__fixtures__/gossipFleetFixture.ts';

const adminPort = 9900;
const readinessPort = 8081;
/** Paths of both ports, with the status of a host that is ready. */
const targets: readonly (readonly [port: number, path: string, status: number])[] = [
  [adminPort, '/-/live', 200],
  [adminPort, '/-/ready', 200],
  [adminPort, '/-/metrics', 200],
  [adminPort, '/metrics', 200],
  [adminPort, '/-/status', 200],
  [adminPort, '/-/document', 200],
  [adminPort, '/-/unknown', 404],
  [readinessPort, '/ready', 200],
  [readinessPort, '/unknown', 404],
];

describe('a response of a host to its operators', () => {
  const fixture = new GossipFleetFixture('127.83');

  before(async () => {
    await fixture.start();
  });

  after(async () => {
    await fixture.stop();
  });

  async function read(url: string): Promise<{status: number; headers: IncomingHttpHeaders}> {
    return new Promise((resolve, reject) => {
      get(url, (response) => {
        response.resume();
        response.on('close', () => {
          resolve({status: response.statusCode ?? 0, headers: response.headers});
        });
      }).on('error', reject);
    });
  }

  for (const [port, path, status] of targets) {
    // Guards against a status or metrics that are cut by the end of the process and look whole.
    it(`has a length or chunks: ${path} at port ${port}`, async () => {
      const seen = await read(`http://${fixture.hostIp(1)}:${port}${path}`);
      expect(seen.status).to.equal(status);
      const {'content-length': length, 'transfer-encoding': coding} = seen.headers;
      expect(length !== undefined || coding === 'chunked').to.equal(true);
    });
  }
});
