/** The command loop: the only code that changes the scheduling state. It applies commands in batches. */
import { buffer, exhaustMap, Observable, Subject, type Subscription } from 'rxjs';
import type { Clock, WorkDuration } from '../adapters/clock.js';
import type { Command, Effect } from '../core/effects.js';
import { step } from '../core/step.js';
import type { CoreState } from '../core/state.js';
import type { Log } from '../observability/logging.js';

/** Owns the scheduling state of a controller; effects of each batch go to `executeEffect`. */
export class CommandLoop {
  readonly #commands = new Subject<Command>();
  readonly #subscription: Subscription;

  constructor(
    readonly state: CoreState,
    private readonly clock: Clock,
    private readonly log: Log,
    private readonly executeEffect: (effect: Effect) => void,
    /** Receives the time that batches with a tick took; others are not measured, since reading the clocks takes time. */
    private readonly recordWork: (work: WorkDuration) => void = () => undefined,
  ) {
    // A batch holds all commands that arrive until the input that is ready now has been handled.
    const nextTurn = new Observable<void>((subscriber) => {
      clock.defer(() => {
        subscriber.next();
        subscriber.complete();
      });
    });
    this.#subscription = this.#commands
      .pipe(buffer(this.#commands.pipe(exhaustMap(() => nextTurn))))
      .subscribe((batch) => this.#applyBatch(batch));
  }

  /** Queues a command; it is applied with the next batch. */
  push(command: Command): void {
    this.#commands.next(command);
  }

  /** Stops accepting commands. */
  close(): void {
    this.#subscription.unsubscribe();
  }

  #applyBatch(batch: readonly Command[]): void {
    const now = { monotonicMs: this.clock.monotonicMs(), epochMs: this.clock.epochMs() };
    const finishMeasuring = batch.some(({ kind }) => kind === 'tick') ? this.clock.startMeasuring() : null;
    let effects: Effect[];
    try {
      effects = step(this.state, batch, now);
    } catch (error) {
      // A fault in one batch must not end the process. State that is half changed is dropped with the
      // leadership; the store holds the committed state.
      this.log.error(
        { error: String(error), stack: error instanceof Error ? error.stack : '' },
        'command batch failed',
      );
      effects = step(this.state, [{ kind: 'resign', reason: 'internal fault' }], now);
    }
    for (const effect of effects) this.executeEffect(effect);
    if (finishMeasuring !== null) this.recordWork(finishMeasuring());
  }
}
