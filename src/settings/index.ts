export {
	resolveSettings, type SettingSources, type SettingTable, type SettingValues,
} from './resolve-settings.js';
export {
	listenAddressSchema, nameSchema, numberSchema, originSchema, switchSchema, textSchema, variableOf, type Setting,
} from './setting.js';
