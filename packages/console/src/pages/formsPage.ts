import type {Backend, Customer, DataCentre, FleetDocument, Route} from '@godwitspring/document';
import {html} from 'hono/html';
import type {Labels} from '../labels.ts';
import {layout} from './layout.ts';
import type {Page} from './layout.ts';

/** Hidden fields that name the kind of the edit and the id of the edited entry. */
function hiddenInputs(kind: string, id: string): Page {
  return html`<input type="hidden" name="kind" value="${kind}" /><input
      type="hidden"
      name="id"
      value="${id}"
    />`;
}

/** Table row of one customer: rate and burst, keys to withdraw, a new key, removal. */
function customerRow(
  labels: Labels,
  {id, ratePerSecond, burstRequests, keyDigests}: Customer,
): Page {
  const keys = keyDigests.map(
    (digest) =>
      html`<form method="post" action="/edit">
        ${hiddenInputs('withdrawKey', id)}<input type="hidden" name="digest" value="${digest}" />
        <code>${digest.slice(0, 12)}…</code>
        <button class="quiet" aria-label="${labels.withdraw} ${digest.slice(0, 12)}, ${id}">
          ${labels.withdraw}
        </button>
      </form>`,
  );
  return html`<tr>
    <th scope="row">${id}</th>
    <td>
      <form method="post" action="/edit">
        ${hiddenInputs('setCustomer', id)}
        <label
          >${labels.rate}
          <input
            type="number"
            name="ratePerSecond"
            min="0"
            step="any"
            value="${ratePerSecond}"
            required
        /></label>
        <label
          >${labels.burst}
          <input type="number" name="burstRequests" min="0" value="${burstRequests}" required
        /></label>
        <button aria-label="${labels.save}, ${id}">${labels.save}</button>
      </form>
    </td>
    <td>${keys}</td>
    <td>
      <form method="post" action="/keys">
        <input type="hidden" name="id" value="${id}" />
        <button class="quiet" aria-label="${labels.newKey}, ${id}">${labels.newKey}</button>
      </form>
      <form method="post" action="/edit">
        ${hiddenInputs('removeCustomer', id)}
        <button class="quiet" aria-label="${labels.remove}, ${id}">${labels.remove}</button>
      </form>
    </td>
  </tr>`;
}

/** All customers, with a form to add one. */
function customersSection(labels: Labels, customers: readonly Customer[]): Page {
  return html`<section aria-labelledby="customers">
    <h2 id="customers">${labels.customers}</h2>
    <table>
      <thead>
        <tr>
          <th scope="col">id</th>
          <th scope="col">${labels.rate}, ${labels.burst}</th>
          <th scope="col">${labels.keys}</th>
          <th scope="col"></th>
        </tr>
      </thead>
      <tbody>
        ${customers.map((customer) => customerRow(labels, customer))}
      </tbody>
    </table>
    <form method="post" action="/edit">
      <input type="hidden" name="kind" value="setCustomer" />
      <label>id <input name="id" required pattern="[a-z0-9][a-z0-9.\\-]*" /></label>
      <label
        >${labels.rate} <input type="number" name="ratePerSecond" min="0" step="any" required
      /></label>
      <label>${labels.burst} <input type="number" name="burstRequests" min="1" required /></label>
      <button>${labels.add}</button>
    </form>
  </section>`;
}

/** All data centres, each with a button that takes it out of service or returns it. */
function dataCentresSection(labels: Labels, dataCentres: readonly DataCentre[]): Page {
  const rows = dataCentres.map(
    ({id, inService}) =>
      html`<tr>
        <th scope="row">${id}</th>
        <td>${inService ? labels.inService : labels.outOfService}</td>
        <td>
          <form method="post" action="/edit">
            ${hiddenInputs('setDataCentre', id)}<input
              type="hidden"
              name="service"
              value="${inService ? 'out' : 'in'}"
            />
            <button aria-label="${inService ? labels.takeOut : labels.takeBack}, ${id}">
              ${inService ? labels.takeOut : labels.takeBack}
            </button>
          </form>
        </td>
      </tr>`,
  );
  return html`<section aria-labelledby="data-centres">
    <h2 id="data-centres">${labels.dataCentres}</h2>
    <table>
      <tbody>
        ${rows}
      </tbody>
    </table>
  </section>`;
}

