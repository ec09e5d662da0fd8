import type {RegistryChange} from '@godwitspring/document';

/** True for a change after which a server gets no more requests. */
export function takesServerOut(change: RegistryChange): boolean {
  return (
    change.kind === 'serverGone' || (change.kind === 'server' && change.server.state === 'draining')
  );
}
