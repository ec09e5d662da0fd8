import {DEFAULT_LEASE_BOUNDS} from '../membership/membershipOptions.ts';
import type {LeaseBounds} from '../membership/membershipOptions.ts';
import type {HashFunction} from '../hash/hashFunction.ts';
import {DEFAULT_FAILURE_EVIDENCE_OPTIONS} from './failureEvidence.ts';
import type {FailureEvidenceOptions} from './failureEvidence.ts';

/** Settings of the tasks that report, eject and readmit backend servers, shared by entry hosts and homes. */
export interface HealthOptions {
  /** Id of this host. */
  readonly selfId: string;
  readonly hash: HashFunction;
  /** Bounds on clock drift and message delay, from which the leases of loans are derived. */
  readonly bounds: LeaseBounds;
  /** Number of the first query; differs between processes on the same host. Default: 1. */
  readonly firstNonce: number;
  /** Number of hash buckets into which backends are grouped; each bucket has one home. Default: 6. */
  readonly bucketCount: number;
  /** Interval between the health reports of one host, in ms. Default: 400. */
  readonly reportIntervalMs: number;
  /** Time for which an entry host follows a home's decision after its report, in ms. Default: 1,500. */
  readonly decisionLifetimeMs: number;
  /** Time of a server's first ejection, in ms; doubles with each further ejection. Default: 5,000. */
  readonly ejectionMs: number;
  /** Maximum time of one ejection, in ms. Default: 120,000. */
  readonly maxEjectionMs: number;
  /** Time without a change of state after which earlier ejections no longer count, in ms. Default: 600,000. */
  readonly ejectionMemoryMs: number;
  /** Settings of the failure detector. */
  readonly evidence: FailureEvidenceOptions;
}

/** Defaults of {@link HealthOptions}. */
export const DEFAULT_HEALTH_OPTIONS = {
  bounds: DEFAULT_LEASE_BOUNDS,
  firstNonce: 1,
  bucketCount: 6,
  reportIntervalMs: 400,
  decisionLifetimeMs: 1_500,
  ejectionMs: 5_000,
  maxEjectionMs: 120_000,
  ejectionMemoryMs: 600_000,
  evidence: DEFAULT_FAILURE_EVIDENCE_OPTIONS,
} as const;

/** The options that have no default. */
export type RequiredHealthOptions = Pick<HealthOptions, 'selfId' | 'hash'>;

/** Completes partial options with the defaults. */
export function resolveHealthOptions(
  options: Partial<HealthOptions> & RequiredHealthOptions,
): HealthOptions {
  return {...DEFAULT_HEALTH_OPTIONS, ...options};
}

/**
 * Home key of a backend. Its hash selects the backend's bucket, and the home of that bucket decides on
 * the backend's servers for the whole fleet.
 */
export function backendHomeKey(backendId: string): string {
  return `backend:${backendId}`;
}
