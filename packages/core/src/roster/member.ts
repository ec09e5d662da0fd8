/** Identity of one process at a host, with what the other hosts have to know about it. */
export interface MemberIdentity {
  readonly hostId: string;
  readonly dataCentre: string;
  /** Unix time of the start of the process by its own clock, in ms. */
  readonly bornMs: number;
  /** Binary logarithm of the host's processing capacity in cores, rounded to a whole number. */
  readonly capacityClass: number;
}

/** One host in the member list, with the state of its newest process. */
export interface Member extends MemberIdentity {
  /** Heartbeat counter of the process. */
  readonly beat: number;
  /** Whether the host announced its shutdown. */
  readonly isLeaving: boolean;
  /** Moment on this host's clock at which the heartbeat counter was last seen to grow, in ms. */
  readonly heartbeatAdvancedAtMs: number;
}
