/** Hosts of the proxy fleet, with the tasks that own their sockets and timers. */
export {ProxyHost} from './host/proxyHost.ts';
export type {ProxyHostOptions} from './host/proxyHost.ts';
export {createLog} from './host/createLog.ts';
export {loadXxHash} from './host/xxHash.ts';
export {splitAddress} from './host/splitAddress.ts';
export {
  customerHeader,
  deadlineHeader,
  requestIdHeader,
  utf8HeaderValue,
} from './callers/headers.ts';
export {listenOn} from './task/listenOn.ts';
export {Mailbox} from './task/mailbox.ts';
export type {TimerService, TimerHandle} from './timer/timerService.ts';
export {SystemTimerService} from './timer/systemTimerService.ts';
export type {Platform, HostListUpdate} from './platform/platform.ts';
export {HttpPlatform} from './platform/httpPlatform.ts';
export {readBoundedText} from './platform/readBoundedText.ts';
export {ResponseTooLargeError} from './errors/hostErrors.ts';
export {GossipHost} from './host/gossipHost.ts';
export type {GossipHostAddresses, GossipHostOptions} from './host/gossipHost.ts';
export type {
  ResponseClassification,
  AttemptHeaderValues,
  HttpDialect,
  Refusal,
  RefusalOptions,
} from './dialect/httpDialect.ts';
export {decodeServerNotice} from './dialect/decodeServerNotice.ts';
export {budgetMs, digestOfKey, singleHeader} from './callers/requestHead.ts';
export type {RegistryReading, RegistrySource} from './registry/registrySource.ts';
export {DEFAULT_REGISTRY_WATCH_OPTIONS} from './registry/registryWatchTask.ts';
export {waitForStopSignal} from './host/waitForStopSignal.ts';
