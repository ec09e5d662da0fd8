/** The command-line interface of the `godwitspring` binary. */
export {createCli} from './createCli.ts';
