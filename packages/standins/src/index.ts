/** Small stand-ins for what surrounds the fleet: platform, backend servers and callers. */
export {PlatformStandin} from './platform/platformStandin.ts';
export type {PlatformStandinOptions} from './platform/platformStandin.ts';
export {PlatformState} from './platform/platformState.ts';
export type {PlatformFaults} from './platform/platformState.ts';
export {BackendServerStandin} from './backendServer/backendServerStandin.ts';
export type {BackendServerOptions} from './backendServer/backendServerStandin.ts';
export {patternBytes, patternDigest} from './backendServer/patternBytes.ts';
export {LoadCaller} from './caller/loadCaller.ts';
export type {LoadOptions, LoadReport} from './caller/loadCaller.ts';
