import {isEffect} from '../messages/coreMessage.ts';
import type {CoreMessage, HostEffect, HostEvent} from '../messages/coreMessage.ts';
import type {CoreTask} from './coreTask.ts';

/** Delivers messages between the tasks of one host in the order in which they were sent. */
export class MessageRouter {
  readonly #tasksByType = new Map<string, CoreTask[]>();

  constructor(tasks: readonly CoreTask[]) {
    for (const task of tasks) {
      for (const type of task.accepts) {
        const tasksOfType = this.#tasksByType.get(type) ?? [];
        tasksOfType.push(task);
        this.#tasksByType.set(type, tasksOfType);
      }
    }
  }

  /** Delivers an event and all messages that result from it; returns the effects for the host process to carry out. */
  deliver(event: HostEvent, nowMs: number): HostEffect[] {
    const effects: HostEffect[] = [];
    const queue: CoreMessage[] = [event];
    for (const message of queue) {
      if (isEffect(message)) {
        effects.push(message);
        continue;
      }
      for (const task of this.#tasksByType.get(message.type) ?? []) {
        queue.push(...task.receive(message, nowMs));
      }
    }
    return effects;
  }
}
