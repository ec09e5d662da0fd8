/** Max-min fair division of a capacity: each gets its demand, or an equal part of what is left. */
export function maxMinShare(demands: readonly number[], capacity: number): number[] {
  const shares = demands.map(() => 0);
  let left = capacity;
  let open = demands.map((_, index) => index);
  while (open.length > 0 && left > 1e-9) {
    const part = left / open.length;
    const done = open.filter((index) => (demands[index] ?? 0) - (shares[index] ?? 0) <= part);
    if (done.length === 0) {
      for (const index of open) {
        shares[index] = (shares[index] ?? 0) + part;
      }
      return shares;
    }
    for (const index of done) {
      left -= (demands[index] ?? 0) - (shares[index] ?? 0);
      shares[index] = demands[index] ?? 0;
    }
    open = open.filter((index) => !done.includes(index));
  }
  return shares;
}
