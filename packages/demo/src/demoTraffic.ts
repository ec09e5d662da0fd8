import type {FleetDocument} from '@godwitspring/document';
import type {RandomSource} from '@godwitspring/core';
import type {DemoCaller, DemoRequest} from './demoCaller.ts';

const kibibyte = 1_024;
const photoBytes = 300 * kibibyte;
const scanBytes = 3 * kibibyte * kibibyte;
const videoBytes = 40 * kibibyte * kibibyte;
/** Time between two small requests, in ms. */
const tickMs = 10;

/** A request without the fields that are drawn at random; `isOpen` for a route without keys. */
type Template = Omit<DemoRequest, 'target' | 'customerId' | 'seed'> & {readonly isOpen?: boolean};

const smallRequests: readonly Template[] = [
  {
    routeId: 'desgaste',
    method: 'GET',
    path: '/desgaste/molinillo-7',
    requestBytes: 0,
    responseBytes: 0,
  },
  {
    routeId: 'desgaste',
    method: 'GET',
    path: '/desgaste/molinillo-8',
    requestBytes: 0,
    responseBytes: 0,
  },
  {routeId: 'turnos', method: 'POST', path: '/turnos', requestBytes: 400, responseBytes: 0},
  {routeId: 'repuestos', method: 'POST', path: '/repuestos', requestBytes: 250, responseBytes: 0},
  {
    routeId: 'salud',
    method: 'GET',
    path: '/salud',
    requestBytes: 0,
    responseBytes: 0,
    isOpen: true,
  },
];

const mediaUploads: readonly Template[] = [
  {
    routeId: 'medios',
    method: 'PUT',
    path: '/medios/foto.jpg',
    requestBytes: photoBytes,
    responseBytes: 0,
  },
  {
    routeId: 'medios',
    method: 'PUT',
    path: '/medios/escaneo.pdf',
    requestBytes: scanBytes,
    responseBytes: 0,
  },
];

const videoUploads: readonly Template[] = [
  {
    routeId: 'medios',
    method: 'PUT',
    path: '/medios/video.mp4',
    requestBytes: videoBytes,
    responseBytes: 0,
  },
];

/**
 * Sends a random mix of requests of all customers through all hosts until stopped.
 *
 * Each tick sends a small request, every 60th tick also a media upload, and every 500th tick also a video
 * upload and a video download.
 */
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

  /** Sends requests until `stop` is called; resolves when every request has ended. */
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
    this.#sendOneOf(smallRequests);
    if (this.#ticks % 60 === 0) {
      this.#sendOneOf(mediaUploads);
    }
    if (this.#ticks % 500 === 1) {
      this.#sendOneOf(videoUploads);
      this.#sendVideoDownload();
    }
  }

  #sendOneOf(templates: readonly Template[]): void {
    const template = templates[this.#random.nextInt(templates.length)];
    if (template !== undefined) {
      this.#send(template);
    }
  }

  #sendVideoDownload(): void {
    const seed = 1 + this.#random.nextInt(1_000);
    const path = `/medios/video.mp4?bytes=${videoBytes}&seed=${seed}`;
    this.#send(
      {routeId: 'medios', method: 'GET', path, requestBytes: 0, responseBytes: videoBytes},
      seed,
    );
  }

  #send({isOpen, ...template}: Template, seed = 1 + this.#random.nextInt(1_000)): void {
    const target = this.#targets[this.#random.nextInt(this.#targets.length)] ?? '';
    const customerId = this.#customerIds[this.#random.nextInt(this.#customerIds.length)];
    const pending = this.#caller
      .send({...template, target, seed, customerId: isOpen === true ? undefined : customerId})
      .finally(() => this.#running.delete(pending));
    this.#running.add(pending);
  }
}
