import type {HedgingSettings} from '@godwitspring/document';
import type {FleetBounds} from '../fleet/fleetBounds.ts';
import {withDefaultHedging} from '../hedging/withDefaultHedging.ts';
import type {CoreMessage} from '../messages/coreMessage.ts';
import type {RegistryView} from './registryView.ts';

/** The view that is announced, and how long it counts as fresh. */
export interface RegistryAnnouncerOptions {
  readonly view: RegistryView;
  readonly bounds: FleetBounds;
  /** Part of the key withdrawal bound that is reserved for requests in transit, in ms. */
  readonly transitMarginMs: number;
  /** Limits on hedged attempts of the backends whose document has none; undefined for none. */
  readonly hedging: HedgingSettings | undefined;
}

/** How a document reached this host. */
export interface DocumentOrigin {
  /** Host that sent it, or `registry`. */
  readonly from: string;
  /** Host that read it from the registry. */
  readonly readByHostId: string;
  /** Age of the newest registry data, in ms. */
  readonly ageMs: number;
  /** Time for which the sender had had its newest data, in ms; undefined for the registry. */
  readonly heldMs: number | undefined;
}

/** Announces to the other tasks of a host, and in its log, what the registry holds and how recent that is. */
export class RegistryAnnouncer {
  readonly #options: RegistryAnnouncerOptions;
  readonly #view: RegistryView;
  #announcedVersion: number | undefined;
  #announcedLapsedIds = '';
  #wasFresh = false;

  constructor(options: RegistryAnnouncerOptions) {
    this.#options = options;
    this.#view = options.view;
  }

  /** Announces the document if its version is not in force yet. */
  announceDocument({from, readByHostId, ageMs, heldMs}: DocumentOrigin): readonly CoreMessage[] {
    const {document} = this.#view;
    const announcedVersion = this.#announcedVersion ?? -1;
    if (document === undefined || document.version <= announcedVersion) {
      return [];
    }
    const fields = {
      version: document.version,
      before: this.#announcedVersion ?? 0,
      from,
      readByHostId,
      ageMs: Math.round(ageMs),
      heldMs,
      routes: document.routes.length,
      customers: document.customers.length,
    };
    this.#announcedVersion = document.version;
    const manifest = {formatVersion: 1 as const, version: document.version, parts: []};
    return [
      {
        type: 'documentInForce',
        document: withDefaultHedging(document, this.#options.hedging),
        manifest,
      },
      {type: 'log', level: 'info', event: 'configuration.inForce', fields},
      {type: 'count', name: 'configuration.inForce', tags: {}},
    ];
  }

  /** Announces the servers and the data centres out of service. */
  announceServers(nowMs: number): readonly CoreMessage[] {
    const lapsed = this.#view.lapsedServers(nowMs);
    const lapsedServerIds = lapsed.map(({id}) => id);
    this.#announcedLapsedIds = lapsedServerIds.join(' ');
    const servers = [...this.#view.servers(nowMs), ...lapsed];
    const {outOfService} = this.#view;
    const draining = servers.filter(({state}) => state === 'draining').map(({id}) => id);
    const fields = {
      ...this.#view.position,
      servers: servers.length,
      draining,
      lapsed: lapsedServerIds,
      outOfService,
    };
    return [
      {type: 'registeredServersChanged', servers, lapsedServerIds, outOfService},
      {type: 'log', level: 'info', event: 'registry.servers', fields},
    ];
  }

  /** Announces the servers again if an entry lapsed or was not published again in time. */
  announceServersIfExpired(nowMs: number): readonly CoreMessage[] {
    if (this.#view.endExpired(nowMs)) {
      return this.announceServers(nowMs);
    }
    const lapsed = this.#view
      .lapsedServers(nowMs)
      .map(({id}) => id)
      .join(' ');
    return lapsed === this.#announcedLapsedIds ? [] : this.announceServers(nowMs);
  }

  /** Announces until when this host may serve customers on the registry data it has. */
  announceFreshUntil(confirmedAtMs: number): readonly CoreMessage[] {
    const {bounds, transitMarginMs} = this.#options;
    return [
      {type: 'freshUntil', untilMs: confirmedAtMs + bounds.keyWithdrawalMs - transitMarginMs},
    ];
  }

  /** Logs when the registry data becomes too old to serve customers, and when it is fresh again. */
  logFreshnessChange(ageMs: number): readonly CoreMessage[] {
    const {bounds, transitMarginMs} = this.#options;
    const isFresh = ageMs <= bounds.keyWithdrawalMs - transitMarginMs;
    if (isFresh === this.#wasFresh) {
      return [];
    }
    this.#wasFresh = isFresh;
    const event = isFresh ? 'registry.fresh' : 'registry.stale';
    return [{type: 'log', level: 'warn', event, fields: {ageMs: Math.round(ageMs)}}];
  }
}
