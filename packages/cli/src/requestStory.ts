import {z} from 'zod';

const lineSchema = z.looseObject({
  time: z.string(),
  host: z.string().optional(),
  event: z.string(),
  requestName: z.string(),
});

type LogLine = z.infer<typeof lineSchema>;

function field(line: LogLine, name: string): string {
  const value = line[name];
  return typeof value === 'string' || typeof value === 'number' ? String(value) : '?';
}

function percent(line: LogLine, name: string): string {
  const value = line[name];
  return typeof value === 'number' ? `${(value * 100).toFixed(1)} %` : '?';
}

function rounded(line: LogLine, name: string): string {
  const value = line[name];
  return typeof value === 'number' ? String(Math.round(value)) : '?';
}

function provenAgo(line: LogLine): string {
  const agoMs = line.provenAgoMs;
  return typeof agoMs === 'number' ? `${Math.round(agoMs)} ms ago` : 'never';
}

/** Each event that touches a request, in words. */
const tellers: Readonly<Record<string, (line: LogLine) => string>> = {
  'request.notAdmitted': (line) =>
    `refused on arrival as ${field(line, 'kind')}; version ${field(line, 'version')} in force, ` +
    `view fresh for another ${field(line, 'freshForMs')} ms`,
  'place.granted': (line) =>
    `home grants server ${field(line, 'serverId')} after a wait of ${rounded(line, 'waitedMs')} ms; ` +
    `risk ${percent(line, 'risk')}, last proved well ${provenAgo(line)}, ` +
    `${field(line, 'waiting')} others wait`,
  'place.waiting': (line) =>
    `home lets it wait; ${field(line, 'waiting')} wait for ${field(line, 'servers')} servers, ` +
    `expected wait ${rounded(line, 'expectedWaitMs')} ms`,
  'place.refused': (line) =>
    `home refuses a server: ${field(line, 'kind')}; ${field(line, 'waiting')} wait for ` +
    `${field(line, 'servers')} servers`,
  'place.alone': (line) =>
    `no home answers; this host chooses server ${field(line, 'serverId')} by itself`,
  'place.homeSilent': (line) =>
    `home ${field(line, 'homeId')} did not answer for ${field(line, 'silentMs')} ms`,
  'quota.refused': (line) =>
    `home of customer ${field(line, 'customerId')} refuses: ${field(line, 'admitted')} requests in ` +
    `${field(line, 'windowMs')} ms at ${field(line, 'ratePerSecond')}/s and a burst of ` +
    `${field(line, 'burstRequests')}; part of the rate handed out ${percent(line, 'fleetShare')}`,
  'quota.homeSilent': (line) => `home ${field(line, 'homeId')} of the customer did not answer`,
  'attempt.started': (line) =>
    `attempt ${field(line, 'attempt')} starts on ${field(line, 'serverId')}, ` +
    `${field(line, 'sinceArrivalMs')} ms after arrival, ${field(line, 'leftMs')} ms left`,
  'attempt.failed': (line) =>
    `attempt ${field(line, 'attempt')} on ${field(line, 'serverId')} ended as ` +
    `${field(line, 'outcome')} after ${field(line, 'ranForMs')} ms`,
  'request.delivering': (line) =>
    `answer ${field(line, 'status')} of ${field(line, 'serverId')} goes to the caller, ` +
    `${field(line, 'totalMs')} ms after arrival`,
  'request.refused': (line) =>
    `refused as ${field(line, 'kind')} (${field(line, 'outcome')}) while in phase ` +
    `${field(line, 'phase')}, ${field(line, 'afterMs')} ms after arrival`,
  'request.callerLeft': (line) =>
    `the caller left in phase ${field(line, 'phase')}, ${field(line, 'afterMs')} ms after arrival`,
};

function parseLine(text: string): LogLine | undefined {
  try {
    return lineSchema.safeParse(JSON.parse(text)).data;
  } catch {
    // Lines that are no JSON come from other programs that share the output.
    return undefined;
  }
}

/** What became of one request, from the log lines of all hosts that took part, in time order. */
export function requestStory(requestName: string, logTexts: readonly string[]): string[] {
  const lines: LogLine[] = [];
  for (const text of logTexts) {
    for (const row of text.split('\n')) {
      const line = row.includes(requestName) ? parseLine(row) : undefined;
      if (line?.requestName === requestName) {
        lines.push(line);
      }
    }
  }
  lines.sort((one, other) => (one.time < other.time ? -1 : one.time > other.time ? 1 : 0));
  return lines.map((line) => {
    const tell = tellers[line.event];
    return `${line.time} ${line.host ?? '?'}: ${tell === undefined ? line.event : tell(line)}`;
  });
}
