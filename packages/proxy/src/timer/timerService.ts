/** Monotonic clock and timers of a host; the tasks read time and set timers only through this interface. */
export interface TimerService {
  /** Monotonic time of this host, in ms. */
  nowMs(): number;
  /** Calls `callback` once, at the given moment or soon after, never before. */
  at(momentMs: number, callback: () => void): TimerHandle;
}

/** A pending call of a timer service. */
export interface TimerHandle {
  /** Prevents the call, where it has not happened yet. */
  cancel(): void;
}
