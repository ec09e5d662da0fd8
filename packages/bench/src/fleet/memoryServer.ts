/** How a backend server in memory behaves; may be changed while time runs. */
export interface ServerBehaviour {
  /** Time spent on one request, in ms. */
  serviceMs: number;
  /** Part of the work that fails, 0 to 1. */
  failPart: number;
  /** True where it takes connections at all. */
  isUp: boolean;
  /** What its health endpoint says. */
  saysHealthy: boolean;
  /** Requests worked on at once; fewer while cold. */
  slots: number;
  /** Requests that wait before it sheds. */
  maxWaiting: number;
}

/** What became of one request at the server. */
export interface ServerAnswer {
  /** HTTP status; 0 where the connection broke. */
  readonly status: number;
  readonly saidNotRun: boolean;
}

/** A backend server in virtual time with slots and a short queue. */
export class MemoryServer {
  readonly behaviour: ServerBehaviour;
  readonly runsByRequest = new Map<string, number>();
  readonly #running = new Set<(answer: ServerAnswer) => void>();
  #failDebt = 0;
  readonly #waiting: (() => void)[] = [];
  readonly #later: (afterMs: number, run: () => void) => void;

  constructor(behaviour: ServerBehaviour, later: (afterMs: number, run: () => void) => void) {
    this.behaviour = behaviour;
    this.#later = later;
  }

  get running(): number {
    return this.#running.size;
  }

  get waiting(): number {
    return this.#waiting.length;
  }

  /** Works on a request; answers later, or never where the server goes down meanwhile. */
  take(requestName: string, answer: (answer: ServerAnswer) => void): void {
    if (this.#running.size < this.behaviour.slots) {
      this.#work(requestName, answer);
      return;
    }
    if (this.#waiting.length >= this.behaviour.maxWaiting) {
      answer({status: 503, saidNotRun: true});
      return;
    }
    this.#waiting.push(() => {
      this.#work(requestName, answer);
    });
  }

  /** Breaks every connection and stays down for a while. */
  crash(forMs: number): void {
    const broken = [...this.#running];
    this.#running.clear();
    this.#waiting.length = 0;
    this.behaviour.isUp = false;
    for (const answer of broken) {
      answer({status: 0, saidNotRun: false});
    }
    this.#later(forMs, () => {
      this.behaviour.isUp = true;
    });
  }

  #work(requestName: string, answer: (answer: ServerAnswer) => void): void {
    this.#running.add(answer);
    this.runsByRequest.set(requestName, (this.runsByRequest.get(requestName) ?? 0) + 1);
    this.#later(this.behaviour.serviceMs, () => {
      if (!this.#running.delete(answer)) {
        return;
      }
      this.#waiting.shift()?.();
      this.#failDebt += this.behaviour.failPart;
      const mustFail = this.#failDebt >= 1;
      this.#failDebt -= mustFail ? 1 : 0;
      answer({status: mustFail ? 500 : 200, saidNotRun: false});
    });
  }
}
