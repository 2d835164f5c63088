/** Composition root of a controller process: connects a node to its network adapters. */
import { randomUUID } from 'node:crypto';
import { HttpCloud } from './adapters/cloud.js';
import { PeerLinks } from './adapters/peer-links.js';
import { createPublicServer } from './adapters/public-server.js';
import { HttpKeyValueStore } from './adapters/key-value-store.js';
import { HttpWorkerClient } from './adapters/worker-client.js';
import { systemClock } from './adapters/clock.js';
import type { SchedulingPolicy } from './core/model.js';
import type { Log } from './observability/logging.js';
import { heldBytes, MemoryMonitor } from './observability/memory.js';
import { ControllerNode } from './controller/node.js';
import { parseAddress, timing, type PlatformSettings } from './config/settings.js';

/** Starts a controller that runs until the process ends. Errors of its public and peer servers are logged. */
export function startService(settings: PlatformSettings, policy: SchedulingPolicy, log: Log): void {
  const clock = systemClock;
  const serviceTiming = timing(settings);
  const node = new ControllerNode(settings, {
    store: new HttpKeyValueStore(settings, clock),
    cloud: new HttpCloud(settings, clock),
    workers: new HttpWorkerClient(
      2 * serviceTiming.maxHeartbeatIntervalMs,
      serviceTiming.probeTimeoutMs,
      Math.ceil(settings.cluster.quota.sockets / 16),
    ),
    clock,
    log,
    policy,
    incarnation: randomUUID(),
  });
  const server = createPublicServer(node, settings.cluster.quota.sockets, log);
  const { host, port } = parseAddress(settings.public_addr);
  server.on('error', (error) => log.error({ error: error.message }, 'public server failed'));
  server.listen(port, host);
  const peers = new PeerLinks({
    settings,
    timing: serviceTiming,
    clock,
    log,
    malformed: node.malformed,
    status: () => node.status(),
    onStatus: (status) => node.onPeer(status),
    onLink: (name, link) => node.onLink(name, link),
    onIntake: (message) => node.onIntake(message),
    onStartFence: (message) => node.onStartFence(message),
  });
  node.broadcastStatus = () => peers.broadcastStatus();
  node.sendIntake = (to, message) => peers.sendIntake(to, message);
  node.sendStartFence = (to, message) => peers.sendStartFence(to, message);
  node.peerTraffic = () => peers.traffic;
  const memory = new MemoryMonitor({
    clock,
    log,
    quotaMb: settings.cluster.quota.ram_mb,
    heldBytes,
    machines: () => node.machineCount,
    dropCaches: () => node.users.dropCaches(),
  });
  peers.start();
  void memory.run();
  node.start();
}
