/**
 * Returns the number of whole permits that a home may issue while it holds a share, 0 to 1, of a fleet-wide
 * limit. The home of a key is the host that decides on it for the whole fleet.
 *
 * The one home with more than half of the shares rounds up and all others round down, so that the permits of all
 * homes together are at most the limit: with shares that add up to at most 1,
 * ceil(s·n) + Σ floor(sᵢ·n) ≤ n.
 */
export function wholePermits(share: number, limit: number): number {
  if (limit <= 0) {
    return 0;
  }
  const exact = Math.min(1, share) * limit;
  const tolerance = 1e-9;
  return share > 0.5 + tolerance ? Math.ceil(exact - tolerance) : Math.floor(exact + tolerance);
}
