import type {ServerResponse} from 'node:http';
import {chooseFraming} from '@godwitspring/core';
import type {PendingResponse} from './exchange.ts';

/** Sets how the end of a response is marked towards its caller; called before its head is sent. */
export function applyFraming(
  {framing, bodyBytes}: Pick<PendingResponse, 'framing' | 'bodyBytes'>,
  outgoing: ServerResponse,
): void {
  const chosen = chooseFraming({
    framing,
    bodyBytes,
    acceptsChunks: outgoing.useChunkedEncodingByDefault,
  });
  if (chosen === 'close') {
    outgoing.useChunkedEncodingByDefault = false;
    outgoing.shouldKeepAlive = false;
  }
  if (chosen === 'length' && framing === 'chunks') {
    outgoing.setHeader('content-length', String(bodyBytes));
  }
}
