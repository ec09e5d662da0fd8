import {hostListSchema, manifestSchema} from '@godwitspring/document';
import type {HostList, Manifest} from '@godwitspring/document';
import {Agent, request} from 'undici';
import {z} from 'zod';
import {PlatformError} from '../errors/hostErrors.ts';
import type {HostListAnswer, Platform} from './platform.ts';

const hostsAnswerSchema = z.object({asOfMs: z.number(), lists: z.array(hostListSchema)});
const valueAnswerSchema = z.object({value: z.string()});

export interface HttpPlatformOptions {
  readonly origins: readonly string[];
  /** Wait for an answer beyond the wait of a watch, in ms. Default: 2,000. */
  readonly answerTimeoutMs: number;
}

export const DEFAULT_HTTP_PLATFORM_OPTIONS = {answerTimeoutMs: 2_000} as const;

/** Reads the platform over HTTP; goes on to the next origin when one fails. */
export class HttpPlatform implements Platform {
  readonly #options: HttpPlatformOptions;
  readonly #agent = new Agent({connections: 4, pipelining: 1});
  #originIndex = 0;

  constructor({
    origins,
    ...options
  }: Partial<HttpPlatformOptions> & Pick<HttpPlatformOptions, 'origins'>) {
    this.#options = {...DEFAULT_HTTP_PLATFORM_OPTIONS, ...options, origins};
  }

  async watchHosts(version: number, waitMs: number): Promise<HostListAnswer> {
    const {body} = await this.#get(`/v1/hosts?after=${version}&waitMs=${waitMs}`, waitMs);
    const {asOfMs, lists} = hostsAnswerSchema.parse(JSON.parse(body));
    return {asOfMs, lists: lists satisfies HostList[]};
  }

  async watchManifest(version: number, waitMs: number): Promise<Manifest | undefined> {
    const {status, body} = await this.#get(
      `/v1/values/manifest?not=${version}&waitMs=${waitMs}`,
      waitMs,
    );
    if (status === 204) {
      return undefined;
    }
    const {value} = valueAnswerSchema.parse(JSON.parse(body));
    return manifestSchema.parse(JSON.parse(value));
  }

  async readPart(sha256: string): Promise<string> {
    const {body} = await this.#get(`/v1/values/parts.${sha256}`, 0);
    return valueAnswerSchema.parse(JSON.parse(body)).value;
  }

  async stop(): Promise<void> {
    await this.#agent.destroy();
  }

  async #get(path: string, waitMs: number): Promise<{status: number; body: string}> {
    const {origins, answerTimeoutMs} = this.#options;
    const origin = origins[this.#originIndex % origins.length] ?? '';
    try {
      const response = await request(`${origin}${path}`, {
        dispatcher: this.#agent,
        signal: AbortSignal.timeout(waitMs + answerTimeoutMs),
      });
      const body = await response.body.text();
      if (response.statusCode >= 300) {
        throw new PlatformError(`the platform answered ${response.statusCode} to ${path}`);
      }
      return {status: response.statusCode, body};
    } catch (cause) {
      this.#originIndex += 1;
      throw new PlatformError(`the platform at ${origin} did not answer ${path}`, {
        cause,
      });
    }
  }
}
