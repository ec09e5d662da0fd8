import {readFileSync} from 'node:fs';
import {createServer} from 'node:net';
import type {Server, Socket} from 'node:net';
import {expect} from 'chai';
import {readDocumentInForce} from '../readDocumentInForce.ts';
import {readStatus} from '../readStatus.ts';

const ip = '127.83.65.1';
const port = 9900;
const admin = `${ip}:${port}`;
const resetAfterMs = 5;
/** Reads that run beside each other. */
const parallelReads = 4;

/** Ways in which a host ends a response that has no length. */
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
};

describe('responses of a host to the command-line interface that break off', () => {
  let server: Server;
  let text = '';
  let bytes = 0;
  let end: (socket: Socket) => void = () => undefined;
  const document = JSON.stringify(JSON.parse(readFileSync('examples/tasas.document.json', 'utf8')));
  const status = JSON.stringify({
    requests: {isReady: true},
    configuration: {version: 12},
    membership: {ownShare: 0.5, reachable: ['a', 'b'], hosts: 2},
  });

  before(async () => {
    server = createServer((socket) => {
      socket.on('error', () => undefined);
      socket.once('data', () => {
        socket.write(`HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n${text.slice(0, bytes)}`);
        end(socket);
      });
    });
    await new Promise<void>((resolve) => server.listen(port, ip, resolve));
  });

  after(() => {
    server.close();
  });

  /** Cuts a response at each of the given numbers of bytes; returns those at which it was taken for whole. */
  async function acceptedCuts(
    cuts: readonly number[],
    read: () => Promise<boolean>,
  ): Promise<number[]> {
    const accepted: number[] = [];
    for (const cut of cuts) {
      bytes = cut;
      const results = await Promise.all(Array.from({length: parallelReads}, read));
      if (results.includes(true)) {
        accepted.push(cut);
      }
    }
    return accepted;
  }

  for (const [ending, endConnection] of Object.entries(endings)) {
    // Guards against a status that shows a host as ready, or a document as unchanged, by a part of them.
    it(`are no status, ${ending} at any byte`, async () => {
      text = status;
      end = endConnection;
      const cuts = Array.from({length: status.length}, (_, length) => length);
      const read = async (): Promise<boolean> => (await readStatus(admin)) !== undefined;
      expect(await acceptedCuts(cuts, read)).to.deep.equal([]);
    });

    it(`are no document to compare with, ${ending} at every hundredth byte and near the end`, async () => {
      text = document;
      end = endConnection;
      const cuts: number[] = [];
      for (let cut = 0; cut < document.length; cut += cut < document.length - 110 ? 100 : 1) {
        cuts.push(cut);
      }
      const read = async (): Promise<boolean> => !Array.isArray(await readDocumentInForce(admin));
      expect(await acceptedCuts(cuts, read)).to.deep.equal([]);
    });
  }

  // Guards against a check of broken responses that no response passes.
  it('are read where they are whole', async () => {
    end = (socket) => {
      socket.end();
    };
    text = status;
    bytes = status.length;
    expect(await readStatus(admin)).to.deep.equal(JSON.parse(status));
    text = document;
    bytes = document.length;
    expect(await readDocumentInForce(admin)).to.include({version: 1});
  });
});
