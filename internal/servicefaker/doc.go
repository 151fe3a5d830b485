// Package servicefaker fakes a booking application: a plain service with a ledger of the requests that it ran, and with faults
// over HTTP.
package servicefaker
