// Package subscriber streams the prefix-cache events of a bounded selection of engines.
package subscriber
