import {createHash, randomBytes, randomUUID} from 'node:crypto';
import type {Server} from 'node:http';
import {createAdaptorServer} from '@hono/node-server';
import {checkDocument, describeChanges, findUnsafeSteps} from '@godwitspring/document';
import {listenOn} from '@godwitspring/proxy';
import type {Platform} from '@godwitspring/proxy';
import {Hono} from 'hono';
import type {Context} from 'hono';
import {getCookie, setCookie} from 'hono/cookie';
import {csrf} from 'hono/csrf';
import {Draft} from './draft.ts';
import {editSchema} from './edits/editSchema.ts';
import {labelsFor} from './labels.ts';
import type {Labels} from './labels.ts';
import {changesPage, keyPage} from './pages/changesPage.ts';
import type {ChangesView} from './pages/changesPage.ts';
import {formsPage} from './pages/formsPage.ts';
import {readPublishedDocument} from './publishedDocument.ts';

/** Options of the console. */
export interface ConsoleTaskOptions {
  readonly listenHost: string;
  readonly listenPort: number;
  /** Platform from which the published document is read. */
  readonly platform: Platform;
  /** Returns the current time for the document's `madeAt`, as ISO 8601 in UTC. */
  readonly now: () => string;
}

/** Random bytes of a new API key. */
const apiKeyBytes = 32;
/** Drafts held at once; beyond that the oldest is dropped. */
const maxDrafts = 100;
const draftCookieName = 'draft';
const languageCookieName = 'language';

/**
 * Serves the console's pages; owns its port and the operators' drafts.
 *
 * An operator's draft is found by a cookie. The task only reads from the platform: the finished document is
 * downloaded by the operator, who publishes it.
 */
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

  /** Builds the HTTP application with all routes; CSRF protection refuses forms sent from another site. */
  app(): Hono {
    const app = new Hono();
    app.use(csrf());
    app.get('/', (context) => this.#showForms(context));
    app.get('/changes', (context) => this.#showChanges(context));
    app.get('/language/:language', (context) => {
      setCookie(context, languageCookieName, context.req.param('language'), {
        httpOnly: true,
        sameSite: 'Strict',
      });
      return context.redirect('/');
    });
    app.post('/edit', (context) => this.#editDraft(context));
    app.post('/keys', (context) => this.#createKey(context));
    app.post('/document', (context) => this.#createDocument(context));
    app.post('/discard', (context) => {
      this.#drafts.delete(getCookie(context, draftCookieName) ?? '');
      return context.redirect('/');
    });
    return app;
  }

  /** Texts in the language of the operator's cookie, else of the browser's header. */
  #labelsFor(context: Context): Labels {
    return labelsFor(
      getCookie(context, languageCookieName) ?? context.req.header('accept-language'),
    );
  }

  /**
   * Returns the operator's draft, or starts one from the published document where there is none; undefined where
   * the published document cannot be read.
   */
  async #findOrCreateDraft(context: Context): Promise<Draft | undefined> {
    const existing = this.#drafts.get(getCookie(context, draftCookieName) ?? '');
    if (existing !== undefined) {
      return existing;
    }
    const published = await readPublishedDocument(this.#options.platform).catch(() => undefined);
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
    setCookie(context, draftCookieName, id, {httpOnly: true, sameSite: 'Strict'});
    return draft;
  }

  #respondUnavailable(context: Context): Response {
    return context.text(
      'the published document cannot be read; try again when the platform answers',
      503,
    );
  }

  async #showForms(context: Context): Promise<Response> {
    const draft = await this.#findOrCreateDraft(context);
    if (draft === undefined) {
      return this.#respondUnavailable(context);
    }
    const changes = describeChanges(draft.baseDocument, draft.document);
    return context.html(formsPage(this.#labelsFor(context), draft.document, changes.length));
  }

  async #editDraft(context: Context): Promise<Response> {
    const draft = await this.#findOrCreateDraft(context);
    if (draft === undefined) {
      return this.#respondUnavailable(context);
    }
    const edit = editSchema.safeParse(await context.req.parseBody());
    if (!edit.success) {
      const issue = edit.error.issues[0];
      return context.text(
        `form field ${issue?.path.join('.') ?? ''}: ${issue?.message ?? ''}`,
        400,
      );
    }
    draft.applyEdit(edit.data);
    return context.redirect('/', 303);
  }

  /** Creates an API key, shows it once and adds only its digest to the draft. */
  async #createKey(context: Context): Promise<Response> {
    const draft = await this.#findOrCreateDraft(context);
    const {id} = await context.req.parseBody();
    if (draft === undefined || typeof id !== 'string') {
      return this.#respondUnavailable(context);
    }
    const key = randomBytes(apiKeyBytes).toString('base64url');
    const digest = createHash('sha256').update(key).digest('hex');
    draft.applyEdit({kind: 'addKey', id, digest});
    return context.html(keyPage(this.#labelsFor(context), id, key));
  }

  /** Collects what the changes page shows: differences, issues, unsafe steps, and a newer published version. */
  async #changesView(draft: Draft): Promise<ChangesView> {
    const published = await readPublishedDocument(this.#options.platform).catch(() => undefined);
    const checked = checkDocument(draft.document);
    return {
      changes: describeChanges(draft.baseDocument, draft.document),
      issues: checked.isErr() ? checked.error : [],
      unsafeSteps: findUnsafeSteps(draft.baseDocument, draft.document),
      isMovedOn: published !== undefined && published.digest !== draft.baseDigest,
    };
  }

  async #showChanges(context: Context): Promise<Response> {
    const draft = await this.#findOrCreateDraft(context);
    if (draft === undefined) {
      return this.#respondUnavailable(context);
    }
    return context.html(changesPage(this.#labelsFor(context), await this.#changesView(draft)));
  }

  /** Sends the finished document as a download, or the changes page with status 409 where it is not ready. */
  async #createDocument(context: Context): Promise<Response> {
    const draft = await this.#findOrCreateDraft(context);
    if (draft === undefined) {
      return this.#respondUnavailable(context);
    }
    const view = await this.#changesView(draft);
    const {author, reason, confirmed} = await context.req.parseBody();
    const isConfirmed = view.unsafeSteps.length === 0 || confirmed === 'yes';
    const document = draft.toNextVersion({
      author: String(author ?? ''),
      reason: String(reason ?? ''),
      madeAt: this.#options.now(),
    });
    const checked = checkDocument(document);
    const canCreateDocument =
      checked.isOk() && isConfirmed && !view.isMovedOn && view.changes.length > 0;
    if (!canCreateDocument) {
      const issues = checked.isErr() ? checked.error : view.issues;
      return context.html(changesPage(this.#labelsFor(context), {...view, issues}), 409);
    }
    context.header(
      'content-disposition',
      `attachment; filename="document-${document.version}.json"`,
    );
    context.header('content-type', 'application/json');
    return context.body(`${JSON.stringify(checked.value, null, 2)}\n`);
  }
}
