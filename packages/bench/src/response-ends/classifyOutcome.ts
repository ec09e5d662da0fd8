import {endsByClose} from './trial.ts';
import type {AttemptRecord, ReceivedResponse, Trial} from './trial.ts';

/**
 * Classes of outcomes.
 *
 * - `falselyDeclared`: a length or a last chunk says that the response is complete, and its body is not the whole body of
 *   a server.
 * - `falselyClosed`: an orderly close ends a response without a declared end, and the server did not close it in order.
 * - `closedByKill`: the same where the host was killed; its kernel closes its connections.
 * - `closedEarlyByServer`: as the server itself closed before its end, which nobody can tell from its end.
 * - `declaredByServer`: the server itself filled the declared length with other bytes, or sent a last chunk within them.
 * - `lost`: all attempts got sound responses, and the caller did not get one whole.
 * - `delivered`, `broken`, `refused`: whole; visibly broken off; no success.
 */
export const outcomeClasses = [
  'falselyDeclared',
  'falselyClosed',
  'closedByKill',
  'closedEarlyByServer',
  'declaredByServer',
  'lost',
  'delivered',
  'broken',
  'refused',
] as const;
export type OutcomeClass = (typeof outcomeClasses)[number];

/** Classifies what a caller received, by what the servers of its attempts did. */
export function classifyOutcome(
  {way, framing, end, copyForm}: Pick<Trial, 'way' | 'framing' | 'end' | 'copyForm'>,
  attempts: readonly AttemptRecord[],
  {status, ending, digest}: ReceivedResponse,
): OutcomeClass {
  const isSound = attempts.length > 0 && attempts.every((one) => one.isSound);
  if (status < 200 || status > 299) {
    return isSound ? 'lost' : status === 0 ? 'broken' : 'refused';
  }
  if (ending === 'broken' || ending === 'waited') {
    return isSound ? 'lost' : 'broken';
  }
  if (attempts.some(({wholeDigest}) => wholeDigest === digest)) {
    return 'delivered';
  }
  if (!endsByClose({framing}) && attempts.some((one) => one.isDeclaredByServer)) {
    return 'declaredByServer';
  }
  if (ending === 'declared') {
    return 'falselyDeclared';
  }
  const isAsClosed = attempts.some(
    (one) => one.ending === 'closed' && one.writtenDigest === digest,
  );
  // A whole late copy shows by its head, also where the server closes in order after it.
  if (isAsClosed && !(end === 'lateCopy' && copyForm === 'whole')) {
    return 'closedEarlyByServer';
  }
  return way === 'hostKilled' ? 'closedByKill' : 'falselyClosed';
}
