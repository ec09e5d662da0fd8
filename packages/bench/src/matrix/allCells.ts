import {faultTable} from './faultTable.ts';
import type {Fault} from './faultTable.ts';
import type {Cell} from './runCell.ts';
import {stepTable} from './stepTable.ts';

/** Seed of the first cell; every further cell has the next seed. */
const firstSeed = 1_000;

/** Every fault singly, and every pair of faults. */
function faultSets(): (readonly Fault[])[] {
  const sets: (readonly Fault[])[] = [];
  for (const [index, one] of faultTable.entries()) {
    sets.push([one]);
    for (const other of faultTable.slice(index + 1)) {
      sets.push([one, other]);
    }
  }
  return sets;
}

/** All cells of the matrix: every fault, singly and in pairs, at every step, each with a fixed seed. */
export function allCells(): Cell[] {
  const cells: Cell[] = [];
  for (const faults of faultSets()) {
    for (const step of stepTable) {
      cells.push({faults, step, seed: firstSeed + cells.length});
    }
  }
  return cells;
}
