// Package tokener makes and checks the authenticated resume tokens that continue a cut answer.
package tokener
