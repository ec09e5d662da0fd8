import type {FleetDocument} from '../documentSchema.ts';
import {differencesBetween} from './differencesBetween.ts';

/** Describes in words the differences between two versions of the document, one line per difference. */
export function describeChanges(before: FleetDocument, after: FleetDocument): string[] {
  return differencesBetween(before, after)
    .filter(({kind}) => kind === 'changed')
    .map(({message}) => message);
}
