import type {CoreMessage, CoreMessageType} from '../messages/coreMessage.ts';

/** A task of the core: owns its state and communicates with the other tasks only by messages. */
export interface CoreTask {
  /** Types of the messages that the task receives. */
  readonly accepts: readonly CoreMessageType[];
  /** Handles one message at a moment of the host's clock, in ms; returns the messages that result from it. */
  receive(message: CoreMessage, nowMs: number): readonly CoreMessage[];
}
