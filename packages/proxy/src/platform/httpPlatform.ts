import {hostListSchema, manifestSchema} from '@godwitspring/document';
import type {HostList, Manifest} from '@godwitspring/document';
import {Agent, request} from 'undici';
import {z} from 'zod';
import {PlatformError} from '../errors/hostErrors.ts';
import type {HostListUpdate, Platform} from './platform.ts';
import {readBoundedText} from './readBoundedText.ts';

const hostsResponseSchema = z.object({asOfMs: z.number(), lists: z.array(hostListSchema)});
const valueResponseSchema = z.object({value: z.string()});

/** Settings of the platform's HTTP client. */
export interface HttpPlatformOptions {
  /** Origins that serve the platform's API, tried in turn. */
  readonly origins: readonly string[];
  /** Time allowed for a response in addition to the wait of a watch, in ms. Default: 2,000. */
  readonly responseTimeoutMs: number;
}

export const DEFAULT_HTTP_PLATFORM_OPTIONS = {responseTimeoutMs: 2_000} as const;

/** Reads and watches the platform over HTTP; switches to the next origin after a failed request. */
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

  async watchHosts(version: number, waitMs: number): Promise<HostListUpdate> {
    const {body} = await this.#get(`/v1/hosts?after=${version}&waitMs=${waitMs}`, waitMs);
    const {asOfMs, lists} = hostsResponseSchema.parse(JSON.parse(body));
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
    const {value} = valueResponseSchema.parse(JSON.parse(body));
    return manifestSchema.parse(JSON.parse(value));
  }

  async readPart(sha256: string): Promise<string> {
    const {body} = await this.#get(`/v1/values/parts.${sha256}`, 0);
    return valueResponseSchema.parse(JSON.parse(body)).value;
  }

  async stop(): Promise<void> {
    await this.#agent.destroy();
  }

  async #get(path: string, waitMs: number): Promise<{status: number; body: string}> {
    const {origins, responseTimeoutMs} = this.#options;
    const origin = origins[this.#originIndex % origins.length] ?? '';
    try {
      const response = await request(`${origin}${path}`, {
        dispatcher: this.#agent,
        signal: AbortSignal.timeout(waitMs + responseTimeoutMs),
      });
      const body = await readBoundedText(response.body);
      if (response.statusCode >= 300) {
        throw new PlatformError(
          `the platform responded with status ${response.statusCode} to ${path}`,
        );
      }
      return {status: response.statusCode, body};
    } catch (cause) {
      this.#originIndex += 1;
      throw new PlatformError(`the request to the platform at ${origin} for ${path} failed`, {
        cause,
      });
    }
  }
}
