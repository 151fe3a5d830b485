// Package checksettings is the command gateway check-settings.
package checksettings
