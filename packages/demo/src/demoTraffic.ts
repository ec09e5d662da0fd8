import type {FleetDocument} from '@godwitspring/document';
import type {RandomSource} from '@godwitspring/core';
import type {DemoCaller, DemoRequest} from './demoCaller.ts';

const kibibyte = 1_024;
const photographBytes = 300 * kibibyte;
const scanBytes = 3 * kibibyte * kibibyte;
const videoBytes = 40 * kibibyte * kibibyte;
const tickMs = 10;

type Shape = Omit<DemoRequest, 'target' | 'customerId' | 'seed'> & {readonly isOpen?: boolean};

const smallShapes: readonly Shape[] = [
  {routeId: 'desgaste', method: 'GET', path: '/desgaste/molinillo-7', sentBytes: 0, askedBytes: 0},
  {routeId: 'desgaste', method: 'GET', path: '/desgaste/molinillo-8', sentBytes: 0, askedBytes: 0},
  {routeId: 'turnos', method: 'POST', path: '/turnos', sentBytes: 400, askedBytes: 0},
  {routeId: 'repuestos', method: 'POST', path: '/repuestos', sentBytes: 250, askedBytes: 0},
  {routeId: 'salud', method: 'GET', path: '/salud', sentBytes: 0, askedBytes: 0, isOpen: true},
];

const mediaShapes: readonly Shape[] = [
  {
    routeId: 'medios',
    method: 'PUT',
    path: '/medios/foto.jpg',
    sentBytes: photographBytes,
    askedBytes: 0,
  },
  {
    routeId: 'medios',
    method: 'PUT',
    path: '/medios/escaneo.pdf',
    sentBytes: scanBytes,
    askedBytes: 0,
  },
];

const videoShapes: readonly Shape[] = [
  {
    routeId: 'medios',
    method: 'PUT',
    path: '/medios/video.mp4',
    sentBytes: videoBytes,
    askedBytes: 0,
  },
];

/** Sends the customers' mixes through all hosts until stopped. */
export class DemoTraffic {
  readonly #caller: DemoCaller;
  readonly #targets: readonly string[];
  readonly #customerIds: readonly string[];
  readonly #random: RandomSource;
  readonly #running = new Set<Promise<void>>();
  #isStopped = false;
  #ticks = 0;

  constructor(
    caller: DemoCaller,
    document: FleetDocument,
    targets: readonly string[],
    random: RandomSource,
  ) {
    this.#caller = caller;
    this.#targets = targets;
    this.#customerIds = document.customers.map(({id}) => id);
    this.#random = random;
  }

  /** Sends until `stop`; resolves when every answer is in. */
  async run(): Promise<void> {
    while (!this.#isStopped) {
      this.#tick();
      await new Promise((resolve) => setTimeout(resolve, tickMs));
    }
    await Promise.all(this.#running);
  }

  stop(): void {
    this.#isStopped = true;
  }

  #tick(): void {
    this.#ticks += 1;
    this.#sendOneOf(smallShapes);
    if (this.#ticks % 60 === 0) {
      this.#sendOneOf(mediaShapes);
    }
    if (this.#ticks % 500 === 1) {
      this.#sendOneOf(videoShapes);
      this.#sendVideoDownload();
    }
  }

  #sendOneOf(shapes: readonly Shape[]): void {
    const shape = shapes[this.#random.below(shapes.length)];
    if (shape !== undefined) {
      this.#send(shape);
    }
  }

  #sendVideoDownload(): void {
    const seed = 1 + this.#random.below(1_000);
    const path = `/medios/video.mp4?bytes=${videoBytes}&seed=${seed}`;
    this.#send(
      {routeId: 'medios', method: 'GET', path, sentBytes: 0, askedBytes: videoBytes},
      seed,
    );
  }

  #send({isOpen, ...shape}: Shape, seed = 1 + this.#random.below(1_000)): void {
    const target = this.#targets[this.#random.below(this.#targets.length)] ?? '';
    const customerId = this.#customerIds[this.#random.below(this.#customerIds.length)];
    const one = this.#caller
      .send({...shape, target, seed, customerId: isOpen === true ? undefined : customerId})
      .finally(() => this.#running.delete(one));
    this.#running.add(one);
  }
}