/** One backend: its floor, its servers with buttons to drain or remove them, and a form to add a server. */
function backendSection(labels: Labels, backend: Backend): Page {
  const rows = backend.servers.map(
    ({id, origin, dataCentre, state}) =>
      html`<tr>
        <th scope="row">${id}</th>
        <td><code>${origin}</code></td>
        <td>${dataCentre}</td>
        <td>${state}</td>
        <td>
          <form method="post" action="/edit">
            ${hiddenInputs('setServer', id)}<input
              type="hidden"
              name="state"
              value="${state === 'draining' ? 'in-service' : 'draining'}"
            />
            <button
              class="quiet"
              aria-label="${state === 'draining' ? labels.restore : labels.drain}, ${id}"
            >
              ${state === 'draining' ? labels.restore : labels.drain}
            </button>
          </form>
          <form method="post" action="/edit">
            ${hiddenInputs('removeServer', id)}
            <button class="quiet" aria-label="${labels.remove}, ${id}">${labels.remove}</button>
          </form>
        </td>
      </tr>`,
  );
  return html`<details>
    <summary>
      ${backend.id}: ${backend.servers.length} ${labels.servers}, ${labels.floor}
      ${backend.floor.totalServers}
    </summary>
    <form method="post" action="/edit">
      ${hiddenInputs('setFloor', backend.id)}
      <label
        >${labels.floor}
        <input
          type="number"
          name="totalServers"
          min="0"
          value="${backend.floor.totalServers}"
          required
      /></label>
      <button aria-label="${labels.save} ${labels.floor}, ${backend.id}">${labels.save}</button>
    </form>
    <table>
      <tbody>
        ${rows}
      </tbody>
    </table>
    <form method="post" action="/edit">
      <input type="hidden" name="kind" value="addServer" /><input
        type="hidden"
        name="backendId"
        value="${backend.id}"
      />
      <label>id <input name="id" required /></label>
      <label
        >origin <input name="origin" type="url" required placeholder="http://10.0.0.1:8080"
      /></label>
      <label>${labels.dataCentres} <input name="dataCentre" required /></label>
      <button>${labels.add}</button>
    </form>
  </details>`;
}

/** Form for one route; an empty route gives the form that adds one. */
function routeForm(labels: Labels, route: Partial<Route>, backends: readonly Backend[]): Page {
  const id = route.id ?? '';
  const selectOption = (value: string, selectedValue: string | undefined): Page =>
    html`<option value="${value}" ${value === selectedValue ? 'selected' : ''}>${value}</option>`;
  return html`<form method="post" action="/edit">
    <input type="hidden" name="kind" value="setRoute" />
    <label>id <input name="id" value="${id}" required ${id === '' ? '' : 'readonly'} /></label>
    <label>path <input name="pathPrefix" value="${route.pathPrefix ?? '/'}" required /></label>
    <label
      >${labels.backends}
      <select name="backend">
        ${backends.map((backend) => selectOption(backend.id, route.backend))}
      </select></label
    >
    <label
      >${labels.openToAll}
      <select name="access">
        ${selectOption('key', route.openToAll === true ? 'open' : 'key')}${selectOption('open', route.openToAll === true ? 'open' : 'key')}
      </select></label
    >
    <label
      >idempotent
      <select name="idempotent">
        ${['by-method', 'yes', 'no'].map((value) => selectOption(value, route.idempotent))}
      </select></label
    >
    <label
      >timeoutMs
      <input type="number" name="timeoutMs" min="1" value="${route.timeoutMs ?? 30_000}" required
    /></label>
    <button aria-label="${labels.save}, ${id}">${id === '' ? labels.add : labels.save}</button>
  </form>`;
}

/** Start page: the forms for everything in the draft that operators may change. */
export function formsPage(labels: Labels, document: FleetDocument, changeCount: number): Page {
  const {customers, dataCentres, backends, routes, version} = document;
  const routeForms = routes.map(
    (route) =>
      html`<li>
        ${routeForm(labels, route, backends)}
        <form method="post" action="/edit">
          ${hiddenInputs('removeRoute', route.id)}
          <button class="quiet" aria-label="${labels.remove}, ${route.id}">${labels.remove}</button>
        </form>
      </li>`,
  );
  const content = html`<p>
      ${labels.version}: <strong>${version}</strong> ·
      <a href="/changes">${labels.changes}: ${changeCount}</a>
    </p>
    ${dataCentresSection(labels, dataCentres)} ${customersSection(labels, customers)}
    <section aria-labelledby="backends">
      <h2 id="backends">${labels.backends}</h2>
      ${backends.map((backend) => backendSection(labels, backend))}
    </section>
    <section aria-labelledby="routes">
      <h2 id="routes">${labels.routes}</h2>
      <ul>
        ${routeForms}
        <li>${routeForm(labels, {}, backends)}</li>
      </ul>
    </section>`;
  return layout(labels, labels.title, content);
}
