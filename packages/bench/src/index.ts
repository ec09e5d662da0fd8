/** Simulated fleets under virtual time and oracles to check them, for tests and measurements. */
export {SimulatedFleet, poisonPath, sha256} from './fleet/simulatedFleet.ts';
export type {SimulatedFleetOptions, RequestOutcome, SentAttempt} from './fleet/simulatedFleet.ts';
export {testDocument} from './fleet/testDocument.ts';
export {IdealTokenBucket} from './oracles/idealTokenBucket.ts';
export {worstExcess} from './oracles/worstExcess.ts';
