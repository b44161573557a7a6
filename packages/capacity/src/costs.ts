/** Costs per role in a scenario, computed from the fitted series. */
import { MAX_CLAIM_VALUE_BYTES } from '@jujubelanding/claims';
import { interpolate } from './fit.js';
import { projectClaimWrites } from './key-value-projection.js';
import type { FleetCounts } from './measure/key-value.js';
import type { Results } from './results.js';
import { estimateActiveTeams, estimateOwners, type Scenario } from './scenario.js';
import type { Series } from './series.js';
import { TCP_IP_BYTES } from './wire-format.js';

export enum Resource {
  Bytes = 'B/s sent',
  Processor = '% of a core',
  Memory = 'MB',
}

export interface Cost {
  role: string;
  part: string;
  resource: Resource;
  value: number;
  /** Largest relative residual of the fits that the cost is computed from. */
  error: number;
  series: string[];
  /** False for the data path, which does not count against the control budget. */
  isControl: boolean;
}

export const BUDGETS: Record<Resource, number> = {
  [Resource.Bytes]: 6000,
  [Resource.Processor]: 3.5,
  [Resource.Memory]: 256,
};

const SECONDS_PER_DAY = 86_400;
const MEGABYTE = 1e6;
const SHARD_COUNT = 64;
const US_TO_PERCENT = 1e-4;

const LOAD_POLLS_PER_SECOND = 2;

/**
 * JSON bytes of a short request and its reply on top of the empty push that `call.bytes` measures.
 */
const SHORT_CALL_JSON_BYTES = 40;

export class CostModel {
  private readonly costs: Cost[] = [];

  constructor(
    private readonly results: Results,
    private readonly scenario: Scenario,
  ) {}

  compute(): Cost[] {
    this.addEntryVm();
    this.addOwners();
    this.addDataPath();
    this.addMemory();
    return this.costs;
  }

  private findSeries(id: string): Series {
    const series = this.results.series.find((candidate) => candidate.id === id);
    if (series === undefined) throw new Error(`series ${id} has not been measured`);
    return series;
  }

  /** Returns the value of a series at a size. */
  private at(id: string, size: number): number {
    const { points, fit } = this.findSeries(id);
    return interpolate(points, fit, size);
  }

  private addCost(
    role: string,
    part: string,
    resource: Resource,
    value: number,
    series: string[],
    isControl = true,
  ): void {
    const error = Math.max(0, ...series.map((id) => this.findSeries(id).fit.maxResidual));
    this.costs.push({ role, part, resource, value, error, series, isControl });
  }

  /**
   * Adds bytes and processor time of calls at a rate. The processor time is that of both ends, because
   * the average VM receives as many calls as it sends.
   */
  private addCalls(role: string, part: string, perSecond: number, extraBytes: number): void {
    const bytes = this.at('call.bytes', 0) + TCP_IP_BYTES + extraBytes;
    const processorUs = this.findSeries('call.processor').fit.intercept;
    this.addCost(role, part, Resource.Bytes, perSecond * bytes, ['call.bytes']);
    this.addCost(role, part, Resource.Processor, perSecond * processorUs * US_TO_PERCENT, [
      'call.processor',
    ]);
  }

  private addEntryVm(): void {
    const { entryVms, requestsPerSecond, services, workers } = this.scenario;
    const role = 'entry VM';
    this.addCost(role, 'membership', Resource.Bytes, this.at('membership.bytesOut', entryVms), [
      'membership.bytesOut',
    ]);
    this.addCost(
      role,
      'membership',
      Resource.Processor,
      this.at('membership.processor', entryVms),
      ['membership.processor'],
    );
    this.addCost(role, 'online notices', Resource.Bytes, this.at('notices.bytes', entryVms), [
      'notices.bytes',
    ]);
    this.addCost(
      role,
      'online notices',
      Resource.Processor,
      this.at('notices.processor', entryVms),
      ['notices.processor'],
    );
    this.addCost(role, 'limit shares', Resource.Bytes, this.at('limits.bytes', entryVms), [
      'limits.bytes',
    ]);
    this.addCost(role, 'limit shares', Resource.Processor, this.at('limits.processor', entryVms), [
      'limits.processor',
    ]);
    const perVm = requestsPerSecond / entryVms;
    const choiceUs = this.at('routing.choice', workers / services);
    this.addCost(role, 'routing', Resource.Processor, perVm * choiceUs * US_TO_PERCENT, [
      'routing.choice',
    ]);
    this.addConfiguration(role);
    this.addCalls(role, 'claims', perVm * this.scenario.claimShare, SHORT_CALL_JSON_BYTES);
    this.addCost(role, 'shard plan', Resource.Processor, this.at('shards.processor', entryVms), [
      'shards.processor',
    ]);
  }

  private addConfiguration(role: string): void {
    const { configurationChangesPerDay, entryVms } = this.scenario;
    const changes = configurationChangesPerDay / SECONDS_PER_DAY;
    const pushes = Math.min(3, entryVms - 1);
    const recordBytes = 420;
    this.addCalls(role, 'configuration pushes', changes * pushes, recordBytes);
    const changeUs =
      this.at('configuration.changeByMembers', entryVms) +
      this.at('teams.keyIndex', this.scenario.teams);
    this.addCost(role, 'configuration', Resource.Processor, changes * changeUs * US_TO_PERCENT, [
      'configuration.changeByMembers',
      'teams.keyIndex',
    ]);
  }

