import {bodyOf, digestOf} from './bodyOf.ts';
import {lateHeadMs} from './drawTrial.ts';
import {copyOf, declaresEndByCopy} from './lateCopy.ts';
import type {EarlierResponse} from './lateCopy.ts';
import {responseHead} from './responseHead.ts';
import {ResponsePlan} from './responsePlan.ts';
import type {ResponseStep} from './responsePlan.ts';
import type {AttemptRecord, Trial} from './trial.ts';

/** A response as its server will send it, and what the server means by it. */
export interface PlannedResponse {
  readonly steps: readonly ResponseStep[];
  readonly wholeDigest: string;
  /** How the steps end the response where the other side leaves them time. */
  readonly ending: AttemptRecord['ending'];
}

/** Size of one write of bytes without end. */
const repeatBytes = 16_384;
/** Bound on bytes without end where the other side does not close, in bytes. */
const maxRepeatBytes = 64_000_000;
/** Last bytes before a reset, in bytes: they are written in one turn with it. */
const lastPartBytes = 4_096;

/**
 * Plans the response to an attempt. `earlier` is the last response of the connection, if there is one.
 */
export function planResponse(
  trial: Trial,
  attempt: number,
  earlier: EarlierResponse | undefined,
): PlannedResponse {
  const {id, bodyBytes, plannedAttempt, way} = trial;
  const body = bodyOf(id, attempt, bodyBytes);
  const wholeDigest = digestOf(body);
  const plan = new ResponsePlan(trial);
  const isLate = way === 'hedge' && attempt === 1;
  const head = responseHead(trial, wholeDigest);
  plan.pause(isLate ? lateHeadMs : trial.headDelayMs);
  plan.writeHead(head);
  const end = attempt === plannedAttempt ? trial.end : 'whole';
  const planned = {steps: plan.steps, wholeDigest};
  if (end === 'whole') {
    plan.writeParts(body);
    plan.finish();
    return {...planned, ending: 'whole'};
  }
  const start = body.subarray(0, trial.cutBytes);
  const isLastPartShort = trial.partGapMs > 0 && (end === 'resetSameTurn' || end === 'resetLater');
  plan.writeParts(start, isLastPartShort ? lastPartBytes : trial.partBytes);
  const fillsLength = (otherBytes: number): boolean =>
    trial.framing === 'length' && otherBytes >= bodyBytes - trial.cutBytes;
  switch (end) {
    case 'closedEarly':
      plan.steps.push({type: 'close'});
      return {...planned, ending: 'closed'};
    case 'resetSameTurn':
      plan.steps.push({type: 'reset'});
      return {...planned, ending: 'reset'};
    case 'resetLater':
      plan.pause(trial.resetDelayMs);
      plan.steps.push({type: 'reset'});
      return {...planned, ending: 'reset'};
    case 'silence':
      plan.steps.push({type: 'silence'});
      return {...planned, ending: 'open'};
    case 'otherBytes': {
      plan.writeRaw(Buffer.alloc(trial.extraBytes, '#'));
      plan.declareIf(fillsLength(trial.extraBytes));
      plan.steps.push({type: 'close'});
      return {...planned, ending: 'closed'};
    }
    case 'endless':
    case 'endlessThenClose': {
      const other = Buffer.alloc(repeatBytes, '#');
      const part = trial.isExtraFramed ? plan.frame(other) : other;
      const limitBytes = end === 'endless' ? maxRepeatBytes : trial.extraBytes;
      plan.declareIf(fillsLength(limitBytes));
      plan.steps.push({type: 'repeat', part, limitBytes});
      plan.steps.push(end === 'endless' ? {type: 'silence'} : {type: 'close'});
      return {...planned, ending: end === 'endless' ? 'open' : 'closed'};
    }
    case 'lateCopy': {
      const copied = earlier ?? {trial, attempt};
      plan.writeRaw(copyOf(copied, trial.copyForm));
      plan.declareIf(declaresEndByCopy(trial, copied.trial, head.length));
      plan.writeParts(body.subarray(trial.cutBytes));
      plan.finish();
      return {...planned, ending: 'closed'};
    }
  }
}
