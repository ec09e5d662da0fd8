import type {ServerState} from '../messages/peerMessages.ts';
import {FailureEvidence} from './failureEvidence.ts';
import type {FailureEvidenceOptions} from './failureEvidence.ts';

/** What the home of a backend knows of one server. */
export class ServerRecord {
  readonly serverId: string;
  readonly dataCentre: string;
  readonly evidence: FailureEvidence;
  /** Undefined for a server in full service. */
  state: ServerState | undefined;
  sinceMs: number;
  /** Until when an ejected server is not tried, in ms. */
  holdUntilMs = 0;
  /** Until when some host may still hold a verdict by which the server is out, in ms. */
  outUntilMs = 0;
  ejections = 0;
  /** Why the server is not in full service. */
  reason = '';
  trialsGood = 0;
  trialsBad = 0;
  isProbed = false;
  /** Part of the requests of late that the server shed, 0 to 1. */
  shedRate = 0;
  /** Hosts that may use the server now, with the moments at which that ends. */
  readonly holders = new Map<string, number>();

  constructor(
    serverId: string,
    dataCentre: string,
    nowMs: number,
    evidence: FailureEvidenceOptions,
  ) {
    this.serverId = serverId;
    this.dataCentre = dataCentre;
    this.sinceMs = nowMs;
    this.evidence = new FailureEvidence(evidence);
  }

  change(state: ServerState | undefined, reason: string, nowMs: number): void {
    this.state = state;
    this.reason = reason;
    this.sinceMs = nowMs;
    this.trialsGood = 0;
    this.trialsBad = 0;
    this.isProbed = false;
  }

  get isOut(): boolean {
    return this.state === 'ejected' || this.state === 'probation';
  }

  /** True where the server counts against the permission to eject, until its last verdict has ended. */
  takesPermit(nowMs: number): boolean {
    return this.isOut || nowMs < this.outUntilMs;
  }

  /** Lets a host use the server until `untilMs` where fewer than `maxHolders` others may. */
  admit(hostId: string, maxHolders: number, untilMs: number, nowMs: number): boolean {
    for (const [holderId, endsAtMs] of this.holders) {
      if (endsAtMs <= nowMs) {
        this.holders.delete(holderId);
      }
    }
    if (!this.holders.has(hostId) && this.holders.size >= maxHolders) {
      return false;
    }
    if (maxHolders === 0) {
      return false;
    }
    this.holders.set(hostId, untilMs);
    return true;
  }
}
