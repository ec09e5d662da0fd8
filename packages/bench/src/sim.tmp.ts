import {loadXxHash} from '@godwitspring/proxy';
import {grayFleet, grayLoad, grayTurns, summarise} from './gray/grayDays.ts';
const hash = await loadXxHash();
for (const seed of [1, 2, 3]) {
  const fleet = grayFleet(hash, {seed});
  fleet.queue.runUntil(8000);
  grayTurns(fleet, {mode: 'silent', share: 0.3, cycleMs: 12000, seed});
  fleet.queue.runUntil(12000);
  grayLoad(fleet, {perSecond: Number(process.argv[2] ?? 70), seed});
  const t = performance.now();
  fleet.queue.runUntil(36000);
  const by = (r: string) =>
    JSON.stringify(summarise(fleet.outcomes.filter((o) => o.routeId === r)));
  console.log(
    seed,
    Math.round(performance.now() - t) + 'ms',
    JSON.stringify(summarise(fleet.outcomes)),
  );
  console.log('  lookup', by('lookup'), '\n  payment', by('payment'));
  const kinds: Record<string, number> = {};
  for (const o of fleet.outcomes)
    kinds[o.refusal ?? String(o.status)] = (kinds[o.refusal ?? String(o.status)] ?? 0) + 1;
  console.log('  ', JSON.stringify(kinds));
}
