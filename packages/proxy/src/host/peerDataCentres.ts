import type {PeerMessage} from '@godwitspring/core';

type RosterNews = Extract<PeerMessage, {type: 'rosterNews'}>;

/** Data centres of the other hosts, as the gossip that arrives names them. */
export class PeerDataCentres {
  readonly #ownDataCentre: string;
  readonly #dataCentreByHost = new Map<string, string>();

  constructor(ownDataCentre: string) {
    this.#ownDataCentre = ownDataCentre;
  }

  /** Records the data centres of the members that a message lists. */
  record({members, dataCentres}: RosterNews): void {
    for (const {hostId, dataCentre, isLeaving} of members) {
      const name = dataCentres[dataCentre];
      if (isLeaving || name === undefined) {
        this.#dataCentreByHost.delete(hostId);
      } else {
        this.#dataCentreByHost.set(hostId, name);
      }
    }
  }

  /** Whether a host is in the same data centre; `unknown` before gossip names it. */
  scopeOf(hostId: string): 'local' | 'remote' | 'unknown' {
    const dataCentre = this.#dataCentreByHost.get(hostId);
    if (dataCentre === undefined) {
      return 'unknown';
    }
    return dataCentre === this.#ownDataCentre ? 'local' : 'remote';
  }
}
