import type {FleetDocument} from '@godwitspring/document';
import {applyEdit} from './edits/applyEdit.ts';
import type {Edit} from './edits/editSchema.ts';

/** One operator's changes to the version that was published when they were begun. */
export class Draft {
  readonly base: FleetDocument;
  /** Digest of the published manifest that the draft began from. */
  readonly baseDigest: string;
  document: FleetDocument;

  constructor(base: FleetDocument, baseDigest: string) {
    this.base = base;
    this.baseDigest = baseDigest;
    this.document = structuredClone(base);
  }

  edit(edit: Edit): void {
    this.document = applyEdit(this.document, edit);
  }

  /** The document under the next version, with who made it, why and when. */
  finished({
    author,
    reason,
    madeAt,
  }: {
    author: string;
    reason: string;
    madeAt: string;
  }): FleetDocument {
    const {version} = this.base;
    return {
      ...this.document,
      version: version + 1,
      author,
      reason,
      madeAt,
      previousDigest: this.baseDigest,
    };
  }
}
