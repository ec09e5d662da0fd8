/**
 * Whole permits that a home may give out of a fleet-wide limit while it holds a share of it.
 *
 * The one home with more than half of the shares rounds up and all others round down, so that the
 * permits of all homes together are at most the limit: with shares that add up to at most 1,
 * ceil(s·n) + Σ floor(sᵢ·n) ≤ n.
 */
export function wholePermits(share: number, limit: number): number {
  if (limit <= 0) {
    return 0;
  }
  const exact = Math.min(1, share) * limit;
  const rounding = 1e-9;
  return share > 0.5 + rounding ? Math.ceil(exact - rounding) : Math.floor(exact + rounding);
}
