import type {CoreMessage, CoreMessageType} from '../messages/coreMessage.ts';

/** A task of the core: owns its state and talks to the others by messages alone. */
export interface CoreTask {
  /** Types of the messages that the task takes. */
  readonly accepts: readonly CoreMessageType[];
  /** Takes one message at a moment of the host's clock, in ms; gives the messages that follow. */
  receive(message: CoreMessage, nowMs: number): readonly CoreMessage[];
}
