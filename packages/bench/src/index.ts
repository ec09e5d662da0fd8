/** Fleets in memory, oracles and baselines for tests and measurements. */
export {MemoryFleet, poisonPath, sha256} from './fleet/memoryFleet.ts';
export type {MemoryFleetOptions, RequestOutcome, SentAttempt} from './fleet/memoryFleet.ts';
export {testDocument} from './fleet/testDocument.ts';
export {IdealBucket} from './oracles/idealBucket.ts';
export {worstExcess} from './oracles/worstExcess.ts';
