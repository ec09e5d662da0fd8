import {html} from 'hono/html';
import type {HtmlEscapedString} from 'hono/utils/html';
import type {Labels} from '../labels.ts';

/** Escaped HTML of a page or of a part of one. */
export type Page = HtmlEscapedString | Promise<HtmlEscapedString>;

const stylesheet = `
body { font: 16px/1.45 system-ui, sans-serif; margin: 0 auto; max-width: 70rem; padding: 1rem; color: #1b1b1b; }
h1 { font-size: 1.4rem; } h2 { font-size: 1.15rem; margin-top: 2rem; border-bottom: 1px solid #bbb; }
table { border-collapse: collapse; width: 100%; } th, td { text-align: left; padding: .3rem .6rem; border-bottom: 1px solid #ddd; vertical-align: middle; }
form { display: inline-flex; gap: .4rem; flex-wrap: wrap; align-items: center; margin: 0; }
input, select, button { font: inherit; padding: .25rem .45rem; border: 1px solid #767676; border-radius: 4px; }
input[type=number] { width: 6.5rem; } button { background: #14532d; color: #fff; border-color: #14532d; cursor: pointer; }
button.quiet { background: #fff; color: #14532d; } :focus-visible { outline: 3px solid #b45309; outline-offset: 1px; }
.notice { border-left: 6px solid #b45309; background: #fff7ed; padding: .6rem 1rem; } code { word-break: break-all; }
nav a { margin-right: 1rem; }`;

/** Frame of every page: head, title, navigation and language links around the content. */
export function layout(labels: Labels, title: string, content: Page): Page {
  return html`<!doctype html>
    <html lang="${labels.language}">
      <head>
        <meta charset="utf-8" />
        <meta name="viewport" content="width=device-width, initial-scale=1" />
        <title>${title}</title>
        <style>
          ${stylesheet}
        </style>
      </head>
      <body>
        <header>
          <h1>${labels.title}</h1>
          <nav aria-label="${labels.title}">
            <a href="/">${labels.backToForms}</a>
            <a href="/changes">${labels.changes}</a>
            <a href="/language/es" lang="es">Español</a>
            <a href="/language/en" lang="en">English</a>
          </nav>
        </header>
        <main>${content}</main>
      </body>
    </html>`;
}
