/** Command line of the one binary. */
export {createCli} from './createCli.ts';
