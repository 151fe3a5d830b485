// Package forwarder sends requests to plain services over HTTP and proves whether a failed request may have run.
package forwarder
