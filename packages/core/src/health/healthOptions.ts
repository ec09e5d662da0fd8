import {DEFAULT_LEASE_BOUNDS} from '../membership/membershipOptions.ts';
import type {LeaseBounds} from '../membership/membershipOptions.ts';
import type {HashFunction} from '../time/hashFunction.ts';
import {DEFAULT_FAILURE_EVIDENCE_OPTIONS} from './failureEvidence.ts';
import type {FailureEvidenceOptions} from './failureEvidence.ts';

export interface HealthOptions {
  readonly selfId: string;
  readonly hash: HashFunction;
  readonly bounds: LeaseBounds;
  /** First number of asks; differs between processes at the same host. Default: 1. */
  readonly firstNonce: number;
  /** Groups into which backends are hashed; each group has one home. Default: 6. */
  readonly bucketCount: number;
  /** Interval between reports of one host, in ms. Default: 400. */
  readonly reportIntervalMs: number;
  /** Life of a verdict at an entry host, in ms. Default: 1,500. */
  readonly verdictLifeMs: number;
  /** First time for which a server stays ejected, in ms; doubles with each ejection. Default: 5,000. */
  readonly holdMs: number;
  /** Longest time for which a server stays ejected, in ms. Default: 120,000. */
  readonly maxHoldMs: number;
  /** Time in good health after which earlier ejections are forgotten, in ms. Default: 600,000. */
  readonly forgetMs: number;
  readonly evidence: FailureEvidenceOptions;
}

export const DEFAULT_HEALTH_OPTIONS = {
  bounds: DEFAULT_LEASE_BOUNDS,
  firstNonce: 1,
  bucketCount: 6,
  reportIntervalMs: 400,
  verdictLifeMs: 1_500,
  holdMs: 5_000,
  maxHoldMs: 120_000,
  forgetMs: 600_000,
  evidence: DEFAULT_FAILURE_EVIDENCE_OPTIONS,
} as const;

export type RequiredHealthOptions = Pick<HealthOptions, 'selfId' | 'hash'>;

/** Fills the defaults in. */
export function healthOptions(
  options: Partial<HealthOptions> & RequiredHealthOptions,
): HealthOptions {
  return {...DEFAULT_HEALTH_OPTIONS, ...options};
}

/** Key under which a backend is hashed to its home. */
export function backendKey(backendId: string): string {
  return `backend:${backendId}`;
}
