package engineer

import (
	"errors"

	"connectrpc.com/connect"
)

// FailedTargetHeader is the error metadata in which an engine names the stage that failed.
const FailedTargetHeader = "Rattantray-Failed-Target"

// FailedTarget returns the failed stage that err names, or "".
func FailedTarget(err error) string {
	var ce *connect.Error
	if errors.As(err, &ce) {
		return ce.Meta().Get(FailedTargetHeader)
	}
	return ""
}

// IsNotHeld reports whether err is an engine's refusal of a stage whose layers or KV cache it does not hold.
func IsNotHeld(err error) bool {
	var ce *connect.Error
	return errors.As(err, &ce) && ce.Code() == connect.CodeFailedPrecondition && FailedTarget(ce) != ""
}

// WithFailedTarget returns err as a connect error of this engine that names target as the failed stage, unless err already
// names one.
func WithFailedTarget(err error, target string) error {
	if named := FailedTarget(err); named != "" {
		target = named
	}
	code := connect.CodeUnavailable
	var ce *connect.Error
	if errors.As(err, &ce) {
		code = ce.Code()
		err = errors.New(ce.Message())
	}
	out := connect.NewError(code, err)
	out.Meta().Set(FailedTargetHeader, target)
	return out
}
