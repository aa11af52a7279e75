import {describe, expect, it} from 'vitest';
import {ManualClock} from '../clock/index.js';
import {silentLoggerFactory} from '../logging/index.js';
import {TargetRegistry} from '../registry/index.js';
import {Placement} from './placement.js';

describe('Placement', () => {
	const clock = ManualClock.create();
	const logger = silentLoggerFactory('targets');
	const targets = TargetRegistry.create({clock, logger});
	for (const [id, zone] of [['t-1', 'riga-a'], ['t-2', 'riga-b'], ['t-3', 'rezekne-a']] as const) {
		targets.put({
			id, service: 'desk', zone, address: `127.0.0.1:${id}`, slots: 1, isDraining: false, startedMs: 0,
		});
	}

	// Guards against an exclusion that is not counted, against requests that wait at a target of the zone, and against an
	// evacuation that outlives its hold since nothing ends it.
	it('leaves out a zone that is evacuated until its hold over a restored store is over', async () => {
		const changes: string[] = [];
		const excluded: string[] = [];
		const placement = Placement.create({
			clock, logger, targets, zone: 'riga-a', regionOf: zone => zone.split('-', 1)[0], evacuateMs: 100, onExcluded(reason, count) {
				excluded.push(`${reason} ${count}`);
			}, onChange({zone, isOn}) {
				changes.push(`${zone} ${isOn}`);
			},
		});
		const withdrawn: string[] = [];
		for (const target of targets.all()) {
			target.watchUnsent(() => withdrawn.push(target.id));
		}

		placement.applyRecords([{zone: 'riga-a', isOn: true}]);
		expect([placement.candidates('desk', ['riga']).map(({id}) => id), excluded, withdrawn]).toEqual([['t-2'], ['evacuated 1', 'region 1'], ['t-1']]);
		expect(placement.lacksAllowed('desk', ['riga'], new Set())).toBe(false);
		expect(placement.lacksAllowed('desk', ['riga'], new Set([targets.get('t-2')!]))).toBe(true);
		placement.applySnapshot([], 'restored');
		await clock.advance(99);
		expect(placement.evacuatedZones).toBe(1);
		await clock.advance(1);
		expect([placement.evacuatedZones, changes]).toEqual([0, ['riga-a true', 'riga-a false']]);
	});
});
