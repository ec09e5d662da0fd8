import type {IntakeOptions} from './intakeOptions.ts';

/** What happens to a request that arrived on a connection. */
export type PipelineDecision =
  /** It is served now. */
  | 'serve'
  /** It is served now if memory for its response can be reserved, as an earlier response is not sent yet. */
  | 'serve-ahead'
  /** It waits; the connection is not read further. */
  | 'wait'
  /** The connection is closed: its caller sent more requests at once than any client does. */
  | 'close';

/** Bounds the pipelined requests of a connection. Addresses callers that send many requests and read no response. */
export class PipelineWindow {
  readonly #options: Pick<IntakeOptions, 'maxConcurrentPerConnection' | 'maxQueuedPerConnection'>;

  constructor(
    options: Pick<IntakeOptions, 'maxConcurrentPerConnection' | 'maxQueuedPerConnection'>,
  ) {
    this.#options = options;
  }

  /** Decides on the next request of a connection with requests in progress and others that wait. */
  decide(inProgress: number, waiting: number): PipelineDecision {
    const {maxConcurrentPerConnection, maxQueuedPerConnection} = this.#options;
    if (waiting >= maxQueuedPerConnection) {
      return 'close';
    }
    if (waiting > 0 || inProgress >= maxConcurrentPerConnection) {
      return 'wait';
    }
    return inProgress === 0 ? 'serve' : 'serve-ahead';
  }
}
