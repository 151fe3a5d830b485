// Package exchanger exchanges HTTP/1.1 requests and answers over persistent connections, and tracks whether a request
// may have been sent.
package exchanger
