import {z} from 'zod';
import * as host from './hostMessages.ts';
import * as request from './requestMessages.ts';

/** Events that the host process reports to the core. */
export const hostEventSchema = z.discriminatedUnion('type', [
  request.requestArrivedSchema,
  request.headArrivedSchema,
  request.attemptAnsweredSchema,
  request.serverNoticedSchema,
  request.attemptFailedSchema,
  request.attemptFinishedSchema,
  request.callerLeftSchema,
  host.hostListReadSchema,
  host.manifestReadSchema,
  host.manifestUnchangedSchema,
  host.partReadSchema,
  host.partUnavailableSchema,
  host.peerMessageReceivedSchema,
  host.timerFiredSchema,
  host.shutdownWantedSchema,
  host.probeAnsweredSchema,
  host.statusWantedSchema,
  host.registryReadSchema,
  host.registryUnreadableSchema,
  host.shutdownAnnouncedSchema,
  host.peerAbsentSchema,
  host.clockGapDetectedSchema,
  host.seedsChangedSchema,
  request.serverConnectionsSchema,
  request.serverDialedSchema,
]);

/** Effects that the core requests from the host process, such as sending a message or starting a timer. */
export const hostEffectSchema = z.discriminatedUnion('type', [
  request.startAttemptSchema,
  request.headScreenedSchema,
  request.deliverAnswerSchema,
  request.discardAnswerSchema,
  request.cancelAttemptSchema,
  request.refuseRequestSchema,
  request.replayAnswerSchema,
  host.readPartSchema,
  host.watchRegistrySchema,
  host.limitCallersSchema,
  host.sendToPeerSchema,
  host.linkPeersSchema,
  host.timerWantedSchema,
  host.sendProbeSchema,
  host.countSchema,
  host.observeSchema,
  host.logSchema,
  host.statusReportedSchema,
  request.dialServerSchema,
  request.relayTargetsSchema,
]);

/** Messages between the tasks of the core; they never leave the process. */
export const taskMessageSchema = z.discriminatedUnion('type', [
  request.claimWantedSchema,
  request.claimGrantedSchema,
  request.claimRefusedSchema,
  request.claimFinalizedSchema,
  request.crashObservedSchema,
  request.silenceObservedSchema,
  request.requestSucceededSchema,
  request.poisonRequestBlockedSchema,
  request.poisonRequestClearedSchema,
  request.permitExpectedSchema,
  request.permitWantedSchema,
  request.permitGrantedSchema,
  request.permitRefusedSchema,
  request.serverWantedSchema,
  request.serverGrantedSchema,
  request.serverRefusedSchema,
  request.serverReleasedSchema,
  request.requestWithdrawnSchema,
  request.serverLimitsSchema,
  request.serversWithheldSchema,
  request.relayChangedSchema,
  request.relayFailedSchema,
  host.documentInForceSchema,
  host.membershipChangedSchema,
  host.freshUntilSchema,
  host.manifestConfirmedSchema,
  host.registeredServersChangedSchema,
  host.rosterChangedSchema,
]);

export type HostEvent = z.infer<typeof hostEventSchema>;
export type HostEffect = z.infer<typeof hostEffectSchema>;
export type TaskMessage = z.infer<typeof taskMessageSchema>;
/** Every message that a task of the core may receive or return. */
export type CoreMessage = HostEvent | HostEffect | TaskMessage;
export type CoreMessageType = CoreMessage['type'];

const effectTypes: ReadonlySet<string> = new Set(
  hostEffectSchema.options.map((option) => option.shape.type.value),
);

/** Returns whether a message is an effect for the host process and not for a task of the core. */
export function isEffect(message: CoreMessage): message is HostEffect {
  return effectTypes.has(message.type);
}
