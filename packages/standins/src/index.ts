/**
 * Test doubles for the surroundings of a fleet: a simulated platform, simulated backend servers, and a
 * generator of callers' load.
 */
export {SimulatedPlatform} from './platform/simulatedPlatform.ts';
export type {SimulatedPlatformOptions} from './platform/simulatedPlatform.ts';
export {SimulatedPlatformState} from './platform/simulatedPlatformState.ts';
export type {PlatformFaults} from './platform/simulatedPlatformState.ts';
export {SimulatedBackendServer} from './backendServer/simulatedBackendServer.ts';
export type {SimulatedBackendServerOptions} from './backendServer/simulatedBackendServer.ts';
export {patternBytes, patternDigest} from './backendServer/patternBytes.ts';
export {LoadGenerator} from './load/loadGenerator.ts';
export type {LoadGeneratorOptions, LoadReport} from './load/loadGenerator.ts';
