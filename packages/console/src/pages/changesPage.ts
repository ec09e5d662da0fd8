import type {Fault} from '@godwitspring/document';
import {formatFault} from '@godwitspring/document';
import {html} from 'hono/html';
import type {Labels} from '../labels.ts';
import {layout} from './layout.ts';
import type {Page} from './layout.ts';

/** What the changes page shows. */
export interface ChangesView {
  readonly changes: readonly string[];
  readonly faults: readonly Fault[];
  readonly unsafeSteps: readonly string[];
  readonly isMovedOn: boolean;
}

function listOf(items: readonly string[]): Page {
  return html`<ul>
    ${items.map((item) => html`<li>${item}</li>`)}
  </ul>`;
}

function notice(title: string, items: readonly string[]): Page {
  return items.length === 0
    ? html``
    : html`<div class="notice" role="alert"><strong>${title}</strong>${listOf(items)}</div>`;
}

function finishForm(labels: Labels, hasUnsafeSteps: boolean): Page {
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
    <button>${labels.makeDocument}</button>
  </form>`;
}

/** Says exactly what the draft changes, and makes the document. */
export function changesPage(labels: Labels, view: ChangesView): Page {
  const {changes, faults, unsafeSteps, isMovedOn} = view;
  const canFinish = changes.length > 0 && faults.length === 0 && !isMovedOn;
  const content = html`<h2>${labels.changes}</h2>
    ${isMovedOn ? notice(labels.movedOn, [labels.discard]) : html``}
    ${changes.length === 0 ? html`<p>${labels.noChanges}</p>` : listOf(changes)}
    ${notice(labels.faults, faults.map(formatFault))} ${notice(labels.unsafe, unsafeSteps)}
    ${canFinish ? finishForm(labels, unsafeSteps.length > 0) : html``}
    <form method="post" action="/discard"><button class="quiet">${labels.discard}</button></form>`;
  return layout(labels, labels.changes, content);
}

/** Shows a new key, once. */
export function keyPage(labels: Labels, customerId: string, key: string): Page {
  const content = html`<h2>${labels.newKey}: ${customerId}</h2>
    <p class="notice" role="status">${labels.keyShownOnce}</p>
    <p><code id="new-key">${key}</code></p>`;
  return layout(labels, labels.newKey, content);
}
