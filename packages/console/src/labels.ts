/** Texts of the pages in one language. */
export interface Labels {
  readonly language: 'es' | 'en';
  readonly title: string;
  readonly version: string;
  readonly customers: string;
  readonly rate: string;
  readonly burst: string;
  readonly keys: string;
  readonly newKey: string;
  readonly withdraw: string;
  readonly dataCentres: string;
  readonly inService: string;
  readonly outOfService: string;
  readonly takeOut: string;
  readonly takeBack: string;
  readonly backends: string;
  readonly floor: string;
  readonly servers: string;
  readonly drain: string;
  readonly restore: string;
  readonly routes: string;
  readonly openToAll: string;
  readonly save: string;
  readonly add: string;
  readonly remove: string;
  readonly changes: string;
  readonly noChanges: string;
  readonly author: string;
  readonly reason: string;
  readonly createDocument: string;
  readonly unsafe: string;
  readonly confirmUnsafe: string;
  readonly issues: string;
  readonly keyShownOnce: string;
  readonly draftOutdated: string;
  readonly discard: string;
  readonly backToForms: string;
}

const englishLabels: Labels = {
  language: 'en',
  title: 'Fleet console',
  version: 'Published version',
  customers: 'Customers',
  rate: 'Rate (requests/s)',
  burst: 'Burst (requests)',
  keys: 'Keys',
  newKey: 'New key',
  withdraw: 'Withdraw',
  dataCentres: 'Data centres',
  inService: 'in service',
  outOfService: 'out of service',
  takeOut: 'Take out',
  takeBack: 'Take back',
  backends: 'Backends',
  floor: 'Floor (servers)',
  servers: 'Backend servers',
  drain: 'Drain',
  restore: 'Restore',
  routes: 'Routes',
  openToAll: 'Open to all',
  save: 'Save',
  add: 'Add',
  remove: 'Remove',
  changes: 'Changes in this draft',
  noChanges: 'Nothing is changed.',
  author: 'Author',
  reason: 'Reason',
  createDocument: 'Make the document',
  unsafe: 'Unsafe steps',
  confirmUnsafe: 'I confirm these steps; the reason explains them',
  issues: 'Refused: correct these faults first',
  keyShownOnce: 'This key is shown once. Give it to the customer now; only its digest is stored.',
  draftOutdated:
    'Another version was published after this draft was started. Review it, discard this draft and start again.',
  discard: 'Discard the draft',
  backToForms: 'Back to the forms',
};

const spanishLabels: Labels = {
  language: 'es',
  title: 'Consola de la flota',
  version: 'Versión publicada',
  customers: 'Clientes',
  rate: 'Tasa (pedidos/s)',
  burst: 'Ráfaga (pedidos)',
  keys: 'Claves',
  newKey: 'Clave nueva',
  withdraw: 'Retirar',
  dataCentres: 'Centros de datos',
  inService: 'en servicio',
  outOfService: 'fuera de servicio',
  takeOut: 'Sacar',
  takeBack: 'Devolver',
  backends: 'Aplicaciones',
  floor: 'Piso (servidores)',
  servers: 'Servidores',
  drain: 'Vaciar',
  restore: 'Restaurar',
  routes: 'Rutas',
  openToAll: 'Abierta a todos',
  save: 'Guardar',
  add: 'Agregar',
  remove: 'Quitar',
  changes: 'Cambios de este borrador',
  noChanges: 'No hay cambios.',
  author: 'Autor',
  reason: 'Motivo',
  createDocument: 'Generar el documento',
  unsafe: 'Pasos inseguros',
  confirmUnsafe: 'Confirmo estos pasos; el motivo los explica',
  issues: 'Rechazado: primero hay que corregir estas faltas',
  keyShownOnce: 'Esta clave se muestra una sola vez. Entréguela ahora; solo se guarda su resumen.',
  draftOutdated:
    'Se publicó otra versión después de empezar este borrador. Revísela, descarte este borrador y empiece de nuevo.',
  discard: 'Descartar el borrador',
  backToForms: 'Volver a los formularios',
};

/** Texts for a language tag or an `accept-language` header: Spanish where it starts with `es`, else English. */
export function labelsFor(language: string | undefined): Labels {
  return language?.toLowerCase().startsWith('es') === true ? spanishLabels : englishLabels;
}
