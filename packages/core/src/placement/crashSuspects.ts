/** Connections that one request may break before it counts as the cause. */
const crashesToBlock = 3;
/** Time for which a broken connection counts against a request, in ms. */
const memoryMs = 60_000;

/** Requests that may crash the servers that run them, by the digest of method, path, caller and body. */
export class CrashSuspects {
  readonly #crashes = new Map<string, {serverIds: Set<string>; untilMs: number}>();

  note(requestDigest: string, serverId: string, nowMs: number): void {
    if (requestDigest === '') {
      return;
    }
    this.#forgetOld(nowMs);
    const crash = this.#crashes.get(requestDigest) ?? {serverIds: new Set(), untilMs: 0};
    crash.serverIds.add(serverId);
    crash.untilMs = nowMs + memoryMs;
    this.#crashes.set(requestDigest, crash);
  }

  /** A request that was answered well crashes nothing. */
  clear(requestDigest: string): void {
    this.#crashes.delete(requestDigest);
  }

  isBlocked(requestDigest: string, nowMs: number): boolean {
    const crash = this.#crashes.get(requestDigest);
    return crash !== undefined && crash.untilMs > nowMs && crash.serverIds.size >= crashesToBlock;
  }

  #forgetOld(nowMs: number): void {
    for (const [requestDigest, {untilMs}] of this.#crashes) {
      if (untilMs > nowMs) {
        return;
      }
      this.#crashes.delete(requestDigest);
    }
  }
}
