/**
 * Numbers of probe rounds. The leaders of different terms use different numbers, so that no result is taken for
 * another's.
 */

/** Rounds that a leader can number in one term before it begins again; a round takes seconds. */
const ROUNDS_PER_TERM = 2 ** 16;

/** The number of the next round in a term, as a 32-bit integer; `previous`: the number of the last round known here. */
export function nextProbeRound(term: number, previous: number): number {
  const first = (term % ROUNDS_PER_TERM) * ROUNDS_PER_TERM;
  const isOfTerm = previous >= first && previous < first + ROUNDS_PER_TERM - 1;
  return isOfTerm ? previous + 1 : first;
}
