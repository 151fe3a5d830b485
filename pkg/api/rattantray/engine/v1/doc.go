// Package enginev1 holds the generated messages of the engine API.
package enginev1
