import {joinDocument} from '@godwitspring/document';
import type {FleetDocument, Manifest} from '@godwitspring/document';
import type {CoreTask} from '../host/coreTask.ts';
import type {CoreMessage} from '../messages/coreMessage.ts';
import type {PeerMessage} from '../messages/peerMessages.ts';
import type {RandomSource} from '../time/randomSource.ts';

export interface ConfigurationTaskOptions {
  readonly random: RandomSource;
  /** Hosts told at once of a new version. Default: 4. */
  readonly announceFanout: number;
  /** Longest wait for a part before it is asked for elsewhere, in ms. Default: 1,000. */
  readonly partTimeoutMs: number;
}

export const DEFAULT_CONFIGURATION_OPTIONS = {
  announceFanout: 4,
  partTimeoutMs: 1_000,
} as const;

/** A version on its way into force. */
interface PendingVersion {
  readonly manifest: Manifest;
  readonly texts: Map<string, string>;
  /** Peer from which the manifest came; absent for the platform. */
  readonly fromHostId: string | undefined;
  readonly askedAtMs: number;
  retryAtMs: number;
}

interface VersionInForce {
  readonly manifest: Manifest;
  readonly texts: ReadonlyMap<string, string>;
  readonly document: FleetDocument;
  readonly sinceMs: number;
}

const timerId = 'configuration.parts';

function manifestKey({version, parts}: Manifest): string {
  return `${version}:${parts.map(({sha256}) => sha256).join(',')}`;
}

