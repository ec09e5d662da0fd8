/** Gives the time and wakes its subscribers; the only place that reads clocks and sets timers. */
export interface TimerService {
  /** The host's own clock, in ms; it never jumps back. */
  nowMs(): number;
  /** Calls back once at the given moment or soon after. */
  at(momentMs: number, callBack: () => void): TimerSubscription;
}

export interface TimerSubscription {
  cancel(): void;
}
