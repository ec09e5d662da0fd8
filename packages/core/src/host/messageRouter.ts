import {isEffect} from '../messages/coreMessage.ts';
import type {CoreMessage, HostEffect, HostEvent} from '../messages/coreMessage.ts';
import type {CoreTask} from './coreTask.ts';

/** Delivers messages between the tasks of one host in the order in which they were sent. */
export class MessageRouter {
  readonly #tasksByType = new Map<string, CoreTask[]>();
  readonly #unhandledTypes = new Set<string>();

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
      const tasks = this.#tasksByType.get(message.type) ?? [];
      for (const task of tasks) {
        queue.push(...task.receive(message, nowMs));
      }
      if (tasks.length === 0 && message !== event) {
        effects.push(...this.#reportUnhandled(message.type));
      }
    }
    return effects;
  }

  /** Logs a message of a task that no task of this host receives, once for each type. */
  #reportUnhandled(type: string): HostEffect[] {
    if (this.#unhandledTypes.has(type)) {
      return [];
    }
    this.#unhandledTypes.add(type);
    return [{type: 'log', level: 'warn', event: 'message.unhandled', fields: {type}}];
  }
}
