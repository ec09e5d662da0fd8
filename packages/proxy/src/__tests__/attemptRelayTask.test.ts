import {createServer} from 'node:http';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import type {BodyFraming, HostEvent} from '@godwitspring/core';
import {expect} from 'chai';
import {BackendTask} from '../backends/backendTask.ts';
import type {RunAttempt} from '../backends/backendMessages.ts';
import type {PendingResponse} from '../callers/exchange.ts';
import {DefaultDialect} from '../dialect/defaultDialect.ts';
import {HostIntake} from '../intake/hostIntake.ts';
import {AttemptRelayTask} from '../attempt-relay/attemptRelayTask.ts';
import {SystemTimerService} from '../timer/systemTimerService.ts';

const relayIp = '127.54.1.1';
const relayPort = 7001;
const serverIp = '127.54.2.1';
const serverPort = 8080;
const connectTimeoutMs = 120;

/** Result of one attempt: the response, or the event by which it failed. */
type AttemptResult =
  | {readonly status: number; readonly text: string}
  | {readonly failure: string; readonly mayHaveRun: boolean};

describe('AttemptRelayTask', () => {
  const timers = new SystemTimerService();
  const relayEvents: HostEvent[] = [];
  const relay = new AttemptRelayTask({
    intake: new HostIntake({timers, count: () => undefined, warn: () => undefined}),
    listenHost: relayIp,
    listenPort: relayPort,
    connectTimeoutMs,
    idleMs: 4_000,
    dialect: new DefaultDialect({keyHeader: 'x-api-key'}),
    timers,
    postToCore: (event) => {
      relayEvents.push(event);
    },
    count: () => undefined,
  });
  let onRequest: (incoming: IncomingMessage, outgoing: ServerResponse) => void;
  let server: Server;
  let lastFraming: BodyFraming | undefined;
  let finish: (result: AttemptResult) => void = () => undefined;
  const backends = new BackendTask({
    dialect: new DefaultDialect({keyHeader: 'x-api-key'}),
    timers,
    postToCore: (event: HostEvent) => {
      if (event.type === 'attemptFailed') {
        finish({failure: event.failure, mayHaveRun: event.mayHaveRun});
      }
    },
    answer: (_requestId: number, {status, body, framing}: PendingResponse) => {
      lastFraming = framing;
      let text = '';
      body.on('data', (chunk: Buffer) => {
        text += chunk.toString();
      });
      body.on('error', () => {
        finish({failure: 'body', mayHaveRun: true});
      });
      body.on('end', () => {
        finish({status, text});
      });
    },
    count: () => undefined,
    warn: () => undefined,
    connectTimeoutMs,
    bufferedResponseBytes: 65_536,
    relayOriginOf: (hostId) => `http://${hostId}:${relayPort}`,
  });

  before(async () => {
    server = createServer((incoming, outgoing) => {
      onRequest(incoming, outgoing);
    });
    await new Promise<void>((resolve) => server.listen(serverPort, serverIp, resolve));
    await relay.start();
    relay.setTargets({
      type: 'relayTargets',
      targets: [
        {serverId: 's-1', origin: `http://${serverIp}:${serverPort}`},
        {serverId: 's-down', origin: `http://${serverIp}:${serverPort + 1}`},
      ],
    });
  });

  after(async () => {
    await backends.stop();
    await relay.stop();
    server.close();
    server.closeAllConnections();
    timers.stop();
  });

  async function run(change: Partial<RunAttempt> = {}): Promise<AttemptResult> {
    return new Promise((resolve) => {
      finish = resolve;
      backends.post({
        type: 'run',
        requestId: 1,
        attempt: 1,
        attemptName: 'a.1',
        serverId: 's-1',
        origin: 'http://127.54.9.9:1',
        method: 'POST',
        pathAndQuery: '/x?y=%2F',
        headers: {'x-request-id': 'a.1'},
        body: undefined,
        timeoutMs: 1_000,
        notRunHeader: 'x-not-run',
        mustEchoName: false,
        needsNewConnection: false,
        relayHostId: relayIp,
        ...change,
      });
    });
  }

  it('forwards method, path, headers and body, and passes the response back', async () => {
    onRequest = (incoming, outgoing) => {
      let body = '';
      incoming.on('data', (chunk: Buffer) => {
        body += chunk.toString();
      });
      incoming.on('end', () => {
        const {method, url, headers} = incoming;
        const seen = {method, url, id: headers['x-request-id'], relay: headers['x-relay-server']};
        outgoing.statusCode = 201;
        outgoing.end(JSON.stringify({...seen, body}));
      });
    };
    const result = await run({body: Buffer.from('abc')});
    expect(result).to.include({status: 201});
    const seen = JSON.parse('text' in result ? result.text : '') as unknown;
    expect(seen).to.deep.equal({method: 'POST', url: '/x?y=%2F', id: 'a.1', body: 'abc'});
  });

  it('reports that nothing was sent to a server that it does not know or does not reach', async () => {
    for (const serverId of ['s-unknown', 's-down']) {
      const result = await run({serverId, body: Buffer.from('abc')});
      expect(result, serverId).to.deep.equal({failure: 'relay', mayHaveRun: false});
    }
  });

  it('ends an attempt early whose server sends interim responses without end', async () => {
    let timer: NodeJS.Timeout | undefined;
    onRequest = (_incoming, outgoing) => {
      timer = setInterval(() => {
        outgoing.socket?.write('HTTP/1.1 103 Early Hints\r\nlink: </x>\r\n\r\n');
      }, 5);
    };
    const result = await run();
    clearInterval(timer);
    expect(result).to.deep.equal({failure: 'lost', mayHaveRun: true});
  });

  it('counts as not sent where the relaying host does not answer', async () => {
    const result = await run({relayHostId: '127.54.1.9'});
    expect(result).to.deep.equal({failure: 'relay', mayHaveRun: false});
  });

  it('breaks off where the server closes before or within its response', async () => {
    for (const start of ['', 'HTTP/1.1 200 OK\r\ncontent-le', 'HTTP/1.1 200 OK\r\n\r\nab']) {
      onRequest = ({socket}) => {
        if (start.endsWith('ab')) {
          socket.write(start);
          setTimeout(() => {
            socket.resetAndDestroy();
          }, 20);
          return;
        }
        socket.end(start);
      };
      const result = await run();
      expect(result, JSON.stringify(start)).to.include({mayHaveRun: true});
    }
  });

  it('passes a refusal of the server on, with the header that says so', async () => {
    onRequest = (_incoming, outgoing) => {
      outgoing.writeHead(503, {'x-not-run': '1'}).end();
    };
    expect(await run()).to.deep.equal({status: 503, text: ''});
  });

  // Guards against "not run" for an attempt that ran while its server sent an earlier refusal again.
  it('takes no second copy of a refusal for the response to a later attempt', async () => {
    const refusal = 'HTTP/1.1 503 Busy\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n';
    const refusedSockets = new Set<Socket>();
    onRequest = ({socket}, outgoing) => {
      if (refusedSockets.has(socket) || refusedSockets.size === 0) {
        refusedSockets.add(socket);
        socket.write(refusal);
        return;
      }
      outgoing.end('done');
    };
    expect(await run()).to.deep.equal({status: 503, text: ''});
    expect(await run()).to.deep.equal({status: 200, text: 'done'});
  });

  it('reports to its own core what servers state in the responses that it relays', async () => {
    onRequest = (_incoming, outgoing) => {
      outgoing.writeHead(200, {'server-leaving': '1'}).end();
    };
    await run();
    const [event] = relayEvents.slice(-1);
    expect(event).to.deep.include({type: 'serverNoticed', serverId: 's-1'});
    expect(event).to.have.nested.property('notice.isLeaving', true);
  });

  // Guards against a relay whose chunks declare a response complete whose server broke down.
  it('passes a short response without a length on as one', async () => {
    onRequest = ({socket}) => {
      socket.end('HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nall');
    };
    expect(await run()).to.deep.equal({status: 200, text: 'all'});
    expect(lastFraming).to.equal('close');
  });

  // Guards against a last chunk of the relaying host that stands for an end that the server did not declare.
  it('tells that the end of a response is not declared, whatever its size', async () => {
    for (const bytes of [0, 65_536, 65_537, 300_000]) {
      onRequest = (_incoming, {socket}) => {
        socket?.end(`HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n${'x'.repeat(bytes)}`);
      };
      expect(await run()).to.deep.equal({status: 200, text: 'x'.repeat(bytes)});
      expect(lastFraming, `${bytes} bytes`).to.equal('close');
    }
  });

  it('breaks off a response without a length that its server resets with its last bytes', async () => {
    for (const bytes of [900, 65_537, 300_000]) {
      onRequest = (_incoming, {socket}) => {
        socket?.write(`HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n${'x'.repeat(bytes)}`);
        socket?.resetAndDestroy();
      };
      expect(await run(), `${bytes} bytes`).to.deep.equal({failure: 'lost', mayHaveRun: true});
    }
  });

  it('ignores the header of a relaying host in the response of a server', async () => {
    onRequest = (_incoming, outgoing) => {
      outgoing.writeHead(200, {'x-relay-undeclared-end': '1'}).end('all');
    };
    expect(await run()).to.deep.equal({status: 200, text: 'all'});
    expect(lastFraming).to.equal('chunks');
  });

  // Guards against attempts that a host relays late in its shutdown and cuts at its end; the last test, as it is final.
  it('refuses attempts as not sent once it was told to', async () => {
    let runs = 0;
    onRequest = (_incoming, outgoing) => {
      runs += 1;
      outgoing.end('done');
    };
    expect(await run()).to.deep.equal({status: 200, text: 'done'});
    relay.refuseAttempts();
    expect(await run()).to.deep.equal({failure: 'relay', mayHaveRun: false});
    expect(runs).to.equal(1);
  });
});
