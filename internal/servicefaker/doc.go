// Package servicefaker is a fake booking application: a plain service with a ledger of what it ran and faults over HTTP.
package servicefaker
