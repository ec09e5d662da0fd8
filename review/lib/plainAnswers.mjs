import {answerHead, signatureOf} from './instance.mjs';

/** Sends a whole answer with a length. */
export function answerPlain(request, socket, text) {
  const body = Buffer.from(text);
  const head = answerHead(200, 'OK', {
    'X-Godwitspring-Request-Id': request.headers['x-godwitspring-request-id'],
    'X-Godwitspring-Server-Signature': signatureOf(body),
    'Content-Length': body.length,
  });
  socket.write(Buffer.concat([Buffer.from(head), body]));
}
