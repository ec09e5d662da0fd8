/**
 * Risk by which the servers of another home have to be lower: their evidence is up to a second old, and a host
 * rarely has connections to them, which the lowest-risk policy charges with 0.03.
 */
const riskMargin = 0.05;
/** Lower risk that is required for each body byte and in all, as in the lowest-risk policy. */
const riskPerByte = 1e-6;
const maxBodyRisk = 0.08;
/** Typical time of a message to another data centre and of its reply, in ms. */
const roundTripMs = 3;
/**
 * Longer wait at the own home that is accepted for each body byte which stays in the data centre, in ms. Operators
 * price the transfer of 60 kB at a quarter of a request; the lowest-risk policy charges a remote server alike,
 * with a failure probability of 0.06, and 60 ms are that share of a typical target latency of 1 s.
 */
const waitPerByteMs = 0.001;
/** Longest wait that is accepted for the sake of the body, in ms. */
const maxBodyWaitMs = 80;
/** Round trips by which the wait at the own home has to be longer than a wait at another home. */
const queuedRoundTrips = 2;
/**
 * Share of the wait at another home by which the own one has to be longer as well: expected waits vary by that
 * much between two summaries, and queues of equal length would send each other requests.
 */
const queuedMargin = 0.25;

/**
 * Cost of leaving the data centre for a server of another one, as additional wait at the own home that is accepted
 * instead, in ms. `expectedWaitMs` is the wait at the other home, 0 where a slot is free there.
 */
export function leavingCostMs(expectedWaitMs: number, bodyBytes: number): number {
  const bodyWaitMs = Math.min(maxBodyWaitMs, bodyBytes * waitPerByteMs);
  const travelMs =
    expectedWaitMs > 0
      ? Math.max(queuedRoundTrips * roundTripMs, expectedWaitMs * queuedMargin)
      : roundTripMs;
  return travelMs + bodyWaitMs;
}

/**
 * Cost of leaving the data centre for a server that is likelier to succeed, as additional failure probability of the
 * own server that is accepted instead.
 */
export function leavingRisk(bodyBytes: number): number {
  return riskMargin + Math.min(maxBodyRisk, bodyBytes * riskPerByte);
}
