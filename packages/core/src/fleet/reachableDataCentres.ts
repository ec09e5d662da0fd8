import type {LiveHost} from '../messages/hostMessages.ts';

/** Time for which a message stands for the data centre that it came from, in ms. */
const reachabilityMs = 3_000;

/** From which data centres a host heard lately, by any message. */
export class ReachableDataCentres {
  readonly #lastMessageAtMs = new Map<string, number>();
  readonly #ownDataCentre: string;
  #dataCentreByHost = new Map<string, string>();
  #hostsByDataCentre = new Map<string, number>();

  constructor(ownDataCentre: string) {
    this.#ownDataCentre = ownDataCentre;
  }

  setLiveHosts(live: readonly LiveHost[]): void {
    this.#dataCentreByHost = new Map(live.map(({hostId, dataCentre}) => [hostId, dataCentre]));
    this.#hostsByDataCentre = new Map();
    for (const {dataCentre} of live) {
      const hosts = this.#hostsByDataCentre.get(dataCentre) ?? 0;
      this.#hostsByDataCentre.set(dataCentre, hosts + 1);
    }
  }

  recordMessage(hostId: string, nowMs: number): void {
    const dataCentre = this.#dataCentreByHost.get(hostId);
    if (dataCentre !== undefined) {
      this.#lastMessageAtMs.set(dataCentre, nowMs);
    }
  }

  /** Part of the live hosts that stand in data centres heard of lately, 0 to 1. */
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
