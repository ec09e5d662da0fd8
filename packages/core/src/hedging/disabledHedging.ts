import type {HedgeDecision, HedgingPolicy} from './hedgingPolicy.ts';

/** Sends no hedged attempts. */
export class DisabledHedging implements HedgingPolicy {
  readonly mayWait = false;

  delayMs(): undefined {
    return undefined;
  }

  decide(): HedgeDecision {
    return 'disabled';
  }
}
