import type {ServerState} from '../messages/peerMessages.ts';
import {FailureEvidence} from './failureEvidence.ts';
import type {FailureEvidenceOptions} from './failureEvidence.ts';

/** Health state of one server, as its backend's home tracks it for the whole fleet. */
export class ServerHealthRecord {
  readonly serverId: string;
  readonly dataCentre: string;
  readonly evidence: FailureEvidence;
  /** State of a server that is not in full service; undefined for one that is. */
  state: ServerState | undefined;
  /** Moment of the last change of state, in ms. */
  stateSinceMs: number;
  /** Moment from which an ejected server is probed, in ms. */
  ejectedUntilMs = 0;
  /** Moment until which some host may still follow a decision that keeps the server out of rotation, in ms. */
  outOfRotationUntilMs = 0;
  /** Number of ejections in a row; decides the time of the next one. */
  ejections = 0;
  /** Why the server is not in full service. */
  reason = '';
  /** Trial requests that succeeded during probation. */
  succeededTrials = 0;
  /** Trial requests that failed or were lost during probation. */
  failedTrials = 0;
  /** True from a probe of an ejected server until its result. */
  isProbePending = false;
  /** Moving average of the fraction of requests that the server shed, 0 to 1. */
  shedRate = 0;
  /** Hosts that may use the server now, each with the moment at which its permission ends, in ms. */
  readonly allowedHosts = new Map<string, number>();

  constructor(
    serverId: string,
    dataCentre: string,
    nowMs: number,
    evidence: FailureEvidenceOptions,
  ) {
    this.serverId = serverId;
    this.dataCentre = dataCentre;
    this.stateSinceMs = nowMs;
    this.evidence = new FailureEvidence(evidence);
  }

  /** Changes the state and resets what was counted in the last one. */
  setState(state: ServerState | undefined, reason: string, nowMs: number): void {
    this.state = state;
    this.reason = reason;
    this.stateSinceMs = nowMs;
    this.succeededTrials = 0;
    this.failedTrials = 0;
    this.isProbePending = false;
  }

  /** True while the server gets no requests, or trial requests only. */
  get isOutOfRotation(): boolean {
    return this.state === 'ejected' || this.state === 'probation';
  }

  /**
   * True while the server counts against the limit on ejections. It does so until the last decision that
   * kept it out of rotation has expired at every host.
   */
  usesPermit(nowMs: number): boolean {
    return this.isOutOfRotation || nowMs < this.outOfRotationUntilMs;
  }

  /** Permits a host to use the server until `untilMs` if fewer than `maxHosts` other hosts may; returns whether. */
  admit(hostId: string, maxHosts: number, untilMs: number, nowMs: number): boolean {
    for (const [otherHostId, endsAtMs] of this.allowedHosts) {
      if (endsAtMs <= nowMs) {
        this.allowedHosts.delete(otherHostId);
      }
    }
    if (!this.allowedHosts.has(hostId) && this.allowedHosts.size >= maxHosts) {
      return false;
    }
    if (maxHosts === 0) {
      return false;
    }
    this.allowedHosts.set(hostId, untilMs);
    return true;
  }
}
