// Package rattantrayv1 holds the generated messages of the caller and operator APIs.
package rattantrayv1
