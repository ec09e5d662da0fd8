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
