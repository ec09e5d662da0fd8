import type {FleetDocument} from '@godwitspring/document';
import type {CoreMessage} from '../messages/coreMessage.ts';
import type {CoreTask} from './coreTask.ts';

/** Stores the document in force for operators, whichever task announces it. */
export class DocumentInForceTask implements CoreTask {
  readonly accepts = ['documentInForce'] as const;
  #document: FleetDocument | undefined;

  get document(): FleetDocument | undefined {
    return this.#document;
  }

  receive(message: CoreMessage): readonly CoreMessage[] {
    if (message.type === 'documentInForce') {
      this.#document = message.document;
    }
    return [];
  }
}
