'use strict';
// Mocha reporter: the standard spec report, followed by a last line "N passed, N failed".
const {reporters} = require('mocha');

class TotalsReporter extends reporters.Spec {
  constructor(runner, options) {
    super(runner, options);
    runner.once('end', () => {
      setImmediate(() => {
        process.stdout.write(`\n${this.stats.passes} passed, ${this.stats.failures} failed\n`);
      });
    });
  }
}

module.exports = TotalsReporter;
