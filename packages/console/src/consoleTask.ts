import {createHash, randomBytes, randomUUID} from 'node:crypto';
import type {Server} from 'node:http';
import {createAdaptorServer} from '@hono/node-server';
import {checkDocument} from '@godwitspring/document';
import {listenOn} from '@godwitspring/proxy';
import type {Platform} from '@godwitspring/proxy';
import {Hono} from 'hono';
import type {Context} from 'hono';
import {getCookie, setCookie} from 'hono/cookie';
import {csrf} from 'hono/csrf';
import {Draft} from './draft.ts';
import {describeChanges} from './edits/describeChanges.ts';
import {editSchema} from './edits/editSchema.ts';
import {findUnsafeSteps} from './edits/findUnsafeSteps.ts';
import {labelsFor} from './labels.ts';
import type {Labels} from './labels.ts';
import {changesPage, keyPage} from './pages/changesPage.ts';
import type {ChangesView} from './pages/changesPage.ts';
import {formsPage} from './pages/formsPage.ts';
import {readPublished} from './publishedDocument.ts';

export interface ConsoleTaskOptions {
  readonly listenHost: string;
  readonly listenPort: number;
  readonly platform: Platform;
  /** Time of day for the document, as ISO 8601 in UTC. */
  readonly now: () => string;
}

const keyBytes = 32;
const maxDrafts = 100;
const draftCookie = 'draft';
const languageCookie = 'language';

/** Owns the console's port and the operators' drafts; writes nothing to the platform. */
export class ConsoleTask {
  readonly #options: ConsoleTaskOptions;
  readonly #drafts = new Map<string, Draft>();
  #server: Server | undefined;

  constructor(options: ConsoleTaskOptions) {
    this.#options = options;
  }

  async start(): Promise<void> {
    const {listenHost, listenPort} = this.#options;
    const server = createAdaptorServer({
      fetch: this.app().fetch,
      overrideGlobalObjects: false,
    }) as Server;
    this.#server = server;
    await listenOn(server, {listenHost, listenPort});
  }

  stop(): void {
    this.#server?.close();
    this.#server?.closeAllConnections();
  }

  app(): Hono {
    const app = new Hono();
    app.use(csrf());
    app.get('/', (context) => this.#forms(context));
    app.get('/changes', (context) => this.#changes(context));
    app.get('/language/:language', (context) => {
      setCookie(context, languageCookie, context.req.param('language'), {
        httpOnly: true,
        sameSite: 'Strict',
      });
      return context.redirect('/');
    });
    app.post('/edit', (context) => this.#edit(context));
    app.post('/keys', (context) => this.#newKey(context));
    app.post('/document', (context) => this.#document(context));
    app.post('/discard', (context) => {
      this.#drafts.delete(getCookie(context, draftCookie) ?? '');
      return context.redirect('/');
    });
    return app;
  }

  #labels(context: Context): Labels {
    return labelsFor(getCookie(context, languageCookie) ?? context.req.header('accept-language'));
  }

  /** The operator's draft; a new one from the published document where there is none. */
  async #draftOf(context: Context): Promise<Draft | undefined> {
    const known = this.#drafts.get(getCookie(context, draftCookie) ?? '');
    if (known !== undefined) {
      return known;
    }
    const published = await readPublished(this.#options.platform).catch(() => undefined);
    if (published === undefined) {
      return undefined;
    }
    const draft = new Draft(published.document, published.digest);
    const id = randomUUID();
    this.#drafts.set(id, draft);
    for (const oldest of this.#drafts.keys()) {
      if (this.#drafts.size <= maxDrafts) {
        break;
      }
      this.#drafts.delete(oldest);
    }
    setCookie(context, draftCookie, id, {httpOnly: true, sameSite: 'Strict'});
    return draft;
  }

  #unavailable(context: Context): Response {
    return context.text(
      'the published document cannot be read; try again when the platform answers',
      503,
    );
  }

  async #forms(context: Context): Promise<Response> {
    const draft = await this.#draftOf(context);
    if (draft === undefined) {
      return this.#unavailable(context);
    }
    const changes = describeChanges(draft.base, draft.document);
    return context.html(formsPage(this.#labels(context), draft.document, changes.length));
  }

  async #edit(context: Context): Promise<Response> {
    const draft = await this.#draftOf(context);
    if (draft === undefined) {
      return this.#unavailable(context);
    }
    const edit = editSchema.safeParse(await context.req.parseBody());
    if (!edit.success) {
      const issue = edit.error.issues[0];
      return context.text(
        `form field ${issue?.path.join('.') ?? ''}: ${issue?.message ?? ''}`,
        400,
      );
    }
    draft.edit(edit.data);
    return context.redirect('/', 303);
  }

  /** Makes a key, shows it once and keeps its digest. */
  async #newKey(context: Context): Promise<Response> {
    const draft = await this.#draftOf(context);
    const {id} = await context.req.parseBody();
    if (draft === undefined || typeof id !== 'string') {
      return this.#unavailable(context);
    }
    const key = randomBytes(keyBytes).toString('base64url');
    const digest = createHash('sha256').update(key).digest('hex');
    draft.edit({kind: 'addKey', id, digest});
    return context.html(keyPage(this.#labels(context), id, key));
  }

  async #view(draft: Draft): Promise<ChangesView> {
    const published = await readPublished(this.#options.platform).catch(() => undefined);
    const checked = checkDocument(draft.document);
    return {
      changes: describeChanges(draft.base, draft.document),
      faults: checked.isErr() ? checked.error : [],
      unsafeSteps: findUnsafeSteps(draft.base, draft.document),
      isMovedOn: published !== undefined && published.digest !== draft.baseDigest,
    };
  }

  async #changes(context: Context): Promise<Response> {
    const draft = await this.#draftOf(context);
    if (draft === undefined) {
      return this.#unavailable(context);
    }
    return context.html(changesPage(this.#labels(context), await this.#view(draft)));
  }

  async #document(context: Context): Promise<Response> {
    const draft = await this.#draftOf(context);
    if (draft === undefined) {
      return this.#unavailable(context);
    }
    const view = await this.#view(draft);
    const {author, reason, confirmed} = await context.req.parseBody();
    const isConfirmed = view.unsafeSteps.length === 0 || confirmed === 'yes';
    const document = draft.finished({
      author: String(author ?? ''),
      reason: String(reason ?? ''),
      madeAt: this.#options.now(),
    });
    const checked = checkDocument(document);
    const canFinish = checked.isOk() && isConfirmed && !view.isMovedOn && view.changes.length > 0;
    if (!canFinish) {
      const faults = checked.isErr() ? checked.error : view.faults;
      return context.html(changesPage(this.#labels(context), {...view, faults}), 409);
    }
    context.header(
      'content-disposition',
      `attachment; filename="document-${document.version}.json"`,
    );
    context.header('content-type', 'application/json');
    return context.body(`${JSON.stringify(checked.value, null, 2)}\n`);
  }
}
