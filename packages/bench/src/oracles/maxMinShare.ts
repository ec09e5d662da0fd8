/** Max-min fair division of a capacity: each demand is met in full or gets an equal part of the remaining capacity. */
export function maxMinShare(demands: readonly number[], capacity: number): number[] {
  const shares = demands.map(() => 0);
  let remaining = capacity;
  let unmet = demands.map((_, index) => index);
  while (unmet.length > 0 && remaining > 1e-9) {
    const equalPart = remaining / unmet.length;
    const met = unmet.filter((index) => (demands[index] ?? 0) - (shares[index] ?? 0) <= equalPart);
    if (met.length === 0) {
      for (const index of unmet) {
        shares[index] = (shares[index] ?? 0) + equalPart;
      }
      return shares;
    }
    for (const index of met) {
      remaining -= (demands[index] ?? 0) - (shares[index] ?? 0);
      shares[index] = demands[index] ?? 0;
    }
    unmet = unmet.filter((index) => !met.includes(index));
  }
  return shares;
}
