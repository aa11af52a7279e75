export {Random} from './random.js';
