import {expect} from 'chai';
import {ServerRisk} from '../placement/serverRisk.ts';
import {endedLogOdds, SilenceEvidence} from '../placement/silenceEvidence.ts';
import {UsualFailures} from '../placement/usualFailures.ts';

const strong = endedLogOdds(0.01);

describe('SilenceEvidence', () => {
  it('rises with each silent attempt and fades with time', () => {
    const evidence = new SilenceEvidence();
    evidence.recordSilence({startedAtMs: 0, logOdds: 1}, 1_000);
    evidence.recordSilence({startedAtMs: 100, logOdds: 1}, 1_000);
    expect(evidence.suspicion([], 1_000)).to.equal(2);
    expect(evidence.suspicion([], 3_000)).to.equal(1);
  });

  // Guards against servers that stay out of use for seconds after one slow request.
  it('weighs a silent attempt against successes that started after it and were known before it ended', () => {
    const evidence = new SilenceEvidence();
    for (const startedAtMs of [200, 500, 900]) {
      evidence.recordSuccess({hostId: 'h', startedAtMs}, startedAtMs + 100);
    }
    expect(evidence.suspicion([{startedAtMs: 0, logOdds: strong}], 1_400)).to.be.below(0.2);
    evidence.recordSilence({startedAtMs: 0, logOdds: strong}, 1_500);
    expect(evidence.suspicion([], 1_500)).to.be.below(0.2);
  });

  it('keeps the suspicion of attempts that started after the last success', () => {
    const evidence = new SilenceEvidence();
    evidence.recordSuccess({hostId: 'h', startedAtMs: 100}, 300);
    evidence.recordSilence({startedAtMs: 200, logOdds: strong}, 1_700);
    expect(evidence.suspicion([], 1_700)).to.equal(strong);
    expect(evidence.suspicion([{startedAtMs: 150, logOdds: 1}], 1_700)).to.equal(strong + 1);
  });

  it('drops successes that speak against nothing', () => {
    const evidence = new SilenceEvidence();
    evidence.recordSuccess({hostId: 'h', startedAtMs: 100}, 300);
    evidence.prune(50, 300);
    expect(evidence.hasSuccessSince(0, 'h')).to.equal(true);
    expect(evidence.hasSuccessSince(0, 'other')).to.equal(false);
    evidence.prune(Number.POSITIVE_INFINITY, 300);
    expect(evidence.hasSuccessSince(0, 'h')).to.equal(false);
  });
});

describe('UsualFailures', () => {
  function record(
    usual: UsualFailures,
    {servers, failed, silent}: {servers: readonly string[]; failed: number; silent: number},
  ): void {
    for (const serverId of servers) {
      for (let count = 0; count < 20; count += 1) {
        const ended = count < failed + silent ? 'timeout' : 'ok';
        usual.record(serverId, count < failed ? 'error' : ended, 0);
      }
    }
  }

  it('are the shares of the servers that work, whatever the others do', () => {
    const usual = new UsualFailures();
    record(usual, {servers: ['a', 'b', 'c', 'd'], failed: 4, silent: 2});
    record(usual, {servers: ['e', 'f', 'g'], failed: 13, silent: 0});
    record(usual, {servers: ['h', 'i', 'j'], failed: 0, silent: 13});
    expect(usual.failedShare(0)).to.be.closeTo(16 / 140, 1e-9);
    expect(usual.silentShare(0)).to.be.closeTo(8 / 140, 1e-9);
  });

  it('are not known from fewer than three servers', () => {
    const usual = new UsualFailures();
    record(usual, {servers: ['a', 'b'], failed: 4, silent: 2});
    expect(usual.failedShare(0)).to.equal(1 / 80);
    expect(usual.silentShare(0)).to.equal(0);
  });

  // Guards against shares that are no number once the weights of all attempts have decayed to zero.
  it('are not known after a long time without attempts', () => {
    const usual = new UsualFailures();
    record(usual, {servers: ['a', 'b', 'c'], failed: 4, silent: 2});
    const dayMs = 24 * 3_600_000;
    expect(usual.failedShare(dayMs)).to.equal(1 / 80);
    expect(usual.silentShare(dayMs)).to.equal(0);
  });

  // Guards against failures with a common cause that make every server look unusable.
  it('make a failure weaker evidence against a server', () => {
    const riskAfterFailure = (share: number): number => {
      const serverRisk = new ServerRisk({usualFailedShare: () => share});
      const attempt = {hostId: 'h', routeId: 'r', startedAtMs: 0};
      serverRisk.recordOutcome(attempt, 'error', 100, () => 1);
      return serverRisk.risk(100, () => 1);
    };
    expect(riskAfterFailure(1 / 80)).to.be.above(0.8);
    expect(riskAfterFailure(0.2)).to.be.below(0.6);
  });
});
