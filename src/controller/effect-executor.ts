/**
 * Carries out the effects of the core's steps. The outcome of an effect, if it has one, is pushed to the command loop
 * as a command. The ports return failures as values, so no promise here is rejected.
 */
import type { Effect, Reply } from '../core/effects.js';
import type { Heartbeat } from '../core/types.js';
import type { ControllerContext } from './context.js';

/** Effects that other parts of the controller carry out. */
export interface EffectHandlers {
  /** Reads the final outcomes of jobs that others depend on. */
  resolveDependencies(ids: readonly string[]): void;
  /** Reads the committed records of jobs and chunks after a write with an unknown outcome. */
  reconcile(id: number, jobs: readonly string[], chunks: readonly string[]): void;
  /** Notifies followers of machines that need the leader's attention, since the next answer may carry a command. */
  announceAttention(machines: readonly string[]): void;
  /** No start leaves this node any more on a view that does not cover this revision of the store. */
  startsFenced(revision: number): void;
  /** This node has ended its leadership, for this reason. */
  steppedDown(reason: string): void;
}

type EffectOf<Kind extends Effect['kind']> = Extract<Effect, { kind: Kind }>;

/** Executes effects, and passes each reply of the core to the caller that waits for it. */
export class EffectExecutor {
  readonly #replyHandlers = new Map<number, (reply: Reply) => void>();
  #nextReply = 1;

  constructor(
    private readonly context: ControllerContext,
    private readonly handlers: EffectHandlers,
  ) {}

  /** Submits a heartbeat to the core; `onReply` is called once. `ageMs`: how long its forwarding took (ms). */
  submitHeartbeat(heartbeat: Heartbeat, ageMs: number, onReply: (reply: Reply) => void): void {
    const reply = this.#nextReply++;
    this.#replyHandlers.set(reply, onReply);
    this.context.commands.push({ kind: 'heartbeat', reply, heartbeat, ageMs });
  }

  /** Starts an effect without waiting for its outcome. */
  execute(effect: Effect): void {
    switch (effect.kind) {
      case 'reply': {
        this.#deliverReply(effect);
        return;
      }
      case 'commit':
        return void this.#commit(effect);
      case 'resolveDependencies': {
        this.handlers.resolveDependencies(effect.ids);
        return;
      }
      case 'reconcile': {
        this.handlers.reconcile(effect.id, effect.jobs, effect.chunks);
        return;
      }
      case 'sendCommands':
        return void this.#sendCommands(effect);
      case 'probe':
        return void this.#probe(effect);
      case 'provision':
        return void this.#provision(effect);
      case 'terminate':
        return void this.#terminate(effect);
      case 'saveDemandHistory':
        // A lost write costs nothing: the history is written again at its next interval.
        return void this.context.ports.store.commit(effect.transaction);
      case 'attention': {
        this.handlers.announceAttention(effect.machines);
        return;
      }
      case 'startsFenced': {
        this.handlers.startsFenced(effect.revision);
        return;
      }
      case 'steppedDown': {
        this.handlers.steppedDown(effect.reason);
        return;
      }
      case 'log': {
        this.context.ports.log[effect.level](effect.detail, effect.event);
        return;
      }
    }
  }

  #deliverReply({ reply, body }: EffectOf<'reply'>): void {
    const onReply = this.#replyHandlers.get(reply);
    this.#replyHandlers.delete(reply);
    onReply?.(body);
  }

  #commit({ id, transaction }: EffectOf<'commit'>): Promise<void> {
    return this.context.ports.store
      .commit(transaction)
      .then((outcome) => this.context.commands.push({ kind: 'committed', id, outcome }));
  }

  #sendCommands({ address, token, agentEpoch, commands }: EffectOf<'sendCommands'>): Promise<void> {
    return this.context.ports.workers.sendCommands(address, token, agentEpoch, commands).then((heartbeat) => {
      if (heartbeat !== null) this.context.commands.push({ kind: 'directAnswer', heartbeat });
    });
  }

  #probe({ address, machine }: EffectOf<'probe'>): Promise<void> {
    return this.context.ports.workers
      .probe(address)
      .then((isReachable) => this.context.commands.push({ kind: 'probed', machine, isReachable }));
  }

  #provision({ requestId, type, zone, spot, count }: EffectOf<'provision'>): Promise<void> {
    return this.context.ports.cloud
      .provision(requestId, type, zone, spot, count)
      .then((outcome) => this.context.commands.push({ kind: 'provisioned', requestId, outcome }));
  }

  #terminate({ machines }: EffectOf<'terminate'>): Promise<void> {
    return this.context.ports.cloud
      .terminate(machines)
      .then((ok) => this.context.commands.push({ kind: 'terminated', machines, ok }));
  }
}
