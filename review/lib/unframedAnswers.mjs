import {randomBytes} from 'node:crypto';
import {askOnce, newId} from './deployment.mjs';
import {answerHead, signatureOf} from './instance.mjs';
import {answerPlain} from './plainAnswers.mjs';
import {wait} from './system.mjs';

/** Number of parts in which an instance sends a document. */
const partCount = 20;
/** Time that an instance works on a plain request, in ms. */
const plainMs = 20;
/** Pause between two plain requests of a client, in ms. */
const plainGapMs = 20;
const documentPrefix = '/unsafe/document/';

/** A document of one megabyte, the same for all requests. */
const documentBody = randomBytes(1_000_000);

/** Sends the document without a length, so that the answer ends with its connection. */
async function answerUnframed(record, request, socket, sendMs) {
  const id = request.headers['x-godwitspring-request-id'];
  const head = answerHead(200, 'OK', {
    'X-Godwitspring-Request-Id': id,
    'X-Godwitspring-Server-Signature': signatureOf(documentBody),
    'Content-Type': 'application/pdf',
  });
  socket.write(head);
  const partBytes = documentBody.length / partCount;
  for (let part = 0; part < partCount && !socket.destroyed; part += 1) {
    socket.write(documentBody.subarray(part * partBytes, (part + 1) * partBytes));
    await wait(sendMs / partCount);
  }
  if (!socket.destroyed) {
    socket.end();
    record.note('sent whole by the instance', {id, bytes: documentBody.length});
  }
}

/**
 * Makes instances answer requests for documents without a length, in `sendMs`, and all others with one. `factorOf` tells
 * how many times as long an instance takes.
 */
export function answerDocuments(record, {sendMs, factorOf = () => 1}) {
  return async (request, socket, instance) => {
    await request.whenWhole;
    const id = request.headers['x-godwitspring-request-id'];
    const factor = factorOf(instance);
    record.note('run', {id, path: request.path, at: instance.id, factor});
    if (request.path.startsWith(documentPrefix)) {
      await answerUnframed(record, request, socket, sendMs * factor);
      return;
    }
    await wait(plainMs * factor);
    answerPlain(request, socket, 'paid');
  };
}

/** Sends plain requests to all machines, `count` in all, one after the other at each. */
export async function sendPlain(record, {machines}, count) {
  await Promise.all(
    machines.map(async (machine, index) => {
      for (let number = index; number < count; number += machines.length) {
        const request = {method: 'POST', path: '/unsafe/pay', deadlineMs: 3_000};
        await askOnce(record, machine, newId(`plain ${number}`), request);
        await wait(plainGapMs);
      }
    }),
  );
}

/**
 * Requests one document from each of the given machines, `gapMs` after the one before; returns the ids with their
 * answers to come.
 */
export function requestDocuments(record, machines, {deadlineMs, gapMs = 0}) {
  return machines.map(async (machine, number) => {
    await wait(number * gapMs);
    const id = newId(`document ${number}`);
    record.note('client', {id, machine: machine.ip});
    const request = {method: 'POST', path: `${documentPrefix}${number}`, deadlineMs};
    return {id, answer: await askOnce(record, machine, id, request)};
  });
}

/** True where a success looks complete to its client, but is not the instance's whole body. */
function isFalselyWhole({status, headers, body, isWhole}) {
  const isSuccess = status >= 200 && status < 300;
  return isSuccess && isWhole && headers['x-godwitspring-server-signature'] !== signatureOf(body);
}

/** Waits for the documents, and returns the breaks of the rule among them. */
export async function findFalselyWhole(pending) {
  const breaks = [];
  for (const {id, answer} of await Promise.all(pending)) {
    if (isFalselyWhole(answer)) {
      const {status, body} = answer;
      breaks.push(
        `${id} got ${status} that looks complete: ${body.length} of ${documentBody.length} bytes`,
      );
    }
  }
  return breaks;
}
