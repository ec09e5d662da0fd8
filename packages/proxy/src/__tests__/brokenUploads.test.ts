import type {IncomingMessage, ServerResponse} from 'node:http';
import {connect} from 'node:net';
import type {Socket} from 'node:net';
import {expect} from 'chai';
import {dialTcp} from '../backends/serverConnectionPool.ts';
import {GossipFleetFixture} from './__fixtures__/gossipFleetFixture.ts';

const subnet = '127.83';
const callerPort = 8080;
/** Port on which nothing listens. */
const closedPort = 1;
/** Host that gets the uploads; it may be cut off from the servers. */
const entryHost = 1;
/** Sizes of bodies, in bytes: up to 524,288 a host buffers a body with a length, beyond it passes it on as it comes. */
const bodySizes = [1_000, 100_000, 600_000, 2_000_000];
const chunkBytes = 20_000;
const resetAfterMs = 20;
/** Time for which a caller waits for a response before it disconnects, in ms. */
const waitMs = 400;
/** Time within which a host gives up an upload whose caller sends nothing, in ms: its idle timeout is 5,000 ms. */
const giveUpMs = 8_000;
/** Uploads that run beside each other. */
const parallelUploads = 4;

type Framing = 'a length' | 'chunks';

/** Bytes of an upload, with its head. */
function uploadBytes(path: string, framing: Framing, bodyBytes: number): string {
  const head = `POST ${path} HTTP/1.1\r\nhost: a\r\n`;
  const body = 'x'.repeat(bodyBytes);
  if (framing === 'a length') {
    return `${head}content-length: ${bodyBytes}\r\n\r\n${body}`;
  }
  let chunks = '';
  for (let start = 0; start < bodyBytes; start += chunkBytes) {
    const chunk = body.slice(start, start + chunkBytes);
    chunks += `${chunk.length.toString(16)}\r\n${chunk}\r\n`;
  }
  return `${head}transfer-encoding: chunked\r\n\r\n${chunks}0\r\n\r\n`;
}

/** Ways in which a caller ends its connection within an upload. */
const endings: Record<string, (socket: Socket) => void> = {
  'closed in order': (socket) => {
    socket.end();
  },
  'reset in the same turn': (socket) => {
    socket.resetAndDestroy();
  },
  'reset a little later': (socket) => {
    setTimeout(() => {
      socket.resetAndDestroy();
    }, resetAfterMs);
  },
  'left open': () => undefined,
};

/** Numbers of bytes that are missing at the end of an upload: few, a half, or all of the body. */
function missingBytes(framing: Framing, bodyBytes: number): number[] {
  const ofBody = [Math.floor(bodyBytes / 2), bodyBytes];
  // Within the last chunk, which has five bytes, and the end of the one before.
  return framing === 'a length' ? [1, ...ofBody] : [1, 2, 3, 4, 5, 6, 7, 8, ...ofBody];
}

