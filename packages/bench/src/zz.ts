import {loadXxHash} from '@godwitspring/proxy';
import {allCells} from './matrix/allCells.ts';
import {CellContext, settleMs} from './matrix/cellContext.ts';
import {steadyLoad} from './fleet/steadyLoad.ts';
import {IdealBucket} from './oracles/idealBucket.ts';
const hash = await loadXxHash();
const seed = Number(process.argv[2]);
const cell = allCells().find((c) => c.seed === seed)!;
const c = new CellContext({hash, seed, maxClockDrift: 0.0002});
const msgs: any[] = [];
c.listen((h, e) => {
  if (
    e.type === 'sendToPeer' &&
    ['loanAnswer', 'tokenAnswer', 'loanReturn', 'stockHandover', 'tokenAsk'].includes(
      e.message.type,
    )
  )
    msgs.push([c.fleet.queue.nowMs, h, e.toHostId, e.message]);
});
c.fleet.run(settleMs);
steadyLoad(c.fleet, {customerId: 'tight', perSecond: 30, forMs: 24000, seed: seed * 10 + 2});
c.fleet.run(1500);
cell.step.begin(c);
for (const f of cell.faults) f.start(c);
c.fleet.run(6000);
for (const f of cell.faults) f.stop(c);
c.fleet.run(18000);
const b = new IdealBucket({ratePerSecond: 20, burstRequests: 2});
let worst = 0,
  at = 0;
for (const a of c.fleet.attempts.filter((a) => a.customerId === 'tight' && a.attempt === 1)) {
  const left = b.force(a.atMs);
  if (-left > worst) {
    worst = -left;
    at = a.atMs;
  }
}
console.log('worst', worst, 'at', at, 't0', settleMs + 1500);
for (const a of c.fleet.attempts.filter(
  (a) => a.customerId === 'tight' && a.attempt === 1 && a.atMs > at - 600 && a.atMs <= at + 1,
))
  console.log('admit', a.atMs.toFixed(1), a.hostId);
for (const [t, f, to, m] of msgs.filter((x) => x[0] > at - 700 && x[0] <= at)) {
  const s =
    m.type === 'tokenAnswer'
      ? m.grants.map((g: any) => `${g.grantId} c${g.count} life${g.lifeMs} ${g.isSettled}`).join()
      : m.type === 'tokenAsk'
        ? JSON.stringify([m.wants, m.settled])
        : m.type === 'loanAnswer'
          ? `${m.allowanceClass} ${m.share} ${JSON.stringify(m.loans)}`
          : JSON.stringify(m);
  if (m.allowanceClass !== 'ejections') console.log(t.toFixed(1), f, '>', to, m.type, s);
}
