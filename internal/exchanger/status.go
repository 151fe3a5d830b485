package exchanger

import (
	"net/http"

	"github.com/cockroachdb/errors"
)

// ErrInvalidStatus is returned for an answer whose status is not one of HTTP: it is no answer, and says nothing about the request.
var ErrInvalidStatus = errors.New("the status is not one of HTTP")

// endOfStatuses is over the last class of status codes.
const endOfStatuses = 600

// IsFinalStatus reports whether a status code ends an exchange: 200 to 599, whether or not it is registered.
func IsFinalStatus(code int) bool { return code >= http.StatusOK && code < endOfStatuses }

// isInterimStatus reports whether a final answer follows one with a status code. A switch of protocols is not asked for here.
func isInterimStatus(code int) bool {
	return code >= http.StatusContinue && code < http.StatusOK && code != http.StatusSwitchingProtocols
}
