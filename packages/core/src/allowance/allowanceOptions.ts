import type {HashFunction} from '../hash/hashFunction.ts';
import {DEFAULT_LEASE_BOUNDS} from '../membership/membershipOptions.ts';
import type {AllowanceClass} from '../messages/peerMessages.ts';
import type {LeaseBounds} from '../membership/membershipOptions.ts';

/**
 * Options shared by the lender, home and entry tasks of the allowances.
 *
 * An allowance is a fleet-wide limit that is divided over the hosts by shares: the customers' rates and the
 * permission to eject servers. The home of a bucket borrows the shares of all hosts and decides for the fleet.
 */
export interface AllowanceOptions {
  /** Id of this host. */
  readonly selfId: string;
  /** Hash by which customers are grouped into buckets and buckets are assigned to hosts. */
  readonly hash: HashFunction;
  /** The kind of fleet-wide limit that is divided. Default: rates. */
  readonly allowanceClass: AllowanceClass;
  /** Time bounds of leases and loans. Default: `DEFAULT_LEASE_BOUNDS`. */
  readonly bounds: LeaseBounds;
  /** First number of queries and grants; differs between processes on the same host. Default: 1. */
  readonly firstNonce: number;
  /** Number of hash buckets into which keys such as customers are grouped; each bucket has one home. Default: 12. */
  readonly bucketCount: number;
  /** Interval between renewals of loans, in ms. Default: 800. */
  readonly renewIntervalMs: number;
  /** Longest lifetime of tokens granted to an entry host, in ms. Default: 250. */
  readonly maxGrantLifeMs: number;
  /** Shortest lifetime of tokens granted to an entry host, in ms. Default: 30. */
  readonly minGrantLifeMs: number;
}

/** Values of the options that a caller may leave out. */
export const DEFAULT_ALLOWANCE_OPTIONS = {
  allowanceClass: 'rates',
  firstNonce: 1,
  bounds: DEFAULT_LEASE_BOUNDS,
  bucketCount: 12,
  renewIntervalMs: 800,
  maxGrantLifeMs: 250,
  minGrantLifeMs: 30,
} as const;

/** Options without a default. */
export type RequiredAllowanceOptions = Pick<AllowanceOptions, 'selfId' | 'hash'>;

/** Completes the given options with the defaults. */
export function resolveAllowanceOptions(
  options: Partial<AllowanceOptions> & RequiredAllowanceOptions,
): AllowanceOptions {
  return {...DEFAULT_ALLOWANCE_OPTIONS, ...options};
}