/** Brings each version into force whole or not at all, and never goes back to an older one. */
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
  readonly #rejected = new Set<string>();
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
        return this.#onManifest(message.manifest, undefined, message.askedAtMs, nowMs);
      case 'manifestUnchanged':
        return this.#onUnchanged(message.version, message.askedAtMs);
      case 'partRead':
        return this.#onPart(message.sha256, message.text, nowMs);
      case 'partUnavailable':
        return this.#onPartUnavailable(message.sha256, nowMs);
      case 'peerMessageReceived':
        return this.#onPeer(message.fromHostId, message.message, nowMs);
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
      rejectedVersions: this.#rejected.size,
    };
    return {type: 'statusTold', askId, section: 'configuration', value};
  }

  #onPeer(fromHostId: string, message: PeerMessage, nowMs: number): readonly CoreMessage[] {
    switch (message.type) {
      case 'heartbeatAsk':
      case 'heartbeatAnswer':
      case 'versionAnnounced':
        return this.#onPeerVersion(fromHostId, message.documentVersion);
      case 'manifestAsk':
        return this.#answerManifest(fromHostId);
      case 'manifestAnswer':
        return this.#onManifest(message.manifest, fromHostId, nowMs, nowMs);
      case 'partAsk': {
        const {sha256} = message;
        const text = this.#inForce?.texts.get(sha256);
        return [this.#send(fromHostId, {type: 'partAnswer', sha256, text})];
      }
      default:
        return [];
    }
  }

  #onPeerVersion(fromHostId: string, version: number): readonly CoreMessage[] {
    const known = Math.max(
      this.#inForce?.manifest.version ?? 0,
      this.#pending?.manifest.version ?? 0,
    );
    return version > known ? [this.#send(fromHostId, {type: 'manifestAsk'})] : [];
  }

  #answerManifest(fromHostId: string): readonly CoreMessage[] {
    const manifest = this.#inForce?.manifest;
    return manifest === undefined
      ? []
      : [this.#send(fromHostId, {type: 'manifestAnswer', manifest})];
  }

  #onManifest(
    manifest: Manifest,
    fromHostId: string | undefined,
    askedAtMs: number,
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
      return this.#onSameVersion(manifest, fromHostId, askedAtMs);
    }
    if (this.#rejected.has(manifestKey(manifest))) {
      return fromHostId === undefined ? [this.#confirm(askedAtMs)] : [];
    }
    if (manifest.version <= (this.#pending?.manifest.version ?? 0)) {
      return [];
    }
    return this.#startPending(manifest, fromHostId, askedAtMs, nowMs);
  }

  #onUnchanged(version: number, askedAtMs: number): readonly CoreMessage[] {
    const inForceVersion = this.#inForce?.manifest.version ?? 0;
    const isNewest = version === inForceVersion || this.#rejectedVersions().has(version);
    return isNewest ? [this.#confirm(askedAtMs)] : [];
  }

  #rejectedVersions(): Set<number> {
    const versions = new Set<number>();
    for (const key of this.#rejected) {
      versions.add(Number(key.slice(0, key.indexOf(':'))));
    }
    return versions;
  }

  #onSameVersion(
    manifest: Manifest,
    fromHostId: string | undefined,
    askedAtMs: number,
  ): readonly CoreMessage[] {
    const inForce = this.#inForce?.manifest;
    if (inForce !== undefined && manifestKey(inForce) !== manifestKey(manifest)) {
      const fields = {version: manifest.version, from: fromHostId ?? 'platform'};
      return [
        {type: 'log', level: 'error', event: 'configuration.sameVersionDiffers', fields},
        {type: 'count', name: 'configuration.sameVersionDiffers', tags: {}},
      ];
    }
    return fromHostId === undefined ? [this.#confirm(askedAtMs)] : [];
  }

  #confirm(askedAtMs: number): CoreMessage {
    const documentVersion = this.#inForce?.manifest.version ?? 0;
    return {type: 'manifestConfirmed', askedAtMs, documentVersion};
  }

  #startPending(
    manifest: Manifest,
    fromHostId: string | undefined,
    askedAtMs: number,
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
    this.#pending = {manifest, texts, fromHostId, askedAtMs, retryAtMs};
    return [...this.#readMissing(fromHostId, nowMs), ...this.#finishIfWhole(nowMs)];
  }

  #readMissing(fromHostId: string | undefined, nowMs: number): readonly CoreMessage[] {
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
    return this.#readMissing(this.#otherSource(), nowMs);
  }

  /** Any reachable peer or, as often as one peer, the platform. */
  #otherSource(): string | undefined {
    const sourceCount = this.#reachableHostIds.length + 1;
    return this.#reachableHostIds[this.#options.random.below(sourceCount)];
  }

  #onPartUnavailable(sha256: string, nowMs: number): readonly CoreMessage[] {
    const pending = this.#pending;
    if (pending === undefined || pending.texts.has(sha256)) {
      return [];
    }
    const count: CoreMessage = {
      type: 'count',
      name: 'configuration.partUnavailable',
      tags: {},
    };
    const atMs = nowMs + this.#options.partTimeoutMs;
    return [count, {type: 'timerWanted', timerId, atMs}];
  }

  #onPart(sha256: string, text: string, nowMs: number): readonly CoreMessage[] {
    const pending = this.#pending;
    if (pending?.manifest.parts.some((part) => part.sha256 === sha256) !== true) {
      return [];
    }
    pending.texts.set(sha256, text);
    return this.#finishIfWhole(nowMs);
  }

  #finishIfWhole(nowMs: number): readonly CoreMessage[] {
    const pending = this.#pending;
    if (pending?.manifest.parts.every(({sha256}) => pending.texts.has(sha256)) !== true) {
      return [];
    }
    this.#pending = undefined;
    const joined = joinDocument(pending.manifest, pending.texts);
    if (joined.isErr()) {
      return this.#reject(pending, joined.error);
    }
    return this.#bringIntoForce(pending, joined.value, nowMs);
  }

  #reject({manifest}: PendingVersion, faults: readonly unknown[]): readonly CoreMessage[] {
    this.#rejected.add(manifestKey(manifest));
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

  #bringIntoForce(
    pending: PendingVersion,
    document: FleetDocument,
    nowMs: number,
  ): readonly CoreMessage[] {
    const {manifest, texts, fromHostId, askedAtMs} = pending;
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
      messages.push(this.#confirm(askedAtMs));
    }
    messages.push(...this.#announce(version));
    return messages;
  }

  #announce(documentVersion: number): readonly CoreMessage[] {
    const messages: CoreMessage[] = [];
    const hostIds = [...this.#reachableHostIds];
    for (let told = 0; told < this.#options.announceFanout && hostIds.length > 0; told += 1) {
      const [hostId] = hostIds.splice(this.#options.random.below(hostIds.length), 1);
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
