/** A point in the history of the registry. */
export interface RegistryPosition {
  /** Counts how often the registry returned from an earlier copy of itself; revisions are given out again then. */
  readonly epoch: number;
  /** Counts the changes of the registry; 0 before the first. */
  readonly revision: number;
}

/** True if the first position comes after the second. */
export function isAfter(one: RegistryPosition, other: RegistryPosition): boolean {
  return one.epoch === other.epoch ? one.revision > other.revision : one.epoch > other.epoch;
}
