import type {RandomSource} from '@godwitspring/core';
import {bodySizes, copyForms, endsByClose, endsHost, framings, responseEnds} from './trial.ts';
import type {Framing, ResponseEnd, Trial, Way} from './trial.ts';

/** Size of a body that exceeds what the kernel buffers for a slow reader, in bytes. */
const slowReaderBytes = 12_000_000;
/** Bodies of requests, in bytes: the last one is larger than what a host can send again. */
const uploadSizes = [1, 900, 20_000, 150_000, 600_000] as const;
/** Sizes of the parts in which a body is written, in bytes. */
const partSizes = [1_000, 16_384, 65_536, 1_000_000] as const;
/** Most parts that are followed by a pause, so that a trial does not last longer than its route allows. */
const maxPauses = 40;
/** Share of the responses that are sound, in percent. */
const wholePercent = 35;
/** Time until the head of an attempt that is joined by a hedged one, in ms: more than the target latency of its route. */
export const lateHeadMs = 1_500;

/** What is fixed of a trial before the rest is drawn. */
export interface TrialFrame {
  readonly seed: number;
  readonly number: number;
  readonly way: Way;
  /** Drawn where absent, as are those below. */
  readonly framing?: Framing;
  readonly end?: ResponseEnd;
  readonly bodyBytes?: number;
  readonly cutBytes?: number;
  readonly callerVersion?: Trial['callerVersion'];
}

function pick<Item>(random: RandomSource, items: readonly Item[]): Item {
  return items[random.nextInt(items.length)] as Item;
}

/** Draws an end: sound or, with equal weights, one of the others. */
function drawEnd(random: RandomSource): ResponseEnd {
  const broken = responseEnds.filter((end) => end !== 'whole');
  return random.nextInt(100) < wholePercent ? 'whole' : pick(random, broken);
}

/** Draws where a body of some size breaks off: at one of the bounds, just before its end, or anywhere. */
function drawCut(random: RandomSource, bodyBytes: number): number {
  const bounds = bodySizes.filter((size) => size < bodyBytes);
  switch (random.nextInt(4)) {
    case 0:
      return pick(random, bounds.length === 0 ? [0] : bounds);
    case 1:
      return Math.max(0, bodyBytes - 1);
    default:
      return random.nextInt(bodyBytes + 1);
  }
}

/** Draws the version of the caller; one of HTTP/1.0 learns the end of a body by the close of its connection. */
function drawCallerVersion(random: RandomSource, way: Way): Trial['callerVersion'] {
  const isMixed = way === 'timeout' || way === 'relay' || endsHost(way);
  return way === 'http10Caller' || (isMixed && random.nextInt(4) === 0) ? '1.0' : '1.1';
}

function drawMethod(random: RandomSource, way: Way): Pick<Trial, 'method' | 'uploadBytes'> {
  // A body that is too large to be sent again would keep the request from being hedged.
  const sizes = way === 'hedge' ? uploadSizes.slice(0, -1) : uploadSizes;
  return random.nextInt(4) === 0
    ? {method: 'GET', uploadBytes: 0}
    : {method: 'POST', uploadBytes: pick(random, sizes)};
}

/** Draws the parts of a body. On the ways that end a running response, its parts take about as long as that may take. */
function drawParts(
  random: RandomSource,
  way: Way,
  cutBytes: number,
): Pick<Trial, 'partBytes' | 'partGapMs'> {
  const isCutShort = way === 'timeout' || endsHost(way);
  const partBytes = Math.max(pick(random, partSizes), Math.ceil(cutBytes / maxPauses));
  if (!isCutShort) {
    return {partBytes, partGapMs: pick(random, [0, 0, 1, 5])};
  }
  const pauses = Math.max(1, Math.ceil(cutBytes / partBytes) - 1);
  return {partBytes, partGapMs: Math.ceil((100 + random.nextInt(1_900)) / pauses)};
}

/** Draws one trial. */
export function drawTrial(random: RandomSource, frame: TrialFrame): Trial {
  const {seed, number, way} = frame;
  const framing = frame.framing ?? pick(random, framings);
  const end = frame.end ?? drawEnd(random);
  const isLarge = way === 'slowReader' && random.nextInt(4) === 0;
  const bodyBytes = frame.bodyBytes ?? (isLarge ? slowReaderBytes : pick(random, bodySizes));
  const cutBytes = end === 'whole' ? bodyBytes : (frame.cutBytes ?? drawCut(random, bodyBytes));
  const isHedge = way === 'hedge';
  return {
    id: `ends-${seed}-${number}`,
    seed,
    way,
    framing,
    end,
    callerVersion: frame.callerVersion ?? drawCallerVersion(random, way),
    ...drawMethod(random, way),
    bodyBytes,
    // A body without a declared end that breaks off at its end is whole.
    cutBytes:
      end === 'closedEarly' && endsByClose({framing})
        ? Math.max(0, Math.min(cutBytes, bodyBytes - 1))
        : cutBytes,
    ...drawParts(random, way, cutBytes),
    headDelayMs: pick(random, [0, 0, 2, 20]),
    resetDelayMs: 1 + random.nextInt(10),
    extraBytes: pick(random, [10, 900, 20_000, 100_000, 400_000, 2_000_000]),
    isExtraFramed: random.nextInt(2) === 0,
    copyForm: pick(random, copyForms),
    plannedAttempt: isHedge ? 1 + random.nextInt(2) : 1,
  };
}
