/** Processor time and memory of other processes on this machine, read from /proc. */
import { readFileSync } from 'node:fs';

/** Linux reports processor time in /proc in hundredths of a second, regardless of the kernel's tick rate. */
const MS_PER_CLOCK_TICK = 10;
const KILOBYTES_PER_MB = 1024;
/** Indexes of user and system time among the fields of /proc/PID/stat that follow the process name. */
const USER_TIME_FIELD = 11;
const SYSTEM_TIME_FIELD = 12;

/** Processor time that a process has used so far, and its resident memory now. */
export interface ProcessUsage {
  readonly processorMs: number;
  readonly residentMb: number;
}

/** Reads the usage of a process; null if it does not exist. */
export function readUsage(pid: number): ProcessUsage | null {
  try {
    const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
    const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
    const ticks = Number(fields[USER_TIME_FIELD]) + Number(fields[SYSTEM_TIME_FIELD]);
    const resident = /^VmRSS:\s+(\d+) kB/m.exec(readFileSync(`/proc/${pid}/status`, 'utf8'));
    return {
      processorMs: ticks * MS_PER_CLOCK_TICK,
      residentMb: Number(resident?.[1] ?? 0) / KILOBYTES_PER_MB,
    };
  } catch {
    return null;
  }
}
