import {readFile} from 'node:fs/promises';
import {failure, parseComparedDocument} from '@godwitspring/document';
import type {Finding, FleetDocument} from '@godwitspring/document';
import {request} from 'undici';

/** Longest wait for the document of a host, in ms. */
const documentTimeoutMs = 5_000;
const okStatus = 200;
/** Admin address of a host: a host name or an IP number, and a port. */
const adminAddressPattern = /^(?:\[[0-9a-fA-F:]+\]|[\w.-]+):\d{1,5}$/;

/** Finding for a file or a host that cannot be read. */
function unreadable(message: string, correction: string): Finding {
  return failure({kind: 'unreadable', path: '(file)', message, correction});
}

/** Reads a file; on failure it returns a finding with the reason. */
export async function readText(file: string): Promise<string | Finding> {
  try {
    return await readFile(file, 'utf8');
  } catch (cause) {
    const reason = cause instanceof Error ? cause.message : String(cause);
    return unreadable(`cannot be read: ${reason}`, 'check its name and permissions');
  }
}

async function queryHost(adminAddress: string): Promise<string | Finding> {
  try {
    const {statusCode, body} = await request(`http://${adminAddress}/-/document`, {
      signal: AbortSignal.timeout(documentTimeoutMs),
    });
    const text = await body.text();
    return statusCode === okStatus
      ? text
      : unreadable(
          `the host answers ${statusCode} and has no document to compare with`,
          'query a host that is ready, or name a file',
        );
  } catch (cause) {
    const reason = cause instanceof Error ? cause.message : String(cause);
    return unreadable(`the host does not answer: ${reason}`, 'check the admin address');
  }
}

/**
 * Reads the document to compare with from a file, or from a running host where `source` is an admin address such
 * as `127.0.0.1:9900`. On failure it returns every finding.
 */
export async function readDocumentInForce(source: string): Promise<FleetDocument | Finding[]> {
  const text = adminAddressPattern.test(source) ? await queryHost(source) : await readText(source);
  if (typeof text !== 'string') {
    return [text];
  }
  const parsed = parseComparedDocument(text);
  return parsed.isErr() ? parsed.error : parsed.value;
}