  private addOwners(): void {
    const { entryVms, openJobs, itemsPerDay, itemsPerJob } = this.scenario;
    const owners = estimateOwners(this.scenario);
    this.addCost(
      'worker owner',
      'notices, busiest',
      Resource.Bytes,
      this.at('notices.ownerBytes', entryVms),
      ['notices.ownerBytes'],
    );
    this.addExecutor(owners);
    const chunkRequestRate = this.getChunkRequestRate();
    this.addCalls('executor', 'chunk requests', chunkRequestRate, SHORT_CALL_JSON_BYTES);
    const jobsPerOwner = openJobs / owners;
    const grantUs = this.at('jobs.grant', jobsPerOwner);
    this.addCost(
      'chunk owner',
      'chunk requests',
      Resource.Processor,
      chunkRequestRate * grantUs * US_TO_PERCENT,
      ['jobs.grant'],
    );
    const chunksPerJob = this.at('jobs.chunks', itemsPerJob);
    const commits = (itemsPerDay / itemsPerJob) * (chunksPerJob / SECONDS_PER_DAY / owners);
    const commitUs = this.at('jobs.commit', chunksPerJob);
    this.addCost('chunk owner', 'commits', Resource.Processor, commits * commitUs * US_TO_PERCENT, [
      'jobs.commit',
      'jobs.chunks',
    ]);
    this.addClaimOwner(owners);
  }

  /**
   * Adds load polls, of which only the caller runs on this VM, and progress notices of an executor
   * with 16 chunks.
   */
  private addExecutor(owners: number): void {
    const polls = (this.scenario.workers / owners) * LOAD_POLLS_PER_SECOND;
    const pollUs = this.findSeries('call.processor').fit.intercept / 2;
    this.addCost('worker owner', 'load polls', Resource.Processor, polls * pollUs * US_TO_PERCENT, [
      'call.processor',
    ]);
    const { entryVms } = this.scenario;
    const part = 'progress notices, 16 chunks';
    const bytes = this.at('progress.bytes', entryVms);
    this.addCost('executor', part, Resource.Bytes, bytes, ['progress.bytes']);
    const processor = this.at('progress.processor', entryVms);
    this.addCost('executor', part, Resource.Processor, processor, ['progress.processor']);
  }

  private addClaimOwner(owners: number): void {
    const { requestsPerSecond, claimShare } = this.scenario;
    const commits = projectClaimWrites(this.results, requestsPerSecond * claimShare) / owners;
    // Page fill levels range from empty to full, so pages are half full on average.
    const claimsOnPage = MAX_CLAIM_VALUE_BYTES / 2 / this.findSeries('claims.bytes').fit.slope;
    const commitUs = this.at('claims.processor', claimsOnPage);
    const bytes = this.at('claims.bytes', claimsOnPage);
    this.addCost('claim owner', 'commits', Resource.Processor, commits * commitUs * US_TO_PERCENT, [
      'claims.processor',
    ]);
    this.addCost('claim owner', 'bytes to the key-value service', Resource.Bytes, commits * bytes, [
      'claims.bytes',
    ]);
  }

  /**
   * Returns the chunk requests per second of a VM with workers, for which it uses the largest rate per
   * VM that was counted in the idle fleets.
   */
  private getChunkRequestRate(): number {
    const idle = this.results.keyValue.filter((counts) => counts.case === 'idleByVms');
    const getRate = ({ peerCalls }: FleetCounts): number => peerCalls.requestChunk ?? 0;
    return Math.max(...idle.map(getRate));
  }

  private addDataPath(): void {
    const { requestsPerSecond, tokensPerSecond, entryVms } = this.scenario;
    const { fit } = this.findSeries('proxy.request');
    const requestUs = (requestsPerSecond / entryVms) * Math.max(0, fit.intercept);
    const tokenUs = (tokensPerSecond / entryVms) * fit.slope;
    const series = ['proxy.request'];
    this.addCost(
      'data path',
      'requests',
      Resource.Processor,
      requestUs * US_TO_PERCENT,
      series,
      false,
    );
    this.addCost('data path', 'tokens', Resource.Processor, tokenUs * US_TO_PERCENT, series, false);
  }

  private addMemory(): void {
    const { scenario } = this;
    const owners = estimateOwners(scenario);
    const toMegabytes = (id: string, size: number): number => this.at(id, size) / MEGABYTE;
    const addMemoryCost = (role: string, part: string, value: number, ids: string[]): void =>
      this.addCost(role, part, Resource.Memory, value, ids);
    addMemoryCost(
      'entry VM',
      'process with all modules',
      this.results.baselineBytes / MEGABYTE,
      [],
    );
    addMemoryCost('entry VM', 'records', toMegabytes('configuration.heap', scenario.records), [
      'configuration.heap',
    ]);
    addMemoryCost(
      'entry VM',
      'member entries',
      toMegabytes('membership.memory', scenario.entryVms),
      ['membership.memory'],
    );
    addMemoryCost(
      'chunk owner',
      'open jobs',
      toMegabytes('jobs.heap', scenario.openJobs / owners),
      ['jobs.heap'],
    );
    const shares = (estimateActiveTeams(scenario) * scenario.entryVms) / owners;
    addMemoryCost('limit owner', 'shares', toMegabytes('limits.heap', shares), ['limits.heap']);
    const claims =
      (scenario.requestsPerSecond * scenario.claimShare * SECONDS_PER_DAY) / SHARD_COUNT;
    const perOwner = claims * Math.ceil(SHARD_COUNT / owners);
    addMemoryCost('claim owner', 'claims of 24 h', toMegabytes('claims.heap', perOwner), [
      'claims.heap',
    ]);
  }
}
