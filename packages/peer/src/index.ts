/** Connections between hosts: WebSockets that carry messages encoded as MessagePack. */
export {PeerTask} from './peerTask.ts';
export type {PeerTaskOptions, PeerReport} from './peerTask.ts';
export {PeerCodec} from './peerCodec.ts';
