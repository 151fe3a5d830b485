// Package receiver is the caller API: it checks requests, has them admitted and run, and streams their answers.
package receiver
