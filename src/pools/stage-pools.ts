import type {StageJob, StageOutcome} from './stage-job.js';

/** Runs stages of requests on the pools of stage targets. */
export interface StagePools {
	/** Resolves with the results or the reason why there are none; never rejects. An abort cancels the job. */
	run(service: string, job: StageJob, signal: AbortSignal): Promise<StageOutcome>;
	/** Availability zone of a result; `undefined` where its maker is not known. */
	zoneOf(handle: string): string | undefined;
	/** Gives results up. */
	free(service: string, handles: readonly string[]): void;
}
