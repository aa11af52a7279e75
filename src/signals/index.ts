export {linkController, type LinkedController} from './linked-controller.js';
