import type {FleetDocument} from '@godwitspring/document';
import {applyEdit} from './edits/applyEdit.ts';
import type {Edit} from './edits/editSchema.ts';

/** One operator's unpublished changes to the document version that was in force when the draft was started. */
export class Draft {
  /** Published document that the draft was started from. */
  readonly baseDocument: FleetDocument;
  /** Digest of the manifest of `baseDocument`. */
  readonly baseDigest: string;
  /** The document with all edits so far, still under the version of `baseDocument`. */
  document: FleetDocument;

  constructor(base: FleetDocument, baseDigest: string) {
    this.baseDocument = base;
    this.baseDigest = baseDigest;
    this.document = structuredClone(base);
  }

  /** Adds one edit to the draft; the result may have issues, which are checked later. */
  applyEdit(edit: Edit): void {
    this.document = applyEdit(this.document, edit);
  }

  /** Returns the edited document as the next version, with its author, reason, time and predecessor. */
  toNextVersion({
    author,
    reason,
    madeAt,
  }: {
    author: string;
    reason: string;
    madeAt: string;
  }): FleetDocument {
    const {version} = this.baseDocument;
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
