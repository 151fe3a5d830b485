// Package tokener signs and checks the resume tokens with which a caller continues an interrupted answer.
package tokener
