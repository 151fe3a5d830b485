// Package checksettings implements the command 'gateway check-settings'.
package checksettings
