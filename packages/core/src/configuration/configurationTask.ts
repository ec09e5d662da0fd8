import {joinDocument} from '@godwitspring/document';
import type {FleetDocument, Manifest} from '@godwitspring/document';
import type {CoreTask} from '../host/coreTask.ts';
import type {CoreMessage} from '../messages/coreMessage.ts';
import type {PeerMessage} from '../messages/peerMessages.ts';
import type {RandomSource} from '../random/randomSource.ts';

/** Options of `ConfigurationTask`. */
export interface ConfigurationTaskOptions {
  /** Chooses the hosts to notify and the sources of missing parts. */
  readonly random: RandomSource;
  /** Number of hosts that this host notifies when it applies a new version. Default: 4. */
  readonly announceFanout: number;
  /** Longest wait for a part before it is requested from another source, in ms. Default: 1,000. */
  readonly partTimeoutMs: number;
}

/** Values of the options that a caller may leave out. */
export const DEFAULT_CONFIGURATION_OPTIONS = {
  announceFanout: 4,
  partTimeoutMs: 1_000,
} as const;

/** A newer version whose parts are being fetched. */
interface PendingVersion {
  readonly manifest: Manifest;
  /** Texts of the parts fetched so far, by SHA-256. */
  readonly texts: Map<string, string>;
  /** Host that sent the manifest; undefined for the platform. */
  readonly fromHostId: string | undefined;
  /** Moment at which the manifest was requested from the platform, or received from a host, in ms. */
  readonly requestedAtMs: number;
  /** Moment at which missing parts are requested from another source, in ms. */
  retryAtMs: number;
}

/** The version that this host acts on. */
interface VersionInForce {
  readonly manifest: Manifest;
  /** Texts of the parts, by SHA-256. */
  readonly texts: ReadonlyMap<string, string>;
  readonly document: FleetDocument;
  /** Moment at which the version was applied, in ms. */
  readonly sinceMs: number;
}

const timerId = 'configuration.parts';

/** Identifies a manifest by its version and the digests of its parts. */
function manifestKey({version, parts}: Manifest): string {
  return `${version}:${parts.map(({sha256}) => sha256).join(',')}`;
}

/**
 * Distributes the configuration document of the fleet over the hosts: fetches new versions from the platform or
 * from other hosts, applies each one completely or not at all, and never returns to an older one.
 *
 * A version is described by a manifest, which names its parts by their SHA-256.
 */
export class ConfigurationTask implements CoreTask {
  readonly accepts = [
    'manifestRead',
    'manifestUnchanged',
    'partRead',
    'partUnavailable',
    'peerMessageReceived',
    'membershipChanged',
    'timerFired',
    'statusWanted',
  ] as const;

  readonly #options: ConfigurationTaskOptions;
  /** Keys of the manifests whose documents were invalid, see `manifestKey`. */
  readonly #rejectedKeys = new Set<string>();
  #inForce: VersionInForce | undefined;
  #pending: PendingVersion | undefined;
  #reachableHostIds: readonly string[] = [];

  constructor({
    random,
    ...options
  }: Partial<ConfigurationTaskOptions> & Pick<ConfigurationTaskOptions, 'random'>) {
    this.#options = {...DEFAULT_CONFIGURATION_OPTIONS, ...options, random};
  }

  receive(message: CoreMessage, nowMs: number): readonly CoreMessage[] {
    switch (message.type) {
      case 'manifestRead':
        return this.#onManifestReceived(message.manifest, undefined, message.requestedAtMs, nowMs);
      case 'manifestUnchanged':
        return this.#onManifestUnchanged(message.version, message.requestedAtMs);
      case 'partRead':
        return this.#onPartReceived(message.sha256, message.text, nowMs);
      case 'partUnavailable':
        return this.#onPartUnavailable(message.sha256, nowMs);
      case 'peerMessageReceived':
        return this.#onPeerMessage(message.fromHostId, message.message, nowMs);
      case 'membershipChanged':
        this.#reachableHostIds = message.reachableHostIds;
        return [];
      case 'timerFired':
        return message.timerId === timerId ? this.#onTimer(nowMs) : [];
      case 'statusWanted':
        return [this.#status(message.askId)];
      default:
        return [];
    }
  }

  #status(askId: number): CoreMessage {
    const document = this.#inForce?.document;
    const value = {
      version: document?.version ?? 0,
      author: document?.author,
      reason: document?.reason,
      inForceSinceMs: this.#inForce?.sinceMs,
      pendingVersion: this.#pending?.manifest.version,
      rejectedVersions: this.#rejectedKeys.size,
    };
    return {type: 'statusReported', askId, section: 'configuration', value};
  }

