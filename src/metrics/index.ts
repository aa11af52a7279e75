export {addGauge} from './add-gauge.js';
