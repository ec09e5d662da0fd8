import {createHash} from 'node:crypto';
import {Readable} from 'node:stream';
import {patternBytes, patternDigest} from '@godwitspring/standins';
import {Agent, request} from 'undici';
import {z} from 'zod';

/** Counts of what the callers of the demonstration received. */
export interface CallerStats {
  /** Requests sent. */
  requests: number;
  /** Requests that got status 200. */
  answered: number;
  /** Requests that got any other status. */
  refused: number;
  /** Receipts for another path, run or customer than that of the request. */
  wrongAnswers: number;
  /** Requests without a complete, readable response, or with a body that arrived changed. */
  brokenBodies: number;
  /** Refusals by kind; `server-answer` for error responses without a kind. */
  readonly refusedByKind: Record<string, number>;
  /** Run ids of the requests whose refusal states that they have not run. */
  readonly reportedNotRun: Set<string>;
  readonly answeredByRoute: Record<string, number>;
}

/** One request of the demonstration. */
export interface DemoRequest {
  readonly routeId: string;
  /** Origin of the host that receives the request. */
  readonly target: string;
  /** Customer whose key is sent; undefined to send no key. */
  readonly customerId: string | undefined;
  readonly method: 'GET' | 'POST' | 'PUT';
  readonly path: string;
  /** Size of the request body, in bytes; 0 for none. */
  readonly requestBytes: number;
  /** Size of the requested media, in bytes; 0 for a receipt. */
  readonly responseBytes: number;
  /** Seed of the bytes of the request body or of the media. */
  readonly seed: number;
}

/** Response of a simulated backend server to a request without media. */
const receiptSchema = z.object({
  path: z.string(),
  customer: z.string().nullable(),
  runId: z.string().nullable(),
  bytes: z.number(),
  sha256: z.string(),
});

/** Body of a refusal by the fleet. */
const problemSchema = z.object({kind: z.string(), outcome: z.string()});

const emptyDigest = createHash('sha256').digest('hex');

/** Sends requests and verifies their responses; compares the digest of every body. */
export class DemoCaller {
  readonly stats: CallerStats = {
    requests: 0,
    answered: 0,
    refused: 0,
    wrongAnswers: 0,
    brokenBodies: 0,
    refusedByKind: {},
    reportedNotRun: new Set(),
    answeredByRoute: {},
  };
  readonly #agent = new Agent({connections: 64, pipelining: 1});
  #nextRun = 1;

  async send(demoRequest: DemoRequest): Promise<void> {
    const runId = `run-${this.#nextRun}`;
    this.#nextRun += 1;
    this.stats.requests += 1;
    const headers: Record<string, string> = {'x-run-id': runId};
    if (demoRequest.customerId !== undefined) {
      headers['x-api-key'] = `example-key-${demoRequest.customerId}`;
    }
    if (demoRequest.requestBytes > 0) {
      headers['content-length'] = String(demoRequest.requestBytes);
    }
    try {
      const response = await request(`${demoRequest.target}${demoRequest.path}`, {
        method: demoRequest.method,
        dispatcher: this.#agent,
        headers,
        body:
          demoRequest.requestBytes > 0
            ? Readable.from(patternBytes(demoRequest.seed, demoRequest.requestBytes))
            : null,
      });
      await this.#checkResponse(demoRequest, runId, response.statusCode, response.body);
    } catch {
      this.stats.brokenBodies += 1;
    }
  }

  async close(): Promise<void> {
    await this.#agent.close();
  }

  async #checkResponse(
    demoRequest: DemoRequest,
    runId: string,
    status: number,
    body: Readable,
  ): Promise<void> {
    if (status !== 200) {
      await this.#recordRefusal(runId, body);
      return;
    }
    if (demoRequest.responseBytes > 0) {
      await this.#checkMedia(demoRequest, body);
    } else {
      await this.#checkReceipt(demoRequest, runId, body);
    }
    this.stats.answered += 1;
    this.stats.answeredByRoute[demoRequest.routeId] =
      (this.stats.answeredByRoute[demoRequest.routeId] ?? 0) + 1;
  }

  async #recordRefusal(runId: string, body: Readable): Promise<void> {
    const problem = problemSchema.safeParse(JSON.parse(await this.#readText(body)));
    const kind = problem.success ? problem.data.kind : 'server-answer';
    this.stats.refused += 1;
    this.stats.refusedByKind[kind] = (this.stats.refusedByKind[kind] ?? 0) + 1;
    if (problem.success && problem.data.outcome === 'not-run') {
      this.stats.reportedNotRun.add(runId);
    }
  }

  async #checkMedia(demoRequest: DemoRequest, body: Readable): Promise<void> {
    const hash = createHash('sha256');
    for await (const chunk of body) {
      hash.update(chunk as Buffer);
    }
    if (hash.digest('hex') !== patternDigest(demoRequest.seed, demoRequest.responseBytes)) {
      this.stats.brokenBodies += 1;
    }
  }

  async #checkReceipt(demoRequest: DemoRequest, runId: string, body: Readable): Promise<void> {
    const receipt = receiptSchema.parse(JSON.parse(await this.#readText(body)));
    const isOwn =
      receipt.path === demoRequest.path &&
      receipt.runId === runId &&
      receipt.customer === (demoRequest.customerId ?? null);
    if (!isOwn) {
      this.stats.wrongAnswers += 1;
    }
    const digest =
      demoRequest.requestBytes > 0
        ? patternDigest(demoRequest.seed, demoRequest.requestBytes)
        : emptyDigest;
    if (receipt.bytes !== demoRequest.requestBytes || receipt.sha256 !== digest) {
      this.stats.brokenBodies += 1;
    }
  }

  async #readText(body: Readable): Promise<string> {
    const chunks: Buffer[] = [];
    for await (const chunk of body) {
      chunks.push(chunk as Buffer);
    }
    return Buffer.concat(chunks).toString('utf8');
  }
}
