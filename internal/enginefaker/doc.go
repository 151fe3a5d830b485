// Package enginefaker fakes a model engine: it is served like a real one and returns computed tokens, with faults and a ledger.
package enginefaker
