/** Operators' web console: forms for editing the published document; the result is one validated document. */
export {ConsoleTask} from './consoleTask.ts';
export type {ConsoleTaskOptions} from './consoleTask.ts';
