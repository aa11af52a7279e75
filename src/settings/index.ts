export {
	resolveSettings, type SettingSources, type SettingTable, type SettingValues,
} from './resolve-settings.js';
export {
	booleanSchema, environmentVariableName, listenAddressSchema, nameSchema, numberSchema, originSchema, textSchema, type Setting,
} from './setting.js';
