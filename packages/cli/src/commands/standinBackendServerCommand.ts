import {readFile} from 'node:fs/promises';
import {checkDocument} from '@godwitspring/document';
import {splitAddress} from '@godwitspring/proxy';
import {SimulatedBackendServer} from '@godwitspring/standins';
import {Command, Option} from 'clipanion';
import {waitForStopSignal} from '@godwitspring/proxy';

/** `standin backend-server`: runs simulated backend servers (test doubles) in one process. */
export class StandinBackendServerCommand extends Command {
  static override paths = [['standin', 'backend-server']];

  static override usage = Command.Usage({
    description: 'run simulated backend servers',
    details: `
      Test doubles: runs one server with "--id" and "--listen", or every server of a document with
      "--document". Change the behaviour of a server with "PUT /-/behaviour"; "GET /-/report" shows what it
      ran.

      Exit codes: 0 stopped by a signal, 1 neither a server nor a valid document was given.
    `,
    examples: [
      ['Run one server', 'godwitspring standin backend-server --id a-1 --listen 127.0.0.1:8081'],
      [
        'Run all servers of an example',
        'godwitspring standin backend-server --document examples/tasas.document.json',
      ],
    ],
  });

  serverId = Option.String('--id', {description: 'id of the one server'});
  listen = Option.String('--listen', {description: 'IP:port of the one server'});
  document = Option.String('--document', {
    description: 'document whose servers are all run, JSON',
  });
  serviceMs = Option.String('--service-ms', '2', {
    description: 'processing time of a request, in ms',
  });

  override async execute(): Promise<number> {
    const servers = await this.#servers();
    if (servers.length === 0) {
      this.context.stderr.write('give --id and --listen, or --document with a valid document\n');
      return 1;
    }
    for (const server of servers) {
      await server.start();
    }
    this.context.stdout.write(
      `${JSON.stringify({event: 'standin.started', servers: servers.length})}\n`,
    );
    await waitForStopSignal();
    for (const server of servers) {
      server.stop();
    }
    return 0;
  }

  /** Builds the one server of the options or every server of the document; empty where neither is valid. */
  async #servers(): Promise<SimulatedBackendServer[]> {
    const behaviour = {serviceMs: Number(this.serviceMs)};
    if (this.serverId !== undefined && this.listen !== undefined) {
      const {host, port} = splitAddress(this.listen);
      const options = {
        serverId: this.serverId,
        listenHost: host,
        listenPort: port,
        behaviour,
      };
      return [new SimulatedBackendServer(options)];
    }
    if (this.document === undefined) {
      return [];
    }
    const checked = checkDocument(JSON.parse(await readFile(this.document, 'utf8')));
    if (checked.isErr()) {
      return [];
    }
    const servers: SimulatedBackendServer[] = [];
    for (const backend of checked.value.backends) {
      for (const {id, origin} of backend.servers) {
        const {hostname, port} = new URL(origin);
        servers.push(
          new SimulatedBackendServer({
            serverId: id,
            listenHost: hostname,
            listenPort: Number(port),
            slots: backend.slotsPerServer,
            maxConnections: backend.connectionsPerServer,
            behaviour,
          }),
        );
      }
    }
    return servers;
  }
}
