import {createHash} from 'node:crypto';
import {readFileSync} from 'node:fs';
import {connect} from 'node:net';
import type {Socket} from 'node:net';
import {checkDocument, splitDocument} from '@godwitspring/document';
import type {Manifest} from '@godwitspring/document';
import type {HostListUpdate, Platform} from '@godwitspring/proxy';
import {expect} from 'chai';
import {ConsoleTask} from '../consoleTask.ts';

const listenHost = '127.83.66.1';
const listenPort = 9300;
const origin = `http://${listenHost}:${listenPort}`;
const resetAfterMs = 20;
/** Longest wait for a response to a form that is not complete, in ms. */
const responseTimeoutMs = 300;

function sha256(text: string): string {
  return createHash('sha256').update(text).digest('hex');
}

/** Platform that serves the example document from memory. */
class ExamplePlatform implements Platform {
  readonly #parts = splitDocument(
    checkDocument(JSON.parse(readFileSync('examples/tasas.document.json', 'utf8')))._unsafeUnwrap(),
    sha256,
  );

  watchHosts(): Promise<HostListUpdate> {
    return Promise.resolve({asOfMs: 0, lists: []});
  }

  watchManifest(): Promise<Manifest | undefined> {
    return Promise.resolve(this.#parts.manifest);
  }

  readPart(digest: string): Promise<string> {
    return Promise.resolve(this.#parts.texts.get(digest) ?? '');
  }
}

/** Ways in which a browser ends its connection within a form. */
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

const form = 'kind=setCustomer&id=estudio-belgrano&burstRequests=100&ratePerSecond=12345';

/** Requests with the form, by their framing; the last bytes are digits of the rate, or the last chunk. */
const uploads: Record<string, {readonly header: string; readonly body: string}> = {
  'a length': {header: `content-length: ${form.length}`, body: form},
  chunks: {
    header: 'transfer-encoding: chunked',
    body: `${form.length.toString(16)}\r\n${form}\r\n0\r\n\r\n`,
  },
};

describe('forms of the console that are cut', () => {
  const console = new ConsoleTask({
    listenHost,
    listenPort,
    platform: new ExamplePlatform(),
    now: () => '2026-01-02T03:04:05Z',
  });
  let cookie = '';

  before(async () => {
    await console.start();
  });

  beforeEach(async () => {
    const response = await fetch(origin);
    await response.text();
    [cookie = ''] = (response.headers.get('set-cookie') ?? '').split(';');
  });

  after(() => {
    console.stop();
  });

  async function changes(): Promise<string> {
    return (await fetch(`${origin}/changes`, {headers: {cookie}})).text();
  }

  /** Sends all but the last bytes of a form; resolves after its response or the end of its connection. */
  async function send(
    {header, body}: {readonly header: string; readonly body: string},
    missing: number,
    end: (socket: Socket) => void,
  ): Promise<void> {
    const head =
      `POST /edit HTTP/1.1\r\nhost: ${listenHost}:${listenPort}\r\norigin: ${origin}\r\ncookie: ${cookie}\r\n` +
      `content-type: application/x-www-form-urlencoded\r\n${header}\r\n\r\n`;
    await new Promise<void>((resolve) => {
      const socket = connect(listenPort, listenHost);
      const finish = (): void => {
        socket.destroy();
        resolve();
      };
      socket.on('error', () => undefined);
      socket.on('data', finish);
      socket.on('close', finish);
      socket.on('connect', () => {
        socket.write(head + body.slice(0, body.length - missing));
        end(socket);
      });
      setTimeout(finish, responseTimeoutMs);
    });
  }

  for (const [framing, upload] of Object.entries(uploads)) {
    // Guards against a check of cut forms that no form passes.
    it(`change the draft where they are whole, with ${framing}`, async () => {
      await send(upload, 0, () => undefined);
      expect(await changes()).to.include('12345');
    });

    for (const [ending, end] of Object.entries(endings)) {
      // Guards against a draft that is changed by a part of a form, such as the first digits of a rate.
      it(`change no draft, with ${framing}, ${ending}`, async () => {
        const before = await changes();
        for (const missing of [1, 4, 7, 10]) {
          await send(upload, missing, end);
        }
        await new Promise((resolve) => setTimeout(resolve, responseTimeoutMs));
        expect(await changes()).to.equal(before);
      });
    }
  }
});
