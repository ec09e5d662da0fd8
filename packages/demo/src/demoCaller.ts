import {createHash} from 'node:crypto';
import {Readable} from 'node:stream';
import {patternBytes, patternDigest} from '@godwitspring/standins';
import {Agent, request} from 'undici';
import {z} from 'zod';

/** What the callers of the demonstration saw. */
export interface Tally {
  requests: number;
  answered: number;
  refused: number;
  wrongAnswers: number;
  brokenBodies: number;
  readonly refusedByKind: Record<string, number>;
  /** Names of the runs that were refused as not run. */
  readonly toldNotRun: Set<string>;
  readonly answeredByRoute: Record<string, number>;
}

/** One request of the demonstration. */
export interface DemoRequest {
  readonly routeId: string;
  readonly target: string;
  readonly customerId: string | undefined;
  readonly method: 'GET' | 'POST' | 'PUT';
  readonly path: string;
  /** Size of the body sent, in bytes; 0 for none. */
  readonly sentBytes: number;
  /** Size of the media asked for, in bytes; 0 for a receipt. */
  readonly askedBytes: number;
  readonly seed: number;
}

const receiptSchema = z.object({
  path: z.string(),
  customer: z.string().nullable(),
  runId: z.string().nullable(),
  bytes: z.number(),
  sha256: z.string(),
});

const problemSchema = z.object({kind: z.string(), outcome: z.string()});

const emptyDigest = createHash('sha256').digest('hex');

/** Sends requests with real bodies and checks every byte of the answers. */
export class DemoCaller {
  readonly tally: Tally = {
    requests: 0,
    answered: 0,
    refused: 0,
    wrongAnswers: 0,
    brokenBodies: 0,
    refusedByKind: {},
    toldNotRun: new Set(),
    answeredByRoute: {},
  };
  readonly #agent = new Agent({connections: 64, pipelining: 1});
  #nextRun = 1;

  async send(one: DemoRequest): Promise<void> {
    const runId = `run-${this.#nextRun}`;
    this.#nextRun += 1;
    this.tally.requests += 1;
    const headers: Record<string, string> = {'x-run-id': runId};
    if (one.customerId !== undefined) {
      headers['x-api-key'] = `example-key-${one.customerId}`;
    }
    if (one.sentBytes > 0) {
      headers['content-length'] = String(one.sentBytes);
    }
    try {
      const answer = await request(`${one.target}${one.path}`, {
        method: one.method,
        dispatcher: this.#agent,
        headers,
        body: one.sentBytes > 0 ? Readable.from(patternBytes(one.seed, one.sentBytes)) : null,
      });
      await this.#check(one, runId, answer.statusCode, answer.body);
    } catch {
      this.tally.brokenBodies += 1;
    }
  }

  async close(): Promise<void> {
    await this.#agent.close();
  }

  async #check(one: DemoRequest, runId: string, status: number, body: Readable): Promise<void> {
    if (status !== 200) {
      await this.#noteRefusal(runId, body);
      return;
    }
    if (one.askedBytes > 0) {
      await this.#checkMedia(one, body);
    } else {
      await this.#checkReceipt(one, runId, body);
    }
    this.tally.answered += 1;
    this.tally.answeredByRoute[one.routeId] = (this.tally.answeredByRoute[one.routeId] ?? 0) + 1;
  }

  async #noteRefusal(runId: string, body: Readable): Promise<void> {
    const parsed = problemSchema.safeParse(JSON.parse(await this.#text(body)));
    const kind = parsed.success ? parsed.data.kind : 'server-answer';
    this.tally.refused += 1;
    this.tally.refusedByKind[kind] = (this.tally.refusedByKind[kind] ?? 0) + 1;
    if (parsed.success && parsed.data.outcome === 'not-run') {
      this.tally.toldNotRun.add(runId);
    }
  }

  async #checkMedia(one: DemoRequest, body: Readable): Promise<void> {
    const hash = createHash('sha256');
    for await (const chunk of body) {
      hash.update(chunk as Buffer);
    }
    if (hash.digest('hex') !== patternDigest(one.seed, one.askedBytes)) {
      this.tally.brokenBodies += 1;
    }
  }

  async #checkReceipt(one: DemoRequest, runId: string, body: Readable): Promise<void> {
    const receipt = receiptSchema.parse(JSON.parse(await this.#text(body)));
    const isOwn =
      receipt.path === one.path &&
      receipt.runId === runId &&
      receipt.customer === (one.customerId ?? null);
    if (!isOwn) {
      this.tally.wrongAnswers += 1;
    }
    const digest = one.sentBytes > 0 ? patternDigest(one.seed, one.sentBytes) : emptyDigest;
    if (receipt.bytes !== one.sentBytes || receipt.sha256 !== digest) {
      this.tally.brokenBodies += 1;
    }
  }

  async #text(body: Readable): Promise<string> {
    const chunks: Buffer[] = [];
    for await (const chunk of body) {
      chunks.push(chunk as Buffer);
    }
    return Buffer.concat(chunks).toString('utf8');
  }
}
