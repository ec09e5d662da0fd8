import {Agent, request as httpRequest} from 'node:http';
import {expect} from 'chai';
import {GossipFleetFixture} from './__fixtures__/gossipFleetFixture.ts';

const graceMs = 4_000;
/** Moment of the stop at which a request is sent whose deadline, 2 s later, lies beyond the grace time, in ms. */
const lateMs = 1_800;
/** Time that the server needs for the late request: longer than the host has left, in ms. */
const longServiceMs = 1_900;

async function wait(waitMs: number): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, waitMs));
}

describe('a planned stop of a host', () => {
  const fixture = new GossipFleetFixture('127.53', {graceMs});
  let runs = 0;

  before(async () => {
    fixture.onRequest = (_serverNumber, request, response) => {
      runs += 1;
      const serviceMs = request.headers['x-service-ms'];
      setTimeout(() => {
        response.end('done');
      }, Number(serviceMs));
    };
    await fixture.start();
  });

  after(async () => {
    await fixture.stop();
  });

  async function pay(serviceMs: number): Promise<Response> {
    const headers = {'x-service-ms': String(serviceMs)};
    return fetch(`${fixture.origin(1)}/payment`, {method: 'POST', headers});
  }

  // Guards against requests that are passed on late in the grace time and cut at its end.
  it('serves requests that it can finish and refuses those that it may have to cut', async () => {
    const stopped = fixture.hosts[0]?.stop();
    const early = await pay(100);
    expect(early.status).to.equal(200);
    await wait(lateMs);
    const late = await pay(longServiceMs);
    await stopped;
    expect({status: late.status, runs}).to.deep.equal({status: 503, runs: 1});
  });
});

/** Moment of the stop at which a download ends, in ms: later than the host takes connections. */
const downloadEndsMs = 2_300;
/** Time that the server needs for a booking, in ms; the host cuts what still runs 3,500 ms after the stop. */
const bookingMs = 1_500;
/** Bodies beyond this size are streamed, in bytes. */
const downloadBytes = 1_000_000;

/** Sends a request on the connection of an agent; returns the status and how the connection goes on. */
async function send(
  url: string,
  method: string,
  agent: Agent,
): Promise<{status: number | undefined; connection: string | undefined}> {
  return new Promise((resolve, reject) => {
    const outgoing = httpRequest(url, {method, agent}, (response) => {
      response.resume();
      response.on('close', () => {
        resolve({status: response.statusCode, connection: response.headers.connection});
      });
    });
    outgoing.on('error', reject);
    outgoing.end();
  });
}

describe('a planned stop of a host during downloads', () => {
  const fixture = new GossipFleetFixture('127.69', {graceMs});
  const agent = new Agent({keepAlive: true, maxSockets: 1});
  let runs = 0;

  before(async () => {
    fixture.onRequest = (_serverNumber, request, response) => {
      if (request.method === 'GET') {
        response.writeHead(200, {'content-length': downloadBytes});
        response.write('x'.repeat(downloadBytes / 2));
        setTimeout(() => response.end('x'.repeat(downloadBytes / 2)), downloadEndsMs);
        return;
      }
      runs += 1;
      setTimeout(() => response.end('done'), bookingMs);
    };
    await fixture.start();
  });

  after(async () => {
    agent.destroy();
    await fixture.stop();
  });

  // Guards against payments that are passed on on a connection that becomes idle late, and cut at the end of the stop.
  it('passes on no request that it may have to cut on a connection that becomes idle late', async () => {
    const download = send(`${fixture.origin(1)}/booking`, 'GET', agent);
    await wait(100);
    const stopped = fixture.hosts[0]?.stop();
    expect(await download).to.deep.equal({status: 200, connection: 'keep-alive'});
    const booking = await send(`${fixture.origin(1)}/booking`, 'POST', agent);
    expect({...booking, runs}).to.deep.equal({status: 503, connection: 'close', runs: 0});
    const startedAtMs = performance.now();
    await stopped;
    expect(performance.now() - startedAtMs).to.be.below(500);
  });
});
