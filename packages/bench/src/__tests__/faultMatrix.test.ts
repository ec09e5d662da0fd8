import {expect} from 'chai';
import {loadXxHash} from '@godwitspring/proxy';
import {allCells} from '../matrix/allCells.ts';
import {cellName, runCell} from '../matrix/runCell.ts';

/** The test runs every 97th cell, a sample over all faults and steps; `npm run matrix` runs every cell. */
const sampleEvery = 97;

describe('sample of the fault matrix', () => {
  for (const [index, cell] of allCells().entries()) {
    if (index % sampleEvery !== 0) {
      continue;
    }
    it(`${cellName(cell)} (seed ${cell.seed})`, async () => {
      const {broken} = runCell(cell, await loadXxHash());
      expect(broken).to.deep.equal([]);
    });
  }
});
