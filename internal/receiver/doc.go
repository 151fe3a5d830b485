// Package receiver serves the client API: it validates requests, has them admitted and run, and streams their answers.
package receiver
