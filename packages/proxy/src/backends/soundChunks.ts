import type {Readable} from 'node:stream';
import {judgeCompleteness} from '@godwitspring/core';
import type {BodyFraming} from '@godwitspring/core';
import {BrokenAnswerError, RepeatedResponseError} from '../errors/hostErrors.ts';
import type {RepeatedResponseDetector} from './repeatedResponseDetector.ts';

/** How the chunks of a body are checked. */
export interface SoundChunksOptions {
  /** How the server marks the end of the body. */
  readonly framing: BodyFraming;
  /** Returns, at the end of the body, whether the server reset the connection rather than closed it. */
  readonly wasReset: () => boolean;
  /** Called after each read of the body. */
  readonly onRead: () => void;
  /** Finds copies of other responses within the body. */
  readonly repeats: RepeatedResponseDetector;
}

/** Yields the chunks of a body; fails where a copy of another response arrives within it, and where its end is not complete. */
export async function* soundChunks(
  body: Readable,
  {framing, wasReset, onRead, repeats}: SoundChunksOptions,
): AsyncGenerator<Buffer> {
  for await (const chunk of body) {
    onRead();
    if (repeats.hasFoundIn(chunk as Buffer)) {
      throw new RepeatedResponseError('the body holds the head of another response');
    }
    yield chunk as Buffer;
  }
  if (judgeCompleteness({framing, wasReset: wasReset()}) === 'incomplete') {
    throw new BrokenAnswerError('the connection was reset before the response was complete');
  }
}