  #onPeerMessage(fromHostId: string, message: PeerMessage, nowMs: number): readonly CoreMessage[] {
    switch (message.type) {
      case 'heartbeatAsk':
      case 'heartbeatAnswer':
      case 'versionAnnounced':
        return this.#onPeerVersion(fromHostId, message.documentVersion);
      case 'manifestAsk':
        return this.#replyWithManifest(fromHostId);
      case 'manifestAnswer':
        return this.#onManifestReceived(message.manifest, fromHostId, nowMs, nowMs);
      case 'partAsk': {
        const {sha256} = message;
        const text = this.#inForce?.texts.get(sha256);
        return [this.#send(fromHostId, {type: 'partAnswer', sha256, text})];
      }
      default:
        return [];
    }
  }

  /** Requests the manifest from a peer that has a newer version. */
  #onPeerVersion(fromHostId: string, version: number): readonly CoreMessage[] {
    const newestKnown = Math.max(
      this.#inForce?.manifest.version ?? 0,
      this.#pending?.manifest.version ?? 0,
    );
    return version > newestKnown ? [this.#send(fromHostId, {type: 'manifestAsk'})] : [];
  }

  #replyWithManifest(fromHostId: string): readonly CoreMessage[] {
    const manifest = this.#inForce?.manifest;
    return manifest === undefined
      ? []
      : [this.#send(fromHostId, {type: 'manifestAnswer', manifest})];
  }

