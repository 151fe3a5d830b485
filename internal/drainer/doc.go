// Package drainer shuts a daemon down in steps that cut no request.
package drainer
