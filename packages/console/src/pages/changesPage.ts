import type {ValidationIssue} from '@godwitspring/document';
import {formatIssue} from '@godwitspring/document';
import {html} from 'hono/html';
import type {Labels} from '../labels.ts';
import {layout} from './layout.ts';
import type {Page} from './layout.ts';

/** Data of the changes page. */
export interface ChangesView {
  /** Differences to the published document, in words. */
  readonly changes: readonly string[];
  /** Issues for which the document would be rejected. */
  readonly issues: readonly ValidationIssue[];
  /** Valid changes that the operator must confirm. */
  readonly unsafeSteps: readonly string[];
  /** True where another version was published after the draft was started. */
  readonly isMovedOn: boolean;
}

function bulletList(items: readonly string[]): Page {
  return html`<ul>
    ${items.map((item) => html`<li>${item}</li>`)}
  </ul>`;
}

/** Highlighted box with a title and a list; empty where there are no items. */
function notice(title: string, items: readonly string[]): Page {
  return items.length === 0
    ? html``
    : html`<div class="notice" role="alert"><strong>${title}</strong>${bulletList(items)}</div>`;
}

/** Form with fields for author and reason that downloads the document; unsafe steps need a tick to confirm. */
function documentForm(labels: Labels, hasUnsafeSteps: boolean): Page {
  const confirm = hasUnsafeSteps
    ? html`<label
        ><input type="checkbox" name="confirmed" value="yes" required />
        ${labels.confirmUnsafe}</label
      >`
    : html``;
  return html`<form method="post" action="/document">
    <label>${labels.author} <input name="author" required autocomplete="name" /></label>
    <label>${labels.reason} <input name="reason" required size="50" /></label>
    ${confirm}
    <button>${labels.createDocument}</button>
  </form>`;
}

/** Page that lists all changes of the draft and offers the finished document where nothing stands against it. */
export function changesPage(labels: Labels, view: ChangesView): Page {
  const {changes, issues, unsafeSteps, isMovedOn} = view;
  const canCreateDocument = changes.length > 0 && issues.length === 0 && !isMovedOn;
  const content = html`<h2>${labels.changes}</h2>
    ${isMovedOn ? notice(labels.draftOutdated, [labels.discard]) : html``}
    ${changes.length === 0 ? html`<p>${labels.noChanges}</p>` : bulletList(changes)}
    ${notice(labels.issues, issues.map(formatIssue))} ${notice(labels.unsafe, unsafeSteps)}
    ${canCreateDocument ? documentForm(labels, unsafeSteps.length > 0) : html``}
    <form method="post" action="/discard"><button class="quiet">${labels.discard}</button></form>`;
  return layout(labels, labels.changes, content);
}

/** Page that shows a new API key; the key is not shown again. */
export function keyPage(labels: Labels, customerId: string, key: string): Page {
  const content = html`<h2>${labels.newKey}: ${customerId}</h2>
    <p class="notice" role="status">${labels.keyShownOnce}</p>
    <p><code id="new-key">${key}</code></p>`;
  return layout(labels, labels.newKey, content);
}
