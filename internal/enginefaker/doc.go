// Package enginefaker is a small model engine without a model, served like a real one, with faults and a ledger.
package enginefaker
