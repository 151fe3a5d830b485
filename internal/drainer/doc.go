// Package drainer shuts a daemon down gracefully, in phases that let the requests in progress end.
package drainer
