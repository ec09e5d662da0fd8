/** Links between hosts: WebSocket connections that carry MessagePack. */
export {PeerTask} from './peerTask.ts';
export type {PeerTaskOptions, PeerReport} from './peerTask.ts';
export {PeerCodec} from './peerCodec.ts';
