import {SeededRandom} from '@godwitspring/core';
import {expect} from 'chai';
import type {OutcomeClass} from '../response-ends/classifyOutcome.ts';
import {drawTrial} from '../response-ends/drawTrial.ts';
import {TrialRunner} from '../response-ends/trialRunner.ts';
import type {TrialOutcome, TrialRun} from '../response-ends/trialRunner.ts';
import {describeFindings} from '../response-ends/tabulateOutcomes.ts';
import {framings} from '../response-ends/trial.ts';
import type {Way} from '../response-ends/trial.ts';
import {TrialFleet} from '../response-ends/trialFleet.ts';

const seed = 7;
const requests = 240;
/** Subnets of this test; those of the bench program differ, so that both may run at a time. */
const firstSubnet = 10;
/** Ways on which neither the host nor a timeout ends a response. */
const undisturbedWays: readonly Way[] = ['alone', 'relay', 'hedge', 'slowReader', 'http10Caller'];

describe('responses through whole hosts, ended by their servers in each way', function () {
  this.timeout(60_000);
  const fleet = new TrialFleet({firstSubnet});
  let result: TrialRun = {outcomes: [], relayedAttempts: 0};

  before(async () => {
    await fleet.start();
    result = await new TrialRunner(fleet).run({seed, requests});
  });

  after(async () => {
    await fleet.stop();
  });

  function findingsOf(outcome: OutcomeClass): TrialOutcome[] {
    return result.outcomes.filter((one) => one.outcome === outcome);
  }

  // Guards against trials that say nothing as most requests are refused, none is relayed or none is hedged.
  it('reach their callers on each way', () => {
    for (const way of undisturbedWays) {
      const delivered = findingsOf('delivered').filter(({trial}) => trial.way === way);
      expect(delivered.length, way).to.be.above(0);
    }
    expect(result.relayedAttempts, 'relayed attempts').to.be.above(0);
    const hedged = result.outcomes.filter(
      ({trial, attempts}) => trial.way === 'hedge' && attempts.length > 1,
    );
    expect(hedged.length, 'hedged requests').to.be.above(0);
  });

  // Guards against hosts that declare the end of a response that its server broke off.
  it('are declared whole only where they are', () => {
    expect(describeFindings(findingsOf('falselyDeclared'))).to.deep.equal([]);
  });

  // Guards against hosts that take a reset, a silence or their own stop for the end of a response without a length.
  it('are closed in order only where their servers did', () => {
    expect(describeFindings(findingsOf('falselyClosed'))).to.deep.equal([]);
  });

  // Guards against hosts that break off what is sound in order to be safe.
  it('are delivered whole where their servers declared the end', () => {
    const lost = findingsOf('lost').filter(
      ({trial: {way, framing}}) =>
        undisturbedWays.includes(way) && (framing === 'length' || framing === 'chunked'),
    );
    expect(describeFindings(lost)).to.deep.equal([]);
  });

  // Guards against a stop that closes the connections of callers in order while responses run.
  it('are visibly broken off by a planned stop, or refused', async () => {
    const random = new SeededRandom(seed);
    const frames = (['1.0', '1.1'] as const).flatMap((callerVersion) =>
      framings.map((framing) => ({callerVersion, framing})),
    );
    const trials = frames.map((frame, index) =>
      drawTrial(random, {
        ...frame,
        seed,
        number: requests + index,
        way: 'plannedStop',
        end: 'silence',
        // More than a host buffers, so that the response has begun when the host ends.
        bodyBytes: 900_000,
        cutBytes: 600_000,
      }),
    );
    const {outcomes} = await new TrialRunner(fleet).runTrials(trials, seed);
    const received = outcomes.map(({trial, received: {status, ending}}) => ({
      framing: trial.framing,
      callerVersion: trial.callerVersion,
      status,
      ending,
    }));
    // Of a response without a declared end nothing is sent before it ended, so that the caller gets a refusal.
    const expected = received.map((one) =>
      one.framing === 'length' || one.framing === 'chunked'
        ? {...one, status: 200, ending: 'broken'}
        : {...one, status: 504, ending: 'declared'},
    );
    expect(received).to.deep.equal(expected);
  });
});
