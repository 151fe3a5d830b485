// Package setter reads settings from flags and environment variables and checks them.
package setter
