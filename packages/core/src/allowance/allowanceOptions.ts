import type {HashFunction} from '../time/hashFunction.ts';
import {DEFAULT_LEASE_BOUNDS} from '../membership/membershipOptions.ts';
import type {AllowanceClass} from '../messages/peerMessages.ts';
import type {LeaseBounds} from '../membership/membershipOptions.ts';

/** Options that the lender, home and entry sides of the allowances share. */
export interface AllowanceOptions {
  readonly selfId: string;
  readonly hash: HashFunction;
  readonly allowanceClass: AllowanceClass;
  readonly bounds: LeaseBounds;
  /** First number of asks and grants; differs between processes at the same host. Default: 1. */
  readonly firstNonce: number;
  /** Groups into which customers are hashed; each group has one home. Default: 12. */
  readonly bucketCount: number;
  /** Interval between renewals of loans, in ms. Default: 800. */
  readonly renewIntervalMs: number;
  /** Longest life of tokens at an entry host, in ms. Default: 250. */
  readonly maxGrantLifeMs: number;
  /** Shortest life of tokens at an entry host, in ms. Default: 30. */
  readonly minGrantLifeMs: number;
}

export const DEFAULT_ALLOWANCE_OPTIONS = {
  allowanceClass: 'rates',
  firstNonce: 1,
  bounds: DEFAULT_LEASE_BOUNDS,
  bucketCount: 12,
  renewIntervalMs: 800,
  maxGrantLifeMs: 250,
  minGrantLifeMs: 30,
} as const;

export type RequiredAllowanceOptions = Pick<AllowanceOptions, 'selfId' | 'hash'>;

/** Fills the defaults in. */
export function allowanceOptions(
  options: Partial<AllowanceOptions> & RequiredAllowanceOptions,
): AllowanceOptions {
  return {...DEFAULT_ALLOWANCE_OPTIONS, ...options};
}
