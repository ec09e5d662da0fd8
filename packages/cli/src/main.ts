// Entry point of the binary: runs the command named by the process arguments and sets the exit code.
import {createCli} from './createCli.ts';

void createCli().runExit(process.argv.slice(2));
