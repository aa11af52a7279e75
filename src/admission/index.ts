export {ReturnSchedule, type RefusedWork, type ReturnPlace} from './return-schedule.js';
export {ServicePace} from './service-pace.js';
