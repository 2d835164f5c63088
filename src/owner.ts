/** The one owner of a node's scheduling state: a queue of commands, worked off in batches. */
import { buffer, exhaustMap, Observable, Subject, type Subscription } from 'rxjs';
import type { Clock, WorkDuration } from './adapters/clock.js';
import type { Command, Effect } from './core/effects.js';
import { step } from './core/step.js';
import type { CoreState } from './core/state.js';
import type { Log } from './observability/logging.js';

export class Owner {
  readonly #commands = new Subject<Command>();
  readonly #subscription: Subscription;

  constructor(
    readonly state: CoreState,
    private readonly clock: Clock,
    private readonly log: Log,
    private readonly carryOut: (effect: Effect) => void,
    /** Is told how long some of the batches took: those of a tick, for each look at the clocks costs too. */
    private readonly worked: (work: WorkDuration) => void = () => undefined,
  ) {
    // A batch is all that has come in by the time the input that is ready now is read.
    const nextTurn = new Observable<void>((subscriber) => {
      clock.defer(() => {
        subscriber.next();
        subscriber.complete();
      });
    });
    this.#subscription = this.#commands
      .pipe(buffer(this.#commands.pipe(exhaustMap(() => nextTurn))))
      .subscribe((batch) => this.#work(batch));
  }

  push(command: Command): void {
    this.#commands.next(command);
  }

  close(): void {
    this.#subscription.unsubscribe();
  }

  #work(batch: readonly Command[]): void {
    const now = { monotonicMs: this.clock.monotonicMs(), epochMs: this.clock.epochMs() };
    const end = batch.some(({ kind }) => kind === 'tick') ? this.clock.startMeasuring() : null;
    let effects: Effect[];
    try {
      effects = step(this.state, batch, now);
    } catch (error) {
      // No fault of one batch may end the process. Half-done knowledge is dropped with
      // the leadership; the state service has the truth.
      this.log.error(
        { error: String(error), stack: error instanceof Error ? error.stack : '' },
        'step failed',
      );
      effects = step(this.state, [{ kind: 'resign', reason: 'internal fault' }], now);
    }
    for (const effect of effects) this.carryOut(effect);
    if (end !== null) this.worked(end());
  }
}
