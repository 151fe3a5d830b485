// Package platformv1 holds the generated messages of the object API and VM list.
package platformv1
