import type {PlaceAsk} from '../../messages/peerMessages.ts';

/** A placement query of a request that may run only once, for a server of backend `b`. */
export function createPlaceAsk(fields: Partial<PlaceAsk>): PlaceAsk {
  return {
    type: 'placeAsk',
    askId: 1,
    backendId: 'b',
    routeId: 'r',
    customerId: '',
    isRepeatable: false,
    isRepeat: false,
    priority: 0,
    avoidedIds: [],
    connectedIds: [],
    leftMs: 1_000,
    requestDigest: '',
    requestName: '',
    bodyBytes: 0,
    ...fields,
  };
}
