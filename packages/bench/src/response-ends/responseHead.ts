import type {Trial} from './trial.ts';

/** Head of the response to an attempt. */
export function responseHead({id, framing, bodyBytes}: Trial, wholeDigest: string): Buffer {
  const framingLines = {
    length: [`Content-Length: ${bodyBytes}`],
    chunked: ['Transfer-Encoding: chunked'],
    none: ['Connection: close'],
    http10: [],
    identity: ['Transfer-Encoding: identity', 'Connection: close'],
  }[framing];
  const lines = [
    `${framing === 'http10' ? 'HTTP/1.0' : 'HTTP/1.1'} 200 OK`,
    `X-Godwitspring-Request-Id: ${id}`,
    `X-Godwitspring-Server-Signature: ${wholeDigest}`,
    'Content-Type: application/octet-stream',
    ...framingLines,
  ];
  return Buffer.from(`${lines.join('\r\n')}\r\n\r\n`, 'latin1');
}
