// Package exchanger exchanges HTTP/1.1 requests and answers over connections that are kept, and knows what may have been sent.
package exchanger
