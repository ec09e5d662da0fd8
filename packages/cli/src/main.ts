import {createCli} from './createCli.ts';

void createCli().runExit(process.argv.slice(2));
