// Package subscriber follows the prefix-cache events of a bounded choice of engines.
package subscriber
