import {randomBytes} from 'node:crypto';
import {connect} from 'node:net';
import type {Socket} from 'node:net';
import type {PeerMessage} from '@godwitspring/core';
import {expect} from 'chai';
import {PeerCodec} from '../peerCodec.ts';
import {PeerTask} from '../peerTask.ts';
import type {PeerReport} from '../peerTask.ts';

const listenHost = '127.83.63.1';
const listenPort = 7000;
const message: PeerMessage = {type: 'leaving'};
const resetAfterMs = 5;
/** Time in which a message that was sent whole is received, in ms. */
const receiveMs = 300;
/** Bytes of incomplete messages beyond half of which connections are read one at a time. */
const maxIncompleteBytes = 4_000;
/** Bytes of a message that is never completed. */
const incompleteBytes = 1_500;

const binary = 0x2;
const continuation = 0x0;
const closeOpcode = 0x8;

/** A WebSocket frame of a client, with a payload of less than 65,536 bytes. */
function frame(opcode: number, payload: Uint8Array, isLast: boolean): Buffer {
  const mask = Buffer.alloc(4);
  const first = (isLast ? 0x80 : 0) | opcode;
  const length = payload.length;
  const head =
    length < 126
      ? Buffer.from([first, 0x80 | length])
      : Buffer.from([first, 0x80 | 126, length >> 8, length & 0xff]);
  return Buffer.concat([head, mask, payload]);
}

/** Ways in which a connection ends. */
const endings: Record<string, (socket: Socket) => void> = {
  'closed in order': (socket) => {
    socket.end();
  },
  'closed by a close frame': (socket) => {
    socket.end(frame(closeOpcode, Buffer.from([0x03, 0xe8]), true));
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

describe('messages of other hosts that are cut', () => {
  const received: PeerMessage[] = [];
  const task = new PeerTask({
    selfId: `${listenHost}:${listenPort}`,
    listenHost,
    listenPort,
    areHostIdsAddresses: true,
    maxIncompleteBytes,
    report: (report: PeerReport) => {
      if (report.type === 'received') {
        received.push(report.message);
      }
    },
  });

  before(async () => {
    await task.start();
  });

  beforeEach(() => {
    received.length = 0;
  });

  after(async () => {
    await task.stop();
  });

  /** Opens a WebSocket and returns its socket after the handshake. */
  async function open(): Promise<Socket> {
    const socket = connect({host: listenHost, port: listenPort, noDelay: true});
    socket.on('error', () => undefined);
    const key = randomBytes(16).toString('base64');
    socket.write(
      `GET / HTTP/1.1\r\nhost: a\r\nupgrade: websocket\r\nconnection: upgrade\r\n` +
        `sec-websocket-version: 13\r\nsec-websocket-key: ${key}\r\nx-fleet-host: 127.83.63.2:7000\r\n\r\n`,
    );
    await new Promise<void>((resolve) => {
      socket.once('data', () => {
        resolve();
      });
    });
    return socket;
  }

  async function pause(forMs: number): Promise<void> {
    await new Promise((resolve) => setTimeout(resolve, forMs));
  }

  function messageBytes(): Uint8Array {
    return new PeerCodec().encode(message);
  }

  // Guards against a check of cut messages that no message passes.
  it('are received where they are whole, in one frame or in several', async () => {
    const bytes = messageBytes();
    const socket = await open();
    socket.write(frame(binary, bytes, true));
    const other = await open();
    other.write(frame(binary, bytes.subarray(0, 3), false));
    other.write(frame(continuation, bytes.subarray(3), true));
    await pause(receiveMs);
    socket.destroy();
    other.destroy();
    expect(received).to.deep.equal([message, message]);
  });

  for (const [ending, end] of Object.entries(endings)) {
    // Guards against a part of a message, or of a frame, that counts as the whole when its connection ends.
    it(`are not received: a frame, ${ending} at any byte`, async () => {
      const bytes = frame(binary, messageBytes(), true);
      for (let length = 0; length < bytes.length; length += 1) {
        const socket = await open();
        socket.write(bytes.subarray(0, length));
        end(socket);
      }
      await pause(receiveMs);
      expect(received).to.deep.equal([]);
    });

    it(`are not received: fragments of which the last is missing, ${ending}`, async () => {
      const bytes = messageBytes();
      for (const rest of [[], [frame(continuation, Buffer.alloc(0), false)]]) {
        const socket = await open();
        socket.write(Buffer.concat([frame(binary, bytes, false), ...rest]));
        end(socket);
      }
      await pause(receiveMs);
      expect(received).to.deep.equal([]);
    });

    // Guards against bytes of closed connections that count as incomplete for ever: the others are then not read.
    it(`keep no other host waiting, ${ending}`, async () => {
      const start = frame(binary, Buffer.alloc(incompleteBytes), false);
      for (let number = 0; number < 8; number += 1) {
        const socket = await open();
        socket.write(start);
        await pause(resetAfterMs);
        end(socket);
        await pause(resetAfterMs);
      }
      await pause(receiveMs);
      const socket = await open();
      socket.write(frame(binary, messageBytes(), true));
      await pause(receiveMs);
      socket.destroy();
      expect(received).to.deep.equal([message]);
    });
  }
});
