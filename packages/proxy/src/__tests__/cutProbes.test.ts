import {createServer} from 'node:net';
import type {Server, Socket} from 'node:net';
import {expect} from 'chai';
import {BackendTask} from '../backends/backendTask.ts';
import {DefaultDialect} from '../dialect/defaultDialect.ts';
import {SystemTimerService} from '../timer/systemTimerService.ts';

const serverIp = '127.83.64.1';
const serverPort = 8080;
const resetAfterMs = 20;
const probeTimeoutMs = 500;

const ok = 'HTTP/1.1 200 OK\r\n';
const chunked = 'transfer-encoding: chunked\r\n';

const close = (socket: Socket): void => {
  socket.end();
};
const reset = (socket: Socket): void => {
  setTimeout(() => {
    socket.resetAndDestroy();
  }, resetAfterMs);
};
const resetAtOnce = (socket: Socket): void => {
  socket.resetAndDestroy();
};
const stayOpen = (): void => undefined;

/** A response to a probe, and whether its server counts as healthy. */
type ProbeCase = readonly [
  name: string,
  bytes: string,
  end: (socket: Socket) => void,
  isHealthy: boolean,
];

const cases: ProbeCase[] = [
  ['a whole body with a length', `${ok}content-length: 5\r\n\r\nhello`, stayOpen, true],
  ['whole chunks', `${ok}${chunked}\r\n5\r\nhello\r\n0\r\n\r\n`, stayOpen, true],
  ['a body without a length, closed', `${ok}\r\nhello`, close, true],
  ['a body without a length, reset', `${ok}\r\nhello`, reset, false],
  ['a body without a length, reset at once', `${ok}\r\nhello`, resetAtOnce, false],
];
for (const [name, end] of Object.entries({close, reset, resetAtOnce, stayOpen})) {
  cases.push(
    [`a part of a body with a length, ${name}`, `${ok}content-length: 9\r\n\r\nhel`, end, false],
    [`chunks without the last one, ${name}`, `${ok}${chunked}\r\n5\r\nhello\r\n`, end, false],
    [`a part of a head, ${name}`, `${ok}content-le`, end, false],
  );
}

describe('the response to a health probe', () => {
  const timers = new SystemTimerService();
  let server: Server;
  let current: ProbeCase | undefined;
  let finish: (isHealthy: boolean) => void = () => undefined;
  const backends = new BackendTask({
    dialect: new DefaultDialect({keyHeader: 'x-api-key'}),
    timers,
    postToCore: (event) => {
      if (event.type === 'probeAnswered') {
        finish(event.isHealthy);
      }
    },
    answer: () => undefined,
    count: () => undefined,
    warn: () => undefined,
  });

  before(async () => {
    server = createServer((socket) => {
      socket.on('error', () => undefined);
      socket.on('data', () => {
        const [, bytes, end] = current!;
        socket.write(bytes);
        end(socket);
      });
    });
    await new Promise<void>((resolve) => server.listen(serverPort, serverIp, resolve));
  });

  after(async () => {
    await backends.stop();
    server.close();
    timers.stop();
  });

  for (const probeCase of cases) {
    const [name, , , isHealthy] = probeCase;
    // Guards against a server that counts as healthy while it breaks its responses off.
    it(`shows a server that is ${isHealthy ? 'healthy' : 'not healthy'}: ${name}`, async () => {
      current = probeCase;
      const seen = await new Promise<boolean>((resolve) => {
        finish = resolve;
        backends.post({
          type: 'sendProbe',
          serverId: 's-1',
          origin: `http://${serverIp}:${serverPort}`,
          path: '/health',
          timeoutMs: probeTimeoutMs,
        });
      });
      expect(seen).to.equal(isHealthy);
    });
  }
});
