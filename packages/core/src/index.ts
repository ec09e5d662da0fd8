/**
 * The core of a proxy host: all its decisions, as a deterministic function of events, without input or output.
 * The packages around it own the sockets, files and timers.
 */
export {HostCore} from './host/hostCore.ts';
export type {HostCoreOptions, RequiredHostCoreOptions} from './host/hostCore.ts';
export {createGossipCore} from './host/gossipCore.ts';
export type {GossipCoreOptions} from './host/gossipCore.ts';
export {fleetBoundsSchema, DEFAULT_FLEET_BOUNDS} from './fleet/fleetBounds.ts';
export type {FleetBounds} from './fleet/fleetBounds.ts';
export {PlacementHomeTask} from './placement/placementHomeTask.ts';
export type {PlacementHomeTaskOptions} from './placement/placementHomeTask.ts';
export {rankHosts} from './fleet/rankHosts.ts';
export {customerHomeKey} from './quota/customerHomeKey.ts';
export type {CoreTask} from './host/coreTask.ts';
export {hostEventSchema, hostEffectSchema, taskMessageSchema} from './messages/coreMessage.ts';
export type {CoreMessage, HostEffect, HostEvent, TaskMessage} from './messages/coreMessage.ts';
export {peerMessageSchema} from './messages/peerMessages.ts';
export type {StoredResponse, PeerMessage} from './messages/peerMessages.ts';
export type {
  AttemptFailure,
  FailureReason,
  HeadScreened,
  RefuseRequest,
  RequestArrived,
  StartAttempt,
} from './messages/requestMessages.ts';
export type {ServerNotice} from './messages/serverNotice.ts';
export {bodyFramingSchema} from './responses/bodyFraming.ts';
export type {BodyFraming} from './responses/bodyFraming.ts';
export {chooseFraming, judgeCompleteness} from './responses/responseCompleteness.ts';
export type {Completeness} from './responses/responseCompleteness.ts';
export type {SendProbe} from './messages/hostMessages.ts';
export type {DialServer} from './messages/requestMessages.ts';
export {responseTable} from './errors/responseTable.ts';
export type {ErrorResponse} from './errors/responseTable.ts';
export {errorKindSchema} from './errors/errorKinds.ts';
export type {ErrorKind, Outcome} from './errors/errorKinds.ts';
export {SeededRandom} from './random/seededRandom.ts';
export type {RandomSource} from './random/randomSource.ts';
export type {HashFunction} from './hash/hashFunction.ts';
export {DEFAULT_LEASE_BOUNDS, listRetirementMs} from './membership/membershipOptions.ts';
export type {LeaseBounds} from './membership/membershipOptions.ts';
export type {ServerCandidate, LoadBalancingPolicy} from './routing/loadBalancingPolicy.ts';
export {isStatusLine} from './responses/statusLine.ts';
export {DEFAULT_REGISTRY_OPTIONS} from './registry/registryTask.ts';
export {isAfter} from './registry/registryPosition.ts';
export type {RegistryPosition} from './registry/registryPosition.ts';
export {DEFAULT_INTAKE_OPTIONS, callerMemoryBytes, maxConnections} from './intake/intakeOptions.ts';
export type {IntakeAddress, IntakeOptions} from './intake/intakeOptions.ts';
export {MemoryBudget} from './intake/memoryBudget.ts';
export type {Reservation} from './intake/memoryBudget.ts';
export {TransferRate} from './intake/transferRate.ts';
export {LongestStall} from './intake/evictionPolicy.ts';
export type {
  ConnectionActivity,
  ConnectionView,
  EvictionPolicy,
  ScarceResource,
} from './intake/evictionPolicy.ts';
export {PipelineWindow} from './intake/pipelineWindow.ts';
export {IncompleteMessages} from './intake/incompleteMessages.ts';
export {
  DEFAULT_RESPONSE_MEMORY_BUDGET_OPTIONS,
  ResponseMemoryBudget,
} from './responses/responseMemoryBudget.ts';
export type {
  ResponseMemory,
  ResponseMemoryBudgetOptions,
} from './responses/responseMemoryBudget.ts';
