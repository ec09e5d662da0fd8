import {PlatformHostCommand} from '@godwitspring/platform';
import {Builtins, Cli} from 'clipanion';
import {ConsoleCommand} from './commands/consoleCommand.ts';
import {CheckCommand} from './commands/checkCommand.ts';
import {LoadCommand} from './commands/loadCommand.ts';
import {ProxyCommand} from './commands/proxyCommand.ts';
import {StandinBackendServerCommand} from './commands/standinBackendServerCommand.ts';
import {StandinPlatformCommand} from './commands/standinPlatformCommand.ts';
import {ExplainCommand} from './commands/explainCommand.ts';
import {ExplainRequestCommand} from './commands/explainRequestCommand.ts';
import {StatusCommand} from './commands/statusCommand.ts';
import {version} from './version.ts';

/** Builds the command-line interface. Exit codes: 0 success, 1 refused or failed, also for unknown flags. */
export function createCli(): Cli {
  const cli = new Cli({
    binaryLabel: 'godwitspring',
    binaryName: 'godwitspring',
    binaryVersion: version,
  });
  cli.register(Builtins.HelpCommand);
  cli.register(Builtins.VersionCommand);
  cli.register(ProxyCommand);
  cli.register(PlatformHostCommand);
  cli.register(CheckCommand);
  cli.register(ConsoleCommand);
  cli.register(StatusCommand);
  cli.register(ExplainCommand);
  cli.register(ExplainRequestCommand);
  cli.register(LoadCommand);
  cli.register(StandinPlatformCommand);
  cli.register(StandinBackendServerCommand);
  return cli;
}