  /** Handles a manifest from the platform or, with `fromHostId`, from a peer. */
  #onManifestReceived(
    manifest: Manifest,
    fromHostId: string | undefined,
    requestedAtMs: number,
    nowMs: number,
  ): readonly CoreMessage[] {
    const inForceVersion = this.#inForce?.manifest.version ?? 0;
    if (manifest.version < inForceVersion) {
      return [
        {
          type: 'count',
          name: 'configuration.older',
          tags: {from: fromHostId ?? 'platform'},
        },
      ];
    }
    if (manifest.version === inForceVersion) {
      return this.#onSameVersion(manifest, fromHostId, requestedAtMs);
    }
    if (this.#rejectedKeys.has(manifestKey(manifest))) {
      return fromHostId === undefined ? [this.#confirmation(requestedAtMs)] : [];
    }
    if (manifest.version <= (this.#pending?.manifest.version ?? 0)) {
      return [];
    }
    return this.#startFetching(manifest, fromHostId, requestedAtMs, nowMs);
  }

  /** Handles the platform's confirmation that the manifest of `version` is still the newest. */
  #onManifestUnchanged(version: number, requestedAtMs: number): readonly CoreMessage[] {
    const inForceVersion = this.#inForce?.manifest.version ?? 0;
    const isNewest = version === inForceVersion || this.#rejectedVersions().has(version);
    return isNewest ? [this.#confirmation(requestedAtMs)] : [];
  }

  #rejectedVersions(): Set<number> {
    const versions = new Set<number>();
    for (const key of this.#rejectedKeys) {
      versions.add(Number(key.slice(0, key.indexOf(':'))));
    }
    return versions;
  }

  /** Logs a different document of the same version as an error; else the platform's manifest confirms the version. */
  #onSameVersion(
    manifest: Manifest,
    fromHostId: string | undefined,
    requestedAtMs: number,
  ): readonly CoreMessage[] {
    const inForce = this.#inForce?.manifest;
    if (inForce !== undefined && manifestKey(inForce) !== manifestKey(manifest)) {
      const fields = {version: manifest.version, from: fromHostId ?? 'platform'};
      return [
        {type: 'log', level: 'error', event: 'configuration.sameVersionDiffers', fields},
        {type: 'count', name: 'configuration.sameVersionDiffers', tags: {}},
      ];
    }
    return fromHostId === undefined ? [this.#confirmation(requestedAtMs)] : [];
  }

  #confirmation(requestedAtMs: number): CoreMessage {
    const documentVersion = this.#inForce?.manifest.version ?? 0;
    return {type: 'manifestConfirmed', requestedAtMs, documentVersion};
  }

  /** Starts to fetch a version; parts that this host already has are reused. */
  #startFetching(
    manifest: Manifest,
    fromHostId: string | undefined,
    requestedAtMs: number,
    nowMs: number,
  ): readonly CoreMessage[] {
    const texts = new Map<string, string>();
    for (const {sha256} of manifest.parts) {
      const text = this.#inForce?.texts.get(sha256) ?? this.#pending?.texts.get(sha256);
      if (text !== undefined) {
        texts.set(sha256, text);
      }
    }
    const retryAtMs = nowMs + this.#options.partTimeoutMs;
    this.#pending = {manifest, texts, fromHostId, requestedAtMs, retryAtMs};
    return [...this.#requestMissingParts(fromHostId, nowMs), ...this.#applyIfComplete(nowMs)];
  }

  /** Requests the missing parts from a peer, or from the platform if `fromHostId` is undefined. */
  #requestMissingParts(fromHostId: string | undefined, nowMs: number): readonly CoreMessage[] {
    const messages: CoreMessage[] = [];
    const pending = this.#pending;
    if (pending === undefined) {
      return messages;
    }
    for (const {sha256} of pending.manifest.parts) {
      if (!pending.texts.has(sha256)) {
        messages.push({type: 'readPart', sha256, fromHostId});
      }
    }
    messages.push({
      type: 'timerWanted',
      timerId,
      atMs: nowMs + this.#options.partTimeoutMs,
    });
    return messages;
  }

  #onTimer(nowMs: number): readonly CoreMessage[] {
    const pending = this.#pending;
    if (pending === undefined || nowMs < pending.retryAtMs) {
      return [];
    }
    pending.retryAtMs = nowMs + this.#options.partTimeoutMs;
    return this.#requestMissingParts(this.#chooseSource(), nowMs);
  }

  /** Chooses a source at random: any reachable host or, as likely as one host, the platform (undefined). */
  #chooseSource(): string | undefined {
    const sourceCount = this.#reachableHostIds.length + 1;
    return this.#reachableHostIds[this.#options.random.nextInt(sourceCount)];
  }

  #onPartUnavailable(sha256: string, nowMs: number): readonly CoreMessage[] {
    const pending = this.#pending;
    if (pending === undefined || pending.texts.has(sha256)) {
      return [];
    }
    const counterUpdate: CoreMessage = {
      type: 'count',
      name: 'configuration.partUnavailable',
      tags: {},
    };
    const atMs = nowMs + this.#options.partTimeoutMs;
    return [counterUpdate, {type: 'timerWanted', timerId, atMs}];
  }

  #onPartReceived(sha256: string, text: string, nowMs: number): readonly CoreMessage[] {
    const pending = this.#pending;
    if (pending?.manifest.parts.some((part) => part.sha256 === sha256) !== true) {
      return [];
    }
    pending.texts.set(sha256, text);
    return this.#applyIfComplete(nowMs);
  }

  /** Applies the pending version once all its parts are there, or rejects it if the document is invalid. */
  #applyIfComplete(nowMs: number): readonly CoreMessage[] {
    const pending = this.#pending;
    if (pending?.manifest.parts.every(({sha256}) => pending.texts.has(sha256)) !== true) {
      return [];
    }
    this.#pending = undefined;
    const joined = joinDocument(pending.manifest, pending.texts);
    if (joined.isErr()) {
      return this.#reject(pending, joined.error);
    }
    return this.#apply(pending, joined.value, nowMs);
  }

  #reject({manifest}: PendingVersion, faults: readonly unknown[]): readonly CoreMessage[] {
    this.#rejectedKeys.add(manifestKey(manifest));
    const fields = {
      version: manifest.version,
      inForce: this.#inForce?.manifest.version,
      faults,
    };
    return [
      {type: 'log', level: 'error', event: 'configuration.rejected', fields},
      {type: 'count', name: 'configuration.rejected', tags: {}},
    ];
  }

  #apply(pending: PendingVersion, document: FleetDocument, nowMs: number): readonly CoreMessage[] {
    const {manifest, texts, fromHostId, requestedAtMs} = pending;
    this.#inForce = {manifest, texts, document, sinceMs: nowMs};
    const {version, author, reason} = document;
    const from = fromHostId ?? 'platform';
    const messages: CoreMessage[] = [
      {type: 'documentInForce', document, manifest},
      {
        type: 'log',
        level: 'info',
        event: 'configuration.inForce',
        fields: {version, author, reason, from},
      },
      {type: 'count', name: 'configuration.inForce', tags: {}},
    ];
    if (fromHostId === undefined) {
      messages.push(this.#confirmation(requestedAtMs));
    }
    messages.push(...this.#announce(version));
    return messages;
  }

  /** Notifies randomly chosen hosts of a new version; they notify others once they have applied it. */
  #announce(documentVersion: number): readonly CoreMessage[] {
    const messages: CoreMessage[] = [];
    const hostIds = [...this.#reachableHostIds];
    for (let sent = 0; sent < this.#options.announceFanout && hostIds.length > 0; sent += 1) {
      const [hostId] = hostIds.splice(this.#options.random.nextInt(hostIds.length), 1);
      if (hostId !== undefined) {
        messages.push(this.#send(hostId, {type: 'versionAnnounced', documentVersion}));
      }
    }
    return messages;
  }

  #send(toHostId: string, message: PeerMessage): CoreMessage {
    return {type: 'sendToPeer', toHostId, message};
  }
}