describe('uploads that their callers do not complete', () => {
  let isCutOff = false;
  const sockets = new Set<Socket>();
  /** Sizes of the bodies that looked complete to a server, by path. */
  const wholeBodies = new Map<string, number>();
  /** Paths of the requests that reached a server. */
  const started = new Set<string>();
  const fixture = new GossipFleetFixture(subnet, {
    hosts: 2,
    servers: 6,
    dial: (hostNumber, ip, port) => {
      const isToServer = hostNumber === entryHost && ip.startsWith(`${subnet}.2.`);
      const socket = dialTcp(ip, isToServer && isCutOff ? closedPort : port);
      if (isToServer) {
        sockets.add(socket);
      }
      return socket;
    },
  });
  let nextUpload = 1;

  before(async () => {
    fixture.onRequest = (_serverNumber, request: IncomingMessage, response: ServerResponse) => {
      const {url = ''} = request;
      started.add(url);
      let bytes = 0;
      request.on('data', (chunk: Buffer) => {
        bytes += chunk.length;
      });
      request.on('error', () => undefined);
      request.on('end', () => {
        wholeBodies.set(url, bytes);
        response.end('stored');
      });
    };
    await fixture.start();
  });

  after(async () => {
    await fixture.stop();
  });

  /** Sends all but the last bytes of an upload, ends its connection, and returns the first line of the response. */
  async function upload(
    bytes: string,
    missing: number,
    end: (socket: Socket) => void,
    timeoutMs: number = waitMs,
  ): Promise<string> {
    return new Promise((resolve) => {
      const socket = connect({host: fixture.hostIp(entryHost), port: callerPort, noDelay: true});
      let received = '';
      const finish = (): void => {
        socket.destroy();
        resolve(received.split('\r\n')[0] ?? '');
      };
      socket.on('error', () => undefined);
      socket.on('data', (chunk: Buffer) => {
        received += chunk.toString();
        finish();
      });
      socket.on('close', finish);
      socket.on('connect', () => {
        socket.write(missing === 0 ? bytes : bytes.slice(0, -missing));
        end(socket);
      });
      setTimeout(finish, missing === 0 ? 2_000 : timeoutMs);
    });
  }

  function uniquePath(): string {
    const path = `/payment/${nextUpload}`;
    nextUpload += 1;
    return path;
  }

  /** Cuts the host off from the servers, and waits until the other host relays its uploads. */
  async function cutOff(): Promise<void> {
    isCutOff = true;
    for (const socket of sockets) {
      socket.destroy(Object.assign(new Error('reset'), {syscall: 'read'}));
    }
    let served = 0;
    while (served < 5) {
      const line = await upload(uploadBytes(uniquePath(), 'a length', 1_000), 0, () => undefined);
      served = line.includes('200') ? served + 1 : 0;
    }
  }

  for (const way of ['directly', 'through another host']) {
    describe(`sent to a server ${way}`, () => {
      before(async () => {
        if (way !== 'directly') {
          await cutOff();
        }
      });

      for (const framing of ['a length', 'chunks'] as const) {
        // Guards against a check of broken uploads that no upload passes.
        it(`reach it whole where they are complete, with ${framing}`, async () => {
          for (const bodyBytes of bodySizes) {
            const path = uniquePath();
            await upload(uploadBytes(path, framing, bodyBytes), 0, () => undefined);
            expect(wholeBodies.get(path)).to.equal(bodyBytes);
          }
        });

        // Guards against a host that ends an upload in order when it no longer waits for its caller.
        it(`never look complete to it, with ${framing}, where the host gives them up`, async () => {
          const paths: string[] = [];
          const uploads = bodySizes.map(async (bodyBytes) => {
            const path = uniquePath();
            paths.push(path);
            const bytes = uploadBytes(path, framing, bodyBytes);
            const missing = Math.floor(bodyBytes / 2);
            return upload(bytes, missing, () => undefined, giveUpMs);
          });
          const lines = await Promise.all(uploads);
          expect(lines.filter((line) => !/^HTTP\/1\.1 (408|50\d)/.test(line))).to.deep.equal([]);
          await new Promise((resolve) => setTimeout(resolve, waitMs));
          expect(paths.filter((path) => wholeBodies.has(path))).to.deep.equal([]);
        });

        for (const [ending, end] of Object.entries(endings)) {
          // Guards against a part of an upload that a server runs as the whole.
          it(`never look complete to it, with ${framing}, ${ending}`, async function () {
            this.timeout(60_000);
            const jobs: {path: string; bytes: string; missing: number}[] = [];
            for (const bodyBytes of bodySizes) {
              for (const missing of missingBytes(framing, bodyBytes)) {
                const path = uniquePath();
                jobs.push({path, bytes: uploadBytes(path, framing, bodyBytes), missing});
              }
            }
            const paths = jobs.map(({path}) => path);
            const work = async (): Promise<void> => {
              for (let job = jobs.shift(); job !== undefined; job = jobs.shift()) {
                await upload(job.bytes, job.missing, end);
              }
            };
            await Promise.all(Array.from({length: parallelUploads}, work));
            await new Promise((resolve) => setTimeout(resolve, waitMs));
            expect(paths.filter((path) => wholeBodies.has(path))).to.deep.equal([]);
            if (ending === 'left open') {
              const reached = paths.filter((path) => started.has(path));
              expect(reached, 'uploads that began at a server').to.not.deep.equal([]);
            }
          });
        }
      }
    });
  }
});
