import {z} from 'zod';

/** Log line of a host about one request; the other fields depend on the event. */
const logLineSchema = z.looseObject({
  time: z.string(),
  host: z.string().optional(),
  event: z.string(),
  requestName: z.string(),
});

type LogLine = z.infer<typeof logLineSchema>;

/** A field of a log line as text; `?` where it is missing or neither a string nor a number. */
function field(line: LogLine, name: string): string {
  const value = line[name];
  return typeof value === 'string' || typeof value === 'number' ? String(value) : '?';
}

/** A fraction of a log line as a percentage; `?` where it is missing. */
function percent(line: LogLine, name: string): string {
  const value = line[name];
  return typeof value === 'number' ? `${(value * 100).toFixed(1)} %` : '?';
}

/** A number of a log line, rounded; `?` where it is missing. */
function rounded(line: LogLine, name: string): string {
  const value = line[name];
  return typeof value === 'number' ? String(Math.round(value)) : '?';
}

/** When the last successful attempt on the granted server started, as far as its home knows. */
function lastSuccess(line: LogLine): string {
  const elapsedMs = line.provenAgoMs;
  return typeof elapsedMs === 'number'
    ? `last success ${Math.round(elapsedMs)} ms ago`
    : 'no recent success';
}

/** Describes in words each log event that concerns a request, by event name. */
const eventDescriptions: Readonly<Record<string, (line: LogLine) => string>> = {
  'request.notAdmitted': (line) =>
    `refused on arrival as ${field(line, 'kind')}; document version ${field(line, 'version')} in force, ` +
    `confirmed as the newest for another ${field(line, 'freshForMs')} ms`,
  'place.granted': (line) =>
    `home grants server ${field(line, 'serverId')} after ${rounded(line, 'waitedMs')} ms in the queue; ` +
    `failure risk ${percent(line, 'risk')}, ${lastSuccess(line)}, ` +
    `${field(line, 'waiting')} requests left in the queue`,
  'place.waiting': (line) =>
    `home queues the request; ${field(line, 'waiting')} requests wait for ${field(line, 'servers')} servers, ` +
    `expected wait ${rounded(line, 'expectedWaitMs')} ms`,
  'place.refused': (line) =>
    `home grants no server: ${field(line, 'kind')}; ${field(line, 'waiting')} requests wait for ` +
    `${field(line, 'servers')} servers`,
  'place.alone': (line) =>
    `no home replied; local fallback chooses server ${field(line, 'serverId')}`,
  'place.homeSilent': (line) =>
    `home ${field(line, 'homeId')} did not reply within ${field(line, 'silentMs')} ms`,
  'quota.refused': (line) =>
    `home of customer ${field(line, 'customerId')} refuses: admitted ${field(line, 'admitted')} requests in ` +
    `${field(line, 'windowMs')} ms at ${field(line, 'ratePerSecond')}/s and a burst of ` +
    `${field(line, 'burstRequests')}; this home may admit ${percent(line, 'fleetShare')} of that`,
  'quota.homeSilent': (line) => `home ${field(line, 'homeId')} of the customer did not reply`,
  'attempt.started': (line) =>
    `attempt ${field(line, 'attempt')} starts on ${field(line, 'serverId')}, ` +
    `${field(line, 'sinceArrivalMs')} ms after arrival, ${field(line, 'leftMs')} ms left`,
  'attempt.failed': (line) =>
    `attempt ${field(line, 'attempt')} on ${field(line, 'serverId')} ended as ` +
    `${field(line, 'outcome')} after ${field(line, 'ranForMs')} ms`,
  'request.delivering': (line) =>
    `response ${field(line, 'status')} of ${field(line, 'serverId')} is sent to the caller, ` +
    `${field(line, 'totalMs')} ms after arrival; its server marks the end by ${field(line, 'framing')}`,
  'response.incomplete': (line) =>
    `response to attempt ${field(line, 'attempt')} of ${field(line, 'serverId')} is not complete: ` +
    `${field(line, 'failure')} (${field(line, 'reason')}) in phase ${field(line, 'phase')} after ` +
    `${field(line, 'ranForMs')} ms`,
  'request.refused': (line) =>
    `refused as ${field(line, 'kind')} (${field(line, 'outcome')}) in phase ` +
    `${field(line, 'phase')}, ${field(line, 'afterMs')} ms after arrival`,
  'request.callerLeft': (line) =>
    `the caller disconnected in phase ${field(line, 'phase')}, ${field(line, 'afterMs')} ms after arrival`,
};

/** Parses a line of a log; undefined where it is not a log line about a request. */
function parseLine(text: string): LogLine | undefined {
  try {
    return logLineSchema.safeParse(JSON.parse(text)).data;
  } catch {
    // Lines that are not JSON come from other programs that write to the same output.
    return undefined;
  }
}

/**
 * Describes what happened to one request, one line per event, in time order.
 *
 * `logTexts` are the logs of all hosts that handled the request. An event without a description is given by
 * its name.
 */
export function requestTimeline(requestName: string, logTexts: readonly string[]): string[] {
  const lines: LogLine[] = [];
  for (const text of logTexts) {
    for (const textLine of text.split('\n')) {
      const line = textLine.includes(requestName) ? parseLine(textLine) : undefined;
      if (line?.requestName === requestName) {
        lines.push(line);
      }
    }
  }
  lines.sort((one, other) => (one.time < other.time ? -1 : one.time > other.time ? 1 : 0));
  return lines.map((line) => {
    const describeEvent = eventDescriptions[line.event];
    return `${line.time} ${line.host ?? '?'}: ${describeEvent === undefined ? line.event : describeEvent(line)}`;
  });
}
