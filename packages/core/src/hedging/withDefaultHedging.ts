import type {FleetDocument, HedgingSettings} from '@godwitspring/document';

/** Adds settings for hedged attempts to the backends of a document that have none. */
export function withDefaultHedging(
  document: FleetDocument,
  hedging: HedgingSettings | undefined,
): FleetDocument {
  if (hedging === undefined) {
    return document;
  }
  const backends = document.backends.map((backend) => ({
    ...backend,
    hedging: backend.hedging ?? hedging,
  }));
  return {...document, backends};
}
