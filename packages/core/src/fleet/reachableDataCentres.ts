import type {LiveHost} from '../messages/hostMessages.ts';

/** Time for which a message shows that the data centre of its sender is reachable, in ms. */
const reachabilityMs = 3_000;

/** Tracks which data centres this host can reach, by the messages of any kind that it receives from there. */
export class ReachableDataCentres {
  readonly #lastMessageAtMs = new Map<string, number>();
  readonly #ownDataCentre: string;
  #dataCentreByHost = new Map<string, string>();
  #hostsByDataCentre = new Map<string, number>();

  constructor(ownDataCentre: string) {
    this.#ownDataCentre = ownDataCentre;
  }

  /** Sets the live hosts and their data centres. */
  setLiveHosts(live: readonly LiveHost[]): void {
    this.#dataCentreByHost = new Map(live.map(({hostId, dataCentre}) => [hostId, dataCentre]));
    this.#hostsByDataCentre = new Map();
    for (const {dataCentre} of live) {
      const hosts = this.#hostsByDataCentre.get(dataCentre) ?? 0;
      this.#hostsByDataCentre.set(dataCentre, hosts + 1);
    }
  }

  /** Records that a message of a host arrived. */
  recordMessage(hostId: string, nowMs: number): void {
    const dataCentre = this.#dataCentreByHost.get(hostId);
    if (dataCentre !== undefined) {
      this.#lastMessageAtMs.set(dataCentre, nowMs);
    }
  }

  /** Share of the live hosts that are in reachable data centres, 0 to 1. */
  share(nowMs: number): number {
    let reachable = 0;
    let total = 0;
    for (const [dataCentre, hosts] of this.#hostsByDataCentre) {
      total += hosts;
      const lastMessageAtMs = this.#lastMessageAtMs.get(dataCentre) ?? Number.NEGATIVE_INFINITY;
      const isReachable =
        dataCentre === this.#ownDataCentre || nowMs - lastMessageAtMs <= reachabilityMs;
      reachable += isReachable ? hosts : 0;
    }
    return total === 0 ? 1 : reachable / total;
  }
}
