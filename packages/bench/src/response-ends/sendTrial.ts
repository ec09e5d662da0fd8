import {connect} from 'node:net';
import type {Socket} from 'node:net';
import {MessageReader} from './messageReader.ts';
import type {ReceivedResponse, Trial} from './trial.ts';

/** Host name of the routes. */
export const hostName = 'ends.example';
/** Longest wait of a caller, in ms. */
const callerWaitMs = 12_000;
/** Time for which a slow reader does not read after each part, in ms: above the least rate that hosts demand. */
const slowReadGapMs = 2;

/** Name of the route of a trial. Responses that never end meet a timeout that the others do not. */
function routeOf({way, end}: Trial): string {
  if (way === 'timeout') {
    return 'short';
  }
  const isStalled = end === 'silence' || end === 'endless';
  return `${way === 'hedge' ? 'safe' : 'upload'}${isStalled ? '-stalled' : ''}`;
}

/** Head of the request of a trial. */
function requestHead(trial: Trial): string {
  const {id, callerVersion, method, uploadBytes} = trial;
  const lines = [
    `${method} /${routeOf(trial)}/${id} HTTP/${callerVersion}`,
    `Host: ${hostName}`,
    `X-Godwitspring-Request-Id: ${id}`,
    ...(method === 'POST' ? [`Content-Length: ${uploadBytes}`] : []),
  ];
  return `${lines.join('\r\n')}\r\n\r\n`;
}

/** Reads slowly: stops for a moment after each part. */
function readSlowly(socket: Socket): void {
  socket.on('data', () => {
    socket.pause();
    setTimeout(() => {
      socket.resume();
    }, slowReadGapMs);
  });
}

/**
 * Tells an orderly close from a reset. Node.js reports the end of the stream also for a reset that it reads together with the
 * last bytes; a write then fails at once, whereas the other side takes it after an orderly close.
 */
async function wasClosedInOrder(socket: Socket): Promise<boolean> {
  return new Promise((resolve) => {
    socket.once('error', () => {
      resolve(false);
    });
    socket.write('\r\n', (error) => {
      resolve(error === null || error === undefined);
    });
  });
}

/** Sends the request of a trial to a host, on a connection of its own, and reads the response to its end. */
export async function sendTrial(
  trial: Trial,
  host: string,
  port: number,
): Promise<ReceivedResponse> {
  const socket = connect({host, port, noDelay: true, allowHalfOpen: true});
  const reader = new MessageReader('response');
  const ending = await new Promise<ReceivedResponse['ending']>((resolve) => {
    const timeout = setTimeout(() => {
      resolve('waited');
    }, callerWaitMs);
    const end = (how: ReceivedResponse['ending']): void => {
      clearTimeout(timeout);
      resolve(how);
    };
    socket.on('error', () => {
      end('broken');
    });
    socket.on('data', (bytes) => {
      reader.push(bytes);
      if (reader.isEnded) {
        end('declared');
      }
    });
    socket.once('end', () => {
      const isUndeclared = reader.hasHead && reader.framing === 'close';
      void wasClosedInOrder(socket).then((isInOrder) => {
        end(isUndeclared && isInOrder ? 'closed' : 'broken');
      });
    });
    if (trial.way === 'slowReader') {
      readSlowly(socket);
    }
    socket.write(requestHead(trial));
    socket.write(Buffer.alloc(trial.uploadBytes, 'u'));
  });
  socket.destroy();
  const status = reader.hasHead ? Number(reader.words[1]) : 0;
  return {
    status,
    framing: reader.framing,
    bytes: reader.bodyBytes,
    digest: reader.digest,
    ending,
    refusal: status >= 200 && status < 300 ? '' : reader.text,
  };
}
