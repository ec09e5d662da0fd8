/** Words of the pages in one language. */
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
  readonly makeDocument: string;
  readonly unsafe: string;
  readonly confirmUnsafe: string;
  readonly faults: string;
  readonly keyShownOnce: string;
  readonly movedOn: string;
  readonly discard: string;
  readonly back: string;
}

const english: Labels = {
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
  makeDocument: 'Make the document',
  unsafe: 'Unsafe steps',
  confirmUnsafe: 'I mean these steps; the reason says why',
  faults: 'Refused: these faults must be mended first',
  keyShownOnce: 'This key is shown once. Give it to the customer now; only its digest is kept.',
  movedOn: 'Another version was published since this draft was begun. Look at it and begin again.',
  discard: 'Discard the draft',
  back: 'Back to the forms',
};

const spanish: Labels = {
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
  makeDocument: 'Generar el documento',
  unsafe: 'Pasos inseguros',
  confirmUnsafe: 'Quiero estos pasos; el motivo dice por qué',
  faults: 'Rechazado: primero hay que corregir estas faltas',
  keyShownOnce: 'Esta clave se muestra una sola vez. Entréguela ahora; solo se guarda su resumen.',
  movedOn: 'Se publicó otra versión desde que empezó este borrador. Revísela y empiece de nuevo.',
  discard: 'Descartar el borrador',
  back: 'Volver a los formularios',
};

/** Words in the language asked for; English where there is none. */
export function labelsFor(language: string | undefined): Labels {
  return language?.toLowerCase().startsWith('es') === true ? spanish : english;
}
